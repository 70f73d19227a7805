package prover

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/pkg/client"
)

var otherBuild = flag.String("other.build", "", "program of another build of oriolemill; TestBuildsSideBySide runs it beside this one")

const (
	buildCallers         = 4
	buildLoadDuration    = 2 * time.Second
	buildOrders          = 6
	buildRequestInterval = 10 * time.Millisecond // between two rounds of requests of a caller
)

// TestBuildsSideBySide runs instances of this build and of another one on the
// same table, under load, and restarts one after the other with the other build, and
// then back. It guards against builds that can't read each other's documents, orders
// and leases: amendments through either build must become active on all instances,
// and no request may be lost, run twice or get the response to another one.
//
//	go test ./internal/prover -run TestBuildsSideBySide -other.build PROGRAM
func TestBuildsSideBySide(t *testing.T) {
	if *otherBuild == "" {
		t.Skip("needs -other.build, the program of another build")
	}
	is := is.New(t)
	f := newFleet(t, "lutvik", 4)
	responses := newResponseLog()
	f.sendOrders(responses, "first")
	for round, binary := range []string{*otherBuild, f.binary} {
		for i, p := range f.instances {
			others := append(append([]*process{}, f.instances[:i]...), f.instances[i+1:]...)
			f.withLoad(responses, others, func() {
				f.binary = binary
				is.NoErr(p.stop()) // the process exits with code 0
				f.start(p)
				f.waitReady(p)
			})
			if i%2 == 0 {
				continue
			}
			// Half or all of the instances now run the new build of this round.
			f.withLoad(responses, f.instances, func() { time.Sleep(buildLoadDuration) })
			for _, at := range []int{0, len(f.instances) - 1} {
				is.True(f.amendContract(t, f.instances[at], 10*round+i, at))
				f.waitSameVersion()
			}
			f.sendOrders(responses, "first") // served from the records that the first build wrote
			f.sendOrders(responses, fmt.Sprintf("later-%d-%d", round, i))
		}
	}
	responses.checkGuarantees(t, f.standIns.Ledger("mill-gateway"))
	responses.mu.Lock()
	defer responses.mu.Unlock()
	for _, kind := range []string{"answer", "stream", "order"} {
		is.True(responses.counts[kind+" "+client.OutcomeDone] > 0)
		is.Equal(responses.counts[kind+" "+client.OutcomeFailed], 0)
		is.Equal(responses.counts[kind+" "+client.OutcomeUnknown], 0)
	}
}

// lastCallerNumber is the number of the newest caller; numbers are unique over all
// loads, and so are the markers of requests.
var lastCallerNumber atomic.Int64

// withLoad runs callers that send requests only to the given instances, until work
// returns.
func (f *fleet) withLoad(responses *responseLog, instances []*process, work func()) {
	var ended atomic.Bool
	var group sync.WaitGroup
	for range buildCallers {
		number := int(lastCallerNumber.Add(1))
		c := &caller{fleet: &fleet{instances: instances}, responses: responses, number: number, random: rand.New(rand.NewPCG(faultSeed, uint64(number)))}
		group.Go(func() {
			for i := 0; !ended.Load(); i++ {
				workspace, marker := workspaces[i%len(workspaces)], fmt.Sprintf("mark-%d-%d-end", number, i)
				c.callPipeline(f.t.Context(), workspace, marker)
				c.streamPipeline(f.t.Context(), workspace, marker)
				c.sendOrder(f.t.Context(), workspace, marker)
				time.Sleep(buildRequestInterval)
			}
		})
	}
	work()
	ended.Store(true)
	group.Wait()
}

// sendOrders sends buildOrders orders. Their keys depend only on the prefix.
func (f *fleet) sendOrders(responses *responseLog, prefix string) {
	c := &caller{fleet: f, responses: responses, random: rand.New(rand.NewPCG(faultSeed, 0))}
	for i := range buildOrders {
		c.sendOrder(f.t.Context(), workspaces[i%len(workspaces)], fmt.Sprintf("%s-%d", prefix, i))
	}
}

// waitSameVersion waits until the same version is active on all instances.
func (f *fleet) waitSameVersion() {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		versions := make(map[uint64]bool)
		for _, p := range f.instances {
			if version, ok := activeVersion(f.t.Context(), p); ok {
				versions[version] = true
			} else {
				versions[0] = true
			}
		}
		if len(versions) == 1 && !versions[0] {
			return
		}
	}
	f.t.Fatal("different versions are active on the instances")
}
