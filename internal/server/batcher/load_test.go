package batcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// The figures of the stage service that binds in the deployment of two data
// centres more: 5 replicas, 14 pieces a call, 150 ms a call and 9.2 ms a piece.
var loadBatch = server.Batch{
	Slots: 1, Queue: 2, Size: 14, Call: 150 * time.Millisecond, Item: 9200 * time.Microsecond, Room: 1 << 40, Keep: 4 * time.Second,
}

const (
	loadReplicas  = 5
	loadInstances = 9
	loadLength    = 12 * time.Second
	loadGoal      = 800 * time.Millisecond
	loadLast      = 3 * time.Second
)

// farm is the replicas of a stage service: each has one call in progress and two
// that wait, and refuses others.
type farm struct {
	mu      sync.Mutex
	queued  map[string]int
	slots   map[string]chan struct{}
	slow    map[string]float64
	lost    map[string]bool
	made    int
	refused int
}

func newFarm() *farm {
	f := &farm{queued: make(map[string]int), slots: make(map[string]chan struct{}), slow: make(map[string]float64), lost: make(map[string]bool)}
	for _, r := range loadServers() {
		f.slots[r.ID] = make(chan struct{}, 1)
	}
	return f
}

func loadServers() []server.Replica {
	var list []server.Replica
	for i := range loadReplicas {
		list = append(list, server.Replica{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: fmt.Sprintf("r%d", i)})
	}
	return list
}

func (f *farm) Make(ctx context.Context, replica *server.Replica, pieces []server.Piece) ([]server.Made, error) {
	f.mu.Lock()
	if f.lost[replica.ID] {
		f.mu.Unlock()
		return nil, server.ErrUnavailable
	}
	if f.queued[replica.ID] > loadBatch.Queue {
		f.refused++
		f.mu.Unlock()
		return nil, server.ErrOverload
	}
	f.queued[replica.ID]++
	slot := f.slots[replica.ID]
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.queued[replica.ID]--
		f.mu.Unlock()
	}()
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-slot }()
	f.mu.Lock()
	factor := max(f.slow[replica.ID], 1)
	f.mu.Unlock()
	// A call at work goes on when its caller leaves.
	time.Sleep(time.Duration(factor * float64(loadBatch.Span(len(pieces)))))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.made += len(pieces)
	made := make([]server.Made, len(pieces))
	for i, p := range pieces {
		made[i].Handle = fmt.Sprintf("%s/%s-%d", replica.Address, p.Request, p.Piece)
	}
	return made, nil
}

func (f *farm) Free(context.Context, *server.Replica, []string) error { return nil }
func (f *farm) Keeper(handle string) string                           { return handle[:2] }

// outcome is how a pattern went.
type outcome struct {
	asked, onTime, late, failed int
	// pieces were made, and refused are calls that found their replica full.
	pieces, refused int
}

func (o outcome) share() float64 { return float64(o.onTime) / float64(max(o.asked, 1)) }

// load is a pattern of requests for one stage service.
type load struct {
	// perSecond returns the requests a second at a time, pieces of a request.
	perSecond func(at time.Duration) float64
	pieces    func(random *rand.Rand) int
	// harm changes the replicas at a time.
	harm map[time.Duration]func(f *farm)
	// repeats is how often a client repeats at once after a failure.
	repeats int
	// handOver is when the owner stops and another goes on; zero is never.
	handOver time.Duration
}

