package assembler_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"oriolemill.example/oriolemill/internal/server"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/standin"
)

// TestLinkedInstancesShareBlockedPrompts guards against instances that each learn by themselves
// which prompts crash engines.
func TestLinkedInstancesShareBlockedPrompts(t *testing.T) {
	is := is.New(t)
	environment, deployment := newStandIns(t, "lutvik", standin.DefaultSpeeds())
	instances := startLinkedInstances(t, environment, deployment.Datacentres()[0].Name())
	parts := []string{"bad"}
	for i := range 6 {
		instances[fmt.Sprintf("j-%d", i%3)].Blocker().RecordCrash("engines", fmt.Sprintf("engine-%d", i), server.RequestContent{Parts: parts}, time.Time{})
	}
	instances["j-0"].Blocker().RecordCompletion("engines", server.RequestContent{Parts: []string{"good"}})
	for _, instance := range instances {
		isBlocked := func() bool {
			wait, _ := instance.Blocker().BlockedFor(server.RequestContent{Parts: parts})
			return wait > 0
		}
		for end := time.Now().Add(10 * time.Second); !isBlocked() && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		is.True(isBlocked())
	}
	for _, instance := range instances {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_ = instance.Stop(ctx)
	}
}
