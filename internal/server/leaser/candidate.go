package leaser

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Record is the value of the lease's row. The row is never deleted, so that
// Fence never decreases.
type Record struct {
	// Holder identifies the holding process, or is "" if the lease was released.
	Holder string `json:"holder"`
	// Nonce is unique to each write, so that a writer recognizes its own.
	Nonce string `json:"nonce"`
	// Fence is the fencing number. It increases with each change of holder.
	Fence uint64 `json:"number"`
}

// Timing holds the durations of a lease.
type Timing struct {
	// TTL is how long the row must stay unchanged before another candidate may
	// acquire it.
	TTL time.Duration
	// SafetyMargin is how long before the end of the TTL the holder stops acting. It
	// covers clock drift.
	SafetyMargin time.Duration
	// RenewInterval is the interval between renewals.
	RenewInterval time.Duration
}

// candidate is the state of a lease as one candidate knows it. Its methods decide
// without a clock or network. All times are readings of the
// candidate's own monotonic clock. It is not safe for concurrent use.
type candidate struct {
	// id identifies the candidate's process.
	id     string
	timing Timing
	// version and record are the row as last read or written.
	version uint64
	record  Record
	// unchangedSince is when version was first seen; zero before the first read.
	unchangedSince time.Time
	// fence is the candidate's own fencing number, valid until heldUntil.
	fence     uint64
	heldUntil time.Time
	// pending is the record of the last write, which was sent at pendingSentAt.
	pending       Record
	pendingSentAt time.Time
}

// observeRow stores the row as read. A new version restarts the TTL.
func (c *candidate) observeRow(now time.Time, version uint64, record Record) {
	if version != c.version || c.unchangedSince.IsZero() {
		c.unchangedSince = now
	}
	c.version = version
	c.record = record
}

// canAcquire reports whether the lease may be acquired: it was released or never
// held, or the row has stayed unchanged for the TTL.
func (c *candidate) canAcquire(now time.Time) bool {
	if c.unchangedSince.IsZero() {
		return false
	}
	return c.record.Holder == "" || now.Sub(c.unchangedSince) >= c.timing.TTL
}

// acquireRecord returns the record that acquires the lease, to be written on the
// condition that the row still has the version that was read.
func (c *candidate) acquireRecord(now time.Time, nonce string) Record {
	c.pending = Record{Holder: c.id, Nonce: nonce, Fence: max(c.record.Fence, c.fence) + 1}
	c.pendingSentAt = now
	return c.pending
}

// renewalRecord returns the record that renews the lease, to be written on the
// condition that the row still has the version of the last renewal.
func (c *candidate) renewalRecord(now time.Time, nonce string) Record {
	c.pending = Record{Holder: c.id, Nonce: nonce, Fence: c.fence}
	c.pendingSentAt = now
	return c.pending
}

// confirmPending records that the pending write was applied as the given version.
// The holding time starts when the write was sent, since no other candidate can
// have seen the row before.
func (c *candidate) confirmPending(now time.Time, version uint64) {
	c.version = version
	c.record = c.pending
	c.unchangedSince = now
	c.fence = c.pending.Fence
	c.heldUntil = c.pendingSentAt.Add(c.timing.TTL - c.timing.SafetyMargin)
}

// resolveAcquisition reports, from the row as read back, whether an acquisition
// whose response was lost was applied.
func (c *candidate) resolveAcquisition(now time.Time, version uint64, record Record) bool {
	if record == c.pending {
		c.confirmPending(now, version)
		return true
	}
	c.observeRow(now, version, record)
	return false
}

// resolveRenewal determines, from the row as read back, the result of a renewal
// whose response was lost: nil if it was applied, ErrUnavailable if it was not
// applied yet, ErrConflict if another candidate holds the lease.
func (c *candidate) resolveRenewal(now time.Time, version uint64, record Record) error {
	switch {
	case record == c.pending:
		c.confirmPending(now, version)
		return nil
	case version == c.version:
		return server.ErrUnavailable
	case record.Holder == c.id && record.Fence == c.fence:
		// An earlier renewal was applied late; this candidate still holds the lease.
		c.version = version
		return server.ErrUnavailable
	default:
		return server.ErrConflict
	}
}

// activeFence returns the fencing number, and whether the lease is held at the
// given time.
func (c *candidate) activeFence(now time.Time) (uint64, bool) {
	if !now.Before(c.heldUntil) {
		return 0, false
	}
	return c.fence, true
}

// stepDown stops the candidate from acting as the holder.
func (c *candidate) stepDown() { c.heldUntil = time.Time{} }
