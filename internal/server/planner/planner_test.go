package planner

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/pacer"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/parser"
)

// fakeLease is held while number, the fencing number, is above 0.
type fakeLease struct{ number atomic.Uint64 }

func (f *fakeLease) HeldFence(time.Time) (uint64, bool) {
	number := f.number.Load()
	return number, number > 0
}

// fleet is a service's engines, shared by all planners of a test.
type fleet struct {
	mu              sync.Mutex
	checksFence     bool
	models          map[string][]string
	fences          map[string]uint64
	commands        []messenger.Command
	isRetired       func(replica, model string) bool
	unlistedUnloads []string
}

func (f *fleet) SendCommand(_ context.Context, upstream *server.Upstream, command messenger.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := upstream.ID()
	if f.checksFence && command.Fence < f.fences[id] {
		return server.NewFault(command.Action, id, server.ErrConflict)
	}
	f.fences[id] = max(f.fences[id], command.Fence)
	f.commands = append(f.commands, command)
	switch Action(command.Action) {
	case ActionLoad:
		if !slices.Contains(f.models[id], command.Model) {
			f.models[id] = append(slices.Clone(f.models[id]), command.Model)
		}
	case ActionUnload:
		if !f.isRetired(id, command.Model) {
			f.unlistedUnloads = append(f.unlistedUnloads, id+" "+command.Model)
		}
		f.models[id] = slices.DeleteFunc(slices.Clone(f.models[id]), func(m string) bool { return m == command.Model })
	case ActionRole, ActionCopyBlocks:
	}
	return nil
}

func (f *fleet) CopyCache(context.Context, *server.Upstream, *server.Upstream, int) (int, error) {
	return 0, nil
}

// servingCount counts the engines that serve any version of the model base.
func (f *fleet) servingCount(base string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, models := range f.models {
		if slices.ContainsFunc(models, func(m string) bool { return server.ModelBase(m) == base }) {
			count++
		}
	}
	return count
}

// instance is the planner of one instance.
type instance struct {
	control *controller.Controller
	planner *Planner
	lease   *fakeLease
	stop    func()
}

// deploymentOf returns a deployment in which the engines are to load a model.
func deploymentOf(t *testing.T, model string, fenced bool) *parser.Deployment {
	t.Helper()
	text := fmt.Sprintf(`
deployment: d
datacentres: [{name: a, region: r}]
weights: {rate: 5, burst: 2}
services:
  encoders: {role: encoder, replicas: 1}
  pool: {role: engine, replicas: 4, models: ["%s"], hold: 1, fenced: %v}
pipelines:
  p: {stages: [{name: encode, service: encoders}, {name: rank, service: encoders}, {name: generate, service: pool}]}
`, model, fenced)
	deployment, err := parser.ParseDeployment("config.yaml", []byte(text))
	is.New(t).NoErr(err)
	return deployment
}

// newInstance starts a planner whose snapshot shows the state of the fleet, updated
// every half second.
func newInstance(t *testing.T, f *fleet, table server.Table, deployment *atomic.Pointer[parser.Deployment]) *instance {
	t.Helper()
	timer := ticker.New()
	control := controller.New(timer)
	control.Start()
	n := &instance{control: control, lease: &fakeLease{}}
	n.planner = New(Dependencies{
		Control: control, Table: table, Lease: n.lease, Commander: f, RateLimiter: pacer.New(table, "weights", timer.Now),
		PublishRetirements: func(string, map[string][]string) {},
	})
	n.planner.Start()
	stop := timer.Every(500*time.Millisecond, func(now time.Time) {
		control.Post(controller.EventFunc(func() { f.publish(control, deployment.Load(), now) }))
	})
	n.stop = func() {
		stop()
		n.planner.Stop()
		timer.Close()
		control.Stop()
	}
	return n
}

func (f *fleet) publish(control *controller.Controller, deployment *parser.Deployment, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var upstreams []*server.Upstream
	for id, models := range f.models {
		listing := server.Listing{ID: id, Service: "pool", Datacentre: "a", Presence: server.PresenceLive}
		load := server.Load{ReportedAt: now, Slots: 8, Models: models}
		upstreams = append(upstreams, server.NewUpstream(listing, &server.Gauge{}, server.WithLoad(load)))
	}
	control.Publish(
		server.WithDocuments(1, deployment, nil),
		server.WithUpstreams(map[string][]*server.Upstream{"pool": upstreams}),
	)
}

