package batcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// runCall makes one call to a replica and handles its results or its error. A call
// that takes much longer than expected is cancelled.
func (o *Owner) runCall(s *ownedService, c *call) {
	pieces := o.wantedPieces(s, c)
	if len(pieces) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(o.ctx)
	stop := o.timer.After(callTimeoutFactor*c.expectedDuration+callTimeoutMargin, func(time.Time) { cancel() })
	results, err := o.caller.ComputePieces(ctx, c.destination(), pieces)
	stop()
	timedOut := ctx.Err() != nil
	cancel()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	s.queue.finishCall(c)
	o.log.Info("stage call finished", "service", s.name, "replica", c.replica.ID, "datacentre", c.replica.Datacentre, "pieces", len(c.pieces),
		"first_request", c.pieces[0].task.RequestID, "oldest_ms", c.startedAt.Sub(c.oldestEnqueuedAt()).Milliseconds(), "took_ms", now.Sub(c.startedAt).Milliseconds(),
		"span_ms", c.expectedDuration.Milliseconds(), "waiting", s.queue.length, "used", c.replica.usedMemory, "room", s.queue.batch.ResultMemory, "ok", err == nil)
	if err != nil {
		o.handleCallError(s, c, err, timedOut, now)
	} else {
		c.replica.consecutiveFailures = 0
		if o.blocker != nil {
			o.blocker.RecordServing(c.replica.Incarnation(), c.startedAt)
		}
		s.queue.recordCall(c, now.Sub(c.startedAt), now)
		o.handleResults(s, c, results, now)
		if o.draining {
			o.transferLateResults(s, c, results, now)
		}
	}
	o.dispatch(s)
}

// wantedPieces returns the pieces of a call as its replica receives them. It drops those
// whose job was cancelled, or whose deadline has passed, since they were selected. If none
// is left, the call ends here.
func (o *Owner) wantedPieces(s *ownedService, c *call) []server.Piece {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	for _, p := range c.pieces {
		switch {
		case !now.Before(p.task.HardDeadline):
			o.finishTask(s, p.task, server.PieceFailureDeadline)
		case o.isBlocked(p.task):
			o.finishTask(s, p.task, server.PieceFailureBlocked)
		}
	}
	s.queue.dropFinished(c)
	if len(c.pieces) == 0 {
		s.queue.finishCall(c)
		o.dispatch(s)
		return nil
	}
	pieces := make([]server.Piece, len(c.pieces))
	for n, p := range c.pieces {
		t := p.task
		pieces[n] = server.Piece{
			RequestID: t.RequestID, Stage: t.Stage, Piece: t.Pieces[p.index], TimeLeft: t.HardDeadline.Sub(now), Key: t.Key, Inputs: t.Inputs,
		}
	}
	return pieces
}

// handleResults assigns the results of a call to their tasks, retries the pieces that
// failed and ends the tasks that cannot be completed. The caller holds mu.
func (o *Owner) handleResults(s *ownedService, c *call, results []server.PieceResult, now time.Time) {
	var failedPieces, piecesWithoutMemory []*queuedPiece
	for n, p := range c.pieces {
		t := p.task
		switch {
		case results[n].Handle != "":
			o.storeResult(s, c.replica, p, results[n].Handle, now)
		case results[n].Failure == server.PieceFailureMemory:
			o.counts.PiecesWithoutMemory++
			piecesWithoutMemory = append(piecesWithoutMemory, p)
		case results[n].Failure == server.PieceFailureError:
			o.counts.Failures++
			failedPieces = append(failedPieces, p)
		default:
			o.log.Info("piece not computed", "request", t.RequestID, "stage", t.Stage, "piece", t.Pieces[p.index], "service", s.name,
				"replica", c.replica.ID, "reason", string(results[n].Failure))
			o.finishTask(s, t, results[n].Failure)
		}
	}
	if len(piecesWithoutMemory) == len(c.pieces) {
		// The replica is full of results that this owner does not track, such as those
		// of a previous owner; they take up memory until they expire.
		c.replica.blockedUntil = now.Add(memoryBackoff)
	}
	if len(piecesWithoutMemory) > 0 {
		c.replica.recordMemoryFull(int64(len(piecesWithoutMemory))*piecesWithoutMemory[0].task.ResultBytes, now)
		o.log.Info("replica had no memory for results", "service", s.name, "replica", c.replica.ID, "pieces", len(piecesWithoutMemory), "used", c.replica.usedMemory, "room", s.queue.batch.ResultMemory)
	}
	for _, p := range piecesWithoutMemory {
		p.attempts-- // a refusal for lack of memory does not count as an attempt
	}
	o.retryPieces(s, append(failedPieces, piecesWithoutMemory...), "not computed")
}

