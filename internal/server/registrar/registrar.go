// Package registrar keeps what the store says: the plan, the registered
// replicas and the instances. It follows the store's feed, and takes rows from
// other instances while the store does not answer this one.
package registrar

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/router"
)

// TableInstances holds a row for each instance.
const TableInstances = "instances"

const (
	// returnGrace is how long after the store's return a row that lapsed while
	// it was away may be missing; the platform says about two seconds.
	returnGrace = 1900 * time.Millisecond
	// troubled is how long after a failed call a removal may be such a lapse.
	troubled = 3 * time.Second
)

// Tables names the tables and the row of the plan.
type Tables struct {
	Plan, PlanRow, Replicas string
}

// Registrar merges rows and publishes views.
type Registrar struct {
	log       logr.Logger
	timer     server.Timer
	decoder   server.Decoder
	names     Tables
	view      atomic.Pointer[View]
	changed   func(*View)
	mu        sync.Mutex
	tables    map[string]*table
	plan      *server.Plan
	router    *router.Router
	replicas  map[string]server.Replica
	departing map[string]departure
	instances map[string]server.Instance
	failed    time.Time
	answered  map[string]time.Time
	led       func(table string) bool
	leading   func() bool
	leadWait  time.Duration
}

// Option sets a property of a Registrar.
type Option func(*Registrar)

// WithChanged sets what is called after each new view. It must not wait.
func WithChanged(changed func(*View)) Option { return func(r *Registrar) { r.changed = changed } }

// WithLeaders lets other instances follow the store for this one: led reports
// whether they follow a table, leading whether this instance follows for them, with
// watches that the store may hold for wait.
func WithLeaders(led func(table string) bool, leading func() bool, wait time.Duration) Option {
	return func(r *Registrar) { r.led, r.leading, r.leadWait = led, leading, wait }
}

// New returns a Registrar that knows nothing yet.
func New(log logr.Logger, timer server.Timer, decoder server.Decoder, names Tables, options ...Option) *Registrar {
	r := &Registrar{
		log: log, timer: timer, decoder: decoder, names: names, changed: func(*View) {},
		tables:   map[string]*table{names.Plan: newTable(), names.Replicas: newTable(), TableInstances: newTable()},
		replicas: make(map[string]server.Replica), departing: make(map[string]departure),
		instances: make(map[string]server.Instance), answered: make(map[string]time.Time),
		led: func(string) bool { return false }, leading: func() bool { return false },
	}
	for _, option := range options {
		option(r)
	}
	r.view.Store(&View{})
	return r
}

// View returns what is believed now.
func (r *Registrar) View() *View { return r.view.Load() }

// Names returns the tables that are followed.
func (r *Registrar) Names() []string {
	return []string{r.names.Plan, r.names.Replicas, TableInstances}
}

// Failed notes that the store did not answer.
func (r *Registrar) Failed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.After(r.failed) {
		return
	}
	r.failed = now
	for id, d := range r.departing {
		d.at = now.Add(returnGrace)
		r.departing[id] = d
	}
}

// LastFailure returns when a call to the store last failed.
func (r *Registrar) LastFailure() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

// Answered returns when the store last answered a call for a table.
func (r *Registrar) Answered(table string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered[table]
}

func (r *Registrar) noteAnswer(table string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered[table] = r.timer.Now()
}

// Follow takes changes of a table up to version.
func (r *Registrar) Follow(name string, rows []server.StoredRow, version uint64) {
	r.take(name, func(t *table) []string { return t.follow(rows, version) })
}

// Replace takes a whole table as of version.
func (r *Registrar) Replace(name string, rows []server.StoredRow, version uint64) {
	r.take(name, func(t *table) []string { return t.replace(rows, version) })
}

// Version returns the version that a table is known up to; zero before it was read.
func (r *Registrar) Version(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tables[name]; t != nil && t.read {
		return t.version
	}
	return 0
}

// Since returns the changes of a table after a version, for other instances.
func (r *Registrar) Since(name string, after uint64) []server.StoredRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tables[name]; t != nil {
		return t.since(after)
	}
	return nil
}

// Rows returns a table for other instances; ok is false until it was read.
func (r *Registrar) Rows(name string) (rows []server.StoredRow, version uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tables[name]
	if t == nil || !t.read {
		return nil, 0, false
	}
	return t.all(), t.version, true
}

func (r *Registrar) take(name string, merge func(*table) []string) {
	r.mu.Lock()
	t := r.tables[name]
	wasRead := t.read
	news := merge(t)
	for _, row := range news {
		r.apply(name, row, t)
	}
	if len(news) == 0 && t.read == wasRead {
		r.mu.Unlock()
		return
	}
	view := r.publish()
	r.mu.Unlock()
	r.changed(view)
}

// apply reads one row that is news.
func (r *Registrar) apply(name, key string, t *table) {
	row, held := t.rows[key]
	switch name {
	case r.names.Plan:
		if held && key == r.names.PlanRow {
			r.applyPlan(row)
		}
	case r.names.Replicas:
		if held {
			r.applyReplica(row)
			return
		}
		r.depart(key)
	case TableInstances:
		if !held {
			delete(r.instances, key)
			return
		}
		r.applyInstance(row)
	}
}

