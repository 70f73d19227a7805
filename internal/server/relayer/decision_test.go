package relayer

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestDecisionsAreSafeInAllStates checks the decision for every outcome of an attempt in
// every retry state: a request must not run twice unless it is repeatable, a request that is
// reported as refused must not have run, and each client must get a response or a closed
// connection.
func TestDecisionsAreSafeInAllStates(t *testing.T) {
	is := is.New(t)
	bools := []bool{false, true}
	cases := 0
	for f := attemptUnsent; f <= attemptDisconnected; f++ {
		for bits := range 1 << 6 {
			s := retryState{
				repeatable: bools[bits&1], mayHaveRun: bools[bits>>1&1], attemptsLeft: bits >> 2 & 1, triesLeft: bits >> 3 & 1, hasTime: bools[bits>>4&1], responseStarted: bools[bits>>5&1],
			}
			v := decide(f, s)
			cases++
			actions := []action{v.action}
			if v.needsBudget {
				actions = append(actions, v.fallback)
			}
			for _, a := range actions {
				checkAction(is, f, s, v, a)
			}
		}
	}
	is.Equal(cases, 11*64)
}

func checkAction(is *is.I, f attemptOutcome, s retryState, v decision, a action) {
	is.Helper()
	didNotRun := f == attemptUnsent || f == attemptRefused || f == attemptMisdirected || f == attemptInputsLost
	retried := a == actionRetry || a == actionRecomputeInputs
	if a == actionRefuse {
		is.True(didNotRun && !s.mayHaveRun) // a refusal states that the request did not run
	}
	if retried {
		is.True(didNotRun || s.repeatable) // only repeatable requests may run twice
		is.True(s.hasTime && s.triesLeft > 0)
		is.True(v.needsBudget || f == attemptUnsent)                                      // each arrival after the first spends the budget
		is.True(s.attemptsLeft > 0 || f == attemptUnsent || f == attemptMisdirected)      // no more replicas than the route allows
		is.True(f != attemptComplete && f != attemptDisconnected && f != attemptTimedOut) // finished requests are not retried
	}
	if a == actionFail {
		is.True(v.status == http.StatusBadGateway || v.status == http.StatusGatewayTimeout) // leaves open whether it ran
	}
	if s.responseStarted {
		is.True(retried || a == actionAbort || a == actionEnd) // no response of this instance after a part of another
	}
	if f == attemptStreamBroken {
		is.True(retried || a == actionAbort) // an incomplete response is noticed
	}
	if f == attemptComplete || f == attemptDisconnected {
		is.Equal(a, actionEnd)
	} else {
		is.True(a != actionEnd) // all others get a response or a closed connection
	}
	is.True(a != actionForwardFailure || f == attemptFailed)
}
