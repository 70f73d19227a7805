package planner

import (
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/parser"
)

// serviceState is the planner's state of one engine service.
type serviceState struct {
	name string
	// retirements is the active retirement list and listVersion the version of its row.
	// isListKnown is false until the list has been read, and again after a failed write
	// or when this instance acquires the lease.
	listVersion uint64
	retirements []Retirement
	isListKnown bool
	// isCommitting means that a new list is being written.
	isCommitting bool
	// changedAt holds when the number of replicas of each model last changed.
	changedAt map[string]time.Time
	// pendingLoads are the loads that have not appeared in a report, with their start times.
	pendingLoads map[Instruction]time.Time
	// inProgress are the instructions that are being sent.
	inProgress map[Instruction]bool
	// demand is the smoothed number of requests by model.
	demand map[string]float64
	// reportedModels are the models in the last report of each replica.
	reportedModels map[string][]string
}

func newServiceState(name string) *serviceState {
	return &serviceState{
		name:           name,
		changedAt:      make(map[string]time.Time),
		pendingLoads:   make(map[Instruction]time.Time),
		inProgress:     make(map[Instruction]bool),
		demand:         make(map[string]float64),
		reportedModels: make(map[string][]string),
	}
}

// isReady reports whether the active list is known and none is being written.
func (s *serviceState) isReady() bool { return s.isListKnown && !s.isCommitting }

// sampleDemand adds the demand that the upstreams report now to the smoothed demand.
func (s *serviceState) sampleDemand(upstreams []*server.Upstream) {
	total := make(map[string]float64)
	for _, upstream := range upstreams {
		for model, count := range upstream.Load().RequestsByModel {
			total[model] += float64(count)
		}
	}
	for model := range s.demand {
		if _, ok := total[model]; !ok {
			total[model] = 0
		}
	}
	for model, count := range total {
		s.demand[model] += demandWeight * (count - s.demand[model])
	}
}

// planInput collects the input of a plan. It also updates the pending loads and the
// reported models.
func (s *serviceState) planInput(spec *parser.Service, snapshot *server.Snapshot, now time.Time) Input {
	in := Input{
		Models:                   spec.Models(),
		MaxModels:                spec.MaxLoadedModels(),
		MinReplicasPerDatacentre: spec.MinModelReplicas(),
		CanChangeRoles:           spec.CanChangeRole(),
		EnginesCheckFence:        spec.IsFenced(),
		Demand:                   wantedDemand(spec.Models(), s.demand),
		Retirements:              s.retirements,
		LoadingModels:            s.loadsInProgress(now),
		NewModels:                make(map[string][]string),
		ChangedAt:                s.changedAt,
		DrainTime:                drainIntervals * listReadInterval(snapshot),
		Now:                      now,
	}
	for _, upstream := range snapshot.Upstreams(s.name) {
		if upstream.Load().ReportedAt.IsZero() {
			continue
		}
		in.Replicas = append(in.Replicas, newReplica(upstream))
		s.recordModels(upstream, in.NewModels)
	}
	return in
}

// wantedDemand returns the demand by model. Demand for an old version, or for a name
// without a version, counts for the wanted version of the name.
func wantedDemand(wanted []string, demand map[string]float64) map[string]float64 {
	byVersion := make(map[string]float64, len(wanted))
	for model, count := range demand {
		target := model
		if !slices.Contains(wanted, model) {
			i := slices.IndexFunc(wanted, func(w string) bool { return server.ModelBase(w) == server.ModelBase(model) })
			if i >= 0 {
				target = wanted[i]
			}
		}
		byVersion[target] += count
	}
	return byVersion
}

// newReplica returns an engine as its last report describes it.
func newReplica(upstream *server.Upstream) Replica {
	load := upstream.Load()
	return Replica{
		ID:              upstream.ID(),
		Datacentre:      upstream.Datacentre(),
		Version:         upstream.Version(),
		Models:          load.Models,
		Role:            load.Role,
		Slots:           load.Slots,
		RequestsByModel: load.RequestsByModel,
		ReportedAt:      load.ReportedAt,
		IsLeaving:       upstream.IsLeaving(),
	}
}

// recordModels removes the loads that appear in a report from pendingLoads and adds
// them to newlyLoaded.
func (s *serviceState) recordModels(upstream *server.Upstream, newlyLoaded map[string][]string) {
	id := upstream.ID()
	reportedModels := upstream.Load().Models
	previousModels, wasReported := s.reportedModels[id]
	s.reportedModels[id] = reportedModels
	for _, model := range reportedModels {
		delete(s.pendingLoads, Instruction{Replica: id, Action: ActionLoad, Model: model})
		if wasReported && !slices.Contains(previousModels, model) {
			newlyLoaded[id] = append(newlyLoaded[id], model)
		}
	}
}

// loadsInProgress returns the models whose load was started and has not appeared in
// a report, by replica. Loads older than pendingLoadTTL are removed.
func (s *serviceState) loadsInProgress(now time.Time) map[string][]string {
	modelsByReplica := make(map[string][]string)
	for instruction, since := range s.pendingLoads {
		if now.Sub(since) > pendingLoadTTL {
			delete(s.pendingLoads, instruction)
			continue
		}
		modelsByReplica[instruction.Replica] = append(modelsByReplica[instruction.Replica], instruction.Model)
	}
	return modelsByReplica
}

// beginInstruction records the start of an instruction. It returns false if the same
// instruction is already in progress.
func (s *serviceState) beginInstruction(instruction Instruction, now time.Time) bool {
	if s.inProgress[instruction] {
		return false
	}
	s.inProgress[instruction] = true
	if instruction.Action == ActionLoad {
		s.pendingLoads[instruction] = now
	}
	return true
}

// endInstruction records the end of an instruction. A load that is known to have failed
// no longer counts as in progress; one with an unknown outcome counts until
// pendingLoadTTL.
func (s *serviceState) endInstruction(instruction Instruction, err error) {
	delete(s.inProgress, instruction)
	if isRejected(err) {
		delete(s.pendingLoads, instruction)
	}
}
