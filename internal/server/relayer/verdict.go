package relayer

import "net/http"

// fate is what one attempt at a replica has shown.
type fate uint8

const (
	// fateUnsent: no connection was had, so nothing was sent.
	fateUnsent fate = iota
	// fateRefused: the replica said that the request did not run.
	fateRefused
	// fateMisdirected: another replica has the address; the request did not run.
	fateMisdirected
	// fateStale: the replica did not run it since its inputs are gone.
	fateStale
	// fateSilent: bytes were sent and no answer came.
	fateSilent
	// fateCut: an answer began and broke off before any of it was passed on.
	fateCut
	// fateFailed: the replica answered whole that it failed.
	fateFailed
	// fateWhole: the answer was passed on whole.
	fateWhole
	// fateBroken: a stream broke after events of it were passed on.
	fateBroken
	// fateLate: time was up after bytes were sent and before an answer began.
	fateLate
	// fateGone: the client left.
	fateGone
)

var fateNames = [...]string{
	"unsent", "refused", "misdirected", "stale", "silent", "cut", "failed", "whole", "broken", "late", "gone",
}

func (f fate) String() string { return fateNames[f] }

// action is what to do after an attempt.
type action uint8

const (
	// actEnd: nothing more is sent to the client.
	actEnd action = iota
	// actAgain: another attempt is made.
	actAgain
	// actRemake: the inputs are made again, then another attempt is made.
	actRemake
	// actRefuse: the client is told that the request did not run.
	actRefuse
	// actFail: the client is told a failure that promises nothing.
	actFail
	// actPass: the replica's own failure is passed on.
	actPass
	// actAbort: the client's connection is closed, so that a part of an answer
	// does not look whole.
	actAbort
)

// standing is what a request has left.
type standing struct {
	// repeatable requests may run more than once.
	repeatable bool
	// begun is set once a part of an answer was passed on: nothing may follow it
	// but its continuation.
	begun bool
	// mayHaveRun is set once an attempt before this one may have run.
	mayHaveRun bool
	// attempts is how many more replicas it may be sent to, and tries how many
	// more times it may be tried at all.
	attempts, tries int
	// time tells whether another attempt can end in time.
	time bool
}

// verdict is what to do, with the status for actFail.
type verdict struct {
	action action
	status int
	// budget tells that the action needs a repeat of the shared budget; without
	// one, otherwise is done.
	budget    bool
	otherwise action
}

// judge decides after an attempt. Only a request of which no attempt can have
// run is refused; only one that may run twice is sent again after it may have.
func judge(f fate, s standing) verdict {
	v := decide(f, s)
	if !s.begun {
		return v
	}
	if v.action != actEnd && v.action != actAgain && v.action != actRemake {
		v.action = actAbort
	}
	v.otherwise = actAbort
	return v
}

func decide(f fate, s standing) verdict {
	switch f {
	case fateWhole, fateGone:
		return verdict{action: actEnd}
	case fateUnsent:
		if s.tries > 0 && s.time {
			return verdict{action: actAgain}
		}
		return s.unrun()
	case fateMisdirected:
		// The replica that was meant has not been reached, so none was used up.
		if s.tries > 0 && s.time {
			return verdict{action: actAgain, budget: true, otherwise: s.unrun().action, status: http.StatusBadGateway}
		}
		return s.unrun()
	case fateStale:
		if s.tries > 0 && s.attempts > 0 && s.time {
			return verdict{action: actRemake, budget: true, otherwise: s.unrun().action, status: http.StatusBadGateway}
		}
		return s.unrun()
	case fateRefused:
		if s.tries > 0 && s.attempts > 0 && s.time {
			return verdict{action: actAgain, budget: true, otherwise: s.unrun().action, status: http.StatusBadGateway}
		}
		return s.unrun()
	case fateLate:
		return verdict{action: actFail, status: http.StatusGatewayTimeout}
	case fateFailed:
		return s.repeat(actPass)
	case fateBroken:
		return s.repeat(actAbort)
	case fateSilent, fateCut:
		return s.repeat(actFail)
	default:
		return s.repeat(actFail)
	}
}

// unrun ends a request whose last attempt did not run.
func (s standing) unrun() verdict {
	if s.mayHaveRun {
		return verdict{action: actFail, status: http.StatusBadGateway}
	}
	return verdict{action: actRefuse, status: http.StatusServiceUnavailable}
}

// repeat sends a request again that may have run, if that does no harm.
func (s standing) repeat(otherwise action) verdict {
	if s.repeatable && s.tries > 0 && s.attempts > 0 && s.time {
		return verdict{action: actAgain, budget: true, otherwise: otherwise, status: http.StatusBadGateway}
	}
	return verdict{action: otherwise, status: http.StatusBadGateway}
}
