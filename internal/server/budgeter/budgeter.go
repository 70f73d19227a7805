// Package budgeter bounds what is sent more than once. All instances share one
// budget for each service; each spends its part of it, by the requests that it
// saw itself, so that no message is needed.
package budgeter

import (
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// steps is the number of parts that a window is counted in.
	steps = 20
	// part is kept below the whole ratio, for what others count otherwise.
	part = 0.85
)

// Budgeter counts requests and repeats in sliding windows.
type Budgeter struct {
	timer    server.Timer
	ratio    float64
	slack    float64
	step     time.Duration
	members  func() int
	mu       sync.Mutex
	began    time.Time
	services map[string]*window
}

// window holds counts by step of time; at is the step of the newest.
type window struct {
	at       int64
	requests [steps]float64
	repeats  [steps]float64
}

// New returns a Budgeter. In each span repeats stay below ratio x requests +
// slack over all instances; members returns how many there may be.
func New(timer server.Timer, ratio, slack float64, span time.Duration, members func() int) *Budgeter {
	return &Budgeter{
		timer: timer, ratio: ratio, slack: slack, step: span / steps, members: members,
		began: timer.Now(), services: make(map[string]*window),
	}
}

// Requested counts n requests, or pieces, for a service.
func (b *Budgeter) Requested(service string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.at%steps] += float64(n)
}

// Spend takes n repeats from the budget, or none and returns false.
func (b *Budgeter) Spend(service string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	var requests, repeats float64
	for i := range steps {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	limit := part * (b.ratio*requests + b.slack/float64(max(b.members(), 1)))
	if repeats+float64(n) > limit {
		return false
	}
	w.repeats[w.at%steps] += float64(n)
	return true
}

// window returns a service's window at the present step; mu is held.
func (b *Budgeter) window(service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	now := int64(b.timer.Now().Sub(b.began) / b.step)
	for w.at < now {
		w.at = max(w.at+1, now-steps)
		w.requests[w.at%steps], w.repeats[w.at%steps] = 0, 0
	}
	return w
}
