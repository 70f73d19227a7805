package throttler

import (
	"math"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// defaultColdRatio and defaultColdSlack are the bound of cold replicas; see WithColdBound.
	defaultColdRatio = 1.5
	defaultColdSlack = 5
	// A request may be sent up to maxReservation of package relayer, a second, after it was granted, so the requests that
	// were granted in coldSpan seconds may arrive in one.
	coldSpan = 2
	// The bucket of a cold replica holds coldSlackShare of the slack, at most maxColdBurst requests. One that holds a single
	// request loses a quarter of the rate, since nobody may ask while it is full. What the buckets of coldOwners owners,
	// in two parts of the network, hold beyond the slack is taken from the rate.
	maxColdBurst   = 2
	coldSlackShare = 0.75
	coldOwners     = 2
	// heardTolerance is how much later than known a replica must be warm by what another instance states for that to
	// count. Rows are up to a heartbeat, 1.2 s, old when an instance that starts reads them.
	heardTolerance = 1500 * time.Millisecond
	// maxColdTime bounds the time for which a replica counts as cold by what another instance states.
	maxColdTime = time.Minute
	// ownerColdTime is how long the announcement that a replica is cold is left to the owner of its limits.
	ownerColdTime = 300 * time.Millisecond
)

// Option sets a property of a Throttler.
type Option func(*Throttler)

// WithColdBound sets the most requests that a cold replica may get in a second from all instances: ratio times its rate,
// and slack more.
func WithColdBound(ratio, slack float64) Option {
	return func(t *Throttler) { t.coldRatio, t.coldSlack = ratio, slack }
}

// coldness is what this instance knows of a replica that is cold.
type coldness struct {
	// coldPerSecond is the number of requests a second that the replica takes from all instances while it is cold.
	coldPerSecond float64
	// readUntil is when it will be warm by the newest row that this instance has read, heardUntil by what other
	// instances have stated.
	readUntil, heardUntil time.Time
}

// coldUntil returns when the replica will be warm, or was.
func (c coldness) coldUntil() time.Time {
	if c.heardUntil.After(c.readUntil) {
		return c.heardUntil
	}
	return c.readUntil
}

// isCold reports whether the replica is cold.
func (c coldness) isCold(now time.Time) bool { return now.Before(c.coldUntil()) }

// isLimited reports whether the replica takes a limited number of requests now.
func (l *limit) isLimited(now time.Time) bool { return l.statement.isLimited() || l.isCold(now) }

// rate returns the requests a second that are granted to a limited replica, and the most that its bucket holds.
func (t *Throttler) rate(l *limit, now time.Time) (perSecond, capacity float64) {
	perSecond = max(l.perSecond, minPerSecond)
	if !l.isCold(now) {
		return perSecond, burstBase + perSecond*burstTime.Seconds()
	}
	capacity = max(min(coldSlackShare*t.coldSlack, maxColdBurst), burstBase)
	allowed := t.coldRatio*l.coldPerSecond - max(coldOwners*capacity-t.coldSlack, 0)
	perSecond = min(perSecond, max(min(allowed/coldSpan, l.coldPerSecond), minPerSecond))
	return perSecond, min(burstBase+perSecond*burstTime.Seconds(), capacity)
}

// RecordCold implements the handler of package registrar: it records which replicas are cold by the newest rows. All
// others are warm, as far as this instance has read.
func (t *Throttler) RecordCold(replicas []server.Replica) {
	now := t.timer.Now()
	if len(replicas) == 0 && now.UnixNano() >= t.coldEnd.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	isListed := make(map[string]bool, len(replicas))
	for n := range replicas {
		r := &replicas[n]
		if !r.IsCold(now) || math.IsInf(r.ColdPerSecond, 0) {
			continue
		}
		isListed[r.Incarnation()] = true
		if known := t.limits[r.Incarnation()]; known == nil || !known.isCold(now) {
			t.newlyCold[r.Incarnation()] = now
			t.scheduleAnnouncement()
		}
		l := t.beginCold(r.Incarnation(), r.Service, r.ColdPerSecond, r.WarmAt, now)
		l.readUntil = r.WarmAt
		t.extendColdEnd(l)
	}
	for incarnation, l := range t.limits {
		if !isListed[incarnation] && now.Before(l.readUntil) {
			l.readUntil = now
		}
	}
}

// recordHeard records that a replica is cold by what another instance states, and reports whether this instance did
// not know it. A time that is only a little later than the known one is ignored: each message takes some time, so that
// the end of a time that instances pass to and fro would never be reached. The caller holds mu.
func (t *Throttler) recordHeard(message *encoder.ReplicaLimit, now time.Time) (isNews bool) {
	perSecond, left := message.GetColdPerSecond(), time.Duration(message.GetColdLeftMs())*time.Millisecond
	if left <= 0 || !(perSecond > 0) || math.IsInf(perSecond, 0) {
		return false
	}
	until := now.Add(min(left, maxColdTime))
	l := t.limits[message.GetIncarnation()]
	if l != nil && !until.After(l.coldUntil().Add(heardTolerance)) {
		return false
	}
	isNews = l == nil || !l.isCold(now)
	l = t.beginCold(message.GetIncarnation(), message.GetService(), perSecond, until, now)
	l.heardUntil = until
	t.extendColdEnd(l)
	return isNews
}

// beginCold returns what is known of a replica that is cold. What was granted while it was warm does not count any more.
// The caller holds mu and sets until when it is cold.
func (t *Throttler) beginCold(incarnation, service string, perSecond float64, until, now time.Time) *limit {
	l := t.limits[incarnation]
	if l == nil {
		l = &limit{statement: statement{service: service, perSecond: noLimit}}
		t.limits[incarnation] = l
		t.knownCount.Add(1)
	}
	if !l.isCold(now) {
		t.log.Info("replica is cold", "service", service, "replica", incarnation, "per_second", perSecond, "left_ms", until.Sub(now).Milliseconds())
		l.tokens, l.blockedUntil = 0, time.Time{}
	}
	l.coldPerSecond = perSecond
	return l
}

// extendColdEnd records the time until which a replica is cold in coldEnd. The caller holds mu.
func (t *Throttler) extendColdEnd(l *limit) {
	t.coldEnd.Store(max(t.coldEnd.Load(), l.coldUntil().UnixNano()))
}

// coldReplicas returns the number of replicas that are known to be cold.
func (t *Throttler) coldReplicas() (cold int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	for _, l := range t.limits {
		if l.isCold(now) {
			cold++
		}
	}
	return cold
}

// encodeLimit returns the message for what is known of a replica.
func encodeLimit(incarnation string, l *limit, now time.Time) *encoder.ReplicaLimit {
	message := encodeStatement(incarnation, l.statement, now)
	if l.isCold(now) {
		message.ColdPerSecond, message.ColdLeftMs = l.coldPerSecond, encodeAge(l.coldUntil().Sub(now))
	}
	return message
}

// mergeLimit applies what another instance knows of a replica. It reports whether this instance did not know that the
// replica is cold. The caller holds mu.
func (t *Throttler) mergeLimit(message *encoder.ReplicaLimit, now time.Time) (isNewlyCold bool) {
	t.merge(message.GetIncarnation(), decodeStatement(message, now))
	return t.recordHeard(message, now)
}
