package orderer

import (
	"encoding/json"
	"errors"
	"sync"

	"oriolemill.example/oriolemill/internal/charter"
	"oriolemill.example/oriolemill/internal/server"
)

// chartName is the state chart of orders.
const chartName = "order"

// Phases of an order: the states of the chart that are not final.
const (
	// phaseClaiming writes the claim.
	phaseClaiming = "claiming"
	// phaseReading reads the row after a conflict or a lost response.
	phaseReading = "reading"
	// phaseWaiting waits before the row is read again, while another request holds
	// the order or the row cannot be read.
	phaseWaiting = "waiting"
	// phaseSending sends the order to the service.
	phaseSending = "sending"
	// phaseRequestingStatus requests the outcome from the service.
	phaseRequestingStatus = "asking"
	// phaseRecording writes the final record of an order that ran or may have run.
	phaseRecording = "recording"
	// phaseVoiding writes the final record of an order that did not run.
	phaseVoiding = "voiding"
)

// Triggers that more than one phase uses. The chart defines the transitions for
// these and for all other triggers.
const (
	// triggerUncertain means that the order may or may not have run.
	triggerUncertain = "unsure"
	// triggerGiveUp means that the order did not run, but a claim write may still be
	// applied.
	triggerGiveUp = "given-up"
)

// Retry limits of one order at one holder.
const (
	// maxLostClaims bounds the claim writes whose response was lost.
	maxLostClaims = 3
	// maxFailedSends bounds the failed attempts. An attempt is repeated only if it
	// provably did not run.
	maxFailedSends = 3
	// maxStatusRequests bounds the status requests to the service.
	maxStatusRequests = 3
)

// loadChart loads the embedded chart once. It panics if the chart is invalid,
// which tests rule out.
var loadChart = sync.OnceValue(func() *charter.Chart {
	chart, err := charter.Load(chartName)
	if err != nil {
		panic(err)
	}
	return chart
})

// serviceInfo holds the capabilities of a service that decide whether the
// outcome of an order can be proven.
type serviceInfo struct {
	// isFenced reports that the service rejects calls with an outdated fencing number.
	isFenced bool
	// hasStatus reports that the service has a status endpoint, which returns the
	// outcome of an order.
	hasStatus bool
}

// order is the state of one order as one holder knows it. apply is a pure
// function of the state and a result, so that tests can explore every path
// without a clock or network.
type order struct {
	phase   string
	service serviceInfo
	// claim is the record that this holder writes as its claim.
	claim record
	// expectedVersion is the row version on which the claim write is conditional.
	expectedVersion uint64
	// claimVersion is the row's version after the confirmed claim; zero before.
	claimVersion uint64
	// claimUncertain reports that the response to a claim write was lost, so that
	// the write may still be applied.
	claimUncertain bool
	// lostClaims counts claim writes whose response was lost.
	lostClaims     int
	failedSends    int
	statusRequests int
	// finalConfirmed reports that the write of the final record was confirmed.
	finalConfirmed bool
	// holderRequest is the ID of the other request that holds the order, or "".
	holderRequest string
	// output is the service's output; nil unless the order ran.
	output json.RawMessage
	// cause is the last error.
	cause error
}

// newOrder returns an order whose claim expects the row to be absent.
func newOrder(claim record, service serviceInfo) order {
	claim.State = StateClaimed
	return order{phase: loadChart().StartState(), service: service, claim: claim}
}

// hasEnded reports whether the order is in a final state.
func (o order) hasEnded() bool { return loadChart().IsEndState(o.phase) }

// finalRecord returns the record to write in phaseRecording and phaseVoiding.
func (o order) finalRecord() record {
	r := o.claim
	switch {
	case o.phase == phaseVoiding:
		r.State = StateNotRun
	case o.output != nil:
		r.State = StateDone
		r.Output = o.output
	default:
		r.State = StateUnknown
	}
	return r
}

// phaseResult is the result of the operation that a phase requires.
type phaseResult struct {
	err error
	// version is the row's version after a commit or read.
	version uint64
	// foundRecord is the record that was read; valid if err is nil.
	foundRecord record
	// claimAbandoned reports that this process holds the claim in the row and has
	// given it up without sending.
	claimAbandoned bool
	// nextFence is the lowest fencing number for a new claim, from the clock.
	nextFence uint64
	// isExpired reports that the deadline passed or the caller stopped waiting.
	isExpired bool
	// sendState is what is known about the bytes of an attempt.
	sendState server.SendState
	// noRetry reports that no further attempt is possible.
	noRetry bool
	// answer is the service's response; valid if err is nil.
	answer server.Answer
}

