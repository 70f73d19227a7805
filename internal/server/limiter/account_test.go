package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWarmingUpOwnerDoesNotReportLimitReached guards against requests refused
// because an owner that was warming up granted nothing: that does not mean that
// the limit is reached.
func TestWarmingUpOwnerDoesNotReportLimitReached(t *testing.T) {
	is := is.New(t)
	contractLimits, third := limits{rate: 1000, slots: 100}, position{rank: 0, count: 3}
	now := time.Unix(1000, 0)
	a := &account{key: "w", arrivalsSince: now, lastArrival: now}
	a.recordArrival(now)
	outcome, _ := a.tryAcquire(now, contractLimits, third, true)
	is.Equal(outcome, creditMissing)
	a.newLimitRequest(now, 1, true)
	a.applyGrant(now, 1, limitGrant{warmingUp: true, wait: prefetchTime})
	outcome, _ = a.tryAcquire(now, contractLimits, third, true)
	is.Equal(outcome, creditTaken) // from its own share
	now = now.Add(prefetchTime / 2)
	a.newLimitRequest(now, 2, true)
	a.applyGrant(now, 2, limitGrant{tokens: 1, slots: a.runningRequests + 1})
	outcome, _ = a.tryAcquire(now, contractLimits, third, true)
	is.Equal(outcome, creditTaken)
	outcome, _ = a.tryAcquire(now, contractLimits, third, true)
	is.Equal(outcome, creditMissing) // no owner has reported that the limit is reached
}
