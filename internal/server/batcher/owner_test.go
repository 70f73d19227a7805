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

// replicas are stage replicas in memory.
type replicas struct {
	mu    sync.Mutex
	calls int
	freed []string
	live  map[string]bool
	// answer replaces the usual answer to a call.
	answer func(call int, replica string, pieces []server.Piece) ([]server.Made, error)
	// silent is the call that is never answered.
	silent int
}

func (r *replicas) Make(ctx context.Context, replica *server.Replica, pieces []server.Piece) ([]server.Made, error) {
	r.mu.Lock()
	r.calls++
	call := r.calls
	r.mu.Unlock()
	if call == r.silent {
		<-ctx.Done()
	}
	select {
	case <-time.After(150 * time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if r.answer != nil {
		if made, err := r.answer(call, replica.ID, pieces); made != nil || err != nil {
			return made, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	made := make([]server.Made, len(pieces))
	for i, p := range pieces {
		made[i].Handle = fmt.Sprintf("%s/%d-%s-%d", replica.Address, call, p.Request, p.Piece)
		r.live[made[i].Handle] = true
	}
	return made, nil
}

func (r *replicas) Free(_ context.Context, _ *server.Replica, handles []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, handle := range handles {
		delete(r.live, handle)
	}
	r.freed = append(r.freed, handles...)
	return nil
}

func (r *replicas) Keeper(handle string) string {
	address, _, _ := strings.Cut(handle, "/")
	return address
}

// budget grants everything, or nothing.
type budget bool

func (b budget) Requested(string, int)  {}
func (b budget) Spend(string, int) bool { return bool(b) }

func newTestOwner(t *testing.T, r *replicas, b budget, n int) *Owner {
	t.Helper()
	timer := ticker.New()
	o := NewOwner(logr.Discard(), timer, r, b)
	t.Cleanup(func() {
		o.Stop()
		timer.Close()
	})
	r.live = make(map[string]bool)
	follow(o, n)
	return o
}

func follow(o *Owner, n int) {
	var list []server.Replica
	for i := range n {
		list = append(list, server.Replica{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: fmt.Sprintf("r%d", i)})
	}
	batch := &server.Batch{Slots: 1, Size: 4, Call: 150 * time.Millisecond, Room: 1 << 20, Keep: 4 * time.Second}
	o.Follow(map[string]server.Backend{"s": {Name: "s", Batch: batch}}, func(string) []server.Replica { return list })
}

func testJob(request string, pieces int) *Job {
	job := &Job{Service: "s", Request: request, Bytes: 100, Goal: time.Now().Add(time.Second), Last: time.Now().Add(5 * time.Second)}
	for i := range pieces {
		job.Pieces = append(job.Pieces, i)
	}
	return job
}

func await(o *Owner, job *Job) Result {
	done := make(chan Result, 1)
	o.Submit(job, func(r Result) { done <- r })
	return <-done
}

func TestResultsAreInTheOrderOfPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &replicas{}
		o := newTestOwner(t, r, true, 3)
		result := await(o, testJob("a", 10))
		is.Equal(result.Failing, server.Failing(""))
		for i, handle := range result.Handles {
			is.True(strings.HasSuffix(handle, fmt.Sprintf("-a-%d", i)))
		}
		o.Release("s", result.Handles)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(r.live), 0)
		is.True(o.Idle())
	})
}

func TestALostCallIsMadeAgainElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var first string
		r := &replicas{answer: func(call int, replica string, _ []server.Piece) ([]server.Made, error) {
			if call == 1 {
				first = replica
				return nil, server.ErrUnavailable
			}
			return nil, nil
		}}
		o := newTestOwner(t, r, true, 2)
		result := await(o, testJob("a", 2))
		is.Equal(result.Failing, server.Failing(""))
		is.True(r.Keeper(result.Handles[0]) != "r"+strings.TrimPrefix(first, "i-"))
		is.Equal(o.Counts().Repeated, uint64(2))
	})
}

func TestWithoutBudgetNothingIsMadeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &replicas{answer: func(int, string, []server.Piece) ([]server.Made, error) { return nil, server.ErrUnavailable }}
		o := newTestOwner(t, r, false, 2)
		result := await(o, testJob("a", 2))
		is.Equal(result.Failing, server.FailingError)
		is.Equal(r.calls, 1)
	})
}

func TestASilentReplicaIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &replicas{silent: 1}
		o := newTestOwner(t, r, true, 2)
		began := time.Now()
		result := await(o, testJob("a", 1))
		is.Equal(result.Failing, server.Failing(""))
		is.True(time.Since(began) < 800*time.Millisecond)
	})
}

func TestALostInputEndsTheJobAndFreesTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &replicas{answer: func(_ int, _ string, pieces []server.Piece) ([]server.Made, error) {
			if i := slices.IndexFunc(pieces, func(p server.Piece) bool { return p.Piece == 5 }); i >= 0 {
				made := make([]server.Made, len(pieces))
				made[i].Failing = server.FailingGone
				for j := range made {
					if j != i {
						made[j].Handle = fmt.Sprintf("r0/late-%d", j)
					}
				}
				return made, nil
			}
			return nil, nil
		}}
		o := newTestOwner(t, r, true, 1)
		result := await(o, testJob("a", 8))
		is.Equal(result.Failing, server.FailingGone)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(r.live), 0)
		is.Equal(len(r.freed), 7)
	})
}

// TestAFullReplicaIsLeftAloneForAWhile has a replica hold results of an owner
// before this one for two seconds.
func TestAFullReplicaIsLeftAloneForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		r := &replicas{answer: func(_ int, _ string, pieces []server.Piece) ([]server.Made, error) {
			if time.Since(began) > 2*time.Second {
				return nil, nil
			}
			made := make([]server.Made, len(pieces))
			for i := range made {
				made[i].Failing = server.FailingRoom
			}
			return made, nil
		}}
		o := newTestOwner(t, r, true, 1)
		job := testJob("a", 4)
		job.Goal = time.Now().Add(4 * time.Second)
		result := await(o, job)
		is.Equal(result.Failing, server.Failing("")) // it waited, and was not given up after a few calls
		is.True(r.calls <= 8)
	})
}

func TestAWithdrawnJobLeavesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &replicas{}
		o := newTestOwner(t, r, true, 1)
		o.Submit(testJob("a", 8), func(Result) {})
		time.Sleep(10 * time.Millisecond)
		o.Withdraw("s", "a")
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(r.calls, 1) // the second call was not made
		is.Equal(len(r.live), 0)
		is.Equal(len(o.pools["s"].tasks), 0)
		is.Equal(o.pools["s"].queue.workers["i-0"].used, int64(0))
	})
}

// TestAStopGivesBackWhatHasNotBegun has an owner stop with one call in progress.
func TestAStopGivesBackWhatHasNotBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &replicas{}
		o := newTestOwner(t, r, true, 1)
		results := make(chan string, 3)
		submit := func(request string, pieces int) {
			o.Submit(testJob(request, pieces), func(r Result) { results <- request + string(r.Failing) })
		}
		submit("a", 6) // four pieces are in the call
		submit("b", 2)
		o.Retire()
		submit("c", 1)
		is.Equal(<-results, "bmoved")
		is.Equal(<-results, "cmoved")
		is.Equal(<-results, "a")
		is.Equal(r.calls, 2)
	})
}

// TestTheNextOwnerKnowsTheRoom has a stopping owner tell the next what replicas hold.
func TestTheNextOwnerKnowsTheRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &replicas{}
		o := newTestOwner(t, r, true, 2)
		next := newTestOwner(t, r, true, 2)
		o.next = next.TakeOver
		made := await(o, testJob("a", 3))
		early := await(o, testJob("d", 2))
		next.Release("s", early.Handles) // before the next owner hears of them
		o.Submit(testJob("b", 4), func(Result) {})
		o.Retire()
		synctest.Wait()
		used := func() (bytes int64) {
			next.mu.Lock()
			defer next.mu.Unlock()
			for _, b := range next.pools["s"].queue.workers {
				bytes += b.used
			}
			return bytes
		}
		is.Equal(used(), int64(300))
		began := time.Now()
		await(next, testJob("c", 8)) // one replica is busy for the owner before
		is.Equal(time.Since(began), 300*time.Millisecond)
		is.Equal(used(), int64(300+400+800))
		next.Release("s", made.Handles)
		is.Equal(used(), int64(300+400+800)) // until the replica has freed them
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(used(), int64(400+800))
	})
}

func TestNoReplicaEndsTheJobInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newTestOwner(t, &replicas{}, true, 0)
		job := testJob("a", 1)
		result := await(o, job)
		is.Equal(result.Failing, server.FailingLate)
		is.True(time.Until(job.Last) > -2*patience)
	})
}
