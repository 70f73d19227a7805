package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oriolemill.example/oriolemill/internal/server"
)

// engines simulates the engines of a service, which carry out instructions.
type engines struct {
	now              time.Time
	replicas         []Replica
	retirements      []Retirement
	changedAt        map[string]time.Time
	wantedModels     []string
	demand           map[string]float64
	maxModels        int
	minPerDatacentre int
}

func newEngines(count, datacentres, maxModels, minPerDatacentre int, models ...string) *engines {
	e := &engines{now: time.Unix(1000, 0), changedAt: make(map[string]time.Time), wantedModels: models, maxModels: maxModels, minPerDatacentre: minPerDatacentre, demand: make(map[string]float64)}
	for i := range count {
		e.replicas = append(e.replicas, Replica{
			ID: fmt.Sprintf("e-%03d", i), Datacentre: fmt.Sprintf("d-%d", i%datacentres), Slots: 8, ReportedAt: e.now,
			RequestsByModel: make(map[string]int),
		})
	}
	return e
}

func (e *engines) input() Input {
	return Input{
		Models: e.wantedModels, MaxModels: e.maxModels, MinReplicasPerDatacentre: e.minPerDatacentre, Replicas: e.replicas, Demand: e.demand,
		Retirements: e.retirements, ChangedAt: e.changedAt, DrainTime: 3 * time.Second, Now: e.now,
	}
}

// step makes one plan, carries out its instructions and advances the time by a second.
func (e *engines) step() Output {
	out := Plan(e.input())
	for _, instruction := range out.Instructions {
		e.apply(instruction)
	}
	for _, model := range out.ChangedModels {
		e.changedAt[model] = e.now
	}
	e.retirements = out.Retirements
	e.now = e.now.Add(time.Second)
	for i := range e.replicas {
		e.replicas[i].ReportedAt = e.now
	}
	return out
}

func (e *engines) apply(instruction Instruction) {
	for i := range e.replicas {
		r := &e.replicas[i]
		if r.ID != instruction.Replica {
			continue
		}
		r.Models = slices.Clone(r.Models)
		switch instruction.Action {
		case ActionLoad:
			if !slices.Contains(r.Models, instruction.Model) {
				r.Models = append(r.Models, instruction.Model)
			}
		case ActionUnload:
			r.Models = slices.DeleteFunc(r.Models, func(m string) bool { return m == instruction.Model })
		case ActionRole:
			r.Role = instruction.Role
		case ActionCopyBlocks:
			r.RequestsByModel = map[string]int{}
		}
	}
}

// servingCount counts the replicas that may get new requests for any version of a name.
func (e *engines) servingCount(base string) int {
	count := 0
	for _, r := range e.replicas {
		for _, model := range r.Models {
			retired := slices.ContainsFunc(e.retirements, func(t Retirement) bool { return t.Replica == r.ID && t.Model == model })
			if server.ModelBase(model) == base && !retired && !r.IsLeaving {
				count++
			}
		}
	}
	return count
}

func (e *engines) run(steps int) (instructions int) {
	for range steps {
		instructions += len(e.step().Instructions)
	}
	return instructions
}

// TestBlocksAreCopiedWithinASoftwareVersion guards against an engine that goes on from cached
// blocks of another software version.
func TestBlocksAreCopiedWithinASoftwareVersion(t *testing.T) {
	is := is.New(t)
	engine := func(id, version string, requests int) Replica {
		return Replica{ID: id, Datacentre: "north", Version: version, Models: []string{"small"}, Slots: 8, RequestsByModel: map[string]int{"small": requests}}
	}
	in := Input{
		Models: []string{"small"}, MaxModels: 1, MinReplicasPerDatacentre: 1, Demand: map[string]float64{"small": 8},
		Replicas: []Replica{engine("a", "v1", 2), engine("b", "v2", 6), engine("new", "v1", 0)}, NewModels: map[string][]string{"new": {"small"}},
	}
	from := ""
	for _, instruction := range Plan(in).Instructions {
		if instruction.Action == ActionCopyBlocks {
			from = instruction.From
		}
	}
	is.Equal(from, "a") // b has more requests, and another version
}

func TestEveryDatacentreKeepsMinimumReplicas(t *testing.T) {
	is := is.New(t)
	e := newEngines(12, 3, 2, 1, "a", "b")
	e.run(30)
	count := make(map[string]int)
	for _, r := range e.replicas {
		for _, model := range r.Models {
			count[model+" "+r.Datacentre]++
		}
	}
	for _, model := range e.wantedModels {
		for datacentre := range 3 {
			is.True(count[fmt.Sprintf("%s d-%d", model, datacentre)] >= 1)
		}
	}
	is.Equal(e.run(120), 0) // constant demand needs no instructions
}

func TestDemandAddsReplicasAndFluctuationsDoNot(t *testing.T) {
	is := is.New(t)
	e := newEngines(12, 3, 2, 1, "a", "b")
	e.demand["a"] = 40
	e.run(60)
	is.True(e.servingCount("a") >= 8) // 40 requests need 8 engines with 8 slots each at targetUtilization
	instructions := 0
	for i := range 200 {
		e.demand["a"] = 36 + float64(i%2)*8 // fluctuates by a tenth around 40
		instructions += len(e.step().Instructions)
	}
	is.True(instructions <= 2)
}

func TestAlternatingDemandDoesNotSwapModels(t *testing.T) {
	is := is.New(t)
	e := newEngines(6, 1, 1, 1, "a", "b")
	e.run(60)
	instructions := 0
	for i := range 300 {
		e.demand["a"], e.demand["b"] = 30, 10
		if i%10 < 5 {
			e.demand["a"], e.demand["b"] = 10, 30
		}
		instructions += len(e.step().Instructions)
	}
	is.True(instructions <= 4*300/30) // at most a load and an unload of each model per retirementCooldown
}

