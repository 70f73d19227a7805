package orderer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/parser"
)

// Time limits of an execution.
const (
	// readTimeout bounds one read of the table.
	readTimeout = 250 * time.Millisecond
	// initialPollInterval is the first wait before a row held by another request
	// is read again. It doubles with each read.
	initialPollInterval = 25 * time.Millisecond
	// maxPollInterval bounds the wait between two reads.
	maxPollInterval = 200 * time.Millisecond
	// statusTimeout bounds one status request to the service.
	statusTimeout = 250 * time.Millisecond
	// lateResponseGrace is how long after the deadline a response is still
	// awaited, so that it can be recorded.
	lateResponseGrace = 10 * time.Second
	// timeReserveDivisor sets the part of the remaining time, one tenth, that is
	// reserved at the end: for a status request to a fenced service, and for the
	// response to the caller if the final record cannot be written.
	timeReserveDivisor = 10
	// maxTimeReserve bounds the reserved time.
	maxTimeReserve = 300 * time.Millisecond
)

// Values of execution.sendPermission. An order can be cancelled by its caller in
// sendUndecided, but not in sendAllowed, when bytes may have been sent.
const (
	sendUndecided int32 = iota
	sendAllowed
	sendForbidden
)

// execution runs one order through its chart. It runs in its own goroutine and
// continues when the caller stops waiting.
type execution struct {
	orderer  *Orderer
	request  *server.Request
	snapshot *server.Snapshot
	// key is the key of the order's row.
	key            server.Key
	bodyDigest     string
	service        *parser.Service
	random         *rand.Rand
	sendPermission atomic.Int32
	// attemptedUpstreams are the IDs of the upstreams that attempts were made at.
	attemptedUpstreams []string
	// pollCount counts the waits for another holder.
	pollCount int
	order     order
	// heldByOther reports that another request holds the order.
	heldByOther atomic.Bool

	// done is closed after the fields below are set.
	done    chan struct{}
	outcome server.Outcome
	answer  server.Answer
	err     error
}

// forbidSend prevents any send from now on. It returns false if bytes may
// already have been sent.
func (e *execution) forbidSend() bool {
	return e.sendPermission.CompareAndSwap(sendUndecided, sendForbidden) || e.sendPermission.Load() == sendForbidden
}

// isExpired reports whether nothing may be sent any more: sending was forbidden
// or the deadline has passed.
func (e *execution) isExpired() bool {
	return e.sendPermission.Load() == sendForbidden || !e.orderer.dependencies.Timer.Now().Before(e.request.Deadline)
}

// beforeSend is the pre-send check, called right before the first byte of an
// attempt. The deadline carries a monotonic clock reading, so a process that was
// paused past it sends nothing. The error is ErrDeadline or ErrCallerDisconnected.
func (e *execution) beforeSend() error {
	if e.isExpired() {
		return server.ErrDeadline
	}
	if e.sendPermission.CompareAndSwap(sendUndecided, sendAllowed) || e.sendPermission.Load() == sendAllowed {
		return nil
	}
	return server.ErrCallerDisconnected
}

// run runs the order to a final state and sets the outcome.
func (e *execution) run(ctx context.Context) {
	defer e.orderer.removeExecution(e)
	e.service = e.snapshot.Deployment().Service(e.request.Kind.Service())
	now := e.orderer.dependencies.Timer.Now()
	claim := record{
		RequestID: e.request.ID.String(), Holder: e.orderer.dependencies.ID, Incarnation: e.orderer.incarnation,
		Nonce: server.NewID().String(), BodyDigest: e.bodyDigest, Fence: fenceFromClock(now),
		Service: e.request.Kind.Service(), Operation: e.request.Kind.Operation(),
		UpdatedAt: now.Round(0), Deadline: e.request.Deadline.Round(0), Expires: now.Round(0).Add(e.request.Contract.OrderRetention()),
	}
	e.order = newOrder(claim, serviceInfo{isFenced: e.service.IsFenced(), hasStatus: e.service.HasOrderStatus()})
	for !e.order.hasEnded() {
		before := e.order
		e.order = e.order.apply(e.runPhase(ctx))
		e.heldByOther.Store(e.order.claimVersion == 0 && e.order.holderRequest != "")
		if before.phase == phaseRecording || before.phase == phaseVoiding {
			e.retainUnconfirmed(before)
		}
	}
	e.setOutcome()
}

