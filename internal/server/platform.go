package server

import (
	"context"
	"encoding/json"
	"time"
)

// Key identifies a row of the platform's table service.
type Key struct {
	// Table is the name of the table, such as "orders".
	Table string `json:"table"`
	// Row is the key of the row within the table.
	Row string `json:"row"`
}

// Row is a row with the version assigned by the table.
type Row struct {
	Key
	// Version increases by one with each write of the row, starting at 1.
	Version uint64 `json:"version"`
	// Value is the content of the row as JSON.
	Value json.RawMessage `json:"value"`
}

// Write is a conditional change within a transaction.
type Write struct {
	Key
	// ExpectedVersion is the version that the row must have; zero means that the row must
	// not exist.
	ExpectedVersion uint64 `json:"expect"`
	// Unconditional is set if the row may have any version or may not exist; ExpectedVersion
	// is then ignored.
	Unconditional bool `json:"any,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
	// Value is the new content; it is ignored if Delete is set.
	Value json.RawMessage `json:"value,omitempty"`
}

// Table is the platform's transactional table service.
//
// Errors: ErrConflict (nothing written), ErrUnavailable (nothing written),
// ErrUncertain (the write may have happened), ErrNotFound (Get only).
type Table interface {
	// Get reads one row.
	Get(ctx context.Context, key Key) (Row, error)
	// Scan reads up to limit rows of a table with keys greater than after, in key
	// order.
	Scan(ctx context.Context, table, after string, limit int) ([]Row, error)
	// Commit applies all writes or none of them and returns the new versions in
	// the order of the writes.
	Commit(ctx context.Context, writes []Write) ([]uint64, error)
}

// ObjectStore is the platform's object store. Errors are as for Table.
type ObjectStore interface {
	// Put stores data under name, replacing any existing object.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Presence is the state of an instance or upstream in the platform's list.
type Presence string

// States in the platform's list.
const (
	// PresenceLive means that the instance or upstream accepts work.
	PresenceLive Presence = "live"
	// PresenceLeaving means that the instance or upstream is draining: it finishes
	// its work and accepts no new work.
	PresenceLeaving Presence = "leaving"
)

// Listing is an entry of the platform's list.
type Listing struct {
	// ID is unique among all entries, such as "oriole-pool-3".
	ID string `json:"id"`
	// Service is the name of the upstream service, or "oriolemill" for an instance
	// of this deployment.
	Service string `json:"service"`
	// Datacentre is the data centre in which it runs.
	Datacentre string `json:"datacentre"`
	// Address is host:port with an IP address as the host. For an instance of this
	// deployment it is the address of the peer listener.
	Address string `json:"address"`
	// Version is that of the upstream's software; "" on a platform that does not state it.
	// Replicas of several versions may serve side by side.
	Version string `json:"version,omitempty"`
	// Presence is live or leaving.
	Presence Presence `json:"presence"`
}

// Lister reads the platform's list of live and leaving instances and upstreams.
// The list lags behind the actual state.
type Lister interface {
	// List returns all entries, or ErrUnavailable if the list cannot be read.
	List(ctx context.Context) ([]Listing, error)
}

// Timer is the clock and the timer service of all components.
type Timer interface {
	// Now returns the current time with a monotonic clock reading.
	Now() time.Time
	// Every calls callback once per interval until stop is called.
	Every(interval time.Duration, callback func(now time.Time)) (stop func())
	// After calls callback once after delay, unless stop is called earlier.
	After(delay time.Duration, callback func(now time.Time)) (stop func())
}
