package registrar

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/router"
)

// View is an immutable view of the tables at one moment.
type View struct {
	// router is nil until the plan and the replicas were read.
	router *router.Router
	// services and replicas hold the replicas that may get new work, by service and by
	// ID.
	services  map[string][]server.Replica
	replicas  map[string]server.Replica
	instances []server.Instance
	// allReplicaIDs holds the IDs of all replicas.
	allReplicaIDs []string
	// onlyVersions holds the services whose replicas all have one software version.
	onlyVersions map[string]versionPeriod
	// mixedAt holds, by service, when its replicas were last seen with several versions.
	mixedAt map[string]time.Time
	// hasColdReplicas is set if a replica that may get new work was cold when the view was created.
	hasColdReplicas bool
	// evacuated holds the data centres that are evacuated.
	evacuated map[string]bool
	// versions holds the version that each table is known up to.
	versions  map[string]uint64
	createdAt time.Time
}

// IsReady reports whether requests can be routed: a valid plan and the replicas were read.
func (v *View) IsReady() bool { return v.router != nil }

// Router returns the router of the active plan, or nil while the view is not ready.
func (v *View) Router() *router.Router { return v.router }

// Replicas returns the replicas of a service that may get new work, in order of their
// IDs. The caller must not change the slice.
func (v *View) Replicas(service string) []server.Replica { return v.services[service] }

// ColdReplicas returns the replicas that may get new work and are cold at now.
func (v *View) ColdReplicas(now time.Time) []server.Replica {
	if !v.hasColdReplicas {
		return nil
	}
	var cold []server.Replica
	for _, replica := range v.replicas {
		if replica.IsCold(now) {
			cold = append(cold, replica)
		}
	}
	return cold
}

// IsServing reports whether a replica may get new work in the incarnation, of the software
// version and at the address given.
func (v *View) IsServing(replica *server.Replica) bool {
	current, ok := v.replicas[replica.ID]
	return ok && current.StartMillis == replica.StartMillis && current.Version == replica.Version && current.Address == replica.Address
}

// IsEvacuated reports whether the data centre of a replica is evacuated.
func (v *View) IsEvacuated(replica *server.Replica) bool { return v.evacuated[replica.Datacentre] }

// EvacuatedCount returns the number of data centres that are evacuated.
func (v *View) EvacuatedCount() int { return len(v.evacuated) }

// versionPeriod is a software version of a service, and the time since which no replica of
// the service has had another one, as far as this instance has read.
type versionPeriod struct {
	version string
	since   time.Time
}

// OnlyVersion returns the software version of a service's replicas if no replica has had
// another one since a time. ok is false as well if the replicas were first read later.
func (v *View) OnlyVersion(service string, since time.Time) (version string, ok bool) {
	period, ok := v.onlyVersions[service]
	return period.version, ok && !period.since.After(since)
}

// VersionPeriod returns the software version that all replicas of a service have, and since when no replica has
// had another one; ok is false if they have several.
func (v *View) VersionPeriod(service string) (version string, since time.Time, ok bool) {
	period, ok := v.onlyVersions[service]
	return period.version, period.since, ok
}

// AllReplicaIDs returns the IDs of all replicas, draining ones included, in order.
func (v *View) AllReplicaIDs() []string { return v.allReplicaIDs }

// nextVersionPeriods returns the periods of the services' versions after a change of the
// replicas, of which draining ones count, since they still write streams.
func nextVersionPeriods(previous map[string]versionPeriod, replicas map[string]server.Replica, now time.Time) map[string]versionPeriod {
	next := make(map[string]versionPeriod)
	isMixed := make(map[string]bool)
	for _, replica := range replicas {
		period, ok := next[replica.Service]
		switch {
		case !ok:
			period = versionPeriod{version: replica.Version, since: now}
			if before, ok := previous[replica.Service]; ok && before.version == replica.Version {
				period = before
			}
			next[replica.Service] = period
		case period.version != replica.Version:
			isMixed[replica.Service] = true
		}
	}
	for service := range isMixed {
		delete(next, service)
	}
	return next
}

// HasMixedVersions reports whether the replicas of a service have had several software versions since
// a time, as far as this instance has read.
func (v *View) HasMixedVersions(service string, since time.Time) bool {
	mixedAt, ok := v.mixedAt[service]
	return ok && (v.isMixed(service) || mixedAt.After(since))
}

// isMixed reports whether the replicas of a service have several software versions now.
func (v *View) isMixed(service string) bool {
	_, isSingle := v.onlyVersions[service]
	return !isSingle && v.mixedAt[service].Equal(v.createdAt)
}

// nextMixedTimes returns when the services' replicas were last seen with several versions.
func nextMixedTimes(previous map[string]time.Time, onlyVersions map[string]versionPeriod, replicas map[string]server.Replica, now time.Time) map[string]time.Time {
	next := maps.Clone(previous)
	if next == nil {
		next = make(map[string]time.Time)
	}
	for _, replica := range replicas {
		if _, isSingle := onlyVersions[replica.Service]; !isSingle {
			next[replica.Service] = now
		}
	}
	return next
}

// Replica returns the replica with an ID.
func (v *View) Replica(id string) (server.Replica, bool) {
	replica, ok := v.replicas[id]
	return replica, ok
}

// ReplicaAt returns the replica of a service at an address if it may get new work.
func (v *View) ReplicaAt(service, address string) (server.Replica, bool) {
	for _, r := range v.services[service] {
		if r.Address == address {
			return r, true
		}
	}
	return server.Replica{}, false
}

// Instances returns all instances that have a row, in order of their IDs. The caller
// must not change the slice.
func (v *View) Instances() []server.Instance { return v.instances }

// Version returns the version of the store that a table is known up to.
func (v *View) Version(table string) uint64 { return v.versions[table] }

// Age returns the time since the view was created.
func (v *View) Age(now time.Time) time.Duration { return now.Sub(v.createdAt) }

// add adds a replica, which gets new work unless it is draining or its data centre is evacuated.
func (v *View) add(replica server.Replica, isEvacuated bool) {
	v.allReplicaIDs = append(v.allReplicaIDs, replica.ID)
	if replica.IsDraining || isEvacuated {
		return
	}
	v.hasColdReplicas = v.hasColdReplicas || replica.IsCold(v.createdAt)
	v.replicas[replica.ID] = replica
	v.services[replica.Service] = append(v.services[replica.Service], replica)
}

// sort puts replicas and instances in order of their IDs.
func (v *View) sort() {
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b server.Replica) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.Sort(v.allReplicaIDs)
	slices.SortFunc(v.instances, func(a, b server.Instance) int { return cmp.Compare(a.ID, b.ID) })
}
