package limiter

import (
	"math"
	"sync"
	"time"
)

// account is an instance's side of one limit: its credits and its own use. All
// methods but wake's users hold mu; the decisions use no clock.
type account struct {
	mu         sync.Mutex
	key        string
	terms      terms
	tokens     float64
	until      time.Time
	unused     float64
	slots      int
	slotsUntil time.Time
	inUse      int
	wanted     int
	// waiting is the number of requests that wait for the owner's answer.
	waiting int
	// quiet says that the owner was told of everything and nothing came since.
	quiet      bool
	told       bool
	emptyUntil time.Time
	fullUntil  time.Time
	spentUntil time.Time
	aloneUntil time.Time
	alone      bool
	local      float64
	localAt    time.Time
	count      int
	countFrom  time.Time
	demand     float64
	number     uint64
	askedAt    time.Time
	sentSpent  map[string]uint64
	spent      map[string]uint64
	answered   chan struct{}
	last       time.Time
}

// verdict is the outcome of one look at an account.
type verdict uint8

const (
	taken verdict = iota
	refused
	asks
)

// demandWindow is over what time demand is counted.
const demandWindow = 500 * time.Millisecond

// arrive counts a request towards the demand.
func (a *account) arrive(now time.Time) {
	a.last = now
	a.quiet = false
	if elapsed := now.Sub(a.countFrom); elapsed >= demandWindow {
		a.demand = float64(a.count) / elapsed.Seconds()
		a.count = 0
		a.countFrom = now
	}
	a.count++
}

// take draws one request from the credits. It refuses with the wait after
// which a repeat is admitted if nobody else takes the credit.
func (a *account) take(now time.Time, t terms, p part, reached bool) (verdict, time.Duration) {
	a.terms = t
	a.expire(now)
	if now.Before(a.spentUntil) {
		return refused, a.spentUntil.Sub(now)
	}
	hasToken := t.rate == 0 || a.tokens >= 1
	hasSlot := t.slots == 0 || (a.inUse < a.slots)
	if hasToken && hasSlot {
		a.draw(&a.tokens, t)
		return taken, 0
	}
	if !reached || now.Before(a.aloneUntil) {
		return a.takeAlone(now, t, p)
	}
	if !hasToken && now.Before(a.emptyUntil) {
		return refused, a.emptyUntil.Sub(now)
	}
	if !hasSlot && now.Before(a.fullUntil) {
		return refused, concurrencyWait
	}
	return asks, 0
}

func (a *account) draw(from *float64, t terms) {
	if t.rate > 0 {
		*from--
	}
	a.inUse++
}

// takeAlone draws from the instance's own share, while no owner hands out.
func (a *account) takeAlone(now time.Time, t terms, p part) (verdict, time.Duration) {
	rate := p.rate(t.rate)
	a.refillAlone(now, t, p, rate)
	if t.slots > 0 && a.inUse >= max(a.slots, p.slots(a.key, t.slots)) {
		return refused, concurrencyWait
	}
	if t.rate > 0 && a.tokens >= 1 {
		a.draw(&a.tokens, t)
		return taken, 0
	}
	if t.rate > 0 && a.local < 1 {
		return refused, time.Duration((1 - a.local) / rate * float64(time.Second))
	}
	a.draw(&a.local, t)
	return taken, 0
}

// refillAlone adds to the instance's own bucket. What all instances have saved
// up when they begin is the limit's depth; a bucket that begins empty may still
// fill up to one token, so that each instance serves someone.
func (a *account) refillAlone(now time.Time, t terms, p part, rate float64) {
	share := float64(p.slots(a.key, int(t.depth())))
	if t.depth() >= float64(p.count) {
		share = t.depth() / float64(p.count)
	}
	limit := share
	if a.alone {
		// The fraction above a token keeps what accrues until a caller comes back.
		limit = max(1, share) + rate*answerWait.Seconds()
	}
	if a.localAt.IsZero() {
		a.local = share
	} else {
		a.local = min(a.local+rate*now.Sub(a.localAt).Seconds(), max(limit, a.local))
	}
	a.alone = true
	a.localAt = now
}

// expire puts credits aside whose time is over; unused tokens go back.
func (a *account) expire(now time.Time) {
	if a.tokens > 0 && !now.Before(a.until) {
		a.unused += a.tokens
		a.tokens = 0
	}
	if !now.Before(a.slotsUntil) {
		a.slots = 0
	}
}

// giveBack returns what a request that did not run after all had drawn.
func (a *account) giveBack(t terms) {
	if t.rate > 0 {
		a.tokens++
	}
	a.inUse--
}

