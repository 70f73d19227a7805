// Package registrar keeps this instance's copy of the store's tables: the plan, the
// registered replicas and the instances. It watches the store and also applies rows
// that other instances received.
package registrar

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/router"
)

// TableInstances is the name of the table that has a row for each instance.
const TableInstances = "instances"

const (
	// recoveryGrace is how long after the store has responded again a replica without a
	// row is kept: the row may only have expired while the store was unavailable. The
	// platform says that it is then written again within about two seconds of the store's
	// recovery.
	recoveryGrace = 1900 * time.Millisecond
)

// TableNames holds the names of the tables of the plan and the replicas, and of the row
// that holds the plan. Rows of the plan's table whose names begin with EvacuationPrefix each ask for the
// evacuation of the data centre that the rest of the name states; with "" there are none.
type TableNames struct {
	Plan, PlanRow, Replicas, EvacuationPrefix string
}

// Registrar merges rows of the store into tables and publishes views of them. It is
// safe for concurrent use.
type Registrar struct {
	log        logr.Logger
	timer      server.Timer
	decoder    server.RowDecoder
	tableNames TableNames
	view       atomic.Pointer[View]
	// onChange is called after each new view, without mu.
	onChange func(*View)
	// onCold is called with the replicas that are cold before each new view is published, with mu.
	onCold func([]server.Replica)
	// regions holds the region of each data centre.
	regions map[string]string
	// mu guards the fields from tables to lastResponse, and availability.
	mu     sync.Mutex
	tables map[string]*table
	// plan is the active plan, or nil before the first one.
	plan     *server.Plan
	router   *router.Router
	replicas map[string]server.Replica
	// pendingRemovals holds, by ID, when the replicas are removed that are kept for now
	// though their row was deleted, unless they are registered again. They are in replicas
	// too.
	pendingRemovals map[string]time.Time
	// stopRemovalTimer stops the timer for the next pending removal.
	stopRemovalTimer func()
	instances        map[string]server.Instance
	evacuations      evacuations
	// departed holds replicas that were removed; see departures.
	departed departures
	// planRow is the row of the active plan.
	planRow      server.StoredRow
	availability availability
	// lastResponse is when the store last responded to this instance, by table.
	lastResponse map[string]time.Time
	// unseenAt is when a replica may last have come and gone without being seen here.
	unseenAt time.Time
	// failureCount is the number of calls of this instance to the store that failed.
	failureCount atomic.Uint64
	// outageCount is the number of outages of the store that this instance knows of.
	outageCount atomic.Uint64
	// leavingCount is the number of replicas that RecordLeaving has taken out of service.
	leavingCount atomic.Uint64
	// staleResponseCount is the number of responses of the store whose version was lower
	// than the known one.
	staleResponseCount atomic.Uint64
	hasLeader          func(table string) bool
	isLeader           func() bool
	leaderWatchTimeout time.Duration
	watchPosition      func() (index, count int)
	// onOutageEnd is called in a goroutine of its own.
	onOutageEnd  func(server.Outage)
	confirmation confirmation
}

// Option sets a property of a Registrar.
type Option func(*Registrar)

// WithChangeHandler sets a function that is called after each new view. It must not block.
func WithChangeHandler(onChange func(*View)) Option {
	return func(r *Registrar) { r.onChange = onChange }
}

// WithRegions sets the region of each data centre.
func WithRegions(regions map[string]string) Option {
	return func(r *Registrar) { r.regions = regions }
}

// WithColdHandler sets a function that is called with the replicas that may get new work and are cold, before each new
// view is published: no request may be sent by a view before the limits of its replicas are known. It must not call the
// Registrar.
func WithColdHandler(onCold func(replicas []server.Replica)) Option {
	return func(r *Registrar) { r.onCold = onCold }
}

// WithLeaders lets leaders watch the store for the other instances. hasLeader reports
// whether leaders watch a table for this instance, and isLeader whether this instance
// is a leader; the store may then hold its watches open for watchTimeout.
func WithLeaders(hasLeader func(table string) bool, isLeader func() bool, watchTimeout time.Duration) Option {
	return func(r *Registrar) { r.hasLeader, r.isLeader, r.leaderWatchTimeout = hasLeader, isLeader, watchTimeout }
}

// WithWatchTurns makes the watches of the plan and the replicas end in turns, so that an instance
// soon notices changes that no watch in progress delivers, and passes them on. position returns the
// position of this instance among all.
func WithWatchTurns(position func() (index, count int)) Option {
	return func(r *Registrar) { r.watchPosition = position }
}

// WithOutageHandler sets a function that is called when the store responds again after an outage
// that RecordOutage has not reported.
func WithOutageHandler(onOutageEnd func(server.Outage)) Option {
	return func(r *Registrar) { r.onOutageEnd = onOutageEnd }
}

