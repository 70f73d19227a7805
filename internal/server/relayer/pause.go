package relayer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// pausedReason is the reason of refusals while no replica takes requests in time.
	pausedReason = "all replicas have requested a pause"
	// pauseSpread is the part of a pause by which clients that are refused in it are told to return
	// later: otherwise all of them would return at its end.
	pauseSpread = 0.25
	// maxPauseStep bounds the time after which a waiting request looks for a replica again: others may
	// have been registered, or have failed.
	maxPauseStep = 100 * time.Millisecond
)

// pauseQueue counts the requests of each service that wait for the end of a pause. It is safe for concurrent
// use.
type pauseQueue struct {
	mu      sync.Mutex
	waiting map[string]int
}

// enter counts a request of a service unless limit ones wait already. leave must be called if it returns
// true.
func (q *pauseQueue) enter(service string, limit int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[service] >= limit {
		return false
	}
	q.waiting[service]++
	return true
}

func (q *pauseQueue) leave(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting[service]--; q.waiting[service] == 0 {
		delete(q.waiting, service)
	}
}

// pausedFor returns for how long a replica wants no requests.
func (f *relayedRequest) pausedFor(replica *server.Replica) time.Duration {
	if f.Pauses == nil {
		return 0
	}
	return f.Pauses.PausedFor(replica)
}

// unavailable returns the IDs of the candidates that may not get the request now: it was sent to them before,
// or they have requested a pause.
func (f *relayedRequest) unavailable(candidates []server.Replica) []string {
	excluded := f.attempted
	for n := range candidates {
		if f.pausedFor(&candidates[n]) > 0 {
			excluded = append(slices.Clip(excluded), candidates[n].ID)
		}
	}
	return excluded
}

// pauseWait returns the time until the first of the candidates, except those with the given IDs, takes
// requests; zero if one takes them now or there is none.
func (f *relayedRequest) pauseWait(excluded []string) time.Duration {
	var shortest time.Duration
	candidates := f.candidates()
	for n := range candidates {
		if slices.Contains(excluded, candidates[n].ID) {
			continue
		}
		wait := f.pausedFor(&candidates[n])
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// endsInTime reports whether the request can be answered in time if it is sent after a wait.
func (f *relayedRequest) endsInTime(wait time.Duration) bool {
	due := f.firstByteDeadline()
	if patience := f.Timer.Now().Add(firstEventTimeout(f.route) - firstEventMargin); f.responseStarted && patience.Before(due) {
		due = patience
	}
	return f.Timer.Now().Add(wait + max(f.Chooser.TypicalHeaderTime(f.service), minRetryTime)).Before(due)
}

// awaitPause waits until a replica that the request was not sent to takes requests again, for maxPauseStep at
// most, and reports whether to look for a replica then.
func (f *relayedRequest) awaitPause() bool {
	wait := f.pauseWait(f.attempted)
	return wait > 0 && f.mayAwaitPause(wait) && server.Sleep(f.ctx, f.Timer, min(wait, maxPauseStep)) == nil
}

// mayAwaitPause reports whether the request may wait for the end of a pause. It may not if it cannot be
// answered in time then, or if as many requests wait already as the replicas can run at once, of which
// each instance has its share.
func (f *relayedRequest) mayAwaitPause(wait time.Duration) bool {
	if !f.endsInTime(wait) {
		return false
	}
	if f.isAwaitingPause {
		return true
	}
	slots := 0
	candidates := f.candidates()
	for n := range candidates {
		slots += candidates[n].Slots
	}
	f.isAwaitingPause = f.pauseQueue.enter(f.service, max(slots/max(f.InstanceCount(), 1), 1))
	return f.isAwaitingPause
}

// endAwaitingPause ends the wait for the end of a pause, if there was one.
func (f *relayedRequest) endAwaitingPause() {
	if f.isAwaitingPause {
		f.isAwaitingPause = false
		f.pauseQueue.leave(f.service)
	}
}

// spreadPause returns the time after which a client should return that is refused during a pause, of which
// wait is left.
func spreadPause(wait time.Duration) time.Duration {
	return wait + time.Duration(pauseSpread*rand.Float64()*float64(wait))
}

// isCanceled reports whether the client has disconnected.
func (f *relayedRequest) isCanceled() bool { return errors.Is(context.Cause(f.ctx), context.Canceled) }
