// Package planner decides which models, versions and roles engines have.
//
// Plan makes the decision. Planner applies the lists of retired models on every
// instance. On the one instance that holds the planner's lease it also makes the
// plans, writes the lists and sends the instructions to the engines.
package planner

import (
	"context"
	"time"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/pkg/parser"
)

// LeaseName is the lease that the planner holds.
const LeaseName = "planner"

// Intervals and limits of the planner.
const (
	// planInterval is the time between plans and the minimum between reads of the
	// lists.
	planInterval = time.Second
	// instructionTimeout bounds one instruction to an engine.
	instructionTimeout = 20 * time.Second
	// listReadsPerSecond is the rate at which all instances together read the lists.
	listReadsPerSecond = 100
	// drainIntervals is the number of read intervals for which a retired model stays
	// loaded, so that every instance has read the list.
	drainIntervals = 3
	// handoverDelay is how long a new lease holder sends no instructions, so that
	// those of the previous holder have ended.
	handoverDelay = instructionTimeout + 2*time.Second
	// tableTimeout bounds one call of the table.
	tableTimeout = time.Second
	// maxLoadWait bounds the wait for a load's slot at the weight store.
	maxLoadWait = 30 * time.Second
	// pendingLoadTTL is how long a load counts as in progress without appearing in
	// a report.
	pendingLoadTTL = maxLoadWait + instructionTimeout
	// demandWeight is the weight of a new sample in the smoothed demand.
	demandWeight = 0.2
	// maxCopiedBlocks bounds the cached blocks copied to an engine that has just
	// loaded a model.
	maxCopiedBlocks = 4096
)

// Lease reports whether this instance may send instructions.
type Lease interface {
	// HeldFence returns the fencing number of the lease, and false if this instance does
	// not hold it at the given time.
	HeldFence(now time.Time) (number uint64, ok bool)
}

// Commander sends instructions to engines.
type Commander interface {
	// SendCommand sends one instruction. ErrConflict means that the engine has seen a
	// newer fencing number.
	SendCommand(ctx context.Context, upstream *server.Upstream, command messenger.Command) error
	// CopyCache copies at most limit cached blocks between engines and returns their
	// number.
	CopyCache(ctx context.Context, from, to *server.Upstream, limit int) (int, error)
}

// RateLimiter limits the loads from the weight store by all instances together.
type RateLimiter interface {
	// ReserveSlot reserves the next slot and returns how long to wait for it.
	ReserveSlot(ctx context.Context, perSecond float64, burst int, maxWait time.Duration) (time.Duration, error)
}

// Dependencies are the dependencies of a Planner; none may be nil.
type Dependencies struct {
	Control     *controller.Controller
	Table       server.Table
	Lease       Lease
	Commander   Commander
	RateLimiter RateLimiter
	// PublishRetirements is called on the control goroutine with the models of a service
	// that get no new requests, by replica.
	PublishRetirements func(service string, models map[string][]string)
}

// Planner applies the retirement lists and, while its instance holds the lease, makes
// plans. Its state is accessed on the control goroutine only.
type Planner struct {
	dependencies Dependencies
	services     map[string]*serviceState
	// fence is the fencing number of the lease held since heldSince, 0 without it.
	fence      uint64
	heldSince  time.Time
	isReading  bool
	lastReadAt time.Time
	stopTicks  func()
}

// New returns a Planner, which does nothing before Start.
func New(dependencies Dependencies) *Planner {
	return &Planner{dependencies: dependencies, services: make(map[string]*serviceState)}
}

// Start begins to apply lists and make plans, once every planInterval.
func (p *Planner) Start() {
	timer := p.dependencies.Control.Timer()
	p.stopTicks = timer.Every(planInterval, func(now time.Time) {
		p.dependencies.Control.Post(controller.EventFunc(func() { p.tick(now) }))
	})
}

// Stop ends the ticks. Instructions in progress run to their end.
func (p *Planner) Stop() { p.stopTicks() }

