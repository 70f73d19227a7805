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
	// windowSteps is the number of parts that a window is counted in.
	windowSteps = 20
	// safetyFactor is kept below the whole ratio, for what others count otherwise.
	safetyFactor = 0.85
)

// Budgeter counts requests and repeats in sliding windows.
type Budgeter struct {
	timer        server.Timer
	ratio        float64
	slack        float64
	stepDuration time.Duration
	memberCount  func() int
	mu           sync.Mutex
	startedAt    time.Time
	windows      map[string]*window
}

// window holds counts by step of time; at is the step of the newest.
type window struct {
	newestStep int64
	requests   [windowSteps]float64
	repeats    [windowSteps]float64
}

// New returns a Budgeter. In each span repeats stay below ratio x requests +
// slack over all instances; members returns how many there may be.
func New(timer server.Timer, ratio, slack float64, span time.Duration, members func() int) *Budgeter {
	return &Budgeter{
		timer: timer, ratio: ratio, slack: slack, stepDuration: span / windowSteps, memberCount: members,
		startedAt: timer.Now(), windows: make(map[string]*window),
	}
}

// Requested counts n requests, or pieces, for a service.
func (b *Budgeter) Requested(service string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	w.requests[w.newestStep%windowSteps] += float64(n)
}

// Spend takes n repeats from the budget, or none and returns false.
func (b *Budgeter) Spend(service string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	var requests, repeats float64
	for i := range windowSteps {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	limit := safetyFactor * (b.ratio*requests + b.slack/float64(max(b.memberCount(), 1)))
	if repeats+float64(n) > limit {
		return false
	}
	w.repeats[w.newestStep%windowSteps] += float64(n)
	return true
}

// currentWindow returns a service's window at the present step; mu is held.
func (b *Budgeter) currentWindow(service string) *window {
	w := b.windows[service]
	if w == nil {
		w = &window{}
		b.windows[service] = w
	}
	now := int64(b.timer.Now().Sub(b.startedAt) / b.stepDuration)
	for w.newestStep < now {
		w.newestStep = max(w.newestStep+1, now-windowSteps)
		w.requests[w.newestStep%windowSteps], w.repeats[w.newestStep%windowSteps] = 0, 0
	}
	return w
}
