package batcher

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// fakeReplicas simulates stage replicas that take 150 ms for a call.
type fakeReplicas struct {
	mu       sync.Mutex
	calls    int
	released []string
	stored   map[string]bool
	// respond returns the results or the error of a call; if both are nil, the call
	// succeeds.
	respond func(call int, replica string, pieces []server.Piece) ([]server.PieceResult, error)
	// unansweredCall is the number of the call that gets no response; 0 means none.
	unansweredCall int
}

func (r *fakeReplicas) ComputePieces(ctx context.Context, replica *server.Replica, pieces []server.Piece) ([]server.PieceResult, error) {
	r.mu.Lock()
	r.calls++
	call := r.calls
	r.mu.Unlock()
	if call == r.unansweredCall {
		<-ctx.Done()
	}
	select {
	case <-time.After(150 * time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if r.respond != nil {
		if results, err := r.respond(call, replica.ID, pieces); results != nil || err != nil {
			return results, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	results := make([]server.PieceResult, len(pieces))
	for i, p := range pieces {
		results[i].Handle = fmt.Sprintf("%s/%d-%s-%d", replica.Address, call, p.RequestID, p.Piece)
		r.stored[results[i].Handle] = true
	}
	return results, nil
}

func (r *fakeReplicas) ReleaseResults(_ context.Context, _ *server.Replica, handles []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, handle := range handles {
		delete(r.stored, handle)
	}
	r.released = append(r.released, handles...)
	return nil
}

func (r *fakeReplicas) ResultAddress(handle string) string {
	address, _, _ := strings.Cut(handle, "/")
	return address
}

// fakeBudget is a retry budget that grants everything or nothing.
type fakeBudget bool

func (b fakeBudget) RecordRequests(string, int)      {}
func (b fakeBudget) AcquireRetries(string, int) bool { return bool(b) }

// newTestOwner returns an Owner of a service "s" with n replicas.
func newTestOwner(t *testing.T, r *fakeReplicas, b fakeBudget, n int) *Owner {
	t.Helper()
	timer := ticker.New()
	o := NewOwner(logr.Discard(), timer, r, b)
	t.Cleanup(func() {
		o.Stop()
		timer.Close()
	})
	r.stored = make(map[string]bool)
	setReplicas(o, n)
	return o
}

func setReplicas(o *Owner, n int) {
	var list []server.Replica
	for i := range n {
		list = append(list, server.Replica{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: fmt.Sprintf("r%d", i)})
	}
	batch := &server.Batch{Slots: 1, MaxPieces: 4, CallOverhead: 150 * time.Millisecond, ResultMemory: 1 << 20, ResultTTL: 4 * time.Second}
	o.UpdateServices(map[string]server.Backend{"s": {Name: "s", Batch: batch}}, func(string) []server.Replica { return list })
}

// testJob returns a job with a soft deadline in 1 s and a hard one in 5 s.
func testJob(request string, pieces int) *Job {
	job := &Job{Service: "s", RequestID: request, ResultBytes: 100, SoftDeadline: time.Now().Add(time.Second), HardDeadline: time.Now().Add(5 * time.Second)}
	for i := range pieces {
		job.Pieces = append(job.Pieces, i)
	}
	return job
}

func submitAndWait(o *Owner, job *Job) Result {
	done := make(chan Result, 1)
	o.Submit(job, func(r Result) { done <- r })
	return <-done
}

func TestOwnerReturnsResultsInPieceOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &fakeReplicas{}
		o := newTestOwner(t, r, true, 3)
		result := submitAndWait(o, testJob("a", 10))
		is.Equal(result.Failure, server.PieceFailure(""))
		for i, handle := range result.Handles {
			is.True(strings.HasSuffix(handle, fmt.Sprintf("-a-%d", i)))
		}
		o.Release("s", result.Handles)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(r.stored), 0)
		is.True(o.IsIdle())
	})
}