// play plays a pattern with calls formed by a number of owners: one, or one on
// each instance, which is the baseline.
func play(t *testing.T, pattern load, owners int) (o outcome) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		timer := ticker.New()
		f := newFarm()
		random := rand.New(rand.NewPCG(5, 11))
		var all []*Owner
		for range owners + 1 { // the last takes over
			owner := NewOwner(logr.Discard(), timer, f, budget(true))
			owner.Follow(map[string]server.Backend{"s": {Name: "s", Batch: &loadBatch}}, func(string) []server.Replica { return loadServers() })
			all = append(all, owner)
		}
		all[0].next = all[owners].TakeOver
		var mu sync.Mutex
		began := time.Now()
		moved := func() bool { return pattern.handOver > 0 && time.Since(began) >= pattern.handOver }
		var ask func(request string, pieces, owner, repeats int, first time.Time)
		ask = func(request string, pieces, owner, repeats int, first time.Time) {
			job := &Job{Service: "s", Request: request, Goal: first.Add(loadGoal), Last: first.Add(loadLast)}
			for i := range pieces {
				job.Pieces = append(job.Pieces, i)
			}
			at := all[owner]
			if moved() {
				at = all[owners]
			}
			at.Submit(job, func(r Result) {
				mu.Lock()
				defer mu.Unlock()
				took := time.Since(first)
				switch {
				case r.Failing == FailingMoved:
					go ask(request, pieces, owner, repeats, first)
				case r.Failing != "" && repeats > 0 && took < loadLast:
					go ask(request+"'", pieces, owner, repeats-1, first)
				case r.Failing != "":
					o.failed++
				case took <= loadGoal:
					o.onTime++
				default:
					o.late++
				}
			})
		}
		times := make([]time.Duration, 0, len(pattern.harm))
		for at := range pattern.harm {
			times = append(times, at)
		}
		slices.Sort(times)
		for at, due := time.Duration(0), 0.0; at < loadLength; at += 5 * time.Millisecond {
			for len(times) > 0 && at >= times[0] {
				f.mu.Lock()
				pattern.harm[times[0]](f)
				f.mu.Unlock()
				times = times[1:]
			}
			if pattern.handOver > 0 && at == pattern.handOver {
				all[0].Retire()
			}
			for due += pattern.perSecond(at) * 0.005; due >= 1; due-- {
				o.asked++
				ask(fmt.Sprint("q", o.asked), pattern.pieces(random), random.IntN(owners), pattern.repeats, time.Now())
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(loadLast + time.Second)
		for _, owner := range all {
			owner.Stop()
		}
		o.pieces, o.refused = f.made, f.refused
		timer.Close()
	})
	return o
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// burst is a calm load with factor times as much from second 3 to 8.
func burst(calm, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 3*time.Second && at < 8*time.Second {
			return calm * factor
		}
		return calm
	}
}

func few(*rand.Rand) int         { return 1 }
func some(random *rand.Rand) int { return 1 + random.IntN(4) }

// patterns are the loads of the heaviest days.
var patterns = map[string]load{
	"calm day":                         {perSecond: steady(60), pieces: some},
	"burst of a kind with many pieces": {perSecond: burst(45, 2.3), pieces: some},
	"slow replicas in the burst": {perSecond: burst(40, 2), pieces: some, harm: map[time.Duration]func(*farm){
		4 * time.Second: func(f *farm) { f.slow["i-0"], f.slow["i-1"] = 5, 5 },
		8 * time.Second: func(f *farm) { clear(f.slow) },
	}},
	"replicas lost in the burst": {perSecond: burst(40, 2), pieces: some, harm: map[time.Duration]func(*farm){
		4 * time.Second: func(f *farm) { f.lost["i-0"], f.lost["i-1"] = true, true },
		8 * time.Second: func(f *farm) { clear(f.lost) },
	}},
	"owner stopped in the burst":       {perSecond: burst(45, 2), pieces: some, handOver: 5 * time.Second},
	"clients repeating at three times": {perSecond: burst(45, 2.5), pieces: some, repeats: 3},
}

// TestSharedCallsServeTheHeavyDays plays each pattern with one owner of the stage
// service and with each instance batching alone, in one run.
func TestSharedCallsServeTheHeavyDays(t *testing.T) {
	for name, pattern := range patterns {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			shared, alone := play(t, pattern, 1), play(t, pattern, loadInstances)
			t.Logf("shared: %+v, share on time %.2f", shared, shared.share())
			t.Logf("alone:  %+v, share on time %.2f", alone, alone.share())
			is.Equal(shared.onTime+shared.late+shared.failed, shared.asked) // every request hears something
			is.True(shared.share() > alone.share())
			is.Equal(shared.refused, 0) // no call finds its replica full
		})
	}
}

// TestASaturatedServiceIsSharedFully holds a flood to the stated targets: 0.95 of
// the pieces that full calls allow, and twice what instances alone make. What can be
// on time comes first, so most of it must be.
func TestASaturatedServiceIsSharedFully(t *testing.T) {
	is := is.New(t)
	flood := load{perSecond: steady(400), pieces: few}
	shared, alone := play(t, flood, 1), play(t, flood, loadInstances)
	t.Logf("shared: %+v", shared)
	t.Logf("alone:  %+v", alone)
	full := float64(loadReplicas*loadBatch.Size) / loadBatch.Span(loadBatch.Size).Seconds() * loadLength.Seconds()
	is.True(float64(shared.pieces) >= 0.95*full)
	is.True(shared.pieces >= 2*alone.pieces)
	is.True(shared.onTime >= 2*alone.onTime)
}
