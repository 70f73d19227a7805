package batcher

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// maxCostRatio bounds how much a decision may cost at twice the size, relative to the size: a cost that grows with the
// product of jobs and replicas is four times as high.
const maxCostRatio = 2.2

// busyReplicas are replicas whose calls never end.
type busyReplicas struct{}

func (busyReplicas) ComputePieces(ctx context.Context, _ *server.Replica, _ []server.Piece) ([]server.PieceResult, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (busyReplicas) ReleaseResults(context.Context, *server.Replica, []string) error { return nil }
func (busyReplicas) ResultAddress(handle string) string                              { return handle }

// withBacklog calls measure with an owner of a service with queued jobs and replicas in five data centres, and a function
// that submits one more job and reads the estimate for its response. idle of the replicas can take calls, but have no
// memory for results.
func withBacklog(t *testing.T, jobs, replicas, idle int, measure func(o *Owner, s *ownedService, submit func(i int))) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		timer := ticker.New()
		defer timer.Close()
		o := NewOwner(logr.Discard(), timer, busyReplicas{}, fakeBudget(true))
		defer o.Stop()
		batch := &server.Batch{Slots: 1, MaxPieces: 10, CallOverhead: 150 * time.Millisecond, TimePerPiece: 13 * time.Millisecond, ResultMemory: 60e6, ResultTTL: 4 * time.Second}
		list := make([]server.Replica, replicas)
		for i := range list {
			list[i] = server.Replica{ID: fmt.Sprintf("i-%03d", i), Service: "s", Address: fmt.Sprint("r", i), Datacentre: fmt.Sprint("dc", i%5)}
		}
		o.UpdateServices(map[string]server.Backend{"s": {Name: "s", Batch: batch}}, func(string) []server.Replica { return list })
		o.mu.Lock()
		s := o.services["s"]
		for i, r := range list {
			b := s.queue.replicas[r.ID]
			if b.usedMemory = batch.ResultMemory; i >= idle {
				b.activeCalls, b.freeAt = 1, time.Now().Add(time.Hour)
			}
		}
		o.mu.Unlock()
		submit := func(i int) {
			o.Submit(&Job{
				Service: "s", RequestID: fmt.Sprint("q", i), Stage: 1, Pieces: []int{0, 1}, Inputs: []string{"x"}, ResultBytes: 3e6, Rank: i % 5,
				Datacentre: fmt.Sprint("dc", i%5), SoftDeadline: time.Now().Add(time.Hour), HardDeadline: time.Now().Add(2 * time.Hour),
			}, func(Result) {})
			o.WaitTimes("s")
		}
		for i := range jobs {
			submit(i)
		}
		time.Sleep(time.Second)
		measure(o, s, submit)
	})
}

// decisionCost returns how many tasks, pieces and replicas the decisions about one more job inspect.
func decisionCost(t *testing.T, jobs, replicas, idle int) (cost uint64) {
	t.Helper()
	withBacklog(t, jobs, replicas, idle, func(o *Owner, s *ownedService, submit func(int)) {
		inspected := func() uint64 {
			o.mu.Lock()
			defer o.mu.Unlock()
			return s.queue.inspected
		}
		before := inspected()
		submit(jobs)
		cost = inspected() - before
	})
	return cost
}

// TestCostOfADecisionGrowsWithTheSizeNotItsSquare guards against an owner that cannot keep up with a burst in a large
// fleet: each job was compared with all replicas for all queued jobs, so the queue grew faster than replicas emptied it.
func TestCostOfADecisionGrowsWithTheSizeNotItsSquare(t *testing.T) {
	for _, c := range []struct{ jobs, replicas, idle int }{{0, 5, 0}, {25, 5, 0}, {400, 47, 0}, {400, 47, 5}, {1600, 47, 10}, {400, 300, 30}} {
		t.Run(fmt.Sprintf("%d jobs, %d replicas, %d idle", c.jobs, c.replicas, c.idle), func(t *testing.T) {
			is := is.New(t)
			cost, twice := decisionCost(t, c.jobs, c.replicas, c.idle), decisionCost(t, 2*c.jobs, 2*c.replicas, 2*c.idle)
			t.Logf("%d inspected for a job, %d at twice the size", cost, twice)
			is.True(float64(twice) <= maxCostRatio*float64(cost)) // the cost of a decision grows faster than the service
		})
	}
}

// decisionsInSecond returns the number of decisions in a second in which jobs arrive behind a backlog and are cancelled.
func decisionsInSecond(t *testing.T, jobs int) (count float64) {
	t.Helper()
	withBacklog(t, 400, 47, 5, func(o *Owner, _ *ownedService, submit func(i int)) {
		before := testutil.ToFloat64(o.decisionMetrics.decisions)
		for i := range jobs {
			submit(400 + i)
			o.CancelJobs("s", fmt.Sprint("q", 400+i))
			time.Sleep(time.Second / time.Duration(jobs))
		}
		count = testutil.ToFloat64(o.decisionMetrics.decisions) - before
	})
	return count
}

// TestDecisionsAreBoundedInABurst guards against an owner whose decisions use up its processor time in a burst: each
// job, cancellation and release caused a decision about the whole queue though no replica could take a call.
func TestDecisionsAreBoundedInABurst(t *testing.T) {
	const maxDecisions = float64(time.Second/dispatchInterval + time.Second/estimateInterval + 2)
	for _, jobs := range []int{1000, 4000} {
		t.Run(fmt.Sprint(jobs, " jobs"), func(t *testing.T) {
			is := is.New(t)
			count := decisionsInSecond(t, jobs)
			t.Log("decisions in a second:", count)
			is.True(count <= maxDecisions) // the number of decisions grows with that of the jobs
		})
	}
}