func TestOwnerRetriesFailedCallAtAnotherReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var first string
		r := &fakeReplicas{respond: func(call int, replica string, _ []server.Piece) ([]server.PieceResult, error) {
			if call == 1 {
				first = replica
				return nil, server.ErrUnavailable
			}
			return nil, nil
		}}
		o := newTestOwner(t, r, true, 2)
		result := submitAndWait(o, testJob("a", 2))
		is.Equal(result.Failure, server.PieceFailure(""))
		is.True(r.ResultAddress(result.Handles[0]) != "r"+strings.TrimPrefix(first, "i-"))
		is.Equal(o.Counts().RetriedPieces, uint64(2))
	})
}

func TestOwnerDoesNotRetryWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &fakeReplicas{respond: func(int, string, []server.Piece) ([]server.PieceResult, error) { return nil, server.ErrUnavailable }}
		o := newTestOwner(t, r, false, 2)
		result := submitAndWait(o, testJob("a", 2))
		is.Equal(result.Failure, server.PieceFailureError)
		is.Equal(r.calls, 1)
	})
}

func TestOwnerCancelsCallWithoutResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &fakeReplicas{unansweredCall: 1}
		o := newTestOwner(t, r, true, 2)
		startedAt := time.Now()
		result := submitAndWait(o, testJob("a", 1))
		is.Equal(result.Failure, server.PieceFailure(""))
		is.True(time.Since(startedAt) < 800*time.Millisecond)
	})
}

func TestOwnerFailsJobWithLostInputAndReleasesItsResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &fakeReplicas{respond: func(_ int, _ string, pieces []server.Piece) ([]server.PieceResult, error) {
			if i := slices.IndexFunc(pieces, func(p server.Piece) bool { return p.Piece == 5 }); i >= 0 {
				results := make([]server.PieceResult, len(pieces))
				results[i].Failure = server.PieceFailureInputLost
				for j := range results {
					if j != i {
						results[j].Handle = fmt.Sprintf("r0/late-%d", j)
					}
				}
				return results, nil
			}
			return nil, nil
		}}
		o := newTestOwner(t, r, true, 1)
		result := submitAndWait(o, testJob("a", 8))
		is.Equal(result.Failure, server.PieceFailureInputLost)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(r.stored), 0)
		is.Equal(len(r.released), 7)
	})
}

// TestOwnerBacksOffFromReplicaWithoutMemory has a replica refuse all pieces for two
// seconds, as if its memory held results of a previous owner. Refusals for lack of memory
// must neither use up the attempts of the pieces nor cause many calls.
func TestOwnerBacksOffFromReplicaWithoutMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		startedAt := time.Now()
		r := &fakeReplicas{respond: func(_ int, _ string, pieces []server.Piece) ([]server.PieceResult, error) {
			if time.Since(startedAt) > 2*time.Second {
				return nil, nil
			}
			results := make([]server.PieceResult, len(pieces))
			for i := range results {
				results[i].Failure = server.PieceFailureMemory
			}
			return results, nil
		}}
		o := newTestOwner(t, r, true, 1)
		job := testJob("a", 4)
		job.SoftDeadline = time.Now().Add(4 * time.Second)
		result := submitAndWait(o, job)
		is.Equal(result.Failure, server.PieceFailure("")) // refusals do not count as attempts
		is.True(r.calls <= 8)
	})
}

func TestCancelLeavesNoTasksOrResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &fakeReplicas{}
		o := newTestOwner(t, r, true, 1)
		o.Submit(testJob("a", 8), func(Result) {})
		time.Sleep(10 * time.Millisecond)
		o.CancelJobs("s", "a")
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(r.calls, 1) // the second call never started
		is.Equal(len(r.stored), 0)
		is.Equal(len(o.services["s"].tasks), 0)
		is.Equal(o.services["s"].queue.replicas["i-0"].usedMemory, int64(0))
	})
}

// TestDrainingOwnerReturnsUnstartedJobs drains an owner with one call in progress: the job in
// the call is completed, the queued job and later ones fail with PieceFailureMoved.
func TestDrainingOwnerReturnsUnstartedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &fakeReplicas{}
		o := newTestOwner(t, r, true, 1)
		results := make(chan string, 3)
		submit := func(request string, pieces int) {
			o.Submit(testJob(request, pieces), func(r Result) { results <- request + string(r.Failure) })
		}
		submit("a", 6) // four pieces are in the call
		submit("b", 2)
		o.BeginDrain()
		submit("c", 1)
		is.Equal(<-results, "bmoved")
		is.Equal(<-results, "cmoved")
		is.Equal(<-results, "a")
		is.Equal(r.calls, 2)
	})
}

