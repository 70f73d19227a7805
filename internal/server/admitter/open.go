package admitter

import (
	"context"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Open admits every request at once. It implements server.Admitter and is the
// baseline of measurements.
type Open struct{}

// NewOpen returns an Open admitter.
func NewOpen() *Open { return &Open{} }

// Admit implements server.Admitter.
func (o *Open) Admit(_ context.Context, _ *server.Snapshot, request *server.Request) (server.Grant, error) {
	return &openGrant{deadline: request.Deadline}, nil
}

// openGrant implements server.Grant.
type openGrant struct {
	deadline time.Time
}

// Stage implements server.Grant.
func (g *openGrant) Stage(ctx context.Context, _ int) (func(), error) {
	return func() {}, context.Cause(ctx)
}

// Budget implements server.Grant.
func (g *openGrant) Budget(int, time.Time) time.Time { return g.deadline }

// Close implements server.Grant.
func (g *openGrant) Close() {}
