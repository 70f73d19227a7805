package registrar

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// restoredInstanceGrace is how long instances are kept whose rows a restored store lacks;
	// they write their rows again when they notice.
	restoredInstanceGrace = 5 * time.Second
	// maxDepartures bounds the replicas in each half of departures.
	maxDepartures = 4096
)

// departures holds the replicas that were removed last, since a store that is restored from an
// older copy has their rows again. The older half is dropped when the newer one is full.
type departures struct {
	newer, older map[string]server.Replica
}

func (d *departures) add(replica server.Replica) {
	if d.newer == nil || len(d.newer) >= maxDepartures {
		d.newer, d.older = make(map[string]server.Replica), d.newer
	}
	d.newer[replica.ID] = replica
}

// find returns the incarnation of a replica that was removed last.
func (d *departures) find(id string) (server.Replica, bool) {
	if replica, ok := d.newer[id]; ok {
		return replica, true
	}
	replica, ok := d.older[id]
	return replica, ok
}

// hasDrained reports whether a replica was removed after it had begun to drain, and its
// registration says that it serves.
func (d *departures) hasDrained(replica server.Replica) bool {
	departed, ok := d.find(replica.ID)
	return ok && departed.StartMillis == replica.StartMillis && departed.IsDraining && !replica.IsDraining
}

// isOutdated reports whether a row of a restored table must not be applied: the row of a
// replica that was removed later than the copy was made, or the lack of the row of an
// instance, which writes it again. The caller holds mu.
func (r *Registrar) isOutdated(table, key string, t *table) bool {
	row, exists := t.rows[key]
	switch table {
	case r.tableNames.Replicas:
		departed, ok := r.departed.find(key)
		if !ok || !exists {
			return false
		}
		replica, err := r.decoder.DecodeReplica(row.Name, row.Value, r.timer.Now())
		isOutdated := err == nil && replica.StartMillis == departed.StartMillis && replica.Sequence <= departed.Sequence
		if isOutdated {
			r.log.Info("registration of a replica that has left ignored", "replica", key, "born", replica.StartMillis, "seq", replica.Sequence)
		}
		return isOutdated
	case TableInstances:
		return !exists
	default:
		return false
	}
}

// removeUnlistedInstances removes the instances without a row. It publishes a new view if there
// are any.
func (r *Registrar) removeUnlistedInstances() {
	r.mu.Lock()
	removed := 0
	for id := range r.instances {
		if _, exists := r.tables[TableInstances].rows[id]; !exists {
			delete(r.instances, id)
			removed++
		}
	}
	if removed == 0 {
		r.mu.Unlock()
		return
	}
	view := r.publish()
	r.mu.Unlock()
	r.onChange(view)
}