// New returns a Registrar whose tables are empty.
func New(log logr.Logger, timer server.Timer, decoder server.RowDecoder, names TableNames, options ...Option) *Registrar {
	r := &Registrar{
		log: log, timer: timer, decoder: decoder, tableNames: names, onChange: func(*View) {}, onCold: func([]server.Replica) {},
		tables:   map[string]*table{names.Plan: newTable(), names.Replicas: newTable(), TableInstances: newTable()},
		replicas: make(map[string]server.Replica), pendingRemovals: make(map[string]time.Time),
		instances: make(map[string]server.Instance), evacuations: newEvacuations(), lastResponse: make(map[string]time.Time), stopRemovalTimer: func() {},
		availability: newAvailability(), onOutageEnd: func(server.Outage) {},
		hasLeader: func(string) bool { return false }, isLeader: func() bool { return false },
		confirmation: confirmation{turn: make(chan struct{}, 1)},
	}
	for _, option := range options {
		option(r)
	}
	r.view.Store(&View{})
	return r
}

// View returns the current view.
func (r *Registrar) View() *View { return r.view.Load() }

// Names returns the names of the tables.
func (r *Registrar) Names() []string {
	return []string{r.tableNames.Plan, r.tableNames.Replicas, TableInstances}
}

// RecoveredAt returns when the store responded again, after failed calls, to the instance
// that read the newest changes of a table. It is zero if no call of that instance failed.
func (r *Registrar) RecoveredAt(table string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tables[table]; t != nil {
		return t.recoveredAt
	}
	return time.Time{}
}

// LastResponse returns when the store last responded to a call for a table.
func (r *Registrar) LastResponse(table string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastResponse[table]
}

// FailureCount returns the number of calls of this instance to the store that failed.
func (r *Registrar) FailureCount() uint64 { return r.failureCount.Load() }

// ApplyChanges applies changes of a table, which is then known up to version. recoveredAt
// is when the store responded again, after failed calls, to the instance that read the
// changes from it; zero without failed calls.
func (r *Registrar) ApplyChanges(name string, rows []server.StoredRow, version uint64, recoveredAt time.Time) {
	r.update(name, recoveredAt, func(t *table) []string { return t.applyChanges(rows, version) })
}

// Replace replaces a table by all its rows as of version. Rows that are known in a
// newer version stay. See ApplyChanges for recoveredAt.
func (r *Registrar) Replace(name string, rows []server.StoredRow, version uint64, recoveredAt time.Time) {
	r.update(name, recoveredAt, func(t *table) []string { return t.replace(rows, version) })
}

// Version returns the version that a table is known up to; zero before it was read.
func (r *Registrar) Version(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tables[name]; t != nil && t.isLoaded {
		return t.version
	}
	return 0
}

// ChangesSince returns the rows of a table that were written or deleted after a version.
func (r *Registrar) ChangesSince(name string, after uint64) []server.StoredRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tables[name]; t != nil {
		return t.since(after)
	}
	return nil
}

// LoadedVersion returns the version as of which a table was first read whole: deletions before
// it are not known here. It is zero before that.
func (r *Registrar) LoadedVersion(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tables[name]; t != nil {
		return t.loadedVersion
	}
	return 0
}

// HasRow reports whether a table has a row, as far as this instance has read.
func (r *Registrar) HasRow(table, name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.tables[table].rows[name]
	return ok
}

// Rows returns all rows of a table and the version that they are known up to; ok is
// false until the table was read.
func (r *Registrar) Rows(name string) (rows []server.StoredRow, version uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tables[name]
	if t == nil || !t.isLoaded {
		return nil, 0, false
	}
	return t.list(), t.version, true
}

// update changes a table by merge, which returns the names of the rows that changed.
// It publishes a new view if there are any or the table was read for the first time.
func (r *Registrar) update(name string, recoveredAt time.Time, merge func(*table) []string) {
	r.mu.Lock()
	t := r.tables[name]
	wasLoaded, versionBefore := t.isLoaded, t.version
	changedNames := merge(t)
	unseenDeletions := t.unseenDeletions
	t.unseenDeletions = nil
	hasMissedEvacuation := name == r.tableNames.Plan && wasLoaded && r.applyUnseenEvacuations(unseenDeletions, versionBefore)
	if len(changedNames) > 0 {
		t.recoveredAt = recoveredAt
	}
	isRestored := wasLoaded && server.IsEarlierEra(versionBefore, t.version)
	if !isRestored && !r.isExpiry(name, changedNames, t) {
		recoveredAt = time.Time{}
	}
	for _, row := range changedNames {
		_, isKnown := r.replicas[row]
		if _, isPresent := t.rows[row]; !isPresent && !isKnown {
			t.hasUnseen = true // it has come and gone in one change
		}
		if !isRestored || !r.isOutdated(name, row, t) {
			r.applyRow(name, row, t, recoveredAt)
		}
	}
	if isRestored && name == TableInstances {
		r.timer.After(restoredInstanceGrace, func(time.Time) { go r.removeUnlistedInstances() })
	}
	hasUnseen := t.hasUnseen && name == r.tableNames.Replicas
	if t.hasUnseen = false; hasUnseen {
		r.unseenAt = r.timer.Now()
	}
	if len(changedNames) == 0 && t.isLoaded == wasLoaded && !hasUnseen && !hasMissedEvacuation {
		r.mu.Unlock()
		return
	}
	view := r.publish()
	r.mu.Unlock()
	r.onChange(view)
}

