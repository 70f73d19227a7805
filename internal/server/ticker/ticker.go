// Package ticker is a timer service that calls functions once or at intervals.
//
// One goroutine calls all functions of a Ticker in the order of their due
// times, so a function must not block: it posts an event to the controller or
// starts a worker. If one blocks all the same, another goroutine takes over from
// it after a second, so that the others are called.
package ticker

import (
	"reflect"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// maxCallDuration is the duration from which a call counts as blocked.
const maxCallDuration = time.Second

// Ticker implements server.Timer on the system clock. It is safe for concurrent
// use.
type Ticker struct {
	mu        sync.Mutex
	schedule  schedule
	notified  chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	// onCall is called before each function with the time since the call was due.
	onCall func(delay time.Duration)
	// onBlocked is called in a goroutine of its own with the name of a function whose call has
	// not returned after maxCallDuration.
	onBlocked    func(function string)
	blockedCount atomic.Uint64
	// runner is the number of the goroutine that calls the functions; mu guards it.
	runner uint64
}

// Option sets a property of a Ticker.
type Option func(*Ticker)

// WithDelayRecorder sets a function that is called before each call of a subscribed
// function with the time since that call was due. It must not block.
func WithDelayRecorder(record func(delay time.Duration)) Option {
	return func(t *Ticker) { t.onCall = record }
}

// WithBlockedHandler sets a function that is called, in a goroutine of its own, with the name of a
// subscribed function whose call has not returned for a second.
func WithBlockedHandler(handle func(function string)) Option {
	return func(t *Ticker) { t.onBlocked = handle }
}

// New returns a running timer service.
func New(options ...Option) *Ticker {
	t := &Ticker{
		notified: make(chan struct{}, 1), done: make(chan struct{}), onCall: func(time.Duration) {},
		onBlocked: func(string) {},
	}
	for _, option := range options {
		option(t)
	}
	go t.run(0)
	return t
}

// Now implements server.Timer.
func (t *Ticker) Now() time.Time { return time.Now() }

// Every implements server.Timer.
func (t *Ticker) Every(interval time.Duration, callback func(now time.Time)) (stop func()) {
	return t.add(&subscription{dueTime: time.Now().Add(interval), interval: interval, callback: callback})
}

// After implements server.Timer.
func (t *Ticker) After(delay time.Duration, callback func(now time.Time)) (stop func()) {
	return t.add(&subscription{dueTime: time.Now().Add(delay), callback: callback})
}

// Close cancels all subscriptions and ends the goroutine. It does not wait for a
// call in progress.
func (t *Ticker) Close() { t.closeOnce.Do(func() { close(t.done) }) }

func (t *Ticker) add(sub *subscription) func() {
	t.mu.Lock()
	isFirst := t.schedule.add(sub)
	t.mu.Unlock()
	if isFirst {
		t.notify()
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.schedule.remove(sub)
	}
}

// notify makes the run loop check the schedule again.
func (t *Ticker) notify() {
	select {
	case t.notified <- struct{}{}:
	default:
	}
}

// run calls the functions that are due until the ticker is closed or another runner takes over.
func (t *Ticker) run(runner uint64) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait, ok := t.callDue(runner)
		if !ok {
			return
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-t.notified:
		case <-t.done:
			return
		}
	}
}

// callDue calls all due functions and returns the time until the next one is due. ok is false once
// another runner has taken over.
func (t *Ticker) callDue(runner uint64) (wait time.Duration, ok bool) {
	for {
		now := time.Now()
		t.mu.Lock()
		if t.runner != runner {
			t.mu.Unlock()
			return 0, false
		}
		sub, dueTime, wait := t.schedule.popDue(now)
		t.mu.Unlock()
		if sub == nil {
			return wait, true
		}
		select {
		case <-t.done:
			return wait, true
		default:
			t.call(sub, now, now.Sub(dueTime), runner)
		}
	}
}

// call calls a function, unless its call before has not returned yet.
func (t *Ticker) call(sub *subscription, now time.Time, delay time.Duration, runner uint64) {
	if sub.isRunning.Swap(true) {
		return
	}
	defer sub.isRunning.Store(false)
	t.onCall(delay)
	watchdog := time.AfterFunc(maxCallDuration, func() { t.takeOver(sub, runner) })
	defer watchdog.Stop()
	sub.callback(now)
}

// takeOver reports a call that has not returned for maxCallDuration and starts another runner.
func (t *Ticker) takeOver(blocked *subscription, runner uint64) {
	t.mu.Lock()
	if t.runner != runner || !blocked.isRunning.Load() {
		t.mu.Unlock()
		return
	}
	t.runner++
	go t.run(t.runner)
	t.mu.Unlock()
	t.blockedCount.Add(1)
	name := "unknown"
	if function := runtime.FuncForPC(reflect.ValueOf(blocked.callback).Pointer()); function != nil {
		name = function.Name()
	}
	t.onBlocked(name)
}

// BlockedCalls returns the number of calls that did not return for a second.
func (t *Ticker) BlockedCalls() uint64 { return t.blockedCount.Load() }
