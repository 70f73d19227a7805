package ticker

import (
	"sync"
	"time"
)

// Virtual implements server.Timer on a clock that only Advance moves.
type Virtual struct {
	mu       sync.Mutex
	now      time.Time
	schedule schedule
}

// NewVirtual returns a timer service whose clock is set to now.
func NewVirtual(now time.Time) *Virtual { return &Virtual{now: now} }

// Now implements server.Timer.
func (v *Virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Every implements server.Timer.
func (v *Virtual) Every(interval time.Duration, callback func(now time.Time)) (stop func()) {
	return v.add(&subscription{interval: interval, callback: callback}, interval)
}

// After implements server.Timer.
func (v *Virtual) After(delay time.Duration, callback func(now time.Time)) (stop func()) {
	return v.add(&subscription{callback: callback}, delay)
}

func (v *Virtual) add(sub *subscription, delay time.Duration) func() {
	v.mu.Lock()
	defer v.mu.Unlock()
	sub.dueTime = v.now.Add(delay)
	v.schedule.add(sub)
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.schedule.remove(sub)
	}
}

// Advance moves the clock and calls the functions that become due, in the order
// of their due times. It calls them on the goroutine of the caller.
func (v *Virtual) Advance(duration time.Duration) {
	v.mu.Lock()
	end := v.now.Add(duration)
	v.mu.Unlock()
	for v.step(end) {
	}
}

// step sets the clock to the time of the next function that is due by end, and
// calls it. If there is none, it sets the clock to end and returns false.
func (v *Virtual) step(end time.Time) bool {
	v.mu.Lock()
	if len(v.schedule.subscriptions) == 0 || v.schedule.subscriptions[0].dueTime.After(end) {
		v.now = end
		v.mu.Unlock()
		return false
	}
	if at := v.schedule.subscriptions[0].dueTime; at.After(v.now) {
		v.now = at
	}
	now := v.now
	sub, _, _ := v.schedule.popDue(now)
	v.mu.Unlock()
	sub.callback(now)
	return true
}
