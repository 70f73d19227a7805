package batcher

import (
	"cmp"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/router"
)

const (
	// localityWait is how long a piece waits for a replica in its preferred data centre
	// while it can still meet its soft deadline; lateLocalityWait is the same for a piece
	// that cannot.
	localityWait     = 350 * time.Millisecond
	lateLocalityWait = 50 * time.Millisecond
	// minSlack is the time that must remain between the expected end of the call that a
	// piece waits for and its soft deadline.
	minSlack = 60 * time.Millisecond
	// slowThreshold is how many times slower than the fastest replica another one may be
	// before it counts as slow, and pieces may wait for a faster one.
	slowThreshold = 1.8
	// slowdownGain is the weight of the newest call in a replica's average slowdown.
	slowdownGain = 0.4
	// maxLateWait is how long a piece that can no longer meet its soft deadline waits for
	// a replica that no piece on time needs, about one and a half calls. A longer wait
	// means that the service is saturated.
	maxLateWait = 400 * time.Millisecond
	// slowdownHalfLife is the half-life of the slowdown of a replica without calls.
	// Replicas stay slow for about 5 s at a time, and a probe costs one call.
	slowdownHalfLife = time.Second
	// durationGain is the weight of the newest call in a service's average duration.
	durationGain = 0.15
	// untrackedHalfLife is the half-life of the estimate of untracked memory.
	untrackedHalfLife = 150 * time.Millisecond
	// expectedTTL is how long a forecast of expected pieces is valid.
	expectedTTL = 3 * time.Second
	// assumedFill is the part of a call's size that is assumed to be used, before the
	// first call.
	assumedFill = 0.5
	// minSlowdown and maxSlowdown bound the slowdown that is measured from one call.
	minSlowdown, maxSlowdown = 0.3, 12
)

// queue holds the queued pieces of one service and selects those of the next call. It
// uses no clock, network or goroutine. The owner's mu guards it.
type queue struct {
	batch server.Batch
	// tasks are those with queued pieces, length is the number of the pieces.
	tasks  []*task
	length int
	// hasLeftoverRule is set while returning clients use left-over capacity; leftoverLength is the number of queued pieces
	// that do. See useLeftover.
	hasLeftoverRule bool
	leftoverLength  int
	replicas        map[string]*trackedReplica
	lastSequence    uint64
	// finishesLate is set while late tasks wait until their hard deadline; see Owner.finishesLate.
	finishesLate bool
	// averageDuration is a moving average of call durations; zero before the first call.
	averageDuration time.Duration
	// forecasts are the pieces expected to be requested, by stage of a request.
	forecasts map[stageKey]expectedPieces
	// usage counts the recently requested and computed pieces, by rank.
	usage [router.RankCount]rankUsage
	// shares are those of the workspaces of each rank; nil unless the policy is SharesOfWorkspaces.
	shares *workspaceShares
	// times estimates the time per piece of each stage; nil unless the policy is SharesOfWorkspaces.
	times *stageTimes
	// inspected counts the tasks, pieces and replicas that decisions have looked at: their cost, whatever the processor.
	inspected uint64
}

// inspect adds to the cost of the decisions so far.
func (q *queue) inspect(count int) { q.inspected += uint64(count) }

func newQueue() *queue {
	return &queue{replicas: make(map[string]*trackedReplica), forecasts: make(map[stageKey]expectedPieces)}
}

// addTask queues a task's pieces and deletes the forecast for their stage. It adds the
// pieces to the demand of their rank unless the forecast has already added them.
func (q *queue) addTask(t *task) {
	q.lastSequence++
	t.sequence = q.lastSequence
	key := stageKey{t.RequestID, t.Stage}
	if _, hasForecast := q.forecasts[key]; !hasForecast {
		q.usageOfRank(t.Rank).addRequested(len(t.Pieces), t.enqueuedAt)
	}
	delete(q.forecasts, key)
	if q.shares != nil {
		q.shares.recordRequested(t, q.taskWork(t), t.enqueuedAt)
	}
	q.useLeftoverOnArrival(t)
	for i := range t.Pieces {
		q.enqueue(&queuedPiece{task: t, index: i})
	}
	if q.shares != nil && q.shares.backlog != nil && !t.usesLeftover {
		q.shares.backlog.add(t, q.pieceWork(t))
	}
}

// enqueue queues one piece, for its first attempt or a retry.
func (q *queue) enqueue(p *queuedPiece) {
	if len(p.task.queued) == 0 {
		q.tasks = append(q.tasks, p.task)
	}
	p.task.queued = append(p.task.queued, p)
	q.length++
	if p.task.usesLeftover = p.task.usesLeftover && q.hasLeftoverRule; p.task.usesLeftover {
		q.leftoverLength++
	}
}