func newFleet(fenced bool, table *standin.Platform) *fleet {
	f := &fleet{checksFence: fenced, models: make(map[string][]string), fences: make(map[string]uint64)}
	for i := range 4 {
		f.models[fmt.Sprintf("pool-%d", i)] = []string{"m@1"}
	}
	f.isRetired = func(replica, model string) bool {
		row, ok := table.Row(rowKey("pool"))
		var found planRow
		return ok && json.Unmarshal(row.Value, &found) == nil && slices.ContainsFunc(found.Retiring, func(r Retirement) bool { return r.Replica == replica && r.Model == model })
	}
	return f
}

// fewestServing returns the lowest number of serving engines during some seconds.
func (f *fleet) fewestServing(seconds int) int {
	fewest := len(f.models)
	for range seconds {
		time.Sleep(time.Second)
		fewest = min(fewest, f.servingCount("m"))
	}
	return fewest
}

// highestFence returns the highest fencing number of a command.
func (f *fleet) highestFence() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	highestFence := uint64(0)
	for _, command := range f.commands {
		highestFence = max(highestFence, command.Fence)
	}
	return highestFence
}

func (f *fleet) allHave(model string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, models := range f.models {
		if !slices.Equal(models, []string{model}) {
			return false
		}
	}
	return true
}

// TestVersionChangeSurvivesLeaseChange moves the lease to another instance during a
// change of version, with engines that refuse old fencing numbers and engines that
// do not.
func TestVersionChangeSurvivesLeaseChange(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%v", fenced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := standin.NewPlatform(1e6, 1e6, nil)
				f := newFleet(fenced, table)
				var deployment atomic.Pointer[parser.Deployment]
				deployment.Store(deploymentOf(t, "m@1", fenced))
				instances := []*instance{newInstance(t, f, standin.NewMemoryTable(table), &deployment), newInstance(t, f, standin.NewMemoryTable(table), &deployment)}
				instances[0].lease.number.Store(1)
				time.Sleep(30 * time.Second)
				is.True(f.allHave("m@1"))
				deployment.Store(deploymentOf(t, "m@2", fenced))
				fewest := f.fewestServing(12)
				instances[0].lease.number.Store(0)
				instances[1].lease.number.Store(2)
				fewest = min(fewest, f.fewestServing(200))
				is.True(fewest >= 3)                // one replica changes at a time: a tenth of the service, at least one
				is.True(f.allHave("m@2"))           // the new holder completes the change
				is.Equal(len(f.unlistedUnloads), 0) // nothing was unloaded that was not on the list
				for _, n := range instances {
					n.stop()
				}
			})
		})
	}
}

// TestEnginesRefusePausedHolder lets the old holder assume that it still holds the
// lease, as after a pause of its process: fenced engines refuse its instructions,
// and its list cannot replace the successor's.
func TestEnginesRefusePausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := standin.NewPlatform(1e6, 1e6, nil)
		f := newFleet(true, table)
		var deployment atomic.Pointer[parser.Deployment]
		deployment.Store(deploymentOf(t, "m@1", true))
		old := newInstance(t, f, standin.NewMemoryTable(table), &deployment)
		successor := newInstance(t, f, standin.NewMemoryTable(table), &deployment)
		old.lease.number.Store(1)
		time.Sleep(30 * time.Second)
		successor.lease.number.Store(2) // both assume that they hold the lease
		time.Sleep(30 * time.Second)
		deployment.Store(deploymentOf(t, "m@2", true))
		time.Sleep(300 * time.Second)
		is.True(f.allHave("m@2"))
		is.Equal(f.highestFence(), uint64(2))
		is.Equal(len(f.unlistedUnloads), 0)
		old.stop()
		successor.stop()
	})
}

// TestNoInstructionsWhileTableIsDown checks that no instruction is sent while the list
// cannot be written, and that the change continues afterwards.
func TestNoInstructionsWhileTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := standin.NewPlatform(1e6, 1e6, nil)
		memoryTable := standin.NewMemoryTable(table)
		var down atomic.Bool
		memoryTable.SetHook(func(context.Context, string, []server.Write) standin.CallFault {
			if down.Load() {
				return standin.CallFaultUnavailable
			}
			return standin.CallFaultNone
		})
		f := newFleet(true, table)
		var deployment atomic.Pointer[parser.Deployment]
		deployment.Store(deploymentOf(t, "m@1", true))
		n := newInstance(t, f, memoryTable, &deployment)
		n.lease.number.Store(1)
		time.Sleep(30 * time.Second)
		down.Store(true)
		deployment.Store(deploymentOf(t, "m@2", true))
		is.Equal(f.fewestServing(120), 4)
		is.True(f.allHave("m@1"))
		down.Store(false)
		time.Sleep(300 * time.Second)
		is.True(f.allHave("m@2"))
		n.stop()
	})
}
