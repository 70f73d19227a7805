// Package retrier decides whether and when another attempt is made.
package retrier

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/estimator"
)

// Parameters of retries and hedges.
const (
	// maxAttempts bounds the attempts of one stage.
	maxAttempts = 5
	// maxFirstDelay is the maximum delay before the first retry; the maximum doubles
	// with each attempt.
	maxFirstDelay = 20 * time.Millisecond
	// budgetRatio is the fraction of a service's attempts that may be retries.
	budgetRatio = 0.1
	// budgetBurst is the number of retries that may be made at once.
	budgetBurst = 32
	// hedgeFactor multiplies the 95th percentile, so that only an unusually slow
	// attempt causes a hedge.
	hedgeFactor = 1.5
	// minHedgeDelay is the minimum delay before a hedge.
	minHedgeDelay = 10 * time.Millisecond
)

// StageEstimator estimates how long stages take.
type StageEstimator interface {
	// EstimateStage returns the estimate for one stage at a service and a size class.
	EstimateStage(stage, service string, class int) estimator.Estimate
}

// Retrier implements server.Retrier and server.Observer. It is safe for concurrent use.
type Retrier struct {
	estimates StageEstimator
	mu        sync.Mutex
	// budgets is the number of retries available, by service.
	budgets map[string]float64
}

// New returns a Retrier with full budgets.
func New(estimates StageEstimator) *Retrier {
	return &Retrier{estimates: estimates, budgets: make(map[string]float64)}
}

// Observe implements server.Observer. Each attempt adds budgetRatio to its service's
// budget, up to budgetBurst.
func (r *Retrier) Observe(o server.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets[o.Service] = min(r.budget(o.Service)+budgetRatio, budgetBurst)
}

// budget returns the budget of a service. mu must be held.
func (r *Retrier) budget(service string) float64 {
	budget, ok := r.budgets[service]
	if !ok {
		return budgetBurst
	}
	return budget
}

// Retry implements server.Retrier. The delay is exponential with full jitter. It does
// not retry after the deadline or above the budget. A replica that is leaving has
// done no work, so the retry at another one is not charged to the budget.
func (r *Retrier) Retry(history *server.AttemptHistory, now time.Time, random *rand.Rand) (time.Duration, bool) {
	if !isRetryable(history) {
		return 0, false
	}
	if errors.Is(history.LastErr, server.ErrLeaving) {
		return 0, now.Before(history.Deadline)
	}
	delay := time.Duration(random.Int64N(int64(maxFirstDelay << (history.Count - 1))))
	if errors.Is(history.LastErr, server.ErrAttemptAbandoned) {
		delay = 0
	}
	if !now.Add(delay).Before(history.Deadline) {
		return 0, false
	}
	if errors.Is(history.LastErr, server.ErrOverload) && !r.hasHalfBudget(history.Service) {
		return 0, false
	}
	// The retry of a slow attempt was charged to the budget before that attempt was
	// cancelled.
	if errors.Is(history.LastErr, server.ErrAttemptAbandoned) {
		return delay, true
	}
	return delay, r.AcquireRetry(history.Service, now)
}

// isRetryable reports whether an attempt may be retried at all, whatever the budget.
func isRetryable(history *server.AttemptHistory) bool {
	if !history.IsRepeatable && history.SendState != server.SendStateUnsent {
		return false
	}
	for _, permanentErr := range [...]error{server.ErrCallerDisconnected, server.ErrInvalid, server.ErrDeadline, server.ErrRequestBlocked} {
		if errors.Is(history.LastErr, permanentErr) {
			return false
		}
	}
	return history.Count < maxAttempts
}

// hasHalfBudget reports whether more than half of the budget is left. Retries of
// overloaded attempts require it, so that they are the first to stop.
func (r *Retrier) hasHalfBudget(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service) > budgetBurst/2
}

// Hedge implements server.Retrier. The delay is hedgeFactor times the estimated 95th
// percentile for the request's size class, and at least minHedgeDelay. Without an
// estimate it does not hedge.
func (r *Retrier) Hedge(stage, service string, class int, _ time.Time) (time.Duration, bool) {
	estimate := r.estimates.EstimateStage(stage, service, class)
	if !estimate.IsKnown {
		return 0, false
	}
	delay := time.Duration(float64(estimate.P95) * hedgeFactor)
	return max(delay, minHedgeDelay), true
}

// AcquireRetry implements server.Retrier.
func (r *Retrier) AcquireRetry(service string, _ time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.budget(service)
	if budget < 1 {
		return false
	}
	r.budgets[service] = budget - 1
	return true
}
