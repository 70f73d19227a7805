// Package verifier knows of which replicas it is doubtful whether the known row is that of the process which
// serves now. Rows come from the store, so they may be older than the replica: it may have started again,
// with another software version.
package verifier

import (
	"sync"
	"sync/atomic"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// retention is how long what is known of a replica is kept.
const retention = 10 * time.Minute

// Verifier implements server.IncarnationVerifier. It is safe for concurrent use.
type Verifier struct {
	timer server.Timer
	// failingSince returns since when the store does not respond to this instance; zero if it does.
	failingSince                 func() time.Time
	confirmedCount, refutedCount atomic.Uint64
	mu                           sync.Mutex
	// known holds what is known of replicas, by ID.
	known map[string]knowledge
}

// knowledge is what is known of one incarnation of a replica.
type knowledge struct {
	startMillis int64
	// brokenAt is when a connection to it last broke, and confirmedAt when it was last asked for its start and
	// stated it.
	brokenAt, confirmedAt time.Time
}

// New returns a Verifier.
func New(timer server.Timer, failingSince func() time.Time) *Verifier {
	return &Verifier{timer: timer, failingSince: failingSince, known: make(map[string]knowledge)}
}

// IsDoubtful implements server.IncarnationVerifier.
func (v *Verifier) IsDoubtful(replica *server.Replica) bool {
	failingSince := v.failingSince()
	v.mu.Lock()
	defer v.mu.Unlock()
	k := v.lookup(replica)
	if !k.brokenAt.IsZero() && !k.confirmedAt.After(k.brokenAt) {
		return true
	}
	return !failingSince.IsZero() && k.confirmedAt.Before(failingSince)
}

// lookup returns what is known of an incarnation. The caller holds mu.
func (v *Verifier) lookup(replica *server.Replica) knowledge {
	if k := v.known[replica.ID]; k.startMillis == replica.StartMillis {
		return k
	}
	return knowledge{startMillis: replica.StartMillis}
}

// RecordBreak implements server.IncarnationVerifier.
func (v *Verifier) RecordBreak(replica *server.Replica) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.timer.Now()
	k := v.lookup(replica)
	k.brokenAt = now
	v.known[replica.ID] = k
	for id, other := range v.known {
		if now.Sub(other.brokenAt) > retention && now.Sub(other.confirmedAt) > retention {
			delete(v.known, id)
		}
	}
}

// RecordStart implements server.IncarnationVerifier.
func (v *Verifier) RecordStart(replica *server.Replica, startMillis int64, askedAt time.Time) bool {
	if startMillis != replica.StartMillis {
		v.refutedCount.Add(1)
		return false
	}
	v.confirmedCount.Add(1)
	v.mu.Lock()
	defer v.mu.Unlock()
	k := v.lookup(replica)
	if askedAt.After(k.confirmedAt) {
		k.confirmedAt = askedAt
	}
	v.known[replica.ID] = k
	return true
}

// IsConfirmed implements server.IncarnationVerifier.
func (v *Verifier) IsConfirmed(replica *server.Replica, openedAt time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.lookup(replica).confirmedAt.Before(openedAt)
}

// Counts returns how often a replica has confirmed its known start, and how often it stated another one.
func (v *Verifier) Counts() (confirmed, refuted uint64) {
	return v.confirmedCount.Load(), v.refutedCount.Load()
}
