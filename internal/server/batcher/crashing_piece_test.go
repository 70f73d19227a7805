package batcher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/blocker"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// Targets: later than maxLearnDelay after the third crash under a request at most maxLateCalls with
// its pieces reach replicas.
const (
	allowedCrashes = 3
	maxLearnDelay  = 3 * time.Second
	maxLateCalls   = 3
)

// noLinks are the links of an instance without others.
type noLinks struct{}

func (noLinks) HolderIDs(string, int) []string                     { return nil }
func (noLinks) Send(context.Context, string, *encoder.Frame) error { return nil }

// TestRequestWhosePiecesCrashReplicasIsBlocked guards against one request that comes again and whose
// pieces crash one stage replica after the other, together with the requests in the same calls.
func TestRequestWhosePiecesCrashReplicasIsBlocked(t *testing.T) {
	for _, replicas := range []int{4, 12} {
		t.Run(fmt.Sprint(replicas), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCrashingPieces(t, replicas) })
		})
	}
}

func runCrashingPieces(t *testing.T, replicas int) {
	is := is.New(t)
	timer := ticker.New()
	defer timer.Close()
	var mu sync.Mutex
	var crashedAt []time.Time
	born := make(map[string]int64)
	var o *Owner
	register := func() {
		var list []server.Replica
		mu.Lock()
		for i := range replicas {
			id := fmt.Sprint("i-", i)
			list = append(list, server.Replica{ID: id, Service: "s", Address: id, StartMillis: born[id]})
		}
		mu.Unlock()
		batch := &server.Batch{Slots: 1, MaxPieces: 12, CallOverhead: 150 * time.Millisecond, ResultMemory: 1 << 20, ResultTTL: 4 * time.Second}
		o.UpdateServices(map[string]server.Backend{"s": {Name: "s", Batch: batch}}, func(string) []server.Replica { return list })
	}
	r := &fakeReplicas{stored: make(map[string]bool)}
	r.respond = func(_ int, replica string, pieces []server.Piece) ([]server.PieceResult, error) {
		if !slices.ContainsFunc(pieces, func(p server.Piece) bool { return p.Key == "bad" }) {
			return nil, nil
		}
		mu.Lock()
		defer mu.Unlock()
		crashedAt = append(crashedAt, time.Now())
		time.AfterFunc(400*time.Millisecond, func() {
			mu.Lock()
			born[replica]++
			mu.Unlock()
			register()
		})
		return nil, server.NewFault("exchange", replica, errors.Join(server.ErrUnavailable, server.ErrConnectionLost))
	}
	requestBlocker := blocker.New(logr.Discard(), timer, noLinks{})
	defer requestBlocker.Close()
	o = NewOwner(logr.Discard(), timer, r, fakeBudget(true), WithBlocker(requestBlocker))
	defer o.Stop()
	register()
	served, sent := 0, 0
	var group sync.WaitGroup
	for i := range 24 {
		for _, name := range []string{"bad", fmt.Sprint("a", i), fmt.Sprint("b", i)} {
			job := testJob(fmt.Sprint(name, "/", i), 3)
			job.Key, job.Content = name, server.ContentKey(name)
			group.Go(func() {
				result := submitAndWait(o, job)
				mu.Lock()
				defer mu.Unlock()
				if name == "bad" {
					return
				}
				sent++
				if result.Failure == "" {
					served++
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	crashes, servedCount, sentCount := slices.Clone(crashedAt), served, sent
	mu.Unlock()
	late := 0
	for _, at := range crashes {
		if at.Sub(crashes[allowedCrashes-1]) > maxLearnDelay {
			late++
		}
	}
	t.Log("crashes:", len(crashes), "late:", late, "served:", servedCount, "of", sentCount)
	is.True(len(crashes) >= allowedCrashes)
	is.True(late <= maxLateCalls)
	is.True(servedCount >= sentCount*9/10)
	job := testJob("bad/again", 3)
	job.Key, job.Content = "bad", server.ContentKey("bad")
	is.Equal(submitAndWait(o, job).Failure, server.PieceFailureBlocked)
}
