package throttler

import (
	"maps"
	"math"
	"time"

	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// minPerSecond is the least rate of requests: responses show when a limit rises or ends.
	minPerSecond = 0.25
	// advanceTime is the time for which requests are granted in advance to one instance.
	advanceTime = 100 * time.Millisecond
	// A bucket holds the requests of burstTime and burstBase more. In 4 s a replica then gets at
	// most five seconds' requests and one, of the six and five that the platform allows.
	burstTime = time.Second
	burstBase = 1
	// denialWindow is the time in which denied requests count as waiting.
	denialWindow = time.Second
	// maxWait bounds the wait that is stated for a request.
	maxWait = 10 * time.Second
	// idleTime is how long after its last use a bucket is kept, and a rank counts.
	idleTime = 5 * time.Second
	// maxReserve is the part of all tokens that is reserved against the last rank.
	maxReserve = 0.5
)

// ledger is the state of a service whose limits this instance owns.
type ledger struct {
	buckets map[string]*bucket
	// ranks holds when a request of each rank was last asked for while all replicas had limits.
	ranks map[int]time.Time
}

// bucket is the token bucket of one replica. It begins empty, since another instance may have
// granted requests before.
type bucket struct {
	level     float64
	perSecond float64
	// capacity is the most tokens that the bucket holds.
	capacity   float64
	updatedAt  time.Time
	lastUse    time.Time
	denials    int
	denialsEnd time.Time
	// isCold is set while the replica is cold: nothing is granted in advance then, as that would be sent still later
	// than a reservation.
	isCold bool
}

// grant decides on a request for a service whose limits this instance owns.
func (t *Throttler) grant(request *encoder.PermitRequest) *encoder.PermitResponse {
	available, known := t.links.Availability()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	g := t.ledgers[request.GetService()]
	if g == nil {
		g = &ledger{buckets: make(map[string]*bucket), ranks: make(map[int]time.Time)}
		t.ledgers[request.GetService()] = g
	}
	// Instances that do not respond may have an owner of their own, for their share.
	share := float64(available) / float64(max(known, available, 1))
	response := &encoder.PermitResponse{}
	for _, r := range request.GetReplicas() {
		if t.mergeLimit(r, now) {
			// Instances whose view is older send to the replica without asking.
			t.changed[r.GetIncarnation()] = true
			t.scheduleAnnouncement()
		}
		l := t.limits[r.GetIncarnation()]
		if l == nil {
			// It has never stated a limit, by what this instance knows.
			l = &limit{statement: statement{perSecond: noLimit}}
		}
		if l.isLimited(now) {
			perSecond, capacity := t.rate(l, now)
			g.refill(r.GetIncarnation(), share*perSecond, capacity, now)
		}
		response.Limits = append(response.Limits, encodeLimit(r.GetIncarnation(), l, now))
	}
	if wait := g.rankWait(int(request.GetRank()), request.GetIsScarce(), now); wait > 0 {
		response.RankWaitMs = toMillis(wait)
		response.WaitMs = make([]uint32, len(request.GetReplicas()))
		return response
	}
	for n, r := range request.GetReplicas() {
		b, l := g.buckets[r.GetIncarnation()], t.limits[r.GetIncarnation()]
		if b == nil || l == nil || !l.isLimited(now) {
			response.Granted, response.Tokens = uint32(n+1), 1
			break
		}
		b.isCold = l.isCold(now)
		tokens, wait := b.take(available, now)
		response.WaitMs = append(response.WaitMs, toMillis(wait))
		if tokens > 0 {
			response.Granted, response.Tokens = uint32(n+1), uint32(tokens)
			break
		}
	}
	// The replicas after the granted one were not considered.
	for len(response.WaitMs) < len(request.GetReplicas()) {
		response.WaitMs = append(response.WaitMs, 0)
	}
	return response
}

// toMillis returns a time in milliseconds, rounded up.
func toMillis(wait time.Duration) uint32 {
	return uint32((wait + time.Millisecond - 1) / time.Millisecond)
}

// refill adds the tokens of the time since the last refill to a bucket, which is created if needed.
func (g *ledger) refill(incarnation string, perSecond, capacity float64, now time.Time) {
	b := g.buckets[incarnation]
	if b == nil {
		b = &bucket{updatedAt: now}
		g.buckets[incarnation] = b
	}
	b.perSecond, b.capacity, b.lastUse = perSecond, capacity, now
	b.refill(now)
}

// refill adds the tokens of the time since the last refill.
func (b *bucket) refill(now time.Time) {
	b.level = min(b.level+b.perSecond*now.Sub(b.updatedAt).Seconds(), b.capacity)
	b.updatedAt = now
}

// isIdle reports whether the bucket was not used for idleTime.
func (b *bucket) isIdle(now time.Time) bool { return now.Sub(b.lastUse) > idleTime }

// dropIdleBuckets deletes the buckets of replicas that no instance asks for any more. The caller holds mu.
func (t *Throttler) dropIdleBuckets(now time.Time) {
	for _, g := range t.ledgers {
		maps.DeleteFunc(g.buckets, func(_ string, b *bucket) bool { return b.isIdle(now) })
	}
}

// take takes the tokens for one request, or several ones in advance. It returns zero if there is
// none, and the time until there is one for this request.
func (b *bucket) take(instances int, now time.Time) (tokens int, wait time.Duration) {
	if now.After(b.denialsEnd) {
		b.denials, b.denialsEnd = 0, now.Add(denialWindow)
	}
	if b.level < 1 {
		b.denials++
		return 0, b.timeUntil(float64(b.denials))
	}
	advance := int(b.perSecond * advanceTime.Seconds() / float64(max(instances, 1)))
	if b.isCold {
		advance = 1
	}
	tokens = min(max(advance, 1), int(b.level))
	b.level -= float64(tokens)
	b.denials = max(b.denials-tokens, 0)
	return tokens, 0
}

// timeUntil returns the time until the bucket has got a number of tokens.
func (b *bucket) timeUntil(level float64) time.Duration {
	seconds := min((level-b.level)/b.perSecond, maxWait.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), time.Millisecond)
}

// rankWait returns the time until a request of a rank is considered, zero for now. While all
// replicas have limits, a part of the tokens is reserved for requests of the ranks before it that
// were asked for lately.
func (g *ledger) rankWait(rank int, isScarce bool, now time.Time) time.Duration {
	if !isScarce {
		return 0
	}
	g.ranks[rank] = now
	before := 0
	for other, at := range g.ranks {
		switch {
		case now.Sub(at) > idleTime:
			delete(g.ranks, other)
		case other < rank:
			before++
		}
	}
	level, capacity, perSecond := 0.0, 0.0, 0.0
	for incarnation, b := range g.buckets {
		if b.isIdle(now) {
			delete(g.buckets, incarnation)
			continue
		}
		b.refill(now)
		level, capacity, perSecond = level+b.level, capacity+b.capacity, perSecond+b.perSecond
	}
	needed := min(1+maxReserve*capacity*float64(before)/float64(len(g.ranks)), capacity)
	if before == 0 || level >= needed || perSecond == 0 {
		return 0
	}
	return max(time.Duration(math.Min((needed-level)/perSecond, maxWait.Seconds())*float64(time.Second)), time.Millisecond)
}
