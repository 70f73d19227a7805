package server

// Outcome is the final state of a request as reported to its caller.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeDone means that the complete response was delivered.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that provably no stage was started and, for orders,
	// that no byte can have reached the upstream.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed means that the request ran partially, without side effects.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that a side effect may or may not have happened.
	OutcomeUnknown Outcome = "unknown"
)

// SendState states whether the upstream may have received an attempt.
type SendState uint8

// The send states of an attempt.
const (
	// SendStateUnsent means that provably no byte was sent, for example because the dial
	// failed.
	SendStateUnsent SendState = iota
	// SendStateUnknown means that some bytes may have reached the upstream.
	SendStateUnknown
	// SendStateAnswered means that the upstream responded.
	SendStateAnswered
)
