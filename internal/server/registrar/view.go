package registrar

import (
	"cmp"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/router"
)

// View is what an instance believes at one moment. It never changes.
type View struct {
	router    *router.Router
	services  map[string][]server.Replica
	replicas  map[string]server.Replica
	instances []server.Instance
	versions  map[string]uint64
	at        time.Time
}

// Ready reports whether requests can be judged: all tables were read once.
func (v *View) Ready() bool { return v.router != nil }

// Router returns the routes in force; nil while the instance is not ready.
func (v *View) Router() *router.Router { return v.router }

// Replicas returns the replicas of a service that may get new work, by ID.
func (v *View) Replicas(service string) []server.Replica { return v.services[service] }

// Serving reports whether the very incarnation of a replica may get new work.
func (v *View) Serving(replica *server.Replica) bool {
	known, ok := v.replicas[replica.ID]
	return ok && known.Born == replica.Born && known.Address == replica.Address
}

// Replica returns the replica that may get new work at an address.
func (v *View) Replica(service, address string) (server.Replica, bool) {
	for _, r := range v.services[service] {
		if r.Address == address {
			return r, true
		}
	}
	return server.Replica{}, false
}

// Instances returns all instances that have a row, by ID.
func (v *View) Instances() []server.Instance { return v.instances }

// Version returns the version of the store that a table is known up to.
func (v *View) Version(table string) uint64 { return v.versions[table] }

// Age returns how long ago the view was made.
func (v *View) Age(now time.Time) time.Duration { return now.Sub(v.at) }

func (v *View) add(replica server.Replica) {
	if replica.Draining {
		return
	}
	v.replicas[replica.ID] = replica
	v.services[replica.Service] = append(v.services[replica.Service], replica)
}

func (v *View) sort() {
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b server.Replica) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.SortFunc(v.instances, func(a, b server.Instance) int { return cmp.Compare(a.ID, b.ID) })
}
