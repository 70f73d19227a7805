package limiter

import (
	"math"
	"sync"
	"time"
)

// account is an instance's side of one limit: the credits granted to it and its
// use of them. mu must be held for every method except finishRequest, which
// locks it. The current time is an argument; no method reads a clock.
type account struct {
	mu     sync.Mutex
	key    string
	limits limits
	// tokens are granted for use until tokensExpireAt; those that expired or were
	// not needed are in unusedTokens until the next request returns them.
	tokens         float64
	tokensExpireAt time.Time
	unusedTokens   float64
	// slots is the concurrency granted until slotsExpireAt.
	slots         int
	slotsExpireAt time.Time
	// runningRequests is the number of admitted requests in progress.
	runningRequests int
	// requestedSlots is the concurrency requested from the owner last.
	requestedSlots int
	// waitingRequests is the number of requests that wait for the owner's response.
	waitingRequests int
	// renewalPaused means that no renewal is due until the next request: the account
	// holds no credits, and the owner has received all cost that it has to report.
	renewalPaused bool
	// announcedIdle means that the last request to the owner was marked as idle.
	announcedIdle bool
	// Before these times the owner is expected to have no token, no slot, or nothing
	// left of the budget for this instance.
	noTokensUntil      time.Time
	noSlotsUntil       time.Time
	budgetBlockedUntil time.Time
	// Until ownShareUntil the instance uses its own share of the limit and sends no
	// request to the owner when credit is missing. usesOwnShare is true from the first
	// use of the own share until an owner that is not warming up responds. ownTokens
	// is the number of tokens in the own share's bucket at ownRefilledAt.
	ownShareUntil time.Time
	usesOwnShare  bool
	ownTokens     float64
	ownRefilledAt time.Time
	// arrivals counts requests since arrivalsSince; demandPerSecond is the rate of
	// the last complete window.
	arrivals        int
	arrivalsSince   time.Time
	demandPerSecond float64
	// requestNumber and requestedAt are those of the last request to the owner.
	requestNumber uint64
	requestedAt   time.Time
	// unreportedCost, in microseconds by stage, has not been sent to the owner;
	// unconfirmedCost was sent and has not been confirmed by a grant.
	unconfirmedCost map[string]uint64
	unreportedCost  map[string]uint64
	// grantReceived is closed when the owner's response has been applied or the
	// request could not be sent; nil if no response is due.
	grantReceived chan struct{}
	lastArrival   time.Time
}

// decision is the result of an attempt to acquire credit for a request.
type decision uint8

// The decisions. creditMissing means that a request to the owner is needed.
const (
	creditTaken decision = iota
	creditRefused
	creditMissing
)

// demandWindow is the time over which arrivals are counted.
const demandWindow = 500 * time.Millisecond

// recordArrival adds a request to the measured demand.
func (a *account) recordArrival(now time.Time) {
	a.lastArrival = now
	a.renewalPaused = false
	if elapsed := now.Sub(a.arrivalsSince); elapsed >= demandWindow {
		a.demandPerSecond = float64(a.arrivals) / elapsed.Seconds()
		a.arrivals = 0
		a.arrivalsSince = now
	}
	a.arrivals++
}

// tryAcquire uses credit for one request. With creditRefused it returns the delay
// after which a retry is admitted unless another request uses the credit first.
func (a *account) tryAcquire(now time.Time, t limits, p position, ownerReachable bool) (decision, time.Duration) {
	a.limits = t
	a.expireCredits(now)
	if now.Before(a.budgetBlockedUntil) {
		return creditRefused, a.budgetBlockedUntil.Sub(now)
	}
	hasToken := t.rate == 0 || a.tokens >= 1
	hasSlot := t.slots == 0 || (a.runningRequests < a.slots)
	if hasToken && hasSlot {
		a.consume(&a.tokens, t)
		return creditTaken, 0
	}
	if !ownerReachable || now.Before(a.ownShareUntil) {
		return a.acquireOwnShare(now, t, p)
	}
	if !hasToken && now.Before(a.noTokensUntil) {
		return creditRefused, a.noTokensUntil.Sub(now)
	}
	if !hasSlot && now.Before(a.noSlotsUntil) {
		return creditRefused, concurrencyRetryAfter
	}
	return creditMissing, 0
}