// TestDrainingOwnerTransfersReplicaState has a draining owner send the next one the state of its
// replicas. Without it the next owner would send calls to busy and full replicas. Results
// released before the state arrives must not be counted.
func TestDrainingOwnerTransfersReplicaState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &fakeReplicas{}
		o := newTestOwner(t, r, true, 2)
		next := newTestOwner(t, r, true, 2)
		o.sendState = next.HandleServiceState
		keptResult := submitAndWait(o, testJob("a", 3))
		earlyResult := submitAndWait(o, testJob("d", 2))
		next.Release("s", earlyResult.Handles) // before the next owner receives the state
		o.Submit(testJob("b", 4), func(Result) {})
		o.BeginDrain()
		synctest.Wait()
		usedMemory := func() (bytes int64) {
			next.mu.Lock()
			defer next.mu.Unlock()
			for _, b := range next.services["s"].queue.replicas {
				bytes += b.usedMemory
			}
			return bytes
		}
		is.Equal(usedMemory(), int64(300))
		startedAt := time.Now()
		submitAndWait(next, testJob("c", 8)) // one replica is still busy with a call of the previous owner
		is.Equal(time.Since(startedAt), 300*time.Millisecond)
		is.Equal(usedMemory(), int64(300+400+800))
		next.Release("s", keptResult.Handles)
		is.Equal(usedMemory(), int64(300+400+800)) // until the replica has released them
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(usedMemory(), int64(400+800))
	})
}

func TestJobWithoutReplicasFailsByHardDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newTestOwner(t, &fakeReplicas{}, true, 0)
		job := testJob("a", 1)
		result := submitAndWait(o, job)
		is.Equal(result.Failure, server.PieceFailureDeadline)
		is.True(time.Until(job.HardDeadline) > -2*localityWait)
	})
}

// TestWithheldCallIsMadeAtAnotherReplica guards against requests that fail since the replica
// of a stage call left before the call was sent: that takes no retry from the budget.
func TestWithheldCallIsMadeAtAnotherReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		withheldFrom := ""
		r := &fakeReplicas{respond: func(call int, replica string, _ []server.Piece) ([]server.PieceResult, error) {
			if call == 1 {
				withheldFrom = replica
				return nil, server.ErrWithheld
			}
			return nil, nil
		}}
		o := newTestOwner(t, r, false, 2)
		result := submitAndWait(o, testJob("a", 4))
		is.Equal(result.Failure, server.PieceFailure(""))
		is.True(withheldFrom != "")
		for _, handle := range result.Handles {
			is.True(!strings.HasPrefix(handle, strings.Replace(withheldFrom, "i-", "r", 1)+"/"))
		}
		is.Equal(o.Counts().Failures, uint64(0))
	})
}

// TestCancelledJobIsNotSent guards against work for clients that have left: a job was sent
// although it was cancelled between the selection of its pieces and the call.
func TestCancelledJobIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &fakeReplicas{}
		o := newTestOwner(t, r, true, 1)
		done := make(chan Result, 1)
		o.mu.Lock() // the goroutine of the call starts only after the cancellation
		s := o.getOrCreateService("s")
		job := testJob("a", 4)
		task := &task{Job: job, handles: make([]string, 4), remaining: 4, onFinish: func(r Result) { done <- r }, enqueuedAt: time.Now()}
		s.queue.addTask(task)
		o.dispatch(s)
		o.finishTask(s, task, server.PieceFailureDeadline)
		o.mu.Unlock()
		is.Equal((<-done).Failure, server.PieceFailureDeadline)
		time.Sleep(time.Second)
		synctest.Wait()
		r.mu.Lock()
		is.Equal(r.calls, 0)
		r.mu.Unlock()
		is.True(o.IsIdle())
		is.Equal(s.queue.replicas["i-0"].usedMemory, int64(0))
		is.Equal(submitAndWait(o, testJob("b", 4)).Failure, server.PieceFailure(""))
	})
}
