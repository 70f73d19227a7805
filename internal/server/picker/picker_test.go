package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/indexer"
	"oriolemill.example/oriolemill/internal/server/picker"
)

var now = time.Unix(1000, 0)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func replica(id string, inflight int, presence server.Presence, options ...server.UpstreamOption) *server.Upstream {
	gauge := &server.Gauge{}
	for range inflight {
		gauge.Begin()
	}
	return server.NewUpstream(server.Listing{ID: id, Service: "engines", Datacentre: "north", Presence: presence}, gauge, options...)
}

func snapshot(replicas ...*server.Upstream) *server.Snapshot {
	return server.NewSnapshot(now, nil, server.WithDatacentre("north"), server.WithUpstreams(map[string][]*server.Upstream{"engines": replicas}))
}

func load(running, waiting int, age time.Duration) server.UpstreamOption {
	return server.WithLoad(server.Load{ReportedAt: now.Add(-age), Running: running, Waiting: waiting, Slots: 8, PrefillRate: 20000, DecodeRate: 100})
}

func pick(s *server.Snapshot, request *server.PickRequest, index *indexer.Indexer) string {
	request.Service = "engines"
	upstream := picker.New(index).Pick(s, request, now, random())
	if upstream == nil {
		return ""
	}
	return upstream.ID()
}

func TestPickerPrefersAllowedAndLeastLoaded(t *testing.T) {
	live, leaving := server.PresenceLive, server.PresenceLeaving
	cases := []struct {
		name     string
		snapshot *server.Snapshot
		request  server.PickRequest
		want     string
	}{
		{"less load", snapshot(replica("a", 0, live, load(8, 4, 0)), replica("b", 0, live, load(2, 0, 0))), server.PickRequest{}, "b"},
		{"own attempts since the report", snapshot(replica("a", 9, live, load(0, 0, 0)), replica("b", 0, live, load(2, 0, 0))), server.PickRequest{}, "b"},
		{"announced by peers", snapshot(replica("a", 0, live, server.WithPeerInflight(20)), replica("b", 0, live, load(4, 0, 0))), server.PickRequest{}, "b"},
		{"stale report has little weight", snapshot(replica("a", 0, live, load(8, 30, time.Hour)), replica("b", 3, live, load(0, 0, 0))), server.PickRequest{}, "a"},
		{"no reports", snapshot(replica("a", 3, live), replica("b", 1, live)), server.PickRequest{}, "b"},
		{"leaving", snapshot(replica("a", 0, leaving), replica("b", 50, live)), server.PickRequest{}, "b"},
		{"only leaving", snapshot(replica("a", 0, leaving)), server.PickRequest{}, ""},
		{"ejected", snapshot(replica("a", 0, live, server.WithEjected(true)), replica("b", 50, live)), server.PickRequest{}, "b"},
		{"only ejected", snapshot(replica("a", 0, live, server.WithEjected(true))), server.PickRequest{}, "a"},
		{"attempted", snapshot(replica("a", 0, live), replica("b", 50, live)), server.PickRequest{AttemptedUpstreams: []string{"a"}}, "b"},
		{"all attempted", snapshot(replica("a", 0, live)), server.PickRequest{AttemptedUpstreams: []string{"a"}}, "a"},
		{"attempted before ejected", snapshot(replica("a", 0, live), replica("b", 0, live, server.WithEjected(true))), server.PickRequest{AttemptedUpstreams: []string{"a"}}, "a"},
		{"model", snapshot(replica("a", 0, live, server.WithLoad(server.Load{Models: []string{"x"}})), replica("b", 5, live, server.WithLoad(server.Load{Models: []string{"y"}}))), server.PickRequest{Model: "y"}, "b"},
		{"no replicas", snapshot(), server.PickRequest{}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(pick(c.snapshot, &c.request, nil), c.want)
		})
	}
}

func TestCachedPrefixIsPreferredWithinLoadBound(t *testing.T) {
	is := is.New(t)
	prompt := fmt.Sprintf("%016000d", 5)
	blocks := messenger.AppendBlockHashes(nil, "s", prompt)
	index := indexer.New(1 << 20)
	events := &messenger.CacheEventsAnswer{FirstSequence: 1, LastSequence: uint64(len(blocks))}
	for i, block := range blocks {
		events.Events = append(events.Events, messenger.CacheEvent{Sequence: uint64(i + 1), BlockHash: block, IsStored: true})
	}
	index.ApplyEvents("e-50", events, now)
	request := server.PickRequest{Prompt: prompt, BlockHashes: blocks, ExpectedTokens: 32}
	hundredReplicas := func(holderInflight int) *server.Snapshot {
		var replicas []*server.Upstream
		for i := range 100 {
			inflight := 1
			if i == 50 {
				inflight = holderInflight
			}
			replicas = append(replicas, replica(fmt.Sprint("e-", i), inflight, server.PresenceLive, load(0, 0, 0)))
		}
		return snapshot(replicas...)
	}
	is.Equal(pick(hundredReplicas(2), &request, index), "e-50")
	is.True(pick(hundredReplicas(9), &request, index) != "e-50") // too much load compared to the others
}

func TestRandomPicksAllAllowedReplicas(t *testing.T) {
	is := is.New(t)
	s := snapshot(replica("a", 9, server.PresenceLive), replica("b", 0, server.PresenceLive), replica("c", 0, server.PresenceLeaving),
		replica("d", 0, server.PresenceLive, server.WithEjected(true)))
	source, counts := random(), map[string]int{}
	for range 1000 {
		counts[picker.NewRandom().Pick(s, &server.PickRequest{Service: "engines"}, now, source).ID()]++
	}
	is.Equal(len(counts), 2)
	is.True(counts["a"] > 400 && counts["b"] > 400)
	is.True(picker.NewRandom().Pick(snapshot(), &server.PickRequest{Service: "engines"}, now, source) == nil)
}

// BenchmarkPick measures one pick among increasing numbers of engines with a prompt of
// 250 blocks.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{21, 210, 2100, 21000} {
		b.Run(fmt.Sprintf("replicas=%d", count), func(b *testing.B) {
			prompt := fmt.Sprintf("%016000d", 5)
			blocks := messenger.AppendBlockHashes(nil, "s", prompt)
			index := indexer.New(indexer.DefaultBytes)
			replicas := make([]*server.Upstream, 0, count)
			for i := range count {
				id := fmt.Sprint("e-", i)
				replicas = append(replicas, replica(id, i%7, server.PresenceLive, load(i%5, 0, 0)))
				if i < 4 {
					events := &messenger.CacheEventsAnswer{FirstSequence: 1, LastSequence: uint64(len(blocks))}
					for j, block := range blocks {
						events.Events = append(events.Events, messenger.CacheEvent{Sequence: uint64(j + 1), BlockHash: block, IsStored: true})
					}
					index.ApplyEvents(id, events, now)
				}
			}
			s := snapshot(replicas...)
			request := &server.PickRequest{Service: "engines", Prompt: prompt, BlockHashes: blocks, ExpectedTokens: 64}
			p, source := picker.New(index), random()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				p.Pick(s, request, now, source)
			}
		})
	}
}