// storeResult records a result in its replica's memory and its task, and completes
// the task with the last one. A result whose task has already finished is released.
// The caller holds mu.
func (o *Owner) storeResult(s *ownedService, b *trackedReplica, p *queuedPiece, handle string, now time.Time) {
	t := p.task
	b.results[handle] = storedResult{bytes: t.ResultBytes, expiresAt: now.Add(s.queue.batch.ResultTTL)}
	b.usedMemory += t.ResultBytes
	if t.isFinished {
		o.queueReleases(s, []string{handle})
		return
	}
	t.handles[p.index] = handle
	if t.remaining--; t.remaining == 0 {
		if o.blocker != nil && t.Content != "" {
			o.blocker.RecordCompletion(s.name, t.content())
		}
		o.pieceCounters.recordServed(t)
		o.recordReturning(s, t, returningServed)
		o.finishTask(s, t, "")
	}
}

// retryPieces queues pieces again. The task of a piece that has used up maxAttempts fails;
// if the retry budget is exhausted, the tasks of all the pieces fail. The caller holds mu.
func (o *Owner) retryPieces(s *ownedService, pieces []*queuedPiece, cause string) {
	pieces = slices.DeleteFunc(pieces, func(p *queuedPiece) bool { return p.task.isFinished })
	if len(pieces) == 0 {
		return
	}
	hasBudget := o.budget.AcquireRetries(s.name, len(pieces))
	o.log.Info("retrying pieces", "service", s.name, "pieces", len(pieces), "granted", hasBudget, "cause", cause)
	for _, p := range pieces {
		if p.attempts++; !hasBudget || p.attempts >= maxAttempts {
			o.finishTask(s, p.task, server.PieceFailureError)
			continue
		}
		o.counts.RetriedPieces++
		s.queue.enqueue(p)
	}
}

// retryAfter returns the time after which a withheld call may be made; zero if unknown.
func retryAfter(err error) time.Duration {
	var fault *server.Fault
	if errors.As(err, &fault) {
		return fault.RetryAfter()
	}
	return 0
}

// isBlocked reports whether pieces of a request like the task's crash replicas.
func (o *Owner) isBlocked(t *task) bool {
	if o.blocker == nil || t.Content == "" {
		return false
	}
	wait, _ := o.blocker.BlockedFor(t.content())
	return wait > 0
}

// recordCrash records that a replica crashed under a call. The caller holds mu.
func (o *Owner) recordCrash(s *ownedService, c *call) {
	var tasks []*task
	for _, p := range c.pieces {
		if !slices.Contains(tasks, p.task) {
			tasks = append(tasks, p.task)
		}
	}
	for _, t := range tasks {
		t.isSuspect = true
		if o.blocker != nil && t.Content != "" {
			o.blocker.RecordCrash(s.name, c.replica.Incarnation(), t.content(), c.startedAt)
		}
	}
}

// handleCallError blocks the replica of a failed call for a while and retries the
// call's pieces. timedOut is set when this owner cancelled the call. The caller holds mu.
func (o *Owner) handleCallError(s *ownedService, c *call, err error, timedOut bool, now time.Time) {
	b := c.replica
	if errors.Is(err, server.ErrWithheld) {
		wait := retryAfter(err)
		if o.updatePauses(s, now); now.Before(b.pausedUntil) {
			wait = 0
		}
		b.blockedUntil = now.Add(max(overloadBackoff, wait))
		for _, p := range c.pieces {
			if !p.task.isFinished {
				s.queue.enqueue(p) // no replica has received it, so this is not a retry
			}
		}
		return
	}
	if errors.Is(err, server.ErrOverload) {
		o.counts.OverloadedCalls++
		b.blockedUntil = now.Add(overloadBackoff)
	} else {
		o.counts.Failures++
		if errors.Is(err, server.ErrConnectionLost) && !timedOut {
			o.recordCrash(s, c)
		}
		backoff := min(minFailureBackoff<<min(b.consecutiveFailures, 6), maxFailureBackoff)
		b.consecutiveFailures++
		b.blockedUntil = now.Add(backoff)
		if timedOut {
			b.recordDuration(maxSlowdown*c.expectedDuration, c.expectedDuration, now)
		}
		o.log.Info("stage call failed", "service", s.name, "replica", b.ID, "pieces", len(c.pieces), "overdue", timedOut,
			"block_ms", backoff.Milliseconds(), "cause", err.Error())
	}
	o.retryPieces(s, c.pieces, err.Error())
}
