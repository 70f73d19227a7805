package admitter

import (
	"context"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Unlimited admits every request at once. It implements server.Admitter and is the
// baseline of measurements.
type Unlimited struct{}

// NewUnlimited returns an Unlimited admitter.
func NewUnlimited() *Unlimited { return &Unlimited{} }

// Admit implements server.Admitter.
func (o *Unlimited) Admit(_ context.Context, _ *server.Snapshot, request *server.Request) (server.Grant, error) {
	return &unlimitedGrant{deadline: request.Deadline}, nil
}

// unlimitedGrant implements server.Grant. It waits for nothing.
type unlimitedGrant struct {
	deadline time.Time
}

// AcquireStage implements server.Grant.
func (g *unlimitedGrant) AcquireStage(ctx context.Context, _ int) (func(), error) {
	return func() {}, context.Cause(ctx)
}

// StageDeadline implements server.Grant.
func (g *unlimitedGrant) StageDeadline(int, time.Time) time.Time { return g.deadline }

// Close implements server.Grant.
func (g *unlimitedGrant) Close() {}
