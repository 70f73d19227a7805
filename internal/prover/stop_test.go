package prover

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/pkg/client"
)

// TestRollingStopBreaksNoRequest guards against a planned stop that breaks streams or
// orders in progress: it stops and restarts every instance in turn while callers have
// requests in progress at it.
func TestRollingStopBreaksNoRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "lutvik", 3)
	responses := newResponseLog()
	for _, p := range f.instances {
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		started := make(chan struct{}, 16)
		for i := range 8 {
			group.Go(func() {
				c := &caller{fleet: &fleet{instances: []*process{p}}, responses: responses, number: 100 + i, random: rand.New(rand.NewPCG(faultSeed, uint64(i)))}
				started <- struct{}{}
				c.streamPipeline(ctx, workspaces[i%len(workspaces)], "mark-stop-end")
				c.sendOrder(ctx, workspaces[i%len(workspaces)], p.id+"-order-"+string(rune('a'+i)))
			})
		}
		for range 8 {
			<-started
		}
		time.Sleep(20 * time.Millisecond)
		is.NoErr(p.stop()) // the process exits with code 0
		group.Wait()
		cancel()
		f.start(p)
		f.waitReady(p)
	}
	responses.checkGuarantees(t, f.standIns.Ledger("mill-gateway"))
	responses.mu.Lock()
	defer responses.mu.Unlock()
	is.Equal(responses.counts["stream "+client.OutcomeUnknown], 0)
	is.Equal(responses.counts["stream "+client.OutcomeFailed], 0)
	is.Equal(responses.counts["order "+client.OutcomeUnknown], 0)
}
