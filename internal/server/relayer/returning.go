package relayer

import (
	"math/rand/v2"
	"time"
)

// returnSpread is the part of the wait of refused clients by which their returns are spread: clients of one burst
// would otherwise return in another one.
const returnSpread = 0.25

// hasLeftoverRule reports whether returning clients of the route use left-over capacity of its stage services. It follows
// the plan of the view, as the owners of the services follow theirs; while two plans are in force, an owner that does
// not defer them treats their pieces as all others.
func (f *relayedRequest) hasLeftoverRule() bool {
	return len(f.route.Stages) > 0 && f.Returning.AppliesTo(f.view.Router().HasPatientStage(f.route))
}

// mayUseLeftover reports whether a returning client that would miss its goal is admitted: if it can be answered in the
// available time after all queued pieces. Refusing it again would end it, since its time does not suffice for more attempts.
func (f *relayedRequest) mayUseLeftover(available time.Duration) bool {
	if !f.isReturning || !f.hasLeftoverRule() {
		return false
	}
	expected, _, _ := f.expectedDelay(backlogWait)
	return expected <= available
}

// spreadReturn returns the Retry-After of a request that is refused until there is capacity after wait: up to
// returnSpread later, and not before its client is recognized as returning.
func (f *relayedRequest) spreadReturn(wait time.Duration) time.Duration {
	wait += time.Duration(returnSpread * rand.Float64() * float64(wait))
	return max(wait, f.clientTimeouts.minReturnWait(f.route.Name, min(f.info.ClientTimeout, f.remaining())))
}
