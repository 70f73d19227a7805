package batcher

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server/router"
)

// ReturningPolicy states at which stage services returning clients use left-over capacity.
type ReturningPolicy string

// The policies: ReturningAtPatient applies to the services that patient routes of the plan use, ReturningAtAll to all
// services, ReturningAtNone to none. The zero value counts as ReturningAtNone.
const (
	ReturningAtPatient ReturningPolicy = "patient"
	ReturningAtAll     ReturningPolicy = "all"
	ReturningAtNone    ReturningPolicy = "none"
)

// ParseReturningPolicy returns the policy of a name.
func ParseReturningPolicy(name string) (ReturningPolicy, error) {
	switch policy := ReturningPolicy(name); policy {
	case ReturningAtPatient, ReturningAtAll, ReturningAtNone:
		return policy, nil
	default:
		return "", fmt.Errorf("returning: %q is not allowed; use %s, %s or %s", name, ReturningAtPatient, ReturningAtAll, ReturningAtNone)
	}
}

// AppliesTo reports whether the policy applies to a service; isPatient is set if a patient route uses it.
func (p ReturningPolicy) AppliesTo(isPatient bool) bool {
	return p == ReturningAtAll || p == ReturningAtPatient && isPatient
}

// WithReturning sets the policy on returning clients; without it, no service defers them.
func WithReturning(policy ReturningPolicy) OwnerOption {
	return func(o *Owner) { o.returning = policy }
}

// UpdatePatientServices sets the services that patient routes of the plan use. Queued tasks follow the new plan at once.
func (o *Owner) UpdatePatientServices(services map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.patientServices = services
	for _, name := range slices.Sorted(maps.Keys(o.services)) {
		s := o.services[name]
		if defers := o.returning.AppliesTo(services[name]); defers != s.queue.hasLeftoverRule {
			s.queue.setLeftoverRule(defers)
			o.log.Info("rule on returning clients changed", "service", name, "left_over_only", defers)
			o.dispatch(s)
		}
	}
}

// setLeftoverRule sets whether returning clients use left-over capacity. Deferred tasks count as any others afterwards,
// until useLeftover defers them again.
func (q *queue) setLeftoverRule(defers bool) {
	q.hasLeftoverRule, q.leftoverLength = defers, 0
	for _, t := range q.tasks {
		t.usesLeftover = false
	}
}

// useLeftoverOnArrival defers a new task of a returning client if it would be computed after its soft deadline. Its soft deadline
// is earlier than that of the tasks before it, which it would otherwise delay.
func (q *queue) useLeftoverOnArrival(t *task) {
	rank := min(max(t.Rank, 0), router.RankCount-1)
	t.usesLeftover = q.hasLeftoverRule && t.IsReturning && t.enqueuedAt.Add(q.waitTimes(t.enqueuedAt)[rank]).After(t.SoftDeadline)
}

// useLeftover defers the task of a returning client once it cannot meet its soft deadline, and reports whether it is
// deferred. It then waits until on-time pieces leave capacity, at most until no call can end before its hard deadline:
// a client that is refused twice has no time for a third attempt. Before, it is served as any other task.
func (q *queue) useLeftover(t *task, due, now time.Time, callDuration time.Duration) bool {
	if !q.hasLeftoverRule || !t.IsReturning {
		return false
	}
	if !t.usesLeftover && now.Add(callDuration).After(due) {
		t.usesLeftover = true
		q.leftoverLength += len(t.queued)
	}
	return t.usesLeftover
}

// earliestLeftoverEnd returns the earliest time at which a call that has not begun is expected to end, given the calls in
// progress. A task that is due before can be refused already. Replicas without calls in progress count as free, also
// blocked ones, and so do those with several slots, of which only the end of the last call is known.
func (q *queue) earliestLeftoverEnd(now time.Time) time.Time {
	var freeAt time.Time
	q.inspect(len(q.replicas))
	for _, b := range q.replicas {
		if b.isUnregistered {
			continue
		}
		if b.activeCalls == 0 || q.batch.Slots > 1 || b.freeAt.Before(now) {
			return now.Add(q.shortestCall())
		}
		if freeAt.IsZero() || b.freeAt.Before(freeAt) {
			freeAt = b.freeAt
		}
	}
	if freeAt.IsZero() {
		freeAt = now
	}
	return freeAt.Add(q.shortestCall())
}

