package limiter

import (
	"math"
	"time"
)

// ledger is the owner's side of one limit: the credits granted to each instance.
// Its methods use neither clock nor network.
type ledger struct {
	// bucket is the number of tokens that can be granted, as of updatedAt.
	bucket    float64
	updatedAt time.Time
	// grantsFrom is the end of the owner's warm-up.
	grantsFrom time.Time
	slotGrants map[string]slotGrant
	// lastRequests holds when each instance that is not idle last sent a request.
	lastRequests map[string]time.Time
}

// instanceCounts is the number of listed instances and of those that are unresponsive.
type instanceCounts struct {
	listed       int
	unresponsive int
}

// slotGrant is the number of slots reserved for an instance until expiresAt.
type slotGrant struct {
	slots     int
	expiresAt time.Time
}

// limitRequest is an instance's request for the credits of one limit.
type limitRequest struct {
	// tokens are requested; unusedTokens, granted before, are returned.
	tokens       float64
	unusedTokens float64
	// heldSlots are the slots granted before that have not expired; slots is the
	// total requested.
	heldSlots int
	slots     int
	// idle means that the instance may send no further request.
	idle bool
}

// limitGrant is the owner's response to a limitRequest.
type limitGrant struct {
	tokens float64
	slots  int
	// wait is the time until a token is available, or for which the budget admits no
	// request.
	wait time.Duration
	// warmingUp means that the owner does not grant tokens yet.
	warmingUp bool
	// budgetBlocked means that the budget is spent, that its next batch is not reserved
	// yet, or that the table is unavailable.
	budgetBlocked bool
}

// newLedger returns a ledger that grants no tokens and no further slots before
// grantsFrom: until then credits of the previous owner may still be in use.
func newLedger(now, grantsFrom time.Time) *ledger {
	updatedAt := now
	if grantsFrom.Before(now) {
		updatedAt = grantsFrom // no owner has granted tokens since then
	}
	return &ledger{updatedAt: updatedAt, grantsFrom: grantsFrom, slotGrants: make(map[string]slotGrant), lastRequests: make(map[string]time.Time)}
}

// grant responds to the request of one instance.
func (l *ledger) grant(now time.Time, requestingID string, w limitRequest, t limits, c instanceCounts) limitGrant {
	l.recordRequest(now, requestingID, w.idle)
	grantableShare := l.grantableShare(now, c)
	t.rate *= grantableShare
	t.slots = int(math.Ceil(float64(t.slots) * grantableShare))
	warmingUp := now.Before(l.grantsFrom)
	g := limitGrant{warmingUp: warmingUp}
	if t.rate > 0 {
		l.refill(now, t, w.unusedTokens, warmingUp)
		g.tokens = math.Floor(min(max(w.tokens, 0), l.bucket))
		l.bucket -= g.tokens
		if w.tokens >= 1 && g.tokens < 1 {
			g.wait = max(prefetchTime, time.Duration((1-l.bucket)/t.rate*float64(time.Second))+retryMargin)
		}
	}
	if t.slots > 0 {
		g.slots = l.grantSlots(now, requestingID, w, t.slots, warmingUp)
	}
	return g
}

// recordRequest stores when an instance sent its last request. An idle instance
// is left out, since it may stop renewing without being unreachable.
func (l *ledger) recordRequest(now time.Time, requestingID string, idle bool) {
	if idle {
		delete(l.lastRequests, requestingID)
		return
	}
	l.lastRequests[requestingID] = now
}

// grantableShare returns the fraction of the limit that the owner grants. The rest
// is left to instances that may be using their own shares because they cannot
// reach the owner. An instance that misses its renewals counts as one of them
// before its link is known to be broken.
func (l *ledger) grantableShare(now time.Time, c instanceCounts) float64 {
	missingInstances := c.unresponsive
	for requestingID, at := range l.lastRequests {
		switch age := now.Sub(at); {
		case age > forgetInstanceAfter:
			delete(l.lastRequests, requestingID)
		case age > renewalMissedAfter:
			missingInstances++
		}
	}
	return 1 - float64(min(missingInstances, c.listed-1))/float64(c.listed)
}

// refill adds the tokens that accrued since the last update and those returned.
func (l *ledger) refill(now time.Time, t limits, unusedTokens float64, warmingUp bool) {
	if warmingUp {
		l.bucket = 0
		l.updatedAt = now
		return
	}
	from := l.updatedAt
	if from.Before(l.grantsFrom) {
		from = l.grantsFrom
	}
	if elapsed := now.Sub(from); elapsed > 0 {
		l.bucket += t.rate * elapsed.Seconds()
	}
	l.bucket = min(l.bucket+max(unusedTokens, 0), t.bucketDepth())
	l.updatedAt = now
}

// grantSlots grants at most the slots that are not reserved for other instances. During warm-up an
// instance keeps the slots that it holds and gets no more.
func (l *ledger) grantSlots(now time.Time, requestingID string, w limitRequest, total int, warmingUp bool) int {
	others := 0
	for id, other := range l.slotGrants {
		if !now.Before(other.expiresAt) {
			delete(l.slotGrants, id)
			continue
		}
		if id != requestingID {
			others += other.slots
		}
	}
	slots := min(w.slots, max(0, total-others))
	if warmingUp {
		slots = min(w.heldSlots, w.slots)
	}
	l.slotGrants[requestingID] = slotGrant{slots: slots, expiresAt: now.Add(ownerSlotTTL)}
	return slots
}