func TestIdleModelStaysLoadedUntilCapacityIsNeeded(t *testing.T) {
	is := is.New(t)
	e := newEngines(6, 1, 1, 1, "a", "b")
	e.demand["a"] = 40
	e.run(60)
	before := e.servingCount("a")
	e.demand["a"] = 0
	is.Equal(e.run(200), 0)
	is.Equal(e.servingCount("a"), before)
}

func TestVersionChangeKeepsOneReplicaServing(t *testing.T) {
	is := is.New(t)
	e := newEngines(4, 1, 1, 1, "a@1")
	e.demand["a@1"] = 20
	e.run(60)
	is.Equal(e.servingCount("a"), 4)
	e.wantedModels = []string{"a@2"}
	e.demand = map[string]float64{"a@2": 20}
	for range 400 {
		e.step()
		is.True(e.servingCount("a") >= 1)
	}
	for _, r := range e.replicas {
		is.Equal(r.Models, []string{"a@2"})
	}
}

func TestModelIsUnloadedOnlyAfterDraining(t *testing.T) {
	is := is.New(t)
	e := newEngines(4, 1, 2, 1, "a@1")
	e.demand["a@1"] = 20
	e.run(60)
	for i := range e.replicas {
		e.replicas[i].RequestsByModel["a@1"] = 1 // a stream that does not end
	}
	e.wantedModels = []string{"a@2"}
	e.demand = map[string]float64{"a@2": 20}
	for range 100 {
		for _, instruction := range e.step().Instructions {
			is.True(instruction.Action != ActionUnload)
		}
	}
	for i := range e.replicas {
		e.replicas[i].RequestsByModel["a@1"] = 0
	}
	e.run(200)
	for _, r := range e.replicas {
		is.True(!slices.Contains(r.Models, "a@1"))
	}
}

func TestRolesFollowPromptShare(t *testing.T) {
	is := is.New(t)
	e := newEngines(16, 1, 1, 1, "a")
	in := e.input()
	in.CanChangeRoles = true
	in.PromptShare = 0.5
	prefill := 0
	for range 40 {
		out := Plan(in)
		for _, instruction := range out.Instructions {
			if instruction.Action == ActionRole {
				e.apply(instruction)
			}
		}
		in.Replicas = e.replicas
	}
	for _, r := range e.replicas {
		if r.Role == rolePrefill {
			prefill++
		}
	}
	is.True(prefill >= 7 && prefill <= 9) // half of 16, within roleSlack
}

// TestPlanKeepsInvariants checks, during random changes of demand, versions, requests
// and leaving engines, that no engine exceeds its capacity and that no plan leaves a
// name without a serving replica.
func TestPlanKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEngines(rapid.IntRange(2, 12).Draw(t, "count"), rapid.IntRange(1, 3).Draw(t, "datacentres"), rapid.IntRange(1, 3).Draw(t, "maxModels"), 1, "a@1", "b@1")
		served := make(map[string]bool)
		for i := range rapid.IntRange(20, 80).Draw(t, "steps") {
			e.changeAtRandom(t, i)
			unserved := e.unservedBases()
			e.step()
			for _, r := range e.replicas {
				if len(r.Models) > e.maxModels {
					t.Fatalf("step %d: %s has the models %v, limit %d", i, r.ID, r.Models, e.maxModels)
				}
			}
			for _, base := range []string{"a", "b"} {
				isServed := e.servingCount(base) > 0
				if served[base] && !isServed && !unserved[base] {
					t.Fatalf("step %d: the plan left no serving replica of %s", i, base)
				}
				served[base] = isServed
			}
		}
	})
}

// changeAtRandom changes one thing at random.
func (e *engines) changeAtRandom(t *rapid.T, step int) {
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		e.demand[rapid.SampledFrom(e.wantedModels).Draw(t, "model")] = float64(rapid.IntRange(0, 100).Draw(t, "demand"))
	case 1:
		e.wantedModels = []string{fmt.Sprintf("a@%d", 1+step%3), "b@1"}
	case 2:
		i := rapid.IntRange(0, len(e.replicas)-1).Draw(t, "replica")
		e.replicas[i].RequestsByModel = map[string]int{"a@1": rapid.IntRange(0, 3).Draw(t, "running")}
	case 3:
		i := rapid.IntRange(0, len(e.replicas)-1).Draw(t, "leaving")
		e.replicas[i].IsLeaving = !e.replicas[i].IsLeaving
	}
}

// unservedBases returns the names that no replica serves before the plan, because
// engines leave. The invariant concerns the plan's own changes only.
func (e *engines) unservedBases() map[string]bool {
	unserved := make(map[string]bool)
	for _, base := range []string{"a", "b"} {
		unserved[base] = e.servingCount(base) == 0
	}
	return unserved
}

func TestPlanChangesAreBoundedAtScale(t *testing.T) {
	is := is.New(t)
	e := newEngines(2100, 20, 2, 1, "a@1", "b@1", "c@1", "d@1")
	out := e.step()
	is.True(len(out.Instructions) <= 210) // a tenth of the service at a time
}

func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{210, 2100, 8500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			e := newEngines(count, 20, 2, 1, "a@1", "b@1", "c@1", "d@1")
			e.demand = map[string]float64{"a@1": float64(count) * 3, "b@1": float64(count), "c@1": float64(count) / 2, "d@1": 10}
			e.run(5)
			in := e.input()
			for b.Loop() {
				Plan(in)
			}
		})
	}
}