// pruneLeftover removes the tasks that use left-over capacity and cannot be computed before their hard deadline even if
// all replicas make full calls for the pieces that come before, and returns them. Their clients are refused while they can
// still return, and their pieces delay no other task that can be computed in time.
func (q *queue) pruneLeftover(now time.Time) (shed []*task) {
	if q.leftoverLength == 0 {
		return nil
	}
	perSecond := 0.0
	q.inspect(len(q.replicas) + len(q.tasks))
	for _, b := range q.replicas {
		if !b.isUnregistered {
			perSecond += float64(q.batch.MaxPieces) / max(q.expectedDuration(b, q.batch.MaxPieces), time.Millisecond).Seconds()
		}
	}
	if perSecond == 0 {
		return nil
	}
	var onTime, leftover []*task
	nextCallEnd := now.Add(q.nextCallDuration())
	for _, t := range q.tasks {
		if t.usesLeftover {
			leftover = append(leftover, t)
		} else if !nextCallEnd.After(q.dueAt(t)) {
			onTime = append(onTime, t)
		}
	}
	timeFor := func(t *task) time.Duration {
		return time.Duration(float64(len(t.queued)) / perSecond * float64(time.Second))
	}
	end := q.earliestLeftoverEnd(now).Add(-q.shortestCall())
	// Pieces on time are shed when they become late, so they take no capacity after that.
	slices.SortFunc(onTime, func(a, b *task) int { return q.dueAt(a).Compare(q.dueAt(b)) })
	for _, t := range onTime {
		if next, due := end.Add(timeFor(t)), q.dueAt(t); !next.After(due) {
			end = next
		} else if due.After(end) {
			end = due
		}
	}
	slices.SortFunc(leftover, compareLeftover)
	for _, t := range leftover {
		if next := end.Add(timeFor(t)); !next.After(t.HardDeadline) {
			end = next
			continue
		}
		t.cause = shedByDeadline
		q.removeQueued(t)
		shed = append(shed, t)
	}
	if len(shed) > 0 {
		q.tasks = slices.DeleteFunc(q.tasks, func(t *task) bool { return len(t.queued) == 0 })
	}
	return shed
}

// earliestRefusal returns when the first of the tasks that use left-over capacity is refused unless it becomes part of a
// call before; false without such a task that is refused after now.
func (q *queue) earliestRefusal(now time.Time) (earliest time.Time, ok bool) {
	if q.leftoverLength == 0 {
		return time.Time{}, false
	}
	shortestCall := q.shortestCall()
	q.inspect(len(q.tasks))
	for _, t := range q.tasks {
		refusedAt := t.HardDeadline.Add(-shortestCall)
		if t.usesLeftover && refusedAt.After(now) && (!ok || refusedAt.Before(earliest)) {
			earliest, ok = refusedAt, true
		}
	}
	return earliest, ok
}

// regularLength returns the number of queued pieces without those that use left-over capacity.
func (q *queue) regularLength() int { return q.length - q.leftoverLength }

// removeQueued removes the queued pieces of a task.
func (q *queue) removeQueued(t *task) {
	q.length -= len(t.queued)
	if t.usesLeftover {
		q.leftoverLength -= len(t.queued)
	}
	t.queued = nil
}

// compareLeftover orders deferred tasks before others. Among them, those with computed stages or pieces come first, since
// that work would be wasted, then those with the earliest hard deadline.
func compareLeftover(a, b *task) int {
	if !a.usesLeftover || !b.usesLeftover {
		return compareBool(b.usesLeftover, a.usesLeftover)
	}
	return cmp.Or(-cmp.Compare(progress(a), progress(b)), compareBool(b.isStarted, a.isStarted), a.HardDeadline.Compare(b.HardDeadline), cmp.Compare(a.sequence, b.sequence))
}

// returningState is what became of a job of a returning client; it is a label of a metric.
type returningState string

const (
	returningAdmitted returningState = "admitted"
	returningServed   returningState = "served"
	returningShed     returningState = "shed"
)

// recordReturning counts a job of a returning client at a service that defers these. The caller holds mu.
func (o *Owner) recordReturning(s *ownedService, t *task, state returningState) {
	if t.IsReturning && s.queue.hasLeftoverRule {
		o.pieceCounters.returning.WithLabelValues(string(state)).Inc()
	}
}

// logReturningShed writes a line about a job of a returning client that was shed, at most maxShedLines per second. The
// caller holds mu.
func (o *Owner) logReturningShed(s *ownedService, t *task, cause shedCause, now time.Time) {
	omitted, ok := o.shedLimiter.allow(now)
	if !ok {
		return
	}
	o.log.Info("pieces refused", "request", t.RequestID, "service", s.name, "stage", t.Stage, "pieces", len(t.Pieces), "cause", string(cause),
		"rank", t.Rank, "workspace", t.Workspace, "returning", true, "waited_ms", now.Sub(t.enqueuedAt).Milliseconds(),
		"queued", s.queue.length, "queued_late", s.queue.leftoverLength, "omitted", omitted)
}
