// Package guarder puts a circuit breaker in front of a table, so that callers lose
// no time while the table is down. After several failures in a row it refuses calls
// immediately, until a probe finds that the table is available again.
package guarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// Limits of the breaker.
const (
	// failureThreshold is the number of failures in a row that open the breaker.
	failureThreshold = 3
	// minProbeInterval is the shortest time from a failure to the next probe.
	minProbeInterval = 250 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 500 * time.Millisecond
)

// probeRow is the row that probes read. It need not exist.
var probeRow = server.Key{Table: "orders", Row: "/probe"}

// Guarder is a table protected by a circuit breaker. It implements server.Table and
// is safe for concurrent use.
type Guarder struct {
	table server.Table
	now   func() time.Time

	mu      sync.Mutex
	breaker breaker
}

// New returns a Guarder of a table. now is the clock.
func New(table server.Table, now func() time.Time) *Guarder {
	return &Guarder{table: table, now: now}
}

// breaker is the state of the circuit breaker.
type breaker struct {
	// failures counts the failures in a row.
	failures      int
	isProbing     bool
	lastFailureAt time.Time
}

// isOpen reports whether calls are refused.
func (b breaker) isOpen() bool { return b.failures >= failureThreshold }

// shouldProbe reports whether a probe should be sent now.
func (b breaker) shouldProbe(now time.Time) bool {
	return b.isOpen() && !b.isProbing && now.Sub(b.lastFailureAt) >= minProbeInterval
}

// afterCall returns the breaker after a call or probe that failed or succeeded.
func (b breaker) afterCall(failed bool, now time.Time) breaker {
	if !failed {
		return breaker{}
	}
	b.failures++
	b.lastFailureAt = now
	return b
}

// IsOpen reports whether calls are refused.
func (g *Guarder) IsOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.breaker.isOpen()
}

// refuseIfOpen returns ErrUnavailable if the breaker is open. If a probe is due, it
// starts one in the background, so that no caller waits for it.
func (g *Guarder) refuseIfOpen() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.breaker.isOpen() {
		return nil
	}
	if g.breaker.shouldProbe(g.now()) {
		g.breaker.isProbing = true
		go g.probe()
	}
	return server.NewFault("table", "table", merry.Prepend(server.ErrUnavailable, "circuit breaker is open"))
}

// probe reads probeRow and updates the breaker.
func (g *Guarder) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := g.table.Get(ctx, probeRow)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.breaker.isProbing = false
	g.breaker = g.breaker.afterCall(isTableFailure(err), g.now())
}

// recordCall updates the breaker after a call. It ignores calls that the caller
// cancelled, and failures while the breaker is open.
func (g *Guarder) recordCall(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.breaker.isOpen() && isTableFailure(err) {
		return
	}
	g.breaker = g.breaker.afterCall(isTableFailure(err), g.now())
}

// isTableFailure reports whether an error concerns the table rather than a row.
func isTableFailure(err error) bool {
	return err != nil && !errors.Is(err, server.ErrConflict) && !errors.Is(err, server.ErrNotFound)
}

// Get implements server.Table.
func (g *Guarder) Get(ctx context.Context, key server.Key) (server.Row, error) {
	if err := g.refuseIfOpen(); err != nil {
		return server.Row{}, err
	}
	row, err := g.table.Get(ctx, key)
	g.recordCall(ctx, err)
	return row, err
}

// Scan implements server.Table.
func (g *Guarder) Scan(ctx context.Context, table, after string, limit int) ([]server.Row, error) {
	if err := g.refuseIfOpen(); err != nil {
		return nil, err
	}
	rows, err := g.table.Scan(ctx, table, after, limit)
	g.recordCall(ctx, err)
	return rows, err
}

// Commit implements server.Table.
func (g *Guarder) Commit(ctx context.Context, writes []server.Write) ([]uint64, error) {
	if err := g.refuseIfOpen(); err != nil {
		return nil, err
	}
	versions, err := g.table.Commit(ctx, writes)
	g.recordCall(ctx, err)
	return versions, err
}
