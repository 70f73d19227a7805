package registrar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// watchTimeout is how long the store may hold a watch open without a change.
	watchTimeout = 12 * time.Second
	// watchTurn is the time between the ends of two instances' watches of one table, where
	// they take turns; see WithWatchTurns.
	watchTurn = time.Second
	// instanceWatchTimeout is the watchTimeout of the table of instances, whose changes
	// are announced over links too.
	instanceWatchTimeout = 25 * time.Second
	// The mean wait after failed calls in a row doubles from twice baseRetryDelay up to
	// maxRetryDelay. Jitter makes each wait up to a half shorter or longer.
	baseRetryDelay = 50 * time.Millisecond
	maxRetryDelay  = 800 * time.Millisecond
	// batchDelay is the wait after a change, so that changes in quick succession come
	// in one response. The platform allows 2 s or more until a change is known.
	batchDelay = 200 * time.Millisecond
	// instancesPerBatchDelay is the number of instances that add one batchDelay to the
	// wait after a change, up to maxBatchDelayFactor of them, so that large deployments
	// do not call the store more often in total. The longest wait for plans and
	// replicas, 0.8 s, is well below the 2 s in which a change must be in force.
	instancesPerBatchDelay = 20
	maxBatchDelayFactor    = 4
	// instanceBatchDelay is the batchDelay of the table of instances.
	instanceBatchDelay = time.Second
	// leaderCheckInterval is how often an instance that does not watch the store
	// checks that leaders still do.
	leaderCheckInterval = 200 * time.Millisecond
	// maxQuickResponses is the number of watches in a row that may end within
	// quickResponseDelay without a change. The follower then waits quickResponseDelay
	// before each further call, so that it does not flood a faulty store.
	maxQuickResponses  = 3
	quickResponseDelay = 200 * time.Millisecond
)

// follower keeps one table up to date with the store. Only run's goroutine uses it.
type follower struct {
	registrar    *Registrar
	store        server.Store
	table        string
	watchTimeout time.Duration
	batchDelay   time.Duration
	// version is the store's version that the table is known up to.
	version uint64
	// isLoaded is set once the whole table was read.
	isLoaded bool
	// failures counts the calls that failed in a row.
	failures int
	// isBehind is set while the store's version is lower than the known one.
	isBehind bool
	// quickResponses counts the watches in a row that ended quickly without a change.
	quickResponses int
	// isTurnDue is set after a change or an outage, which end the watches of all instances at
	// once, until the next watch.
	isTurnDue bool
	// failedSince is when the first of the failed calls failed.
	failedSince time.Time
	// hasLeader is set while leaders watch the table, so that this instance need not.
	hasLeader bool
}

func newFollower(r *Registrar, store server.Store, table string) *follower {
	f := &follower{registrar: r, store: store, table: table, watchTimeout: watchTimeout, batchDelay: batchDelay}
	if table == TableInstances {
		f.watchTimeout, f.batchDelay = instanceWatchTimeout, instanceBatchDelay
	}
	return f
}

// run keeps the table up to date until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := f.step(ctx)
		if server.Sleep(ctx, f.registrar.timer, delay) != nil {
			return
		}
	}
}

// step makes at most one call to the store and returns the wait before the next step.
func (f *follower) step(ctx context.Context) time.Duration {
	if !f.isLoaded {
		return f.loadTable(ctx)
	}
	if f.checkLeaders() {
		return leaderCheckInterval
	}
	// Other instances may have announced newer versions than the store delivered.
	f.version = max(f.version, f.registrar.Version(f.table))
	startedAt, timeout := f.registrar.timer.Now(), f.currentWatchTimeout()
	rows, version, isInterrupted, err := f.watch(ctx, timeout)
	if isInterrupted {
		f.isTurnDue = true
		return 0
	}
	if errors.Is(err, server.ErrNotFound) {
		f.isLoaded = false
		f.registrar.log.Info("store has no history back to this version; reading the whole table", "table", f.table, "after", f.version)
		return 0
	}
	if err != nil {
		return f.recordFailure(ctx, err, startedAt, timeout)
	}
	recoveredAt := f.recordSuccess(false)
	f.recordVersion(version)
	if version < f.version {
		// Other instances have sent newer rows than this response holds.
		return quickResponseDelay
	}
	f.registrar.ApplyChanges(f.table, rows, version, recoveredAt)
	f.version = version
	if len(rows) > 0 {
		f.quickResponses, f.isTurnDue = 0, true
		return f.delayAfterChange()
	}
	if f.registrar.timer.Now().Sub(startedAt) > quickResponseDelay {
		f.quickResponses = 0
		return 0
	}
	if f.quickResponses++; f.quickResponses > maxQuickResponses {
		return quickResponseDelay
	}
	return 0
}

// watch waits for changes of the table. isInterrupted is set if the store has recovered from an
// outage meanwhile, as other calls show; the watch must then begin anew.
func (f *follower) watch(ctx context.Context, timeout time.Duration) (rows []server.StoredRow, version uint64, isInterrupted bool, err error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	period := f.registrar.availabilityPeriod()
	defer context.AfterFunc(period, cancel)()
	rows, version, err = f.store.Watch(watchCtx, f.table, f.version, timeout)
	isInterrupted = err != nil && watchCtx.Err() != nil && ctx.Err() == nil
	return rows, version, isInterrupted, err
}

