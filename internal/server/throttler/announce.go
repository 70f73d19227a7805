package throttler

import (
	"time"

	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// announceDelay is the wait after a change, so that changes in quick succession share one
	// announcement.
	announceDelay = 20 * time.Millisecond
	// announceInterval is how often an owner announces the limits that it owns, for instances that
	// have missed a change.
	announceInterval = time.Second
	// retention is how long after its last response the limit of a replica is kept.
	retention = 5 * time.Minute
)

// scheduleAnnouncement announces changed and newlyCold soon. The caller holds mu.
func (t *Throttler) scheduleAnnouncement() {
	if !t.isAnnouncing {
		t.isAnnouncing = true
		t.timer.After(announceDelay, func(now time.Time) { go t.announceChanges(now) })
	}
}

// announceChanges announces the limits that have changed, and the owned ones of replicas that have become cold: an
// instance whose view is older sends to these without asking.
func (t *Throttler) announceChanges(now time.Time) {
	t.mu.Lock()
	t.isAnnouncing = false
	for incarnation := range t.newlyCold {
		if l := t.limits[incarnation]; l != nil && t.links.OwnerID(l.service) == t.self {
			t.changed[incarnation] = true
			delete(t.newlyCold, incarnation)
		}
	}
	message := &encoder.ReplicaLimits{}
	for incarnation := range t.changed {
		if l := t.limits[incarnation]; l != nil {
			message.Limits = append(message.Limits, encodeLimit(incarnation, l, now))
		}
	}
	clear(t.changed)
	t.mu.Unlock()
	t.broadcast(message)
}

// takeUnannouncedCold returns the replicas that this instance has read to be cold and their owner has not announced: its
// view is older, or it does not respond. The caller holds mu.
func (t *Throttler) takeUnannouncedCold(now time.Time) (limits []*encoder.ReplicaLimit) {
	for incarnation, readAt := range t.newlyCold {
		l := t.limits[incarnation]
		switch {
		case l == nil || !l.isCold(now):
			delete(t.newlyCold, incarnation)
		case now.Sub(readAt) >= ownerColdTime:
			delete(t.newlyCold, incarnation)
			limits = append(limits, encodeLimit(incarnation, l, now))
		}
	}
	return limits
}

// maintain announces the limits that this instance owns, and forgets those of replicas that have not
// responded for long.
func (t *Throttler) maintain(now time.Time) {
	if t.knownCount.Load() == 0 {
		return
	}
	owned := make(map[string]bool)
	t.mu.Lock()
	t.dropIdleBuckets(now)
	message := &encoder.ReplicaLimits{Limits: t.takeUnannouncedCold(now)}
	for incarnation, l := range t.limits {
		if now.Sub(l.receivedAt) > retention && now.Sub(l.coldUntil()) > retention {
			delete(t.limits, incarnation)
			t.knownCount.Add(-1)
			t.limitedCount.Add(-count(l.statement.isLimited()))
			continue
		}
		isOwned, isKnown := owned[l.service]
		if !isKnown {
			isOwned = t.links.OwnerID(l.service) == t.self
			owned[l.service] = isOwned
		}
		if isOwned && l.statement.isLimited() {
			message.Limits = append(message.Limits, encodeStatement(incarnation, l.statement, now))
		}
	}
	t.mu.Unlock()
	t.broadcast(message)
}

// broadcast sends an announcement to all instances.
func (t *Throttler) broadcast(message *encoder.ReplicaLimits) {
	if len(message.GetLimits()) > 0 {
		go t.links.Broadcast(&encoder.Frame{Body: &encoder.Frame_ReplicaLimits{ReplicaLimits: message}})
	}
}

// HandleLimits handles an announcement of another instance.
func (t *Throttler) HandleLimits(message *encoder.ReplicaLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timer.Now()
	for _, known := range message.GetLimits() {
		t.mergeLimit(known, now)
		if known.GetColdLeftMs() > 0 {
			delete(t.newlyCold, known.GetIncarnation())
		}
	}
}

// HandleRequest returns the response to a request of another instance, which considers this one the
// owner of a service's limits.
func (t *Throttler) HandleRequest(request *encoder.PermitRequest) *encoder.Frame {
	return &encoder.Frame{Body: &encoder.Frame_PermitResponse{PermitResponse: t.grant(request)}}
}