// apply returns the order after the result of the current phase. It panics if
// the chart has no transition for the result.
func (o order) apply(r phaseResult) order {
	var trigger string
	switch o.phase {
	case phaseClaiming:
		o, trigger = o.applyClaim(r)
	case phaseReading:
		o, trigger = o.applyRow(r)
	case phaseWaiting:
		trigger = o.applyWait(r)
	case phaseSending:
		o, trigger = o.applySend(r)
	case phaseRequestingStatus:
		o, trigger = o.applyStatus(r)
	case phaseRecording:
		o.finalConfirmed = r.err == nil
		trigger = triggerUncertain
		if o.output != nil {
			trigger = "done"
		}
	case phaseVoiding:
		o.finalConfirmed = r.err == nil
		trigger = "voided"
	}
	next, ok := loadChart().Target(o.phase, trigger)
	if !ok {
		panic("order: no transition for " + trigger + " in " + o.phase)
	}
	o.phase = next
	return o
}

// applyClaim handles the result of a claim write.
func (o order) applyClaim(r phaseResult) (order, string) {
	switch {
	case r.isExpired || errors.Is(r.err, server.ErrUnavailable):
		o.cause = r.err
		if o.claimUncertain {
			return o, triggerGiveUp
		}
		return o, "refused"
	case r.err == nil:
		o.claimVersion = r.version
		return o, "claimed"
	case errors.Is(r.err, server.ErrConflict):
		return o, "taken"
	default:
		o.cause = r.err
		o.claimUncertain = true
		o.lostClaims++
		return o, "lost"
	}
}

// applyRow handles the row that was read: it is absent, cannot be read, contains
// this holder's own claim, or belongs to another request.
func (o order) applyRow(r phaseResult) (order, string) {
	if errors.Is(r.err, server.ErrNotFound) {
		o.expectedVersion = 0
		return o.claimAgain(r, "absent")
	}
	if r.err != nil {
		o.cause = r.err
		return o, "blind"
	}
	if r.foundRecord.Nonce == o.claim.Nonce && (r.foundRecord.State == StateClaimed || r.foundRecord.State == StateUnknown) {
		o.claimVersion = r.version
		o.claim.Fence = r.foundRecord.Fence
		return o, "mine"
	}
	o.holderRequest = r.foundRecord.RequestID
	if r.foundRecord.BodyDigest != o.claim.BodyDigest {
		o.cause = bodyMismatch()
		return o, "mismatch"
	}
	switch {
	case r.foundRecord.State == StateDone:
		o.output = r.foundRecord.Output
		return o, "recorded"
	case r.foundRecord.State == StateUnknown:
		return o, triggerUncertain
	case r.foundRecord.State == StateNotRun, r.claimAbandoned:
		o.expectedVersion = r.version
		o.claim.Fence = max(r.foundRecord.Fence+1, r.nextFence)
		return o.claimAgain(r, "free")
	default:
		return o, "held"
	}
}

// claimAgain returns the given trigger, which leads to another claim write. It
// gives up if an earlier claim write is uncertain and either too many responses
// were lost or the order expired.
func (o order) claimAgain(r phaseResult, trigger string) (order, string) {
	if (o.lostClaims >= maxLostClaims || r.isExpired) && o.claimUncertain {
		return o, triggerGiveUp
	}
	return o, trigger
}

// applyWait handles the end of a wait for another holder.
func (o order) applyWait(r phaseResult) string {
	switch {
	case !r.isExpired:
		return "again"
	case o.claimUncertain:
		return triggerGiveUp
	default:
		return triggerUncertain
	}
}

// applySend handles the result of an attempt.
func (o order) applySend(r phaseResult) (order, string) {
	if r.err == nil {
		o.output = outputOf(r.answer)
		return o, "answered"
	}
	o.cause = r.err
	o.failedSends++
	switch {
	case o.provesNotRun(r) && (r.noRetry || o.failedSends >= maxFailedSends):
		return o, "stopped"
	case o.provesNotRun(r):
		return o, "unsent"
	case o.service.hasStatus:
		return o, "ask"
	default:
		return o, triggerUncertain
	}
}

// provesNotRun reports whether a failed attempt provably did not run and never
// will: no byte was sent, or the service rejected the order itself.
func (o order) provesNotRun(r phaseResult) bool {
	if r.sendState == server.SendStateUnsent {
		return true
	}
	if errors.Is(r.err, server.ErrConflict) {
		return o.service.isFenced
	}
	return errors.Is(r.err, server.ErrLeaving) || errors.Is(r.err, server.ErrOverload) || errors.Is(r.err, server.ErrTokenRejected)
}

// applyStatus handles the response to a status request. ErrNotFound proves that
// the order did not run only if the service is fenced: from the status request on,
// it rejects earlier attempts that arrive late, since their fencing numbers are lower.
func (o order) applyStatus(r phaseResult) (order, string) {
	o.statusRequests++
	switch {
	case r.err == nil:
		o.output = outputOf(r.answer)
		return o, "ran"
	case errors.Is(r.err, server.ErrNotFound) && o.service.isFenced:
		o.claim.Fence++
		return o, "shut"
	case o.statusRequests < maxStatusRequests:
		return o, "again"
	default:
		return o, triggerUncertain
	}
}

// outputOf returns the response's output, or JSON null if it has none.
func outputOf(answer server.Answer) json.RawMessage {
	if len(answer.Output) == 0 {
		return json.RawMessage("null")
	}
	return answer.Output
}
