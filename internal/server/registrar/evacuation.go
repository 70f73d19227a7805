package registrar

import (
	"strings"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// evacuations holds the data centres whose replicas get no new work since operators asked for it.
type evacuations struct {
	active map[string]bool
	// endedAt is when the last evacuation of a data centre ended, as far as this instance has read.
	endedAt map[string]time.Time
}

func newEvacuations() evacuations {
	return evacuations{active: make(map[string]bool), endedAt: make(map[string]time.Time)}
}

// isActive reports whether a data centre is evacuated.
func (e *evacuations) isActive(datacentre string) bool { return e.active[datacentre] }

// applyEvacuation applies a row of the plan's table, which was written if exists is set, or else deleted. Rows that ask
// for no evacuation change nothing. The caller holds mu.
func (r *Registrar) applyEvacuation(key string, exists bool) {
	datacentre, isEvacuation := strings.CutPrefix(key, r.tableNames.EvacuationPrefix)
	if r.tableNames.EvacuationPrefix == "" || !isEvacuation || exists == r.evacuations.active[datacentre] {
		return
	}
	if exists {
		r.evacuations.active[datacentre] = true
		r.log.Info("evacuation of a data centre in force", "evacuated", datacentre)
		return
	}
	delete(r.evacuations.active, datacentre)
	r.evacuations.endedAt[datacentre] = r.timer.Now()
	r.log.Info("evacuation of a data centre has ended", "evacuated", datacentre)
}

// applyUnseenEvacuations applies evacuations that began and ended between two reads, by the deletions of rows that were
// not known, and reports whether there were any. Deletions up to the version that was known before are older than what
// this instance has read. The caller holds mu.
func (r *Registrar) applyUnseenEvacuations(deleted []server.StoredRow, versionBefore uint64) (found bool) {
	for _, row := range deleted {
		datacentre, isEvacuation := strings.CutPrefix(row.Name, r.tableNames.EvacuationPrefix)
		if r.tableNames.EvacuationPrefix == "" || !isEvacuation || row.Version <= versionBefore {
			continue
		}
		found = true
		r.evacuations.endedAt[datacentre] = r.timer.Now()
		r.log.Info("evacuation of a data centre has ended", "evacuated", datacentre)
	}
	return found
}

// withColdness returns a replica with the limit that the plan states for it while it is cold. Replicas may have become
// cold during an evacuation, and their rows state that only with their next heartbeat, so all replicas of the
// data centre count as cold for the time of a start after it. The caller holds mu.
func (r *Registrar) withColdness(replica server.Replica) server.Replica {
	if r.plan == nil {
		return replica
	}
	backend := r.plan.Backends[replica.Service]
	replica.ColdPerSecond = backend.ColdPerSecond
	endedAt, wasEvacuated := r.evacuations.endedAt[replica.Datacentre]
	if warmAt := endedAt.Add(backend.ColdTime); wasEvacuated && replica.ColdPerSecond > 0 && warmAt.After(replica.WarmAt) {
		replica.WarmAt = warmAt
	}
	return replica
}
