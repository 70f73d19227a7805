package registrar

import (
	"context"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// minOutage is the shortest time without a response of the store in which rows may expire. The
// platform's replicas write theirs every 1.2 s, and a row expires after three times that.
const minOutage = 2 * time.Second

// availability is what this instance knows of outages of the store, from its calls for all
// tables. Its owner guards it.
type availability struct {
	// respondedAt is when the store last responded, and recoveredAt when it first responded
	// after an outage.
	respondedAt, recoveredAt time.Time
	// failingSince is when the store should have answered the first call that failed since the
	// last response; zero without one.
	failingSince time.Time
	// period ends when the store recovers from an outage.
	period    context.Context
	endPeriod context.CancelFunc
}

func newAvailability() availability {
	var a availability
	a.period, a.endPeriod = context.WithCancel(context.Background())
	return a
}

// recordFailure records a failed call that the store should have answered at dueAt. It is no sign
// of an outage if the store has responded to another call since.
func (a *availability) recordFailure(dueAt time.Time) {
	if a.failingSince.IsZero() && dueAt.After(a.respondedAt) {
		a.failingSince = dueAt
	}
}

// recordResponse records a response of the store, which was restored from a copy if wasRestored
// is set: replicas then write the rows again that the store has lost, as after an outage. It
// returns the outage that the response ends, if other instances have not announced it.
func (a *availability) recordResponse(now time.Time, wasRestored bool) (ended server.Outage, isNew bool) {
	silence, begin := now.Sub(a.respondedAt), a.failingSince
	isNew = a.recoveredAt.Before(begin)
	a.respondedAt, a.failingSince = now, time.Time{}
	isOutage := !begin.IsZero() && silence >= minOutage
	if isOutage || wasRestored {
		a.recoveredAt = now
	}
	if !isOutage {
		return server.Outage{}, false
	}
	a.restartWatches()
	return server.Outage{Begin: begin, End: now}, isNew
}

// recordOutage records an outage that another instance has noticed, and reports whether this one
// did not know it. It is ignored if the store has responded to this instance meanwhile, as it may
// refuse some instances and serve others.
func (a *availability) recordOutage(outage server.Outage) bool {
	if !a.respondedAt.Before(outage.Begin) || !a.recoveredAt.Before(outage.Begin) {
		return false
	}
	a.recoveredAt = outage.End
	a.restartWatches()
	return true
}

// restartWatches ends the watches in progress: the outage may have interrupted them, so that they
// would miss changes until they end.
func (a *availability) restartWatches() {
	a.endPeriod()
	a.period, a.endPeriod = context.WithCancel(context.Background())
}