// nextCall returns the next call to make now, or nil, and the tasks that were shed; see
// pruneTasks.
func (q *queue) nextCall(now time.Time) (*call, []*task) {
	q.updateShares(now)
	shed := q.pruneTasks(now)
	q.updateShares(now)
	if q.times != nil {
		q.times.updateAverage(q.tasks, now)
	}
	if q.length == 0 {
		return nil, shed
	}
	idle := q.idleReplicas(now)
	if len(idle) == 0 {
		return nil, shed
	}
	orderedTasks := q.servingOrder(now)
	slotTimes := q.slotTimes(now)
	slowdownLimit, needs := q.slowdownLimit(), q.needsOf(orderedTasks)
	for _, b := range idle {
		if q.batch.ResultMemory > 0 && needs.memory > b.freeMemory(q.batch.ResultMemory, now) {
			continue
		}
		tasks := orderedTasks
		if needs.hasRegions || b.slowdown > slowdownLimit {
			tasks = q.tasksFor(b, orderedTasks, slowdownLimit, now)
		}
		if len(tasks) == 0 {
			continue
		}
		if pieces := q.selectPieces(b, tasks, slotTimes, now); len(pieces) > 0 {
			return q.startCall(b, pieces, now), shed
		}
	}
	return nil, shed
}

// pruneTasks removes the finished tasks and those that are shed, and returns the latter. A
// task is shed if no call can end before its hard deadline, if it has waited for too long
// since it could no longer meet its soft deadline and late tasks are not finished, or if it cannot meet that while the
// queue is backlogged. Those of returning clients are kept instead where useLeftover defers them, until earliestLeftoverEnd
// is after their hard deadline. If all replicas have requested pauses, what counts is the end of the first one.
func (q *queue) pruneTasks(now time.Time) []*task {
	var shed []*task
	leftoverEnd := q.earliestLeftoverEnd(now)
	now = now.Add(q.untilPauseEnd(now))
	q.inspect(len(q.tasks))
	earliestEnd, callDuration, isBacklogged := now.Add(q.shortestCall()), q.nextCallDuration(), q.isBacklogged()
	q.tasks = slices.DeleteFunc(q.tasks, func(t *task) bool {
		due := q.dueAt(t)
		switch {
		case t.isFinished:
		case earliestEnd.After(t.HardDeadline):
			t.cause = shedByDeadline
		case q.useLeftover(t, due, now, callDuration):
			if !leftoverEnd.After(t.HardDeadline) {
				return false
			}
			t.cause = shedByDeadline
		case !q.finishesLate && t.exceedsLateWait(due, now, callDuration):
			t.cause = shedByLateWait
		case isBacklogged && !t.hasInputs() && now.Add(callDuration).After(due):
			// A task that misses its soft deadline becomes part of no call during a backlog,
			// so it is shed at once, unless earlier stages were computed for it.
			t.cause = shedByBacklog
		default:
			return false
		}
		if !t.isFinished {
			shed = append(shed, t)
		}
		q.removeQueued(t)
		return true
	})
	return append(shed, q.pruneLeftover(now)...)
}