// consume takes a token from a bucket, if there is a rate limit, and counts the
// request as running.
func (a *account) consume(from *float64, t limits) {
	if t.rate > 0 {
		*from--
	}
	a.runningRequests++
}

// acquireOwnShare uses the instance's own share of the limit for one request, while
// no owner grants credits.
func (a *account) acquireOwnShare(now time.Time, t limits, p position) (decision, time.Duration) {
	rate := p.rateShare(t.rate)
	a.refillOwnShare(now, t, p, rate)
	if t.slots > 0 && a.runningRequests >= max(a.slots, p.slotShare(a.key, t.slots)) {
		return creditRefused, concurrencyRetryAfter
	}
	if t.rate > 0 && a.tokens >= 1 {
		a.consume(&a.tokens, t)
		return creditTaken, 0
	}
	if t.rate > 0 && a.ownTokens < 1 {
		return creditRefused, time.Duration((1 - a.ownTokens) / rate * float64(time.Second))
	}
	a.consume(&a.ownTokens, t)
	return creditTaken, 0
}

// refillOwnShare refills the instance's own token bucket. The buckets of all
// instances together start with the limit's bucket depth. A bucket that starts
// empty may still fill up to one token, so that every instance admits requests.
func (a *account) refillOwnShare(now time.Time, t limits, p position, rate float64) {
	share := float64(p.slotShare(a.key, int(t.bucketDepth())))
	if t.bucketDepth() >= float64(p.count) {
		share = t.bucketDepth() / float64(p.count)
	}
	maxTokens := share
	if a.usesOwnShare {
		// The part above one token keeps what accrues until a client retries.
		maxTokens = max(1, share) + rate*grantTimeout.Seconds()
	}
	if a.ownRefilledAt.IsZero() {
		a.ownTokens = share
	} else {
		a.ownTokens = min(a.ownTokens+rate*now.Sub(a.ownRefilledAt).Seconds(), max(maxTokens, a.ownTokens))
	}
	a.usesOwnShare = true
	a.ownRefilledAt = now
}

// expireCredits drops expired slots and moves expired tokens to unusedTokens,
// which are returned to the owner.
func (a *account) expireCredits(now time.Time) {
	if a.tokens > 0 && !now.Before(a.tokensExpireAt) {
		a.unusedTokens += a.tokens
		a.tokens = 0
	}
	if !now.Before(a.slotsExpireAt) {
		a.slots = 0
	}
}

// undoAcquire returns the credit of a request that was refused by another limit.
func (a *account) undoAcquire(t limits) {
	if t.rate > 0 {
		a.tokens++
	}
	a.runningRequests--
}

// clearCredits moves all tokens to unusedTokens and drops all slots, since the
// instance stops. It reports whether there is anything to send to the owner.
func (a *account) clearCredits(now time.Time) bool {
	a.expireCredits(now)
	mustReport := a.tokens > 0 || a.unusedTokens > 0 || a.slots > 0 || len(a.unreportedCost) > 0 || len(a.unconfirmedCost) > 0 || a.grantReceived != nil
	a.unusedTokens += a.tokens
	a.tokens = 0
	a.slots = 0
	a.demandPerSecond = 0
	a.arrivals = 0
	return mustReport
}

// isSparse reports whether requests arrive so rarely that prefetched credits
// would expire before the next one.
func (a *account) isSparse() bool {
	return a.arrivals <= 1 && a.demandPerSecond*CreditInterval.Seconds() < 1
}

// isRenewalDue reports whether a renewal sends a request to the owner. An account
// that announced itself as idle only renews the slots in use before they expire
// and, once no request is running, returns credits and reports cost.
func (a *account) isRenewalDue(now time.Time) bool {
	switch {
	case !a.announcedIdle || !a.isSparse():
		return true
	case a.runningRequests > 0:
		return a.limits.slots > 0 && now.Sub(a.requestedAt) >= slotTTL/2
	case a.tokens > 0 && now.Before(a.tokensExpireAt):
		return false
	}
	return a.slots > 0 || a.unusedTokens > 0 || len(a.unreportedCost) > 0 || len(a.unconfirmedCost) > 0
}

