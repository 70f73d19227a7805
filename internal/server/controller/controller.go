// Package controller runs the control goroutine, which owns all control state and
// handles events one at a time.
//
// Each package that has control state keeps it private and uses it in events only.
// Events do no input or output; Controller.Go does that in a worker, which posts the
// result as an event.
package controller

import (
	"context"
	"sync"
	"sync/atomic"

	"oriolemill.example/oriolemill/internal/server"
)

// maxQueuedEvents is the number of events that may wait to be handled.
const maxQueuedEvents = 4096

// Event is one change of control state.
type Event interface {
	// Apply makes the change. It runs on the control goroutine.
	Apply()
}

// EventFunc is a function that serves as an Event.
type EventFunc func()

// Apply calls the function.
func (f EventFunc) Apply() { f() }

// Controller runs the control goroutine and publishes snapshots.
type Controller struct {
	timer         server.Timer
	events        chan Event
	snapshot      atomic.Pointer[server.Snapshot]
	droppedEvents atomic.Uint64
	handledEvents atomic.Uint64
	ctx           context.Context
	cancel        context.CancelFunc
	workers       sync.WaitGroup
	done          chan struct{}
}

// New returns a Controller that is not running yet. The options form the first
// snapshot.
func New(timer server.Timer, options ...server.SnapshotOption) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		timer:  timer,
		events: make(chan Event, maxQueuedEvents),
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	c.snapshot.Store(server.NewSnapshot(timer.Now(), nil, options...))
	return c
}

// Start begins to handle events.
func (c *Controller) Start() { go c.loop() }

// loop handles events until the controller stops.
func (c *Controller) loop() {
	defer close(c.done)
	for {
		select {
		case event := <-c.events:
			event.Apply()
			c.handledEvents.Add(1)
		case <-c.ctx.Done():
			return
		}
	}
}

// Stop ends the control goroutine and waits for the workers. Events that still wait are
// dropped.
func (c *Controller) Stop() {
	c.cancel()
	<-c.done
	c.workers.Wait()
}

// Post queues an event that must not be lost. It blocks while the queue is full, and
// may drop the event only after Stop. It must not be called from within an event, since
// the control goroutine would then wait for itself when the queue is full.
func (c *Controller) Post(event Event) {
	select {
	case c.events <- event:
	case <-c.ctx.Done():
	}
}

// TryPost queues an event that may be lost and reports whether it was queued. It never
// blocks, so that goroutines that serve requests can call it.
func (c *Controller) TryPost(event Event) bool {
	select {
	case c.events <- event:
		return true
	default:
		c.droppedEvents.Add(1)
		return false
	}
}

// Go runs work in a goroutine of its own and posts the event that it returns, if any.
// The context of work ends with Stop.
func (c *Controller) Go(work func(ctx context.Context) Event) {
	c.workers.Add(1)
	go func() {
		defer c.workers.Done()
		if event := work(c.ctx); event != nil {
			c.Post(event)
		}
	}()
}

// Publish replaces the parts of the snapshot that the options set. It must be called
// on the control goroutine.
func (c *Controller) Publish(options ...server.SnapshotOption) {
	c.snapshot.Store(server.NewSnapshot(c.timer.Now(), c.snapshot.Load(), options...))
}

// Snapshot returns the current snapshot. It is safe for concurrent use.
func (c *Controller) Snapshot() *server.Snapshot { return c.snapshot.Load() }

// Timer returns the timer service.
func (c *Controller) Timer() server.Timer { return c.timer }

// DroppedEvents returns the number of events that Offer dropped.
func (c *Controller) DroppedEvents() uint64 { return c.droppedEvents.Load() }

// HandledEvents returns the number of events that were handled.
func (c *Controller) HandledEvents() uint64 { return c.handledEvents.Load() }