func (r *Registrar) applyPlan(row server.StoredRow) {
	plan, err := r.decoder.Plan(row.Value)
	if err != nil {
		r.log.Error(err, "plan cannot be read and is not taken", "row", row.Name, "store_version", row.Version)
		return
	}
	if r.plan != nil && plan.Version <= r.plan.Version {
		r.log.Info("older plan ignored", "version", plan.Version, "in_force", r.plan.Version, "store_version", row.Version)
		return
	}
	r.plan, r.router = plan, router.New(plan)
	r.log.Info("plan in force", "version", plan.Version, "store_version", row.Version, "routes", len(plan.Routes), "workspaces", len(plan.Workspaces), "keys", keys(plan))
}

func keys(plan *server.Plan) (count int) {
	for i := range plan.Workspaces {
		count += len(plan.Workspaces[i].Keys)
	}
	return count
}

func (r *Registrar) applyReplica(row server.StoredRow) {
	replica, err := r.decoder.Replica(row.Name, row.Value, r.timer.Now())
	if err != nil {
		r.log.Info("registration cannot be read and names no replica", "replica", row.Name, "cause", err.Error(), "store_version", row.Version)
		return
	}
	known, held := r.replicas[row.Name]
	if held && stale(replica, known) {
		r.log.Info("older registration ignored", "replica", row.Name, "born", replica.Born, "known", known.Born, "seq", replica.Seq)
		return
	}
	delete(r.departing, row.Name)
	r.replicas[row.Name] = replica
	if !held || known.Draining != replica.Draining || known.Born != replica.Born || known.Address != replica.Address {
		r.log.Info("replica registered", "replica", row.Name, "service", replica.Service, "address", replica.Address,
			"datacentre", replica.Datacentre, "born", replica.Born, "draining", replica.Draining, "store_version", row.Version)
	}
}

// stale reports whether a registration is from before the one that is known.
func stale(replica, known server.Replica) bool {
	if replica.Born != known.Born {
		return replica.Born < known.Born
	}
	return replica.Seq < known.Seq || known.Draining && !replica.Draining
}

// depart takes a replica as gone: at once, or once the store has been back for
// a while if the row may have lapsed only because the store was away.
func (r *Registrar) depart(id string) {
	replica, held := r.replicas[id]
	if !held {
		return
	}
	now := r.timer.Now()
	if now.Sub(r.failed) > troubled || replica.Draining {
		delete(r.replicas, id)
		r.log.Info("replica gone", "replica", id, "service", replica.Service, "address", replica.Address)
		return
	}
	at := r.failed.Add(returnGrace)
	r.departing[id] = departure{replica: replica, at: at}
	r.log.Info("registration missing while the store is disturbed", "replica", id, "service", replica.Service, "wait_ms", at.Sub(now).Milliseconds())
	r.timer.After(max(at.Sub(now), time.Millisecond), func(now time.Time) { go r.sweep(now) })
}

// sweep removes the replicas whose rows did not come back.
func (r *Registrar) sweep(now time.Time) {
	r.mu.Lock()
	for id, d := range r.departing {
		if now.Before(d.at) {
			r.timer.After(d.at.Sub(now), func(now time.Time) { go r.sweep(now) })
			continue
		}
		delete(r.departing, id)
		delete(r.replicas, id)
		r.log.Info("replica gone", "replica", id, "service", d.replica.Service, "address", d.replica.Address)
	}
	view := r.publish()
	r.mu.Unlock()
	r.changed(view)
}

func (r *Registrar) applyInstance(row server.StoredRow) {
	var instance server.Instance
	if err := json.Unmarshal(row.Value, &instance); err != nil || instance.Address == "" {
		r.log.Info("row of an instance cannot be read and names none", "instance", row.Name, "store_version", row.Version)
		delete(r.instances, row.Name)
		return
	}
	instance.ID = row.Name
	r.instances[row.Name] = instance
}

// publish makes a view of all that is known; mu is held.
func (r *Registrar) publish() *View {
	v := &View{
		services: make(map[string][]server.Replica), replicas: make(map[string]server.Replica, len(r.replicas)),
		versions: make(map[string]uint64, len(r.tables)), at: r.timer.Now(),
	}
	if r.tables[r.names.Replicas].read && r.tables[r.names.Plan].read {
		v.router = r.router
	}
	for name, t := range r.tables {
		v.versions[name] = t.version
	}
	for _, replica := range r.replicas {
		v.add(replica)
	}
	for _, instance := range r.instances {
		v.instances = append(v.instances, instance)
	}
	v.sort()
	r.view.Store(v)
	return v
}

// Run follows the store until ctx ends.
func (r *Registrar) Run(ctx context.Context, feed server.Feed) {
	var following sync.WaitGroup
	for _, name := range r.Names() {
		following.Go(func() { newFollower(r, feed, name).run(ctx) })
	}
	following.Wait()
}