// untilPauseEnd returns the time until the first replica takes calls, if all registered ones have requested
// pauses; otherwise zero.
func (q *queue) untilPauseEnd(now time.Time) time.Duration {
	var shortest time.Duration
	q.inspect(len(q.replicas))
	for _, b := range q.replicas {
		if b.isUnregistered {
			continue
		}
		wait := b.pausedUntil.Sub(now)
		if wait <= 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// exceedsLateWait reports whether a task has waited for longer than maxLateWait since it
// could no longer be on time.
func (t *task) exceedsLateWait(due, now time.Time, callDuration time.Duration) bool {
	lateSince := due.Add(-callDuration)
	if lateSince.Before(t.enqueuedAt) {
		lateSince = t.enqueuedAt
	}
	return now.Sub(lateSince) > maxLateWait
}

// shortestCall returns the expected duration of a call with one piece at the fastest
// replica, at most the planned duration.
func (q *queue) shortestCall() time.Duration {
	slowdown := 0.0
	q.inspect(len(q.replicas))
	for _, b := range q.replicas {
		if !b.isUnregistered && (slowdown == 0 || b.slowdown < slowdown) {
			slowdown = b.slowdown
		}
	}
	return time.Duration(min(slowdown, 1) * float64(q.batch.CallDuration(1)))
}

// nextCallDuration returns the expected duration of a call at the fastest replica with as
// many of the queued pieces as fit. A piece whose soft deadline is before the end of such
// a call cannot meet it.
func (q *queue) nextCallDuration() time.Duration {
	return time.Duration(q.bestSlowdown() * float64(q.callDuration(min(max(q.regularLength(), 1), q.batch.MaxPieces))))
}

// idleReplicas returns the replicas that can take a call now, the fastest first.
func (q *queue) idleReplicas(now time.Time) []*trackedReplica {
	var idle []*trackedReplica
	q.inspect(len(q.replicas))
	for _, b := range q.replicas {
		if !b.isUnregistered && b.activeCalls < q.batch.Slots && !b.isBlocked(now) {
			b.expireResults(now)
			b.decaySlowdown(now)
			idle = append(idle, b)
		}
	}
	slices.SortFunc(idle, func(a, b *trackedReplica) int {
		return cmp.Or(cmp.Compare(a.slowdown, b.slowdown), cmp.Compare(a.ID, b.ID))
	})
	return idle
}

// slotTimes returns for each data centre when its replicas can take their next calls, in
// ascending order. Slow and blocked replicas are left out.
func (q *queue) slotTimes(now time.Time) map[string][]time.Time {
	times := make(map[string][]time.Time)
	slowdownLimit := q.slowdownLimit()
	q.inspect(len(q.replicas))
	for _, b := range q.replicas {
		if b.isUnregistered || b.isBlocked(now) || b.slowdown > slowdownLimit {
			continue
		}
		freeAt := now
		if b.activeCalls >= q.batch.Slots && b.freeAt.After(now) {
			freeAt = b.freeAt
		}
		times[b.Datacentre] = append(times[b.Datacentre], freeAt)
	}
	for _, freeAt := range times {
		slices.SortFunc(freeAt, time.Time.Compare)
	}
	return times
}

// selectPieces selects pieces for a call to a replica, within the size of a call and the
// replica's free memory. A piece with another preferred data centre is deferred if a
// replica there will be free soon enough (see shouldWait). While the queue is backlogged,
// the rest of the call is filled with deferred pieces. A replica that was slow gets a
// probe instead.
func (q *queue) selectPieces(b *trackedReplica, orderedTasks []*task, slotTimes map[string][]time.Time, now time.Time) []*queuedPiece {
	if b.needsProbe {
		return q.selectProbe(b, orderedTasks, now)
	}
	builder := callBuilder{queue: q, replica: b, startsAt: now, freeMemory: b.freeMemory(q.batch.ResultMemory, now), deferralCandidates: make(map[string]int, len(slotTimes))}
	for _, t := range orderedTasks {
		if t.usesLeftover {
			builder.addPreferring() // left-over tasks come last
		}
		for _, p := range t.queued {
			q.inspect(1)
			if len(builder.pieces) == q.batch.MaxPieces {
				return builder.pieces
			}
			if builder.shouldDefer(t, slotTimes) {
				builder.deferredPieces = append(builder.deferredPieces, p)
				continue
			}
			builder.add(p)
		}
	}
	builder.addPreferring()
	return builder.pieces
}

// selectProbe selects the pieces of the least urgent task, for a small call that shows
// whether a replica is still slow.
func (q *queue) selectProbe(b *trackedReplica, orderedTasks []*task, now time.Time) []*queuedPiece {
	builder := callBuilder{queue: q, replica: b, startsAt: now, isProbe: true, freeMemory: b.freeMemory(q.batch.ResultMemory, now)}
	for _, p := range orderedTasks[len(orderedTasks)-1].queued {
		builder.add(p)
	}
	return builder.pieces
}

// isBacklogged reports whether more pieces are queued than fit into one call of each
// registered replica, without those that use left-over capacity.
func (q *queue) isBacklogged() bool {
	replicas := 0
	q.inspect(len(q.replicas))
	for _, b := range q.replicas {
		if !b.isUnregistered {
			replicas++
		}
	}
	return q.regularLength() > replicas*q.batch.MaxPieces
}

// shouldWait reports whether a task should wait for a replica in its preferred data
// centre that is free at freeAt: for up to localityWait if it then still meets its soft
// deadline, else for up to lateLocalityWait.
func (q *queue) shouldWait(t *task, freeAt time.Time) bool {
	wait := freeAt.Sub(t.enqueuedAt)
	if freeAt.Add(q.typicalDuration() + minSlack).Before(q.dueAt(t)) {
		return wait < localityWait
	}
	return wait < lateLocalityWait
}