// tick makes the plans of all engine services if this instance may send instructions.
// Otherwise, or if a service's list is not known, it refreshes the lists.
func (p *Planner) tick(now time.Time) {
	snapshot := p.dependencies.Control.Snapshot()
	deployment := snapshot.Deployment()
	if deployment == nil {
		return
	}
	canInstruct := p.canInstruct(now)
	needsRead := false
	for _, name := range deployment.ServiceNames() {
		if deployment.Service(name).Role() != parser.RoleEngine {
			continue
		}
		s := p.serviceState(name)
		s.sampleDemand(snapshot.Upstreams(name))
		if canInstruct && s.isReady() {
			p.plan(s, deployment.Service(name), snapshot, now)
			continue
		}
		needsRead = needsRead || !s.isCommitting
	}
	if needsRead {
		p.refreshLists(now, listReadInterval(snapshot))
	}
}

// listReadInterval returns the time between reads of the lists.
func listReadInterval(snapshot *server.Snapshot) time.Duration {
	return server.SharedInterval(planInterval, snapshot.InstanceCount(), listReadsPerSecond)
}

// canInstruct reports whether the lease has been held for handoverDelay, after which the
// instructions of the previous holder have ended. When the lease is acquired, all
// lists have to be read again.
func (p *Planner) canInstruct(now time.Time) bool {
	fence, ok := p.dependencies.Lease.HeldFence(now)
	if !ok {
		p.fence = 0
		return false
	}
	if fence != p.fence {
		p.fence = fence
		p.heldSince = now
		for _, s := range p.services {
			s.isListKnown = false
		}
	}
	return now.Sub(p.heldSince) >= handoverDelay
}

// serviceState returns the state of a service and creates it if needed.
func (p *Planner) serviceState(name string) *serviceState {
	s := p.services[name]
	if s == nil {
		s = newServiceState(name)
		p.services[name] = s
	}
	return s
}

// plan makes the plan of a service, writes its list if it changed, and then sends its
// instructions.
func (p *Planner) plan(s *serviceState, spec *parser.Service, snapshot *server.Snapshot, now time.Time) {
	in := s.planInput(spec, snapshot, now)
	out := Plan(in)
	for _, model := range out.ChangedModels {
		s.changedAt[model] = now
	}
	if sameRetirements(s.retirements, out.Retirements) {
		p.issueInstructions(s, out.Instructions, snapshot, now)
		return
	}
	p.commitPlan(s, out, snapshot, now)
}

// issueInstructions sends every instruction that is not already in progress, each in
// its own worker.
func (p *Planner) issueInstructions(s *serviceState, instructions []Instruction, snapshot *server.Snapshot, now time.Time) {
	upstreams := make(map[string]*server.Upstream)
	for _, upstream := range snapshot.Upstreams(s.name) {
		upstreams[upstream.ID()] = upstream
	}
	fence := p.fence
	weightStore := snapshot.Deployment().WeightStore()
	for _, instruction := range instructions {
		if !s.beginInstruction(instruction, now) {
			continue
		}
		p.dependencies.Control.Go(func(ctx context.Context) controller.Event {
			err := p.execute(ctx, instruction, fence, weightStore, upstreams)
			return controller.EventFunc(func() { s.endInstruction(instruction, err) })
		})
	}
}

// execute sends one instruction and checks the lease immediately before. A load first
// waits for its slot at the weight store.
func (p *Planner) execute(ctx context.Context, instruction Instruction, fence uint64, weightStore parser.WeightStore, upstreams map[string]*server.Upstream) error {
	if instruction.Action == ActionLoad {
		wait, err := p.dependencies.RateLimiter.ReserveSlot(ctx, weightStore.Rate(), weightStore.Burst(), maxLoadWait)
		if err != nil {
			return err
		}
		if err := server.Sleep(ctx, p.dependencies.Control.Timer(), wait); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, instructionTimeout)
	defer cancel()
	currentFence, ok := p.dependencies.Lease.HeldFence(p.dependencies.Control.Timer().Now())
	if !ok || currentFence != fence {
		return server.NewFault(string(instruction.Action), instruction.Replica, server.ErrDeadline)
	}
	if instruction.Action == ActionCopyBlocks {
		_, err := p.dependencies.Commander.CopyCache(ctx, upstreams[instruction.From], upstreams[instruction.Replica], maxCopiedBlocks)
		return err
	}
	command := messenger.Command{Fence: fence, Action: string(instruction.Action), Model: instruction.Model, Role: instruction.Role}
	return p.dependencies.Commander.SendCommand(ctx, upstreams[instruction.Replica], command)
}
