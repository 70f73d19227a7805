package configurer

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// Timeouts for resolving a change whose outcome is unknown.
const (
	// resolveTimeout bounds all attempts to resolve one change.
	resolveTimeout = 8 * time.Second
	// resolveAttemptTimeout bounds one attempt.
	resolveAttemptTimeout = 2 * time.Second
	// resolveRetryDelay is the delay between attempts.
	resolveRetryDelay = 100 * time.Millisecond
)

// ChangeState is the state of a change.
type ChangeState string

// States of a change.
const (
	// StateUnknown means that the table has no row for the change: it was never
	// requested, or its write may still arrive.
	StateUnknown ChangeState = "unknown"
	// StateAccepted means that the change is stored in the table.
	StateAccepted ChangeState = "accepted"
	// StateRefused means that the change was voided and can no longer be
	// accepted.
	StateRefused ChangeState = "refused"
)

// ChangeOutcome is the state of one change, stored in the table under the change ID.
type ChangeOutcome struct {
	ID      string      `json:"id"`
	State   ChangeState `json:"state"`
	Version uint64      `json:"version,omitempty"`
	Name    string      `json:"name,omitempty"`
}

// acceptedVersion returns the version of an accepted change. Otherwise it returns
// err, if that is not nil, or an error that the change was not written.
func (o ChangeOutcome) acceptedVersion(err error) (uint64, error) {
	switch {
	case err != nil:
		return 0, err
	case o.State == StateAccepted:
		return o.Version, nil
	default:
		return 0, server.NewFault("apply", "table", merry.Prependf(server.ErrUnavailable, "change %s was not written and will not be; apply it again", o.ID))
	}
}

// OutcomeUnknownError means that it is not known yet whether a change was accepted. It
// wraps ErrUncertain.
type OutcomeUnknownError struct {
	// ID is the change ID, by which the outcome can be requested later.
	ID server.ID
}

// Error states the change ID.
func (e *OutcomeUnknownError) Error() string {
	return "it is not known yet whether the change was accepted; request its outcome by the change id " + e.ID.String()
}

// Unwrap returns ErrUncertain.
func (e *OutcomeUnknownError) Unwrap() error { return server.ErrUncertain }

func changeRow(id server.ID) server.Key { return server.Key{Table: tableChanges, Row: id.String()} }

// ChangeOutcome reads the state of a change. It writes nothing.
func (c *Configurer) ChangeOutcome(ctx context.Context, id server.ID) (ChangeOutcome, error) {
	outcome := ChangeOutcome{ID: id.String(), State: StateUnknown}
	_, err := readRow(ctx, c.table, changeRow(id), &outcome)
	return outcome, err
}

// ResolveChange makes the outcome of a change final and returns it. If the table has no
// row for the change, it writes one that voids the change: a write of the change
// that arrives later conflicts with that row. After ErrUnavailable or ErrUncertain,
// the caller may call it again.
func (c *Configurer) ResolveChange(ctx context.Context, id server.ID) (ChangeOutcome, error) {
	outcome, err := c.ChangeOutcome(ctx, id)
	if err != nil || outcome.State != StateUnknown {
		return outcome, err
	}
	refused := ChangeOutcome{ID: id.String(), State: StateRefused}
	_, err = c.table.Commit(ctx, []server.Write{{Key: changeRow(id), Value: encode(refused)}})
	if errors.Is(err, server.ErrConflict) {
		return c.ChangeOutcome(ctx, id)
	}
	return refused, err
}

// resolveUncertain resolves a change whose commit returned ErrUncertain. It
// continues after ctx is cancelled, since no outcome may be reported before it is
// final.
func (c *Configurer) resolveUncertain(ctx context.Context, id server.ID) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	for {
		attemptCtx, endAttempt := context.WithTimeout(ctx, resolveAttemptTimeout)
		outcome, err := c.ResolveChange(attemptCtx, id)
		endAttempt()
		if err == nil && outcome.State != StateUnknown {
			return outcome.acceptedVersion(nil)
		}
		if sleep(ctx, resolveRetryDelay) != nil {
			return 0, &OutcomeUnknownError{ID: id}
		}
	}
}
