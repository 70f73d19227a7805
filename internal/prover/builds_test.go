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
	buildCallers = 4
	buildLoad    = 2 * time.Second
	buildOrders  = 6
	buildPause   = 10 * time.Millisecond // between two requests of a caller
)

// TestBuildsSideBySide runs instances of this build and of another one on the
// same table, under load, and swaps them one after the other: to the other build,
// and back. Documents, orders and leases that one build wrote are read by the
// other, amendments through either come into force on all instances, and no
// request is lost, run twice or given another's answer.
//
//	go test ./internal/prover -run TestBuildsSideBySide -other.build PROGRAM
func TestBuildsSideBySide(t *testing.T) {
	if *otherBuild == "" {
		t.Skip("needs -other.build, the program of another build")
	}
	is := is.New(t)
	f := newFleet(t, "lutvik", 4)
	results := newTally()
	f.orders(results, "first")
	for round, binary := range []string{*otherBuild, f.binary} {
		for i, p := range f.nodes {
			rest := append(append([]*process{}, f.nodes[:i]...), f.nodes[i+1:]...)
			f.load(results, rest, func() {
				f.binary = binary
				is.NoErr(p.term()) // exit code 0
				f.start(p)
				f.waitReady(p)
			})
			if i%2 == 0 {
				continue
			}
			// Half or all of the instances run the swapped build.
			f.load(results, f.nodes, func() { time.Sleep(buildLoad) })
			for _, at := range []int{0, len(f.nodes) - 1} {
				is.True(f.amend(t, f.nodes[at], 10*round+i, at))
				f.waitSameVersion()
			}
			f.orders(results, "first") // answered from the records that the first build wrote
			f.orders(results, fmt.Sprintf("later-%d-%d", round, i))
		}
	}
	results.check(t, f.set.Ledger("mill-gateway"))
	results.mu.Lock()
	defer results.mu.Unlock()
	for _, kind := range []string{"answer", "stream", "order"} {
		is.True(results.counts[kind+" "+client.OutcomeDone] > 0)
		is.Equal(results.counts[kind+" "+client.OutcomeFailed], 0)
		is.Equal(results.counts[kind+" "+client.OutcomeUnknown], 0)
	}
}

// callerNumbers numbers the callers of all loads, so that no mark is used twice.
var callerNumbers atomic.Int64

// load runs callers that use only the given instances until work has returned.
func (f *fleet) load(results *tally, nodes []*process, work func()) {
	var ended atomic.Bool
	var group sync.WaitGroup
	for range buildCallers {
		number := int(callerNumbers.Add(1))
		c := &caller{fleet: &fleet{nodes: nodes}, tally: results, number: number, random: rand.New(rand.NewPCG(proofSeed, uint64(number)))}
		group.Go(func() {
			for i := 0; !ended.Load(); i++ {
				workspace, mark := workspaces[i%len(workspaces)], fmt.Sprintf("mark-%d-%d-end", number, i)
				c.answer(f.t.Context(), workspace, mark)
				c.stream(f.t.Context(), workspace, mark)
				c.order(f.t.Context(), workspace, mark)
				time.Sleep(buildPause)
			}
		})
	}
	work()
	ended.Store(true)
	group.Wait()
}

// orders sends orders whose keys begin with a prefix, the same keys each time.
func (f *fleet) orders(results *tally, prefix string) {
	c := &caller{fleet: f, tally: results, random: rand.New(rand.NewPCG(proofSeed, 0))}
	for i := range buildOrders {
		c.order(f.t.Context(), workspaces[i%len(workspaces)], fmt.Sprintf("%s-%d", prefix, i))
	}
}

// waitSameVersion waits until all instances have the same version in force.
func (f *fleet) waitSameVersion() {
	f.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		versions := make(map[uint64]bool)
		for _, p := range f.nodes {
			if version, ok := versionOf(f.t.Context(), p); ok {
				versions[version] = true
			} else {
				versions[0] = true
			}
		}
		if len(versions) == 1 && !versions[0] {
			return
		}
	}
	f.t.Fatal("instances have different versions in force")
}
