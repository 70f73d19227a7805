package assembler_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
)

// TestPlannerAcquiresTheLease waits until the instance holds the planner's lease, so
// that the row of the lease names it as the holder.
func TestPlannerAcquiresTheLease(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, "uwazi")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for {
		row, ok := s.environment.Platform().Row(server.Key{Table: "leases", Row: "planner"})
		if ok && strings.Contains(string(row.Value), "i-0/") {
			return
		}
		select {
		case <-ctx.Done():
			is.NoErr(ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
}
