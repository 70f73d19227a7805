package batcher

import (
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// call is a call to a replica that is about to be made or in progress.
type call struct {
	replica          *trackedReplica
	pieces           []*queuedPiece
	expectedDuration time.Duration
	startedAt        time.Time
}

// oldestEnqueuedAt returns when the oldest task of the call was queued.
func (c *call) oldestEnqueuedAt() time.Time {
	first := c.pieces[0].task.enqueuedAt
	for _, p := range c.pieces {
		if p.task.enqueuedAt.Before(first) {
			first = p.task.enqueuedAt
		}
	}
	return first
}

// destination returns the replica of the call. Connections to it are passed on only by instances in regions in which all
// pieces of the call are allowed.
func (c *call) destination() *server.Replica {
	replica := c.replica.Replica
	for _, p := range c.pieces {
		switch regions := p.task.Regions; {
		case len(regions) == 0:
		case len(replica.HelperRegions) == 0:
			replica.HelperRegions = slices.Clone(regions)
		default:
			replica.HelperRegions = slices.DeleteFunc(replica.HelperRegions, func(region string) bool { return !slices.Contains(regions, region) })
		}
	}
	return &replica
}

// startCall removes pieces from the queue, reserves the memory of their results and
// returns their call.
func (q *queue) startCall(b *trackedReplica, pieces []*queuedPiece, now time.Time) *call {
	nextCallEnd := now.Add(q.nextCallDuration())
	inCall := make(map[*queuedPiece]bool, len(pieces))
	for _, p := range pieces {
		inCall[p] = true
		b.usedMemory += p.task.ResultBytes
		if p.task.Datacentre == "" {
			// The next stage fetches all results of a request together, so the rest of
			// the task should be computed in the same data centre.
			p.task.Datacentre = b.Datacentre
		}
		if !p.task.usesLeftover && !nextCallEnd.After(q.dueAt(p.task)) {
			q.usageOfRank(p.task.Rank).addComputed(now)
		}
		if !p.task.isStarted && q.shares != nil {
			q.shares.recordStart(p.task, q.taskWork(p.task), now)
		}
		p.task.isStarted = true
	}
	q.inspect(len(q.tasks))
	q.tasks = slices.DeleteFunc(q.tasks, func(t *task) bool {
		t.queued = slices.DeleteFunc(t.queued, func(p *queuedPiece) bool { return inCall[p] })
		return len(t.queued) == 0
	})
	q.length -= len(pieces)
	for p := range inCall {
		if p.task.usesLeftover {
			q.leftoverLength--
		}
	}
	duration := time.Duration(b.slowdown * float64(q.durationOf(pieces)))
	b.activeCalls++
	b.freeAt = now.Add(duration)
	b.needsProbe = false
	return &call{replica: b, pieces: pieces, expectedDuration: duration, startedAt: now}
}

// dropFinished removes the pieces of finished tasks from a call that was not sent yet, and
// frees the memory reserved for their results.
func (q *queue) dropFinished(c *call) {
	c.pieces = slices.DeleteFunc(c.pieces, func(p *queuedPiece) bool {
		if p.task.isFinished {
			c.replica.usedMemory -= p.task.ResultBytes
		}
		return p.task.isFinished
	})
}

// finishCall frees the slot of a call and the memory reserved for its results. Results
// that were computed are counted again when they are stored.
func (q *queue) finishCall(c *call) {
	c.replica.activeCalls--
	for _, p := range c.pieces {
		c.replica.usedMemory -= p.task.ResultBytes
	}
}

// callBuilder selects the pieces of one call.
type callBuilder struct {
	queue   *queue
	replica *trackedReplica
	// startsAt is when the call starts. isProbe is set if it shows how fast the replica is now.
	startsAt time.Time
	isProbe  bool
	pieces   []*queuedPiece
	// endsBy is the time by which the call must end if pieces of it use left-over capacity; zero for none.
	endsBy      time.Time
	hasLeftover bool
	// deferredPieces are the pieces left for replicas in their preferred data centres.
	deferredPieces []*queuedPiece
	freeMemory     int64
	// deferralCandidates is the number of pieces considered for deferral, by preferred
	// data centre.
	deferralCandidates map[string]int
}

// shouldDefer reports whether a piece is left for its preferred data centre. The pieces
// that prefer a data centre are assigned to its next free slots in order, a full call to
// each slot.
func (c *callBuilder) shouldDefer(t *task, slotTimes map[string][]time.Time) bool {
	preferred := t.Datacentre
	if preferred == "" || preferred == c.replica.Datacentre || len(slotTimes[preferred]) == 0 {
		return false
	}
	callIndex := c.deferralCandidates[preferred] / c.queue.batch.MaxPieces
	c.deferralCandidates[preferred]++
	return callIndex < len(slotTimes[preferred]) && c.queue.shouldWait(t, slotTimes[preferred][callIndex])
}

// addPreferring fills the rest of the call with the pieces left for their preferred data centres if the queue is
// backlogged.
func (c *callBuilder) addPreferring() {
	if !c.queue.isBacklogged() {
		return
	}
	for _, p := range c.deferredPieces {
		c.add(p)
	}
	c.deferredPieces = nil
}

// add adds a piece to the call, unless the call is full or the replica has too little free
// memory for the result.
func (c *callBuilder) add(p *queuedPiece) {
	if len(c.pieces) > 0 && p.task != c.pieces[0].task && (p.task.isSuspect || c.pieces[0].task.isSuspect) {
		return
	}
	hasMemoryLimit := c.queue.batch.ResultMemory > 0
	if len(c.pieces) == c.queue.batch.MaxPieces || hasMemoryLimit && p.task.ResultBytes > c.freeMemory {
		return
	}
	if c.exceedsLimit(p) {
		return
	}
	c.freeMemory -= p.task.ResultBytes
	c.pieces = append(c.pieces, p)
}

// exceedsLimit reports whether a piece would make a call with pieces that use left-over capacity end too late: after the
// hard deadline of one of these, whose result would be useless, or after the soft deadline of a piece on time, which the
// longer call would delay. The duration of a probe is not known.
func (c *callBuilder) exceedsLimit(p *queuedPiece) bool {
	if !c.queue.hasLeftoverRule || c.isProbe {
		return false
	}
	limit, isLimited := c.queue.callLimit(p.task, c.startsAt)
	if !isLimited || !c.endsBy.IsZero() && c.endsBy.Before(limit) {
		limit = c.endsBy
	}
	hasLeftover := c.hasLeftover || p.task.usesLeftover
	if hasLeftover && !limit.IsZero() && c.startsAt.Add(time.Duration(c.replica.slowdown*float64(c.queue.durationOf(append(c.pieces, p))))).After(limit) {
		return true
	}
	c.endsBy, c.hasLeftover = limit, hasLeftover
	return false
}

// callLimit returns the time by which a call with pieces of a task must end, so that the result is useful if the task uses
// left-over capacity, or else on time; false for other late tasks.
func (q *queue) callLimit(t *task, now time.Time) (time.Time, bool) {
	if t.usesLeftover {
		return t.HardDeadline, true
	}
	due := q.dueAt(t)
	return due, !now.Add(q.nextCallDuration()).After(due)
}
