package admitter

import (
	"context"
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// concurrencyLimit bounds the number of requests that run and queues the others. It
// is safe for concurrent use.
type concurrencyLimit struct {
	mu         sync.Mutex
	queue      queue
	running    int
	maxRunning int
	capacity   capacityEstimate
}

// acquire waits until the request may run; release must be called if it returns nil.
// It returns ErrDeadline if the request cannot start by latestStart, or the context's cause.
// maxRunning replaces the bound of the limit, since capacity changes.
func (g *concurrencyLimit) acquire(ctx context.Context, timer server.Timer, maxRunning int, it *item, latestStart time.Time) error {
	now := timer.Now()
	if !g.enqueue(maxRunning, it, latestStart, now) {
		return server.ErrDeadline
	}
	select {
	case err := <-it.result:
		return err
	default:
	}
	stop := timer.After(latestStart.Sub(now), func(time.Time) { g.cancelWait(it, server.ErrDeadline) })
	defer stop()
	select {
	case err := <-it.result:
		return err
	case <-ctx.Done():
		g.cancelWait(it, context.Cause(ctx))
		// If the item was admitted before the wait was cancelled, its slot must be
		// released.
		err := <-it.result
		if err == nil {
			g.release(timer.Now())
		}
		return context.Cause(ctx)
	}
}

// enqueue queues an item and starts those that may run. It returns false if
// latestStart has passed.
func (g *concurrencyLimit) enqueue(maxRunning int, it *item, latestStart, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxRunning = max(maxRunning, 1)
	if now.After(latestStart) {
		return false
	}
	it.latestStart = latestStart
	g.queue.push(it)
	g.dispatch(now)
	return true
}

// cancelWait removes a waiting item from the queue. It has no effect on one that was
// admitted or dropped.
func (g *concurrencyLimit) cancelWait(it *item, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.remove(it) {
		it.result <- cause
	}
}

// release ends a request and starts the next ones.
func (g *concurrencyLimit) release(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.dispatch(now)
}

// dispatch starts waiting items while the bound allows. Items that can no longer
// finish in time are dropped before they use a slot. mu must be held.
func (g *concurrencyLimit) dispatch(now time.Time) {
	for g.running < g.maxRunning {
		it := g.queue.pop()
		if it == nil {
			return
		}
		if now.After(it.latestStart) {
			it.result <- server.ErrDeadline
			continue
		}
		g.running++
		it.result <- nil
	}
}

// waitEstimate estimates how long a new request of the workspace would wait: the
// backlog ahead of it divided by the requests that keep the bottleneck busy. Requests
// of higher priority that may still arrive are not considered, since waiting uses no
// capacity and the burst may end.
func (g *concurrencyLimit) waitEstimate(window admissionWindow, request *server.Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running < window.maxRequests && g.queue.len() == 0 {
		return 0
	}
	backlog := g.queue.backlogAhead(request.Workspace, request.Contract.Share(), request.Priority)
	return time.Duration(float64(backlog) / max(window.saturatingRequests, 1))
}