// needsCredit reports whether a request would have to wait for the owner, or
// whether the budget may have been exhausted since the last request to the owner.
func (a *account) needsCredit(now time.Time, t limits) bool {
	a.limits = t
	a.expireCredits(now)
	if now.Before(a.budgetBlockedUntil) || now.Before(a.ownShareUntil) || now.Before(a.noTokensUntil) || now.Before(a.noSlotsUntil) {
		return false
	}
	if len(t.budget) > 0 && now.Sub(a.requestedAt) > CreditInterval {
		return true
	}
	return (t.rate > 0 && a.tokens < 1) || (t.slots > 0 && a.runningRequests >= a.slots)
}

// newLimitRequest returns the next request to the owner and records that it is
// sent. requestWaits means that a client's request waits for the grant. While
// requests keep arriving, it also requests credit in advance: the tokens for
// prefetchTime and a quarter more slots than are in use.
func (a *account) newLimitRequest(now time.Time, requestNumber uint64, requestWaits bool) limitRequest {
	a.expireCredits(now)
	a.requestNumber = requestNumber
	a.requestedAt = now
	w := limitRequest{unusedTokens: a.unusedTokens, heldSlots: a.slots, slots: a.runningRequests + (a.runningRequests+3)/4}
	a.unusedTokens = 0
	prefetch := math.Ceil(a.demandPerSecond * prefetchTime.Seconds())
	if a.isSparse() {
		prefetch = 0
		w.slots = a.runningRequests
		w.idle = true
	} else if now.Sub(a.lastArrival) > CreditInterval {
		prefetch = 0
		w.slots = a.runningRequests
		w.idle = a.runningRequests == 0 && !requestWaits
	}
	if now.Before(a.noTokensUntil.Add(CreditInterval)) {
		// Scarce tokens go to requests that wait, not to those that may arrive.
		prefetch = 0
	}
	if requestWaits {
		waitingRequests := max(1, a.waitingRequests)
		prefetch = max(float64(waitingRequests), prefetch)
		w.slots = max(w.slots, a.runningRequests+waitingRequests)
	}
	if a.limits.rate > 0 {
		w.tokens = max(0, prefetch-a.tokens)
	}
	a.requestedSlots = w.slots
	a.announcedIdle = w.idle
	return w
}

// applyGrant applies the owner's response to the request of that number. It ignores
// the response if a later request was sent. Lifetimes count from the time of the request, which is
// before the owner's time of the grant, so credits expire here first. An owner that
// is warming up grants no tokens, which does not mean that the limit is reached.
func (a *account) applyGrant(now time.Time, requestNumber uint64, g limitGrant) {
	if requestNumber != a.requestNumber {
		return
	}
	a.expireCredits(now)
	if a.limits.slots > 0 {
		a.slots = g.slots
		a.slotsExpireAt = a.requestedAt.Add(slotTTL)
		if a.runningRequests >= g.slots && a.requestedSlots > g.slots && !g.warmingUp {
			a.noSlotsUntil = now.Add(prefetchTime)
		}
	}
	if g.tokens > 0 {
		a.tokens += g.tokens
		a.tokensExpireAt = a.requestedAt.Add(CreditInterval)
	}
	if g.wait > 0 && !g.budgetBlocked && a.tokens < 1 && !g.warmingUp {
		a.noTokensUntil = now.Add(g.wait)
	}
	a.usesOwnShare = a.usesOwnShare && g.warmingUp
	a.ownShareUntil = time.Time{}
	if g.warmingUp {
		a.ownShareUntil = now.Add(prefetchTime)
	}
	a.budgetBlockedUntil = time.Time{}
	if g.budgetBlocked {
		a.budgetBlockedUntil = now.Add(g.wait)
	}
	a.unconfirmedCost = nil
	a.renewalPaused = a.announcedIdle && a.tokens == 0 && a.unusedTokens == 0 && a.runningRequests == 0 && a.slots == 0 && len(a.unreportedCost) == 0
	a.notifyWaiters()
}

// notifyWaiters lets all requests that wait for a grant try again.
func (a *account) notifyWaiters() {
	if a.grantReceived != nil {
		close(a.grantReceived)
		a.grantReceived = nil
	}
}

// canDelete reports whether the account has no credits, nothing to report and no
// recent requests.
func (a *account) canDelete(now time.Time) bool {
	return a.runningRequests == 0 && a.tokens == 0 && a.unusedTokens == 0 && a.slots == 0 && len(a.unreportedCost) == 0 && len(a.unconfirmedCost) == 0 &&
		now.Sub(a.lastArrival) > 10*CreditInterval
}
