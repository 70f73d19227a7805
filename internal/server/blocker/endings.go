package blocker

import "time"

const (
	// endingMargin bounds the time in which all instances learn that a replica has crashed: the crash ends all
	// connections at once.
	endingMargin = 50 * time.Millisecond
	// endingMaxAge is the age from which an ending says nothing about a later one: an incarnation that still
	// gets attempts goes on, or another one has its name.
	endingMaxAge = 2 * time.Second
	// maxEndings bounds the known endings.
	maxEndings = 1024
)

// endings holds, by incarnation, when it first ended an attempt without a response since it last proved to
// serve. If it has crashed, that was when, and what began later never ran: something in front of the replica
// accepts connections and closes them.
type endings map[string]time.Time

// record records that an incarnation ended an attempt at a time, and reports whether it may have crashed under
// it. beganAt is zero if it is not known.
func (e endings) record(incarnation string, beganAt, at time.Time) bool {
	first, ok := e[incarnation]
	if ok && at.Sub(first) < endingMaxAge {
		return beganAt.IsZero() && at.Sub(first) <= endingMargin || !beganAt.IsZero() && !beganAt.After(first)
	}
	if !ok && len(e) >= maxEndings {
		e.dropExpired(at)
	}
	e[incarnation] = at
	return true
}

// recordServing records that an incarnation has begun to respond to an attempt that began at a time.
func (e endings) recordServing(incarnation string, beganAt time.Time) {
	if first, ok := e[incarnation]; ok && beganAt.After(first) {
		delete(e, incarnation)
	}
}

// dropExpired drops the endings that say nothing any more, or else all of them.
func (e endings) dropExpired(now time.Time) {
	for incarnation, first := range e {
		if now.Sub(first) >= endingMaxAge {
			delete(e, incarnation)
		}
	}
	if len(e) >= maxEndings {
		clear(e)
	}
}
