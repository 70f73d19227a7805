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
	hasResponded := !a.respondedAt.IsZero()
	silence, begin := now.Sub(a.respondedAt), a.failingSince
	isNew = a.recoveredAt.Before(begin)
	a.respondedAt, a.failingSince = now, time.Time{}
	isOutage := !begin.IsZero() && hasResponded && silence >= minOutage
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

// recordResponse records that the store responded to a call for a table. It returns when the
// store last responded to this instance, for any table, after failed calls.
func (r *Registrar) recordResponse(table string, wasRestored bool) (recoveredAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	r.lastResponse[table] = now
	if outage, isNew := r.availability.recordResponse(now, wasRestored); isNew {
		r.outageCount.Add(1)
		r.log.Info("outage of the store has ended; watches begin anew", "table", table, "begin_ms", now.Sub(outage.Begin).Milliseconds())
		go r.onOutageEnd(outage)
	}
	return r.availability.recoveredAt
}

// RecordOutage records an outage of the store that another instance has noticed.
func (r *Registrar) RecordOutage(outage server.Outage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.availability.recordOutage(outage) {
		r.outageCount.Add(1)
		r.log.Info("another instance has noticed an outage of the store; watches begin anew", "begin_ms", r.timer.Now().Sub(outage.Begin).Milliseconds(), "end_ms", r.timer.Now().Sub(outage.End).Milliseconds())
	}
}

// recordFailure records a failed call that the store should have answered at dueAt.
func (r *Registrar) recordFailure(dueAt time.Time) {
	r.failureCount.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.availability.recordFailure(dueAt)
}

// FailingSince returns when the store should have answered the first call that failed since its last response
// to this instance; zero if none did.
func (r *Registrar) FailingSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.availability.failingSince
}

// availabilityPeriod returns a context that ends when the store recovers from an outage.
func (r *Registrar) availabilityPeriod() context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.availability.period
}

// OutageCount returns the number of outages of the store that this instance has noticed or that
// other instances have announced to it.
func (r *Registrar) OutageCount() uint64 { return r.outageCount.Load() }

// StaleResponseCount returns the number of responses of the store whose version was lower
// than the known one, so that they changed nothing.
func (r *Registrar) StaleResponseCount() uint64 { return r.staleResponseCount.Load() }

// LeavingCount returns the number of replicas that left by what their responses stated.
func (r *Registrar) LeavingCount() uint64 { return r.leavingCount.Load() }

// PendingRemovals returns the number of replicas that are kept for now though their row was
// deleted.
func (r *Registrar) PendingRemovals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pendingRemovals)
}
