package server

import (
	"context"
	"time"
)

// Sleep blocks for wait, measured by timer, and returns nil. If ctx ends first, it
// returns the cause of ctx. If wait is not positive, it returns nil immediately.
func Sleep(ctx context.Context, timer Timer, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	fired := make(chan struct{})
	stop := timer.After(wait, func(time.Time) { close(fired) })
	defer stop()
	select {
	case <-fired:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