// giveUp sets all credits aside as unused, for good; it reports whether the
// owner is to be told of anything.
func (a *account) giveUp(now time.Time) bool {
	a.expire(now)
	told := a.tokens > 0 || a.unused > 0 || a.slots > 0 || len(a.spent) > 0 || len(a.sentSpent) > 0 || a.answered != nil
	a.unused += a.tokens
	a.tokens = 0
	a.slots = 0
	a.demand = 0
	a.count = 0
	return told
}

// sparse reports whether requests come so far apart that credits asked ahead
// would expire before the next one.
func (a *account) sparse() bool { return a.count <= 1 && a.demand*Interval.Seconds() < 1 }

// due reports whether the owner is to be asked at a renewal. A sparse account
// told that it may fall silent: it renews the slots in use before they expire,
// and once nothing runs it tells what the owner does not know.
func (a *account) due(now time.Time) bool {
	switch {
	case !a.told || !a.sparse():
		return true
	case a.inUse > 0:
		return a.terms.slots > 0 && now.Sub(a.askedAt) >= slotLife/2
	case a.tokens > 0 && now.Before(a.until):
		return false
	}
	return a.slots > 0 || a.unused > 0 || len(a.spent) > 0 || len(a.sentSpent) > 0
}

// lacks reports whether a request would have to ask the owner, or has a budget
// that may have ended since the owner was last asked.
func (a *account) lacks(now time.Time, t terms) bool {
	a.terms = t
	a.expire(now)
	if now.Before(a.spentUntil) || now.Before(a.aloneUntil) || now.Before(a.emptyUntil) || now.Before(a.fullUntil) {
		return false
	}
	if len(t.budget) > 0 && now.Sub(a.askedAt) > Interval {
		return true
	}
	return (t.rate > 0 && a.tokens < 1) || (t.slots > 0 && a.inUse >= a.slots)
}

// ask returns what to ask the owner for, and notes the asking. more tells that
// a request waits for it.
func (a *account) ask(now time.Time, number uint64, more bool) want {
	a.expire(now)
	a.number = number
	a.askedAt = now
	w := want{unused: a.unused, held: a.slots, slots: a.inUse + (a.inUse+3)/4}
	a.unused = 0
	ahead := math.Ceil(a.demand * aheadTime.Seconds())
	if a.sparse() {
		ahead = 0
		w.slots = a.inUse
		w.idle = true
	} else if now.Sub(a.last) > Interval {
		ahead = 0
		w.slots = a.inUse
		w.idle = a.inUse == 0 && !more
	}
	if now.Before(a.emptyUntil.Add(Interval)) {
		// What is short goes to requests that wait, not to those that may come.
		ahead = 0
	}
	if more {
		waiting := max(1, a.waiting)
		ahead = max(float64(waiting), ahead)
		w.slots = max(w.slots, a.inUse+waiting)
	}
	if a.terms.rate > 0 {
		w.tokens = max(0, ahead-a.tokens)
	}
	a.wanted = w.slots
	a.told = w.idle
	return w
}

// granted takes the answer to the ask with a number. Lives count from the
// asking, since the owner counts from later. An owner that learns hands nothing out,
// which says nothing of the limit.
func (a *account) granted(now time.Time, number uint64, g given) {
	if number != a.number {
		return
	}
	a.expire(now)
	if a.terms.slots > 0 {
		a.slots = g.slots
		a.slotsUntil = a.askedAt.Add(slotLife)
		if a.inUse >= g.slots && a.wanted > g.slots && !g.learning {
			a.fullUntil = now.Add(aheadTime)
		}
	}
	if g.tokens > 0 {
		a.tokens += g.tokens
		a.until = a.askedAt.Add(Interval)
	}
	if g.wait > 0 && !g.spent && a.tokens < 1 && !g.learning {
		a.emptyUntil = now.Add(g.wait)
	}
	a.alone = a.alone && g.learning
	a.aloneUntil = time.Time{}
	if g.learning {
		a.aloneUntil = now.Add(aheadTime)
	}
	a.spentUntil = time.Time{}
	if g.spent {
		a.spentUntil = now.Add(g.wait)
	}
	a.sentSpent = nil
	a.quiet = a.told && a.tokens == 0 && a.unused == 0 && a.inUse == 0 && a.slots == 0 && len(a.spent) == 0
	a.wake()
}

// wake lets all that wait for an answer look again.
func (a *account) wake() {
	if a.answered != nil {
		close(a.answered)
		a.answered = nil
	}
}

// idle reports whether the account can be forgotten.
func (a *account) idle(now time.Time) bool {
	return a.inUse == 0 && a.tokens == 0 && a.unused == 0 && a.slots == 0 && len(a.spent) == 0 && len(a.sentSpent) == 0 &&
		now.Sub(a.last) > 10*Interval
}
