// Package leaser implements leases. At most one instance at a time holds a lease,
// with a fencing number that never decreases.
//
// Clocks of different instances are never compared. A candidate acquires the
// lease after it has seen the row unchanged for the TTL by its own monotonic
// clock. The holder stops a safety margin before the TTL has passed since it sent
// its last renewal.
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/charter"
	"oriolemill.example/oriolemill/internal/server"
)

const (
	// chartName is the state chart of leases.
	chartName = "lease"
	// tableLeases holds one row per lease.
	tableLeases = "leases"
	// defaultWatchInterval is the default interval between reads of a lease that
	// another instance holds. It is also the interval between retries while the
	// table is unavailable.
	defaultWatchInterval = 500 * time.Millisecond
	defaultTTL           = 6 * time.Second
	defaultSafetyMargin  = time.Second
	defaultRenewInterval = 1500 * time.Millisecond
	// tableTimeout bounds one call to the table.
	tableTimeout = time.Second
)

// Triggers that the actions return. The chart defines the transitions.
const (
	triggerFree        = "free"
	triggerHeld        = "held"
	triggerAcquired    = "won"
	triggerNotAcquired = "beaten"
	triggerUncertain   = "unsure"
	triggerRenewed     = "renewed"
	triggerLost        = "lost"
	triggerStopped     = "stopped"
	triggerReleased    = "released"
)

// Lease is one lease for which this instance is a candidate. HeldFence and State are
// safe for concurrent use.
type Lease struct {
	key           server.Key
	table         server.Table
	timer         server.Timer
	candidate     candidate
	machine       *charter.Machine[*Lease]
	holding       atomic.Pointer[holding]
	state         atomic.Pointer[string]
	watchInterval func() time.Duration
	cancel        context.CancelFunc
	done          chan struct{}
}

// holding is the part of the candidate's state that HeldFence reads.
type holding struct {
	fence     uint64
	heldUntil time.Time
}

// Option sets a property of a Lease.
type Option func(*Lease)

// WithWatchInterval sets the interval between reads of a lease that another instance
// holds. It may grow with the number of instances, to limit their reads.
func WithWatchInterval(interval func() time.Duration) Option {
	return func(l *Lease) { l.watchInterval = interval }
}

// WithTiming replaces the default timing.
func WithTiming(timing Timing) Option { return func(l *Lease) { l.candidate.timing = timing } }

// New returns the named lease. incarnation identifies the current process of the
// instance, so that a restarted instance counts as another holder. The error is
// ErrInvalid if the TTL is too short for the other durations, or one of those is
// not positive.
func New(table server.Table, timer server.Timer, name, incarnation string, options ...Option) (*Lease, error) {
	lease := &Lease{
		key:           server.Key{Table: tableLeases, Row: name},
		table:         table,
		timer:         timer,
		candidate:     candidate{id: incarnation, timing: Timing{TTL: defaultTTL, SafetyMargin: defaultSafetyMargin, RenewInterval: defaultRenewInterval}},
		watchInterval: func() time.Duration { return defaultWatchInterval },
		done:          make(chan struct{}),
	}
	for _, option := range options {
		option(lease)
	}
	timing := lease.candidate.timing
	if timing.RenewInterval <= 0 || timing.SafetyMargin <= 0 || timing.TTL < timing.SafetyMargin+2*timing.RenewInterval {
		return nil, merry.Prependf(server.ErrInvalid, "lease %s: TTL %v must be at least the safety margin %v plus twice the renewal interval %v; margin and interval must be positive", name, timing.TTL, timing.SafetyMargin, timing.RenewInterval)
	}
	chart, err := charter.Load(chartName)
	if err != nil {
		return nil, err
	}
	lease.machine, err = charter.NewMachine(chart, actions())
	return lease, err
}

// actions maps the chart's action names to functions.
func actions() map[string]charter.Action[*Lease] {
	return map[string]charter.Action[*Lease]{
		"watch":   {Run: watch, Triggers: []string{triggerFree, triggerHeld, triggerStopped}},
		"acquire": {Run: acquire, Triggers: []string{triggerAcquired, triggerNotAcquired, triggerUncertain}},
		"confirm": {Run: confirm, Triggers: []string{triggerAcquired, triggerNotAcquired, triggerUncertain, triggerStopped}},
		"renew":   {Run: renew, Triggers: []string{triggerRenewed, triggerLost, triggerStopped}},
		"release": {Run: release, Triggers: []string{triggerReleased}},
	}
}

// Start starts a goroutine that tries to acquire the lease and then renews it.
func (l *Lease) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go func() {
		defer close(l.done)
		_, _ = l.machine.Run(ctx, l, func(state string) { l.state.Store(&state) })
	}()
}

// Stop releases the lease if it is held, and waits for the release to be written
// or to fail. It must be called after Start.
func (l *Lease) Stop() {
	l.cancel()
	<-l.done
}

// HeldFence returns the fencing number, and whether the lease is held at the given
// time. Callers must check it right before each action, since a process that was
// paused may have lost the lease.
func (l *Lease) HeldFence(now time.Time) (fence uint64, ok bool) {
	current := l.holding.Load()
	if current == nil || !now.Before(current.heldUntil) {
		return 0, false
	}
	return current.fence, true
}

// State returns the current state of the chart, or "" before Start.
func (l *Lease) State() string {
	if state := l.state.Load(); state != nil {
		return *state
	}
	return ""
}

// publishHolding makes the candidate's state visible to HeldFence.
func (l *Lease) publishHolding() {
	l.holding.Store(&holding{fence: l.candidate.fence, heldUntil: l.candidate.heldUntil})
}

// waitOrStop waits for the given duration. It returns false if ctx ended.
func (l *Lease) waitOrStop(ctx context.Context, wait time.Duration) bool {
	fired := make(chan struct{})
	stop := l.timer.After(wait, func(time.Time) { close(fired) })
	defer stop()
	select {
	case <-fired:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// readRow reads the row and its version. An absent row has version zero.
func (l *Lease) readRow(ctx context.Context) (uint64, Record, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var record Record
	row, err := l.table.Get(ctx, l.key)
	if errors.Is(err, server.ErrNotFound) {
		return 0, record, nil
	}
	if err != nil {
		return 0, record, err
	}
	return row.Version, record, json.Unmarshal(row.Value, &record)
}

// writeRow writes the row on the condition that it still has the version that the
// candidate knows, and returns the new version.
func (l *Lease) writeRow(ctx context.Context, record Record) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	versions, err := l.table.Commit(ctx, []server.Write{{Key: l.key, ExpectedVersion: l.candidate.version, Value: value}})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}
