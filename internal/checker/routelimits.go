package checker

import (
	"fmt"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/relayer"
	"oriolemill.example/oriolemill/internal/server/router"
)

// checkTimes checks the priority of a route, and its times against each other and against its stages. Without a timeout that
// of the client counts, which may be as long as instances allow.
func (p *planChecker) checkTimes(i int, route *server.Route) {
	place := Place{Entry: EntryRoute, Index: i, Field: FieldTimeout}
	timeout := relayer.MaxTimeout
	switch {
	case route.Timeout < 0:
		p.add(place, SeverityError, ValueIgnored, "a timeout below zero is ignored")
	case route.Timeout > timeout:
		p.add(place, SeverityError, ValueIgnored, fmt.Sprintf("a timeout above %s counts as %s", timeout, timeout))
	case route.Timeout > 0:
		timeout = route.Timeout
	}
	if shortest := p.shortestTime(route); timeout < shortest {
		p.add(place, SeverityWarning, TimeoutBelowStages, fmt.Sprintf("the timeout of %s is shorter than the stages, which take %s at least", timeout, shortest))
	}
	if route.Goal > timeout {
		place.Field = FieldGoal
		p.add(place, SeverityWarning, GoalExceedsTimeout, fmt.Sprintf("the goal of %s is longer than the timeout of %s", route.Goal, timeout))
	}
	place.Field = FieldPriority
	p.checkPriority(place, route.Priority, router.Rank(route, nil))
}

// checkPriority checks that requests have the priority of a route or workspace, by their rank.
func (p *planChecker) checkPriority(place Place, priority, rank int) {
	if effective := rank / router.RanksPerPriority; effective != priority {
		p.add(place, SeverityError, ValueIgnored, fmt.Sprintf("priority %d is out of range and counts as %d", priority, effective))
	}
}

// shortestTime returns the time of the stages on the longest path, with one piece in each call and no wait.
func (p *planChecker) shortestTime(route *server.Route) time.Duration {
	ends := make([]time.Duration, len(route.Stages))
	for _, i := range route.StageOrder() {
		for _, dependency := range route.Stages[i].Dependencies {
			ends[i] = max(ends[i], ends[dependency])
		}
		if batch := p.plan.Backends[route.Stages[i].Service].Batch; batch != nil {
			ends[i] += batch.CallDuration(1)
		}
	}
	return slices.Max(append(ends, 0))
}

// checkStages checks the dependencies and the results of a route's stages.
func (p *planChecker) checkStages(i int, route *server.Route) {
	place := Place{Entry: EntryRoute, Index: i}
	stages := slices.Clone(route.Stages)
	for index := range stages {
		stage := &stages[index]
		isMissing := func(dependency int) bool { return dependency < 0 || dependency >= len(stages) }
		if at := slices.IndexFunc(stage.Dependencies, isMissing); at >= 0 {
			place.Field, place.Item = FieldDependencies, index
			p.add(place, SeverityError, StageIgnored, fmt.Sprintf("there is no stage %d, so the stage is left out", stage.Dependencies[at]))
			stage.Dependencies = slices.DeleteFunc(slices.Clone(stage.Dependencies), isMissing)
		}
		if batch := p.plan.Backends[stage.Service].Batch; batch != nil && batch.ResultMemory > 0 && stage.ResultBytes > batch.ResultMemory {
			place.Field, place.Item = FieldResultBytes, index
			p.add(place, SeverityWarning, ResultExceedsMemory, fmt.Sprintf("a result of %d bytes exceeds the %d bytes that a replica of %q has for results", stage.ResultBytes, batch.ResultMemory, stage.Service))
		}
	}
	// Without dependencies on missing stages, only cycles keep a stage out of the order.
	order := server.StageOrder(stages)
	if len(order) == len(stages) {
		return
	}
	var missing []int
	for index := range stages {
		if !slices.Contains(order, index) {
			missing = append(missing, index)
		}
	}
	place.Field, place.Item = FieldStages, 0
	p.add(place, SeverityWarning, StagesCyclic, "these stages are in a cycle or depend on one, and are left out: "+joinIndices(missing))
}

// fixedTimer implements server.Timer for calculations at one time.
type fixedTimer struct{}

// Now returns the zero time.
func (fixedTimer) Now() time.Time { return time.Time{} }

// Every calls nothing.
func (fixedTimer) Every(time.Duration, func(time.Time)) func() { return func() {} }

// After calls nothing.
func (fixedTimer) After(time.Duration, func(time.Time)) func() { return func() {} }