// fenceFromClock returns a fencing number that also exceeds those of earlier
// rows with the same key, which may have been deleted after their retention.
func fenceFromClock(now time.Time) uint64 { return uint64(max(now.UnixMilli(), 1)) }

// retainUnconfirmed leaves a final record whose write was not confirmed to the
// background task, which retries it. before is the state in which it was written.
func (e *execution) retainUnconfirmed(before order) {
	if e.order.finalConfirmed {
		return
	}
	final := before.finalRecord()
	final.UpdatedAt = e.orderer.dependencies.Timer.Now().Round(0)
	e.orderer.retainIntent(intent{key: e.key, claimExpected: before.expectedVersion, claimConfirmed: before.claimVersion > 0, record: final})
}

// runPhase performs the operation of the current phase.
func (e *execution) runPhase(ctx context.Context) phaseResult {
	switch e.order.phase {
	case phaseClaiming:
		return e.writeClaim(ctx)
	case phaseReading:
		return e.readRow(ctx)
	case phaseWaiting:
		return e.waitToPoll()
	case phaseSending:
		return e.send(ctx)
	case phaseRequestingStatus:
		return e.requestStatus(ctx)
	default:
		return e.writeFinal(ctx)
	}
}

// writeClaim writes the claim, unless the order expired.
func (e *execution) writeClaim(ctx context.Context) phaseResult {
	if e.isExpired() {
		return phaseResult{isExpired: true, err: server.ErrDeadline}
	}
	if upstream := e.pickUpstream(); upstream != nil {
		e.order.claim.Upstream = upstream.ID()
	}
	version, err := e.commitRecord(ctx, e.order.claim, e.order.expectedVersion)
	return phaseResult{version: version, err: err}
}

// commitRecord writes a record if the row has the expected version, and returns the
// new version.
func (e *execution) commitRecord(ctx context.Context, r record, expectedVersion uint64) (uint64, error) {
	write, err := r.write(e.key, expectedVersion)
	if err != nil {
		return 0, err
	}
	return e.orderer.committer.commit(ctx, write)
}

// readRow reads the order's row. If this process has an unconfirmed final record
// for the claim in the row, that record takes precedence over the row.
func (e *execution) readRow(ctx context.Context) phaseResult {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	row, err := e.orderer.dependencies.Table.Get(ctx, e.key)
	if err != nil {
		return phaseResult{err: err, isExpired: e.isExpired()}
	}
	found, err := decodeRecord(row.Value)
	if err != nil {
		return phaseResult{err: err, isExpired: e.isExpired()}
	}
	r := phaseResult{foundRecord: found, version: row.Version, isExpired: e.isExpired(), nextFence: fenceFromClock(e.orderer.dependencies.Timer.Now())}
	if unconfirmed, ok := e.orderer.unconfirmedRecord(found.Nonce); ok {
		r.claimAbandoned = unconfirmed.State == StateNotRun
		if unconfirmed.State == StateDone {
			r.foundRecord = unconfirmed
		}
	}
	return r
}

// waitToPoll waits before the row is read again, with jitter and exponential
// backoff.
func (e *execution) waitToPoll() phaseResult {
	if e.isExpired() {
		return phaseResult{isExpired: true}
	}
	wait := min(initialPollInterval<<min(e.pollCount, 8), maxPollInterval)
	e.pollCount++
	wait = wait/2 + time.Duration(e.random.Int64N(int64(wait)))
	e.sleep(min(wait, e.request.Deadline.Sub(e.orderer.dependencies.Timer.Now())))
	return phaseResult{}
}

// sleep waits even if the caller has stopped waiting, since the execution
// continues without it.
func (e *execution) sleep(wait time.Duration) {
	_ = server.Sleep(context.Background(), e.orderer.dependencies.Timer, wait)
}

// pickUpstream picks a replica of the service, or nil if none is available.
func (e *execution) pickUpstream() *server.Upstream {
	pickRequest := &server.PickRequest{
		Stage: e.request.Kind.Operation(), Service: e.service.Name(), Workspace: e.request.Workspace,
		AttemptedUpstreams: e.attemptedUpstreams, Deadline: e.request.Deadline,
	}
	return e.orderer.dependencies.Picker.Pick(e.orderer.dependencies.Snapshot(), pickRequest, e.orderer.dependencies.Timer.Now(), e.random)
}

