package leaser

import (
	"context"
	"errors"

	"oriolemill.example/oriolemill/internal/server"
)

// watch reads the row once. It waits for the watch interval unless the lease may
// be acquired.
func watch(ctx context.Context, l *Lease) string {
	version, record, err := l.readRow(ctx)
	if err == nil {
		l.candidate.observeRow(l.timer.Now(), version, record)
		if l.candidate.canAcquire(l.timer.Now()) {
			return triggerFree
		}
	}
	if !l.waitOrStop(ctx, l.watchInterval()) {
		return triggerStopped
	}
	return triggerHeld
}

// acquire tries to acquire the lease. The write is not cancelled with ctx, so that
// its result is always known, or found out by confirm.
func acquire(ctx context.Context, l *Lease) string {
	record := l.candidate.acquireRecord(l.timer.Now(), server.NewID().String())
	version, err := l.writeRow(context.WithoutCancel(ctx), record)
	switch {
	case err == nil:
		l.candidate.confirmPending(l.timer.Now(), version)
		l.publishHolding()
		return triggerAcquired
	case errors.Is(err, server.ErrUncertain):
		return triggerUncertain
	default:
		return triggerNotAcquired
	}
}

// confirm reads the row back to find out whether an acquisition whose response
// was lost was applied.
func confirm(ctx context.Context, l *Lease) string {
	version, record, err := l.readRow(ctx)
	if err == nil {
		if l.candidate.resolveAcquisition(l.timer.Now(), version, record) {
			l.publishHolding()
			return triggerAcquired
		}
		return triggerNotAcquired
	}
	if !l.waitOrStop(ctx, defaultWatchInterval) {
		return triggerStopped
	}
	return triggerUncertain
}

// renew waits for the renewal interval and then renews the lease. While the table
// is unavailable it retries until the lease expires.
func renew(ctx context.Context, l *Lease) string {
	if !l.waitOrStop(ctx, l.candidate.timing.RenewInterval) {
		return triggerStopped
	}
	for {
		if _, ok := l.candidate.activeFence(l.timer.Now()); !ok {
			return stepDown(l)
		}
		version, err := l.writeRow(context.WithoutCancel(ctx), l.candidate.renewalRecord(l.timer.Now(), server.NewID().String()))
		if err == nil {
			l.candidate.confirmPending(l.timer.Now(), version)
		} else if errors.Is(err, server.ErrUncertain) {
			err = l.resolveLostRenewal(ctx)
		}
		if err == nil {
			l.publishHolding()
			return triggerRenewed
		}
		if errors.Is(err, server.ErrConflict) {
			return stepDown(l)
		}
		if !l.waitOrStop(ctx, defaultWatchInterval) {
			return triggerStopped
		}
	}
}

// resolveLostRenewal reads the row back after a renewal whose response was lost. The
// error is ErrUnavailable if that fails, and otherwise that of candidate.resolveRenewal.
func (l *Lease) resolveLostRenewal(ctx context.Context) error {
	version, record, err := l.readRow(context.WithoutCancel(ctx))
	if err != nil {
		return server.ErrUnavailable
	}
	return l.candidate.resolveRenewal(l.timer.Now(), version, record)
}

// stepDown makes the candidate stop acting as the holder and publishes that.
func stepDown(l *Lease) string {
	l.candidate.stepDown()
	l.publishHolding()
	return triggerLost
}

// release makes the candidate stop acting as the holder. If it held the lease, release
// also writes a row without a holder, so that the next holder need not wait for the TTL.
func release(ctx context.Context, l *Lease) string {
	_, isHeld := l.candidate.activeFence(l.timer.Now())
	l.candidate.stepDown()
	l.publishHolding()
	if isHeld {
		record := Record{Nonce: server.NewID().String(), Fence: l.candidate.fence}
		// If the write fails, the lease expires after its TTL.
		_, _ = l.writeRow(context.WithoutCancel(ctx), record)
	}
	return triggerReleased
}
