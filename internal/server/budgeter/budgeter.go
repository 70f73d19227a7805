// Package budgeter limits retries. All instances share one retry budget for each service.
// An instance limits its own retries by the requests that it has received itself and an
// equal part of the slack, so the instances need not exchange messages.
package budgeter

import (
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// windowSteps is the number of steps into which a sliding window is divided.
	windowSteps = 20
	// safetyFactor is the part of the budget that is used. The rest allows for differences
	// between the counts of the instances and those by which the budget is checked.
	safetyFactor = 0.85
)

// Budgeter counts requests and retries in sliding windows, and implements
// server.RetryBudget. It is safe for concurrent use.
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

// window holds the counts of the last windowSteps steps for one service. newestStep counts
// the steps since the start of the Budgeter.
type window struct {
	newestStep int64
	requests   [windowSteps]float64
	retries    [windowSteps]float64
}

// New returns a Budgeter. In each window of windowDuration the retries of all instances stay
// below ratio times their requests plus slack. memberCount returns the largest number of
// instances that there may be now.
func New(timer server.Timer, ratio, slack float64, windowDuration time.Duration, memberCount func() int) *Budgeter {
	return &Budgeter{
		timer: timer, ratio: ratio, slack: slack, stepDuration: windowDuration / windowSteps, memberCount: memberCount,
		startedAt: timer.Now(), windows: make(map[string]*window),
	}
}

// RecordRequests counts n requests or pieces for a service.
func (b *Budgeter) RecordRequests(service string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	w.requests[w.newestStep%windowSteps] += float64(n)
}

// AcquireRetries takes n retries from the budget of a service. If fewer are left it takes
// none and returns false.
func (b *Budgeter) AcquireRetries(service string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	var requests, retries float64
	for i := range windowSteps {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	limit := safetyFactor * (b.ratio*requests + b.slack/float64(max(b.memberCount(), 1)))
	if retries+float64(n) > limit {
		return false
	}
	w.retries[w.newestStep%windowSteps] += float64(n)
	return true
}

// currentWindow returns a service's window, advanced to the current step. The caller holds
// mu.
func (b *Budgeter) currentWindow(service string) *window {
	w := b.windows[service]
	if w == nil {
		w = &window{}
		b.windows[service] = w
	}
	currentStep := int64(b.timer.Now().Sub(b.startedAt) / b.stepDuration)
	for w.newestStep < currentStep {
		w.newestStep = max(w.newestStep+1, currentStep-windowSteps)
		w.requests[w.newestStep%windowSteps], w.retries[w.newestStep%windowSteps] = 0, 0
	}
	return w
}