// noUpstream returns the error of an order for which there is no replica, with the time until one takes orders
// if all have requested a pause.
func (e *execution) noUpstream() error {
	var wait time.Duration
	if untilAvailable := e.orderer.dependencies.UntilAvailable; untilAvailable != nil {
		wait = untilAvailable(e.orderer.dependencies.Snapshot().Upstreams(e.service.Name()))
	}
	return server.NewFault(e.order.claim.Operation, e.service.Name(), server.ErrNoUpstream, server.WithRetryAfter(wait))
}

// send makes one attempt. beforeSend decides right before the first byte
// whether it may be sent.
func (e *execution) send(ctx context.Context) phaseResult {
	content := server.RequestContent{Keys: []string{server.ContentKey(e.request.Workspace, e.service.Name(), e.request.Kind.Operation(), string(e.request.Input))}}
	if err := e.checkBlocked(content); err != nil {
		return phaseResult{err: err, noRetry: true}
	}
	upstream := e.pickUpstream()
	if upstream == nil {
		return phaseResult{err: e.noUpstream(), noRetry: true}
	}
	e.attemptedUpstreams = append(e.attemptedUpstreams, upstream.ID())
	e.order.claim.Upstream = upstream.ID()
	call := server.Call{
		AttemptID: server.NewID(), Workspace: e.request.Workspace, Stage: e.order.claim.Operation, IdempotencyKey: e.request.IdempotencyKey,
		Fence: e.order.claim.Fence, Priority: e.request.Priority, Deadline: e.request.Deadline, Input: e.request.Input,
		Traceparent: e.request.Traceparent,
		BeforeSend: func() error {
			if !e.orderer.dependencies.Snapshot().IsServing(upstream) {
				return server.ErrLeaving
			}
			if err := e.checkBlocked(content); err != nil {
				return err
			}
			return e.beforeSend()
		},
	}
	ctx, cancel := context.WithDeadlineCause(ctx, e.responseDeadline(), server.ErrDeadline)
	defer cancel()
	upstream.Gauge().Begin()
	answer, sendState, err := e.orderer.dependencies.Service.Operate(ctx, upstream, call)
	upstream.Gauge().End(err == nil)
	e.recordContent(upstream, content, err)
	r := phaseResult{answer: answer, sendState: sendState, err: err}
	// After an attempt that provably did not run, the caller can cancel the order again.
	if err != nil && e.order.provesNotRun(r) {
		e.sendPermission.CompareAndSwap(sendAllowed, sendUndecided)
	}
	r.noRetry = e.isExpired()
	return r
}

// checkBlocked returns server.ErrRequestBlocked if orders with this content crash replicas.
func (e *execution) checkBlocked(content server.RequestContent) error {
	wait, cause := e.orderer.dependencies.RequestBlocker.BlockedFor(content)
	if wait == 0 {
		return nil
	}
	return server.NewFault(e.order.claim.Operation, e.service.Name(), merry.Prepend(server.ErrRequestBlocked, cause), server.WithRetryAfter(wait))
}

// recordContent records for the content of an order how an attempt ended.
func (e *execution) recordContent(upstream *server.Upstream, content server.RequestContent, err error) {
	switch {
	case err == nil:
		e.orderer.dependencies.RequestBlocker.RecordCompletion(e.service.Name(), content)
	case errors.Is(err, server.ErrConnectionLost):
		e.orderer.dependencies.RequestBlocker.RecordCrash(e.service.Name(), upstream.ID(), content, time.Time{})
	}
}

// responseDeadline returns the time until which to wait for the response to an
// attempt. At a fenced service with a status endpoint, that is before the request's
// deadline, to leave time for a status request, which gives a certain outcome. At
// other services it is after the deadline, so that a late response is recorded.
func (e *execution) responseDeadline() time.Time {
	if !e.order.service.isFenced || !e.order.service.hasStatus {
		return e.request.Deadline.Add(lateResponseGrace)
	}
	remaining := e.request.Deadline.Sub(e.orderer.dependencies.Timer.Now())
	return e.request.Deadline.Add(-min(remaining/timeReserveDivisor, maxTimeReserve))
}

