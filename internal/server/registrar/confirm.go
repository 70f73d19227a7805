package registrar

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// confirmTimeout bounds the read of a confirmation.
const confirmTimeout = time.Second

// confirmation is the read of the replicas' table on demand. Concurrent calls share one.
type confirmation struct {
	// turn holds a token while the table is read. Its holder uses the other fields.
	turn    chan struct{}
	begunAt time.Time
	err     error
}

// Confirm reads the changes of the replicas from the store, by a call that begins no earlier than Confirm, and returns the
// view that has what was read. It fails if the store does not respond, or has recovered from an outage or
// was restored from a copy after since: rows may be missing then.
//
// It is for decisions for which it does not suffice that nothing else is known.
func (r *Registrar) Confirm(ctx context.Context, store server.Store, since time.Time) (*View, error) {
	calledAt := r.timer.Now()
	select {
	case r.confirmation.turn <- struct{}{}:
		defer func() { <-r.confirmation.turn }()
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if r.confirmation.begunAt.Before(calledAt) {
		r.confirmation.begunAt = r.timer.Now()
		r.confirmation.err = r.readReplicas(store)
	}
	if r.confirmation.err != nil {
		return nil, r.confirmation.err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if recoveredAt := r.availability.recoveredAt; recoveredAt.After(since) {
		return nil, merry.Prepend(server.ErrUnavailable, "the store has recovered lately")
	}
	return r.view.Load(), nil
}

// readReplicas reads the changes of the replicas and applies them. A replica that has come and gone is among
// them. The call does not end with the request that needs it first, since others may wait for it.
func (r *Registrar) readReplicas(store server.Store) error {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	table := r.tableNames.Replicas
	known := r.Version(table)
	rows, version, err := store.Watch(ctx, table, known, 0)
	if err != nil {
		return err
	}
	if version < known {
		return merry.Prepend(server.ErrUnavailable, "the store responded with older rows than known")
	}
	recoveredAt := r.recordResponse(table, false)
	r.ApplyChanges(table, rows, version, recoveredAt)
	return nil
}
