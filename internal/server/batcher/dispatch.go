package batcher

import "time"

const (
	// dispatchInterval is the least time between two decisions about a service of which the first has left pieces queued,
	// unless a replica is free meanwhile.
	dispatchInterval = 5 * time.Millisecond
	// estimateInterval is how long an estimate of the waits at a service is used.
	estimateInterval = 10 * time.Millisecond
)

// WaitTimes returns the expected times until a new piece is computed, by rank, and as
// the last entry the time until the whole backlog is computed. callDuration is the part
// of each time that the piece's own call takes. For an unknown service it returns nil. The times are as of up to
// estimateInterval ago; the caller must not change them.
func (o *Owner) WaitTimes(service string) (byRank []time.Duration, callDuration time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if s == nil {
		return nil, 0
	}
	if now := o.timer.Now(); s.estimate == nil || now.Sub(s.estimatedAt) >= estimateInterval {
		defer o.recordDecision(s, now)
		o.updatePauses(s, now)
		s.estimate, s.estimateDuration, s.estimatedAt = s.queue.waitTimes(now), s.queue.typicalDuration(), now
	}
	return s.estimate, s.estimateDuration
}

// dispatchSoon dispatches within dispatchInterval, or now if that may start a call: pieces that the last decision has left
// queued wait for a replica, and so does a job that arrives after them. The cost of decisions is thereby bounded however many jobs
// arrive. The caller holds mu.
func (o *Owner) dispatchSoon(s *ownedService) {
	now := o.timer.Now()
	next := s.dispatchedAt.Add(dispatchInterval)
	switch {
	case !s.leftQueued || !now.Before(next):
		o.dispatch(s)
	case s.cancelDispatch == nil || next.Before(s.nextDispatchAt):
		o.dispatchAt(s, next, now)
	}
}

// dispatch starts every call that can be made now and finishes the tasks that the queue
// has shed. The caller holds mu.
func (o *Owner) dispatch(s *ownedService) {
	now := o.timer.Now()
	defer o.recordDecision(s, now)
	o.updatePauses(s, now)
	s.queue.finishesLate = o.finishesLate(s.name)
	for {
		c, shed := s.queue.nextCall(now)
		for _, t := range shed {
			o.shed(s, t, t.cause, now)
		}
		if c == nil {
			break
		}
		s.load.calls++
		o.counts.Calls++
		o.counts.Pieces += uint64(len(c.pieces))
		o.spawn(func() { o.runCall(s, c) })
	}
	s.recordIdle(now)
	s.dispatchedAt, s.leftQueued = now, s.queue.length > 0
	o.scheduleDispatch(s, now)
}

// updatePauses updates the pauses of the replicas, which may also have been requested in responses to
// releases. The caller holds mu.
func (o *Owner) updatePauses(s *ownedService, now time.Time) {
	if o.pauses == nil {
		return
	}
	for _, b := range s.queue.replicas {
		if wait := o.pauses.PausedFor(&b.Replica); wait > 0 {
			b.pausedUntil = now.Add(wait)
		}
	}
}

// scheduleDispatch schedules the next dispatch: when a queued task has waited for
// localityWait, one that uses left-over capacity is refused or the backoff of a replica ends, at the latest localityWait from now. The
// caller holds mu.
func (o *Owner) scheduleDispatch(s *ownedService, now time.Time) {
	if s.queue.length == 0 {
		s.cancelScheduled()
		return
	}
	dispatchAt := now.Add(localityWait)
	s.queue.inspect(len(s.queue.tasks) + len(s.queue.replicas))
	for _, t := range s.queue.tasks {
		if waitEnd := t.enqueuedAt.Add(localityWait); waitEnd.After(now) && waitEnd.Before(dispatchAt) {
			dispatchAt = waitEnd
		}
	}
	// The client must receive the refusal before its deadline.
	if refusedAt, ok := s.queue.earliestRefusal(now); ok && refusedAt.Before(dispatchAt) {
		dispatchAt = refusedAt
	}
	for _, b := range s.queue.replicas {
		for _, blockEnd := range [...]time.Time{b.blockedUntil, b.pausedUntil} {
			if blockEnd.After(now) && blockEnd.Before(dispatchAt) {
				dispatchAt = blockEnd
			}
		}
	}
	o.dispatchAt(s, dispatchAt.Add(time.Millisecond), now)
}

// cancelScheduled cancels the scheduled decision. The caller holds mu.
func (s *ownedService) cancelScheduled() {
	if s.cancelDispatch != nil {
		s.cancelDispatch()
		s.cancelDispatch = nil
	}
}

// dispatchAt schedules the next dispatch instead of the one scheduled before. The caller holds mu.
func (o *Owner) dispatchAt(s *ownedService, at, now time.Time) {
	s.cancelScheduled()
	s.nextDispatchAt = at
	s.cancelDispatch = o.timer.After(at.Sub(now), func(time.Time) {
		o.spawn(func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			if s.cancelDispatch == nil || !s.nextDispatchAt.Equal(at) {
				return // cancelled or replaced while it began
			}
			s.cancelDispatch = nil
			o.dispatchSoon(s)
		})
	})
}
