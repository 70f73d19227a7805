package registrar

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// minExpiredShare is the share of the replicas whose rows must be deleted by one change for it to
// count as rows that have expired in an outage. Fewer replicas are taken to have left: that is the
// usual case, and without them the others can serve.
const minExpiredShare = 0.125

// RecordLeaving takes an incarnation of a replica out of service that has stated in a response
// that it is leaving, whatever the store's row says. Its next incarnation serves again.
func (r *Registrar) RecordLeaving(replica *server.Replica) {
	r.mu.Lock()
	current, exists := r.replicas[replica.ID]
	if !exists || current.IsDraining || current.StartMillis != replica.StartMillis {
		r.mu.Unlock()
		return
	}
	current.IsDraining = true
	r.replicas[replica.ID] = current
	r.leavingCount.Add(1)
	r.log.Info("replica stated in a response that it is leaving", "replica", replica.ID, "service", replica.Service, "address", replica.Address, "born", replica.StartMillis)
	view := r.publish()
	r.mu.Unlock()
	r.onChange(view)
}

// applyReplica adds or updates a replica unless its registration is invalid or older
// than the known one. The caller holds mu.
func (r *Registrar) applyReplica(row server.StoredRow) {
	replica, err := r.decoder.DecodeReplica(row.Name, row.Value, r.timer.Now())
	if err != nil {
		r.log.Info("invalid registration of a replica ignored", "replica", row.Name, "cause", err.Error(), "store_version", row.Version)
		return
	}
	replica.Region = r.regions[replica.Datacentre]
	current, exists := r.replicas[row.Name]
	if exists && isOlder(replica, current) {
		r.log.Info("older registration ignored", "replica", row.Name, "born", replica.StartMillis, "known", current.StartMillis, "seq", replica.Sequence)
		return
	}
	if !exists && r.departed.hasDrained(replica) {
		r.log.Info("registration of a replica that has left ignored", "replica", row.Name, "born", replica.StartMillis, "seq", replica.Sequence)
		return
	}
	delete(r.pendingRemovals, row.Name)
	r.replicas[row.Name] = replica
	if !exists || current.IsDraining != replica.IsDraining || current.StartMillis != replica.StartMillis || current.Address != replica.Address {
		r.log.Info("replica registered", "replica", row.Name, "service", replica.Service, "address", replica.Address,
			"datacentre", replica.Datacentre, "version", replica.Version, "born", replica.StartMillis, "draining", replica.IsDraining, "store_version", row.Version)
	}
}

// isOlder reports whether a registration was made before the known one: by an earlier
// incarnation, with a lower sequence number, or before the replica began to drain. An
// incarnation that drains never returns to service.
func isOlder(replica, current server.Replica) bool {
	if replica.StartMillis != current.StartMillis {
		return replica.StartMillis < current.StartMillis
	}
	return replica.Sequence < current.Sequence || current.IsDraining && !replica.IsDraining
}

// isExpiry reports whether the changes of a table may be rows of replicas that have expired in an
// outage. Rows of most replicas expire then, as none can write to the store. The caller holds mu.
func (r *Registrar) isExpiry(table string, changedNames []string, t *table) bool {
	if table != r.tableNames.Replicas {
		return false
	}
	deleted := 0
	for _, name := range changedNames {
		if _, exists := t.rows[name]; !exists {
			deleted++
		}
	}
	return float64(deleted) > minExpiredShare*float64(len(r.replicas))
}

// removeReplica removes a replica whose row was deleted. If the row may have expired in an outage
// of the store until recoveredAt, the removal is postponed until recoveryGrace after that, unless
// the replica is draining. The caller holds mu.
//
// Outages that other instances have noticed postpone nothing, if the store has responded to the one
// that read the deletion: it may refuse some instances while it serves the others and the replicas.
func (r *Registrar) removeReplica(id string, recoveredAt time.Time) {
	replica, exists := r.replicas[id]
	if !exists {
		return
	}
	now, removeAt := r.timer.Now(), recoveredAt.Add(recoveryGrace)
	if !removeAt.After(now) || replica.IsDraining {
		r.dropReplica(replica)
		return
	}
	r.pendingRemovals[id] = removeAt
	r.log.Info("registration is missing after a failure of the store; replica kept for now", "replica", id, "service", replica.Service, "wait_ms", removeAt.Sub(now).Milliseconds())
	r.scheduleRemovals(now)
}

// dropReplica removes a replica. The caller holds mu.
func (r *Registrar) dropReplica(replica server.Replica) {
	delete(r.replicas, replica.ID)
	r.departed.add(replica)
	r.log.Info("replica removed", "replica", replica.ID, "service", replica.Service, "address", replica.Address)
}

// scheduleRemovals sets the timer for the next pending removal. There is one timer for all
// of them. The caller holds mu.
func (r *Registrar) scheduleRemovals(now time.Time) {
	r.stopRemovalTimer()
	r.stopRemovalTimer = func() {}
	if len(r.pendingRemovals) == 0 {
		return
	}
	var next time.Time
	for _, removeAt := range r.pendingRemovals {
		if next.IsZero() || removeAt.Before(next) {
			next = removeAt
		}
	}
	r.stopRemovalTimer = r.timer.After(max(next.Sub(now), time.Millisecond), func(now time.Time) { go r.removeExpired(now) })
}

// removeExpired removes the replicas whose pending removal is due. It publishes a new view
// if there are any.
func (r *Registrar) removeExpired(now time.Time) {
	r.mu.Lock()
	removed := 0
	for id, removeAt := range r.pendingRemovals {
		if now.Before(removeAt) {
			continue
		}
		removed++
		delete(r.pendingRemovals, id)
		r.dropReplica(r.replicas[id])
	}
	r.scheduleRemovals(now)
	if removed == 0 {
		r.mu.Unlock()
		return
	}
	view := r.publish()
	r.mu.Unlock()
	r.onChange(view)
}
