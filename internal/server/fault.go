package server

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors that callers of the interfaces distinguish with errors.Is.
var (
	// ErrConflict means that a condition of a table write did not hold; nothing was written.
	ErrConflict = merry.New("conflict")
	// ErrUncertain means that the response was lost; the write may have happened.
	ErrUncertain = merry.New("response lost")
	// ErrUnavailable means that the platform or upstream refused the call or was
	// unreachable; nothing was written.
	ErrUnavailable = merry.New("unavailable")
	// ErrNotFound means that the row, object or order does not exist.
	ErrNotFound = merry.New("not found")
	// ErrMismatch means that a response belongs to another attempt, is incomplete or
	// violates the protocol.
	ErrMismatch = merry.New("response does not match the attempt")
	// ErrOverload means that the work was rejected for lack of capacity.
	ErrOverload = merry.New("overload")
	// ErrLimited means that a limit of the contract was reached.
	ErrLimited = merry.New("contract limit reached")
	// ErrDeadline means that the deadline has passed or cannot be met.
	ErrDeadline = merry.New("deadline cannot be met")
	// ErrCallerDisconnected means that the caller disconnected.
	ErrCallerDisconnected = merry.New("caller disconnected")
	// ErrAttemptAbandoned means that an attempt was abandoned, because it took too long or
	// another attempt finished first.
	ErrAttemptAbandoned = merry.New("attempt abandoned")
	// ErrWithheld means that nothing was sent: a check right before it showed that the work is
	// of no use any more.
	ErrWithheld = merry.New("request withheld")
	// ErrLeaving means that the peer is shutting down.
	ErrLeaving = merry.New("leaving")
	// ErrPathLost means that this instance may have no path to a replica that others reach.
	ErrPathLost = merry.New("no path from this instance")
	// ErrReplicaUnreachable means that no instance reaches a replica.
	ErrReplicaUnreachable = merry.New("replica unreachable")
	// ErrNoUpstream means that no replica of the service is eligible.
	ErrNoUpstream = merry.New("no upstream")
	// ErrConnectionLost means that the upstream closed the connection before the response was
	// complete, as one that crashes does. Such an error also matches ErrUnavailable or
	// ErrMismatch.
	ErrConnectionLost = merry.New("connection lost")
	// ErrRequestBlocked means that the request, or a part of its prompt, has crashed replicas, so that no
	// replica gets it.
	ErrRequestBlocked = merry.New("the request or a part of its prompt has crashed replicas")
	// ErrInvalid means that the request or document is malformed.
	ErrInvalid = merry.New("invalid")
	// ErrTokenRejected means that an upstream rejected the token of a call and did not
	// run the call. Such an error also matches ErrUnavailable.
	ErrTokenRejected = merry.New("token rejected by the upstream")
	// ErrForbidden means that the credentials do not permit the request.
	ErrForbidden = merry.New("forbidden")
)

// Fault is an error with the step and the peer at which it occurred, and with
// what is known of the request's effect.
type Fault struct {
	step       string
	peer       string
	outcome    Outcome
	retryAfter time.Duration
	cause      error
}

// FaultOption sets a property of a Fault.
type FaultOption func(*Fault)

// WithOutcome sets what is known of the request's effect.
func WithOutcome(outcome Outcome) FaultOption {
	return func(f *Fault) { f.outcome = outcome }
}

// WithRetryAfter sets the time after which a retry may succeed.
func WithRetryAfter(wait time.Duration) FaultOption {
	return func(f *Fault) { f.retryAfter = wait }
}

// NewFault wraps cause with the step and the peer, which is "" for a local error.
// If cause contains a Fault, outcome and retry time default to those of that
// Fault. Otherwise the outcome defaults to OutcomeFailed.
func NewFault(step, peer string, cause error, options ...FaultOption) *Fault {
	f := &Fault{step: step, peer: peer, outcome: OutcomeFailed, cause: cause}
	var inner *Fault
	if errors.As(cause, &inner) {
		f.outcome = inner.outcome
		f.retryAfter = inner.retryAfter
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Error returns "step at peer: cause", or "step: cause" without a peer.
func (f *Fault) Error() string {
	if f.peer == "" {
		return f.step + ": " + f.cause.Error()
	}
	return f.step + " at " + f.peer + ": " + f.cause.Error()
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.cause }

// Step returns the step at which the error occurred.
func (f *Fault) Step() string { return f.step }

// Peer returns the upstream, instance or platform service at which the error
// occurred, or "".
func (f *Fault) Peer() string { return f.peer }

// Outcome returns what is known of the request's effect.
func (f *Fault) Outcome() Outcome { return f.outcome }

// RetryAfter returns the time after which a retry may succeed; zero if unknown.
func (f *Fault) RetryAfter() time.Duration { return f.retryAfter }
