package relayer

import "net/http"

// attemptOutcome is how one attempt at a replica ended.
type attemptOutcome uint8

const (
	// attemptUnsent: there was no connection, so nothing was sent.
	attemptUnsent attemptOutcome = iota
	// attemptRefused: the replica responded that the request did not run.
	attemptRefused
	// attemptMisdirected: a different replica has the address; the request did not run.
	attemptMisdirected
	// attemptInputsLost: the request did not run because its inputs are lost.
	attemptInputsLost
	// attemptNoResponse: bytes were sent and no response began.
	attemptNoResponse
	// attemptTruncated: a response ended early, before any of it was forwarded.
	attemptTruncated
	// attemptFailed: the replica sent a complete error response.
	attemptFailed
	// attemptComplete: the response was forwarded; no further attempt follows.
	attemptComplete
	// attemptStreamBroken: a stream ended early, after events of it were forwarded.
	attemptStreamBroken
	// attemptTimedOut: the client's deadline passed after bytes were sent and before any of
	// a response was forwarded.
	attemptTimedOut
	// attemptDisconnected: the client disconnected.
	attemptDisconnected
)

// attemptOutcomeNames are the names in log lines and metrics, in the order of the constants.
var attemptOutcomeNames = [...]string{
	"unsent", "refused", "misdirected", "stale", "silent", "cut", "failed", "whole", "broken", "late", "gone",
}

// String returns the name in log lines and metrics.
func (f attemptOutcome) String() string { return attemptOutcomeNames[f] }

// action is what follows an attempt.
type action uint8

const (
	// actionEnd: nothing more is sent to the client.
	actionEnd action = iota
	// actionRetry: another attempt is made.
	actionRetry
	// actionRecomputeInputs: the inputs are computed again, then another attempt is made.
	actionRecomputeInputs
	// actionRefuse: the response states that the request did not run.
	actionRefuse
	// actionFail: the response is an error that leaves open whether the request ran.
	actionFail
	// actionForwardFailure: the replica's error response is forwarded.
	actionForwardFailure
	// actionAbort: the client's connection is closed, so that the client notices that the
	// response is incomplete.
	actionAbort
)

// retryState states whether and how a request may be retried.
type retryState struct {
	// repeatable is set if the request may run more than once.
	repeatable bool
	// responseStarted is set once a part of a response was forwarded: only the rest of it
	// may follow.
	responseStarted bool
	// mayHaveRun is set if an earlier attempt may have run the request.
	mayHaveRun bool
	// attemptsLeft is how many more replicas the request may reach, triesLeft how many more
	// attempts it may have, including those that reach no replica.
	attemptsLeft, triesLeft int
	// hasTime is set if enough time is left until the client's deadline.
	hasTime bool
}

// decision is the action that follows an attempt, with the HTTP status for actionFail.
type decision struct {
	action action
	status int
	// needsBudget is set if the action takes one retry from the shared budget. If the
	// budget is exhausted, fallback is performed instead.
	needsBudget bool
	fallback    action
}

// decide returns what follows an attempt. A request is refused only if no attempt can have
// run it. After an attempt that may have run it, it is sent again only if it is repeatable.
func decide(outcome attemptOutcome, state retryState) decision {
	d := decideBeforeResponse(outcome, state)
	if !state.responseStarted {
		return d
	}
	if d.action != actionEnd && d.action != actionRetry && d.action != actionRecomputeInputs {
		d.action = actionAbort
	}
	d.fallback = actionAbort
	return d
}

// decideBeforeResponse returns what follows an attempt of a request whose response has not
// started.
func decideBeforeResponse(outcome attemptOutcome, state retryState) decision {
	switch outcome {
	case attemptComplete, attemptDisconnected:
		return decision{action: actionEnd}
	case attemptUnsent:
		if state.triesLeft > 0 && state.hasTime {
			return decision{action: actionRetry}
		}
		return state.endNotRun()
	case attemptMisdirected:
		// The intended replica was not reached, so this attempt does not count against
		// the limit of replicas.
		if state.triesLeft > 0 && state.hasTime {
			return decision{action: actionRetry, needsBudget: true, fallback: state.endNotRun().action, status: http.StatusBadGateway}
		}
		return state.endNotRun()
	case attemptInputsLost:
		if state.triesLeft > 0 && state.attemptsLeft > 0 && state.hasTime {
			return decision{action: actionRecomputeInputs, needsBudget: true, fallback: state.endNotRun().action, status: http.StatusBadGateway}
		}
		return state.endNotRun()
	case attemptRefused:
		if state.triesLeft > 0 && state.attemptsLeft > 0 && state.hasTime {
			return decision{action: actionRetry, needsBudget: true, fallback: state.endNotRun().action, status: http.StatusBadGateway}
		}
		return state.endNotRun()
	case attemptTimedOut:
		return decision{action: actionFail, status: http.StatusGatewayTimeout}
	case attemptFailed:
		return state.retryOr(actionForwardFailure)
	case attemptStreamBroken:
		return state.retryOr(actionAbort)
	case attemptNoResponse, attemptTruncated:
		return state.retryOr(actionFail)
	default:
		return state.retryOr(actionFail)
	}
}

// endNotRun returns the end of a request whose last attempt did not run it.
func (s retryState) endNotRun() decision {
	if s.mayHaveRun {
		return decision{action: actionFail, status: http.StatusBadGateway}
	}
	return decision{action: actionRefuse, status: http.StatusServiceUnavailable}
}

// retryOr retries a request that may have run if that is allowed; else it returns fallback.
func (s retryState) retryOr(fallback action) decision {
	if s.repeatable && s.triesLeft > 0 && s.attemptsLeft > 0 && s.hasTime {
		return decision{action: actionRetry, needsBudget: true, fallback: fallback, status: http.StatusBadGateway}
	}
	return decision{action: fallback, status: http.StatusBadGateway}
}
