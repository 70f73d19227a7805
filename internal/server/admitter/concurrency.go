package admitter

import (
	"context"
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// gate lets a bounded number of requests in and holds the others in order.
type gate struct {
	mu      sync.Mutex
	queue   queue
	running int
	width   int
	share   capacity
}

// enter waits for a place. It returns ErrLate at the latest time at which the
// request can begin, or the context's cause.
func (g *gate) enter(ctx context.Context, timer server.Timer, width int, it *item, latest time.Time) error {
	now := timer.Now()
	if !g.request(width, it, latest, now) {
		return server.ErrLate
	}
	select {
	case err := <-it.turn:
		return err
	default:
	}
	stop := timer.After(latest.Sub(now), func(time.Time) { g.expire(it, server.ErrLate) })
	defer stop()
	select {
	case err := <-it.turn:
		return err
	case <-ctx.Done():
		g.expire(it, context.Cause(ctx))
		// A verdict that came first is taken, since its place is held.
		err := <-it.turn
		if err == nil {
			g.leave(timer.Now())
		}
		return context.Cause(ctx)
	}
}

// request queues an item and dispatches; false when it is too late already.
func (g *gate) request(width int, it *item, latest, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.width = max(width, 1)
	if now.After(latest) {
		return false
	}
	it.latest = latest
	g.queue.push(it)
	g.dispatch(now)
	return true
}

// expire gives up on a waiting item; one that had its turn is left alone.
func (g *gate) expire(it *item, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.remove(it) {
		it.turn <- cause
	}
}

// leave frees a place.
func (g *gate) leave(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.dispatch(now)
}

// dispatch fills free places; a head that can no longer finish is dropped
// before it costs anything.
func (g *gate) dispatch(now time.Time) {
	for g.running < g.width {
		it := g.queue.pop()
		if it == nil {
			return
		}
		if now.After(it.latest) {
			it.turn <- server.ErrLate
			continue
		}
		g.running++
		it.turn <- nil
	}
}

// wait estimates how long a new request of the workspace would wait: the work
// ahead of it over the places. Work of higher priority that may still come is
// left out, since waiting costs nothing and the burst may end.
func (g *gate) wait(room window, request *server.Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running < room.width && g.queue.len() == 0 {
		return 0
	}
	work := g.queue.ahead(request.Workspace, request.Contract.Share(), request.Priority)
	return time.Duration(float64(work) / max(room.busy, 1))
}