// applyRow applies one row that was written or deleted. See removeReplica for recoveredAt. The
// caller holds mu.
func (r *Registrar) applyRow(name, key string, t *table, recoveredAt time.Time) {
	row, exists := t.rows[key]
	switch name {
	case r.tableNames.Plan:
		if exists && key == r.tableNames.PlanRow {
			r.applyPlan(row)
		}
		r.applyEvacuation(key, exists)
	case r.tableNames.Replicas:
		if exists {
			r.applyReplica(row)
			return
		}
		r.removeReplica(key, recoveredAt)
	case TableInstances:
		if !exists {
			delete(r.instances, key)
			return
		}
		r.applyInstance(row)
	}
}

// applyPlan activates a plan unless it is invalid or not newer than the current
// one. The caller holds mu.
func (r *Registrar) applyPlan(row server.StoredRow) {
	plan, err := r.decoder.DecodePlan(row.Value)
	if err != nil {
		r.log.Error(err, "invalid plan ignored", "row", row.Name, "store_version", row.Version)
		return
	}
	if r.plan != nil && plan.Version <= r.plan.Version && !r.replacesPlan(plan, row) {
		r.log.Info("plan is not newer than the one in force; ignored", "version", plan.Version, "in_force", r.plan.Version, "store_version", row.Version)
		return
	}
	r.plan, r.planRow, r.router = plan, row, router.New(plan)
	r.log.Info("plan in force", "version", plan.Version, "store_version", row.Version, "routes", len(plan.Routes), "workspaces", len(plan.Workspaces), "keys", countKeys(plan))
}

// replacesPlan reports whether a plan with the version of the active one replaces it: it was
// written to a store that had lost the active one. The caller holds mu.
func (r *Registrar) replacesPlan(plan *server.Plan, row server.StoredRow) bool {
	return plan.Version == r.plan.Version && server.IsEarlierEra(r.planRow.Version, row.Version) && !bytes.Equal(r.planRow.Value, row.Value)
}

// countKeys returns the number of keys of all workspaces.
func countKeys(plan *server.Plan) (count int) {
	for i := range plan.Workspaces {
		count += len(plan.Workspaces[i].Keys)
	}
	return count
}

// applyInstance adds or updates an instance. One whose row is invalid is removed. The
// caller holds mu.
func (r *Registrar) applyInstance(row server.StoredRow) {
	var instance server.Instance
	if err := json.Unmarshal(row.Value, &instance); err != nil || instance.Address == "" {
		r.log.Info("instance with an invalid row removed", "instance", row.Name, "store_version", row.Version)
		delete(r.instances, row.Name)
		return
	}
	instance.ID = row.Name
	r.instances[row.Name] = instance
}

// publish replaces the view by one of the current tables and returns it. The caller
// holds mu.
func (r *Registrar) publish() *View {
	v := &View{
		services: make(map[string][]server.Replica), replicas: make(map[string]server.Replica, len(r.replicas)),
		versions: make(map[string]uint64, len(r.tables)), createdAt: r.timer.Now(),
	}
	if r.tables[r.tableNames.Replicas].isLoaded && r.tables[r.tableNames.Plan].isLoaded {
		v.router = r.router
	}
	for name, t := range r.tables {
		v.versions[name] = t.version
	}
	for _, replica := range r.replicas {
		v.add(r.withColdness(replica), r.evacuations.isActive(replica.Datacentre))
	}
	for _, instance := range r.instances {
		v.instances = append(v.instances, instance)
	}
	v.evacuated = maps.Clone(r.evacuations.active)
	v.sort()
	previous := r.view.Load()
	v.onlyVersions = nextVersionPeriods(previous.onlyVersions, r.replicas, v.createdAt)
	for service, period := range v.onlyVersions {
		if period.since.Before(r.unseenAt) {
			v.onlyVersions[service] = versionPeriod{version: period.version, since: r.unseenAt}
		}
	}
	v.mixedAt = nextMixedTimes(previous.mixedAt, v.onlyVersions, r.replicas, v.createdAt)
	r.onCold(v.ColdReplicas(v.createdAt))
	r.view.Store(v)
	return v
}

// AdoptPeriod records that all replicas of a service have had a version since an earlier time than this instance
// has read. It changes nothing if they have others now.
func (r *Registrar) AdoptPeriod(service, version string, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := *r.view.Load()
	if since.Before(r.unseenAt) {
		since = r.unseenAt
	}
	period, ok := view.onlyVersions[service]
	if !ok || period.version != version || !since.Before(period.since) {
		return
	}
	view.onlyVersions = maps.Clone(view.onlyVersions)
	view.onlyVersions[service] = versionPeriod{version: version, since: since}
	r.view.Store(&view)
}

// Run keeps the tables up to date with the store until ctx ends.
func (r *Registrar) Run(ctx context.Context, store server.Store) {
	var followers sync.WaitGroup
	for _, name := range r.Names() {
		followers.Go(func() { newFollower(r, store, name).run(ctx) })
	}
	followers.Wait()
}