// checkLeaders reports whether leaders watch the table for this instance, and logs
// changes.
func (f *follower) checkLeaders() bool {
	hasLeader := f.registrar.hasLeader(f.table)
	if hasLeader != f.hasLeader {
		f.hasLeader = hasLeader
		f.registrar.log.Info("source of table changes switched between the store and the leaders", "table", f.table, "others_follow", hasLeader, "version", f.registrar.Version(f.table))
	}
	return hasLeader
}

// currentWatchTimeout returns how long the store may hold the next watch open. A leader's is
// shorter by its wait after a change, so that the time between two responses is bounded. After
// a failed call the store must respond at once, so that its recovery is noticed.
func (f *follower) currentWatchTimeout() time.Duration {
	if f.failures > 0 {
		return 0
	}
	if !f.registrar.isLeader() {
		return f.turnTimeout()
	}
	waited := f.registrar.timer.Now().Sub(f.registrar.LastResponse(f.table))
	return f.registrar.leaderWatchTimeout - min(waited, batchDelay)
}

// turnTimeout returns how long the store may hold the next watch of an instance that is not a
// leader. Where the instances take turns, their watches end one after the other.
func (f *follower) turnTimeout() time.Duration {
	isTurnDue := f.isTurnDue
	f.isTurnDue = false
	if f.registrar.watchPosition == nil || f.table == TableInstances {
		return f.watchTimeout
	}
	index, count := f.registrar.watchPosition()
	round := min(time.Duration(count)*watchTurn, f.watchTimeout)
	if isTurnDue {
		return round * time.Duration(index+1) / time.Duration(count)
	}
	return round
}

// delayAfterChange returns the wait before the next watch after a change. It grows
// with the number of instances, but not for leaders.
func (f *follower) delayAfterChange() time.Duration {
	if f.registrar.isLeader() {
		return batchDelay
	}
	factor := len(f.registrar.View().Instances()) / instancesPerBatchDelay
	return f.batchDelay * time.Duration(min(max(factor, 1), maxBatchDelayFactor))
}

// loadTable reads the whole table and returns the wait before the next step.
func (f *follower) loadTable(ctx context.Context) time.Duration {
	startedAt := f.registrar.timer.Now()
	rows, version, err := f.store.Load(ctx, f.table)
	if err != nil {
		return f.recordFailure(ctx, err, startedAt, 0)
	}
	known := f.registrar.Version(f.table)
	wasRestored := f.version > 0 && server.IsEarlierEra(known, version)
	if wasRestored {
		f.registrar.log.Info("the store was restored from an older copy", "table", f.table, "version", version, "known", known)
	}
	recoveredAt := f.recordSuccess(wasRestored)
	f.recordVersion(version)
	f.registrar.Replace(f.table, rows, version, recoveredAt)
	f.version, f.isLoaded, f.isTurnDue = version, true, true
	return f.delayAfterChange()
}

// recordVersion records the version of a response. One that is lower than the known one holds
// nothing that is applied: other instances were faster, or the store has lost changes.
func (f *follower) recordVersion(version uint64) {
	known := f.registrar.Version(f.table)
	isBehind := version < known
	if isBehind {
		f.registrar.staleResponseCount.Add(1)
	}
	if isBehind && !f.isBehind {
		f.registrar.log.Info("the store's version is lower than the known one; its rows are ignored", "table", f.table, "version", version, "known", known)
	}
	f.isBehind = isBehind
}

// recordFailure records a call that failed, which the store should have answered timeout after
// startedAt. It returns the wait before the next step, with exponential backoff and jitter; the
// time that the call took counts towards it.
func (f *follower) recordFailure(ctx context.Context, err error, startedAt time.Time, timeout time.Duration) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	now := f.registrar.timer.Now()
	took := now.Sub(startedAt)
	f.registrar.recordFailure(startedAt.Add(min(took, timeout)))
	if f.failures == 0 {
		f.failedSince = now
		f.registrar.log.Info("call to the store failed", "table", f.table, "version", f.version, "cause", err.Error())
	}
	f.failures++
	limit := min(baseRetryDelay<<min(f.failures, 8), maxRetryDelay)
	return max(limit/2+time.Duration(rand.Int64N(int64(limit)))-took, 0)
}

// recordSuccess records a response of the store and returns when the store last responded
// to this instance after failed calls, whichever table they were for.
func (f *follower) recordSuccess(wasRestored bool) (recoveredAt time.Time) {
	recoveredAt = f.registrar.recordResponse(f.table, wasRestored)
	if f.failures > 0 {
		f.isTurnDue = true
		f.registrar.log.Info("store responds again", "table", f.table, "away_ms", f.registrar.timer.Now().Sub(f.failedSince).Milliseconds(), "failures", f.failures)
	}
	f.failures = 0
	return recoveredAt
}
