package planner

import (
	"slices"
	"strings"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Limits of the planning policy.
const (
	// targetUtilization is the fraction of an engine's slots that demand may fill.
	targetUtilization = 0.7
	// retirementCooldown is how long after a change of its replicas a model is not retired
	// to free capacity, so that two models do not keep replacing each other.
	retirementCooldown = 30 * time.Second
	// maxChangeFraction is the fraction of a service's replicas that may change at a
	// time.
	maxChangeFraction = 0.1
)

// Plan returns the instructions for the engines of one service. The result depends
// on the input alone.
func Plan(in Input) Output {
	p := newPlanState(in)
	p.setTargets()
	p.unloadDrained()
	p.keepRetirements()
	p.loadMissing()
	p.retireUnwanted()
	p.warmNewReplicas()
	p.setRoles()
	return p.out
}

// planState is the state of one run of Plan.
type planState struct {
	in       Input
	out      Output
	replicas []*replica
	byID     map[string]*replica
	// servingCount is the number of replicas that serve or load a model, servingByBase
	// the number that serve any version of a name, without loads in progress.
	servingCount  map[string]int
	servingByBase map[string]int
	// changeCount is the number of loads and retirements in progress or planned.
	// Once it reaches maxChanges, the plan adds no further ones.
	changeCount int
	maxChanges  int
}

// replica is one engine with the changes that are in progress or planned.
type replica struct {
	Replica
	retiring []string
	loading  []string
}

func newPlanState(in Input) *planState {
	p := &planState{
		in:            in,
		out:           Output{TargetReplicas: make(map[string]int)},
		byID:          make(map[string]*replica, len(in.Replicas)),
		servingCount:  make(map[string]int),
		servingByBase: make(map[string]int),
		maxChanges:    max(1, int(maxChangeFraction*float64(len(in.Replicas)))),
	}
	for _, r := range in.Replicas {
		state := &replica{Replica: r}
		p.replicas = append(p.replicas, state)
		p.byID[r.ID] = state
	}
	slices.SortFunc(p.replicas, func(a, b *replica) int { return strings.Compare(a.ID, b.ID) })
	for _, retirement := range in.Retirements {
		if r := p.byID[retirement.Replica]; r != nil {
			r.retiring = append(r.retiring, retirement.Model)
		}
	}
	for _, r := range p.replicas {
		p.countReplica(r)
	}
	return p
}

// countReplica adds a replica's models to the totals. Loads in progress count as
// serving, so that the model is not loaded on another replica as well.
func (p *planState) countReplica(r *replica) {
	for _, model := range r.Models {
		if r.serves(model) {
			p.servingCount[model]++
			p.servingByBase[server.ModelBase(model)]++
		}
	}
	if r.IsLeaving {
		return
	}
	for _, model := range p.in.LoadingModels[r.ID] {
		if !slices.Contains(r.Models, model) {
			r.loading = append(r.loading, model)
			p.servingCount[model]++
			p.changeCount++
		}
	}
}

// serves reports whether the engine may get new requests for a model.
func (r *replica) serves(model string) bool {
	return !r.IsLeaving && slices.Contains(r.Models, model) && !slices.Contains(r.retiring, model)
}

// hasModel reports whether a model is loaded or being loaded.
func (r *replica) hasModel(model string) bool {
	return slices.Contains(r.Models, model) || slices.Contains(r.loading, model)
}

// requestCount returns the number of requests in progress and waiting.
func (r *replica) requestCount() int {
	total := 0
	for _, count := range r.RequestsByModel {
		total += count
	}
	return total
}

// addInstruction adds an instruction to the plan.
func (p *planState) addInstruction(instruction Instruction) {
	p.out.Instructions = append(p.out.Instructions, instruction)
}

// loadMissing adds replicas of models that have fewer than their target. It first
// cancels retirements, then loads the model on engines with free capacity, and if
// there are none retires other models.
func (p *planState) loadMissing() {
	for _, model := range p.in.Models {
		for p.servingCount[model] < p.out.TargetReplicas[model] && p.cancelRetirement(model) {
			continue
		}
		if p.servingCount[model] >= p.out.TargetReplicas[model] || p.changeCount >= p.maxChanges {
			continue
		}
		free := p.findFreeReplicas(model)
		for p.servingCount[model] < p.out.TargetReplicas[model] && p.changeCount < p.maxChanges {
			r := free.takeNext()
			if r == nil {
				p.freeCapacity(model)
				break
			}
			p.loadModel(r, model)
		}
	}
}

// loadModel adds the instruction to load a model and counts the load.
func (p *planState) loadModel(r *replica, model string) {
	r.loading = append(r.loading, model)
	p.servingCount[model]++
	p.changeCount++
	p.addInstruction(Instruction{Replica: r.ID, Action: ActionLoad, Model: model})
	p.markChanged(model)
}

// hasInstruction reports whether the plan already has an instruction on a model for
// a replica.
func (p *planState) hasInstruction(id, model string) bool {
	return slices.ContainsFunc(p.out.Instructions, func(instruction Instruction) bool { return instruction.Replica == id && instruction.Model == model })
}

// countLoaded counts the replicas that serve a model now, without loads in progress.
func (p *planState) countLoaded(model string) int {
	count := 0
	for _, r := range p.replicas {
		if r.serves(model) {
			count++
		}
	}
	return count
}

// wantedVersion returns the model of that name that is wanted, or "" if none is.
func (p *planState) wantedVersion(base string) string {
	for _, model := range p.in.Models {
		if server.ModelBase(model) == base {
			return model
		}
	}
	return ""
}

// warmNewReplicas copies cached blocks to engines that have just loaded a model, from
// the engine in their data centre, of their software version, that has the most requests for it.
func (p *planState) warmNewReplicas() {
	for _, to := range p.replicas {
		for _, model := range p.in.NewModels[to.ID] {
			if from := p.busiestPeer(to, model); from != nil {
				p.addInstruction(Instruction{Replica: to.ID, Action: ActionCopyBlocks, Model: model, From: from.ID})
			}
		}
	}
}

// busiestPeer returns the other engine of the data centre and the software version that has
// the most requests for a model, or nil. What two versions have cached does not fit together.
func (p *planState) busiestPeer(to *replica, model string) *replica {
	var best *replica
	for _, r := range p.replicas {
		if r == to || r.Datacentre != to.Datacentre || r.Version != to.Version || !r.serves(model) || r.RequestsByModel[model] == 0 {
			continue
		}
		if best == nil || r.RequestsByModel[model] > best.RequestsByModel[model] {
			best = r
		}
	}
	return best
}

// markChanged records that the plan changes a model's number of replicas.
func (p *planState) markChanged(model string) {
	if !slices.Contains(p.out.ChangedModels, model) {
		p.out.ChangedModels = append(p.out.ChangedModels, model)
	}
}