// requestStatus requests the order's outcome from the service. A fenced service
// rejects the claim's own fencing number from then on, so its response is final.
func (e *execution) requestStatus(ctx context.Context) phaseResult {
	if e.order.statusRequests > 0 {
		e.sleep(initialPollInterval << e.order.statusRequests)
	}
	upstream := e.orderer.statusUpstream(e.service.Name(), e.order.claim.Upstream)
	if upstream == nil {
		return phaseResult{err: server.ErrNoUpstream}
	}
	answer, err := e.orderer.requestStatus(ctx, upstream, e.key, e.order.claim.Fence, e.order.service)
	return phaseResult{answer: answer, err: err}
}

// requestStatus requests the outcome of a row's order from a service. lastFence is
// the order's last fencing number, which a fenced service rejects from then on.
// The error is ErrNotFound if the service has no such order.
func (o *Orderer) requestStatus(ctx context.Context, upstream *server.Upstream, row server.Key, lastFence uint64, info serviceInfo) (server.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var fence uint64
	if info.isFenced {
		fence = lastFence + 1
	}
	workspace, key := splitRow(row.Row)
	return o.dependencies.Service.OrderStatus(ctx, upstream, workspace, key, fence)
}

// writeFinal writes the final record over the claim.
func (e *execution) writeFinal(ctx context.Context) phaseResult {
	expectedVersion := e.order.expectedVersion
	if e.order.claimVersion > 0 {
		expectedVersion = e.order.claimVersion
	}
	final := e.order.finalRecord()
	final.UpdatedAt = e.orderer.dependencies.Timer.Now().Round(0)
	ctx, cancel := context.WithTimeout(ctx, e.recordTimeout())
	defer cancel()
	_, err := e.commitRecord(ctx, final, expectedVersion)
	return phaseResult{err: err}
}

// recordTimeout returns how long to wait for the write of the final record. The
// wait ends before the deadline, so that a caller that is still waiting gets the
// known outcome in time. An unconfirmed write is retried in the background.
func (e *execution) recordTimeout() time.Duration {
	remaining := e.request.Deadline.Sub(e.orderer.dependencies.Timer.Now())
	if remaining <= 0 {
		return commitTimeout
	}
	return min(commitTimeout, remaining-min(remaining/timeReserveDivisor, maxTimeReserve))
}

// setOutcome sets the outcome, answer and error that the callers receive.
func (e *execution) setOutcome() {
	e.outcome = server.Outcome(e.order.phase)
	switch e.outcome {
	case server.OutcomeDone:
		e.answer = server.Answer{Output: e.order.output}
	case server.OutcomeNotRun:
		e.err = e.notRunCause()
	default:
		e.outcome = server.OutcomeUnknown
		e.err = unknownError(e.order.claim.Operation, "order "+e.holderRequest(), e.order.cause)
	}
}

// holderRequest returns the ID of the request that holds the order.
func (e *execution) holderRequest() string {
	if e.order.claimVersion == 0 && e.order.holderRequest != "" {
		return e.order.holderRequest
	}
	return e.order.claim.RequestID
}

// notRunCause returns the error of an order that did not run. It omits the
// table's error text, which may contain the key.
func (e *execution) notRunCause() error {
	cause := e.order.cause
	step := "claim"
	if e.order.claimVersion > 0 {
		step = e.order.claim.Operation
	}
	switch {
	case errors.Is(cause, server.ErrInvalid):
		return notRunError(step, cause)
	case e.order.claimVersion == 0 && errors.Is(cause, server.ErrDeadline):
		return notRunError(step, server.ErrDeadline)
	case e.order.claimVersion == 0:
		return server.NewFault(step, "table", server.ErrUnavailable, server.WithOutcome(server.OutcomeNotRun), server.WithRetryAfter(time.Second))
	default:
		return server.NewFault(step, e.order.claim.Upstream, merry.Wrap(knownCause(cause)), server.WithOutcome(server.OutcomeNotRun))
	}
}

// knownCause returns the known cause that err wraps, or ErrUnavailable if there is
// none.
func knownCause(err error) error {
	for _, known := range []error{server.ErrDeadline, server.ErrCallerDisconnected, server.ErrNoUpstream, server.ErrLeaving, server.ErrOverload, server.ErrConflict} {
		if errors.Is(err, known) {
			return known
		}
	}
	return server.ErrUnavailable
}
