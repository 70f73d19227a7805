// Package pacer shares a rate between instances through one row of the
// platform's table.
//
// The row holds the time of the next free slot, and an instance reserves a slot by a
// conditional write. Instances that start together therefore act one after the other
// and not all at once.
package pacer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// pacesTable is the table with one row for each shared rate.
const pacesTable = "paces"

// maxAttempts bounds the conditional writes for one slot.
const maxAttempts = 4

// Pacer reserves time slots at a shared rate. It is safe for concurrent use.
type Pacer struct {
	table server.Table
	key   server.Key
	now   func() time.Time
}

// paceRow is the content of the row.
type paceRow struct {
	// Next is the wall-clock time of the next free slot. A difference between the
	// clocks of instances shifts their slots by that difference.
	Next time.Time `json:"next"`
}

// New returns a Pacer for the shared rate with the given name.
func New(table server.Table, name string, now func() time.Time) *Pacer {
	return &Pacer{table: table, key: server.Key{Table: pacesTable, Row: name}, now: now}
}

// ReserveSlot reserves the next slot and returns how long to wait for it. If the wait
// exceeds maxWait, it reserves nothing and returns ErrOverload with a retry delay. A
// write with an unknown outcome counts as a slot reserved by another instance, so the
// rate is never exceeded. After maxAttempts writes it returns ErrConflict.
func (p *Pacer) ReserveSlot(ctx context.Context, perSecond float64, burst int, maxWait time.Duration) (time.Duration, error) {
	if perSecond <= 0 || burst < 1 {
		return 0, merry.Prependf(server.ErrInvalid, "rate %v must be above 0 and burst %d at least 1", perSecond, burst)
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	for range maxAttempts {
		wait, err := p.tryReserve(ctx, interval, burst, maxWait)
		if !errors.Is(err, server.ErrConflict) && !errors.Is(err, server.ErrUncertain) {
			return wait, err
		}
	}
	return 0, server.NewFault("reserve", "table", server.ErrConflict)
}

// tryReserve tries to reserve the next slot with one conditional write.
func (p *Pacer) tryReserve(ctx context.Context, interval time.Duration, burst int, maxWait time.Duration) (time.Duration, error) {
	version, row, err := p.readRow(ctx)
	if err != nil {
		return 0, err
	}
	now := p.now()
	wait, next := nextSlot(now, row.Next, interval, burst)
	if wait > maxWait {
		return 0, server.NewFault("reserve", "table", server.ErrOverload, server.WithRetryAfter(wait-maxWait))
	}
	value, err := json.Marshal(paceRow{Next: next})
	if err != nil {
		return 0, merry.Wrap(err)
	}
	_, err = p.table.Commit(ctx, []server.Write{{Key: p.key, ExpectedVersion: version, Value: value}})
	return wait, err
}

// nextSlot returns the wait for the next slot and the time of the slot after it. After
// an idle time, up to burst slots may be used at once.
func nextSlot(now, next time.Time, interval time.Duration, burst int) (wait time.Duration, followingSlot time.Time) {
	earliest := now.Add(-time.Duration(burst-1) * interval)
	if next.Before(earliest) {
		next = earliest
	}
	return max(next.Sub(now), 0), next.Add(interval)
}

// readRow returns the row and its version; a missing row has version 0.
func (p *Pacer) readRow(ctx context.Context) (uint64, paceRow, error) {
	var row paceRow
	stored, err := p.table.Get(ctx, p.key)
	if errors.Is(err, server.ErrNotFound) {
		return 0, row, nil
	}
	if err != nil {
		return 0, row, err
	}
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return 0, row, merry.Prepend(err, "decoding the pace row")
	}
	return stored.Version, row, nil
}
