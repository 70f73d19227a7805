package checker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/budgeter"
	"oriolemill.example/oriolemill/internal/server/router"
)

// CheckPlan checks a plan and, unless current is nil, compares it with the plan in force.
func (c *Checker) CheckPlan(file string, plan, current *Plan) *Report {
	p := &planChecker{Checker: c, file: file, source: plan, report: &Report{}}
	for _, issue := range plan.Errors {
		p.addIssue(issue)
	}
	if plan.Plan == nil {
		return p.report.finish()
	}
	p.plan, p.router = plan.Plan, router.New(plan.Plan)
	p.checkLimits()
	p.checkWorkspaces()
	for i := range p.plan.Routes {
		p.checkRoute(i)
	}
	p.checkServices()
	if c.settings == nil && (p.usesRegions() || p.usesAttempts()) {
		p.report.Omitted = append(p.report.Omitted, "allowed regions and numbers of attempts: they need the settings of an instance")
	}
	if current != nil && current.Plan != nil {
		if p.plan.Version <= current.Plan.Version {
			p.add(Place{Field: FieldVersion}, SeverityError, PlanNotNewer, fmt.Sprintf("version %d is not newer than %d, so instances ignore the plan", p.plan.Version, current.Plan.Version))
		}
		p.report.Differences = comparePlans(current.Plan, p.plan)
	}
	return p.report.finish()
}

// planChecker checks one plan.
type planChecker struct {
	*Checker
	file   string
	source *Plan
	plan   *server.Plan
	router *router.Router
	report *Report
	// callers are the workspaces that have a valid key.
	callers []*server.Workspace
}

// addIssue adds what instances refuse or ignore as an error.
func (p *planChecker) addIssue(issue Issue) {
	finding := Finding{File: p.file, Line: issue.Line, Column: issue.Column, Path: issue.Path, Severity: SeverityError, Name: issue.Name, Message: issue.Message}
	if p.source.Layout != nil {
		finding.offset = p.source.Layout.Offset(issue.Path)
		finding.Line = p.source.Layout.Line(finding.offset)
	}
	p.report.Findings = append(p.report.Findings, finding)
}

// add adds a finding at a place.
func (p *planChecker) add(place Place, severity Severity, name Name, message string) {
	path := p.source.Locate(place)
	offset := p.source.Layout.Offset(path)
	p.report.Findings = append(p.report.Findings, Finding{
		File: p.file, Line: p.source.Layout.Line(offset), Path: path, Severity: severity, Name: name, Message: message, offset: offset,
	})
}

// checkLimits checks the limits of clients. Instances ignore those below zero.
func (p *planChecker) checkLimits() {
	limits := &p.plan.Limits
	for _, limit := range []struct {
		field Field
		value int64
	}{
		{FieldHeaderBytes, limits.MaxHeaderBytes},
		{FieldBodyBytes, limits.MaxBodyBytes},
		{FieldHeaderTimeout, int64(limits.HeaderTimeout)},
		{FieldIdleTimeout, int64(limits.IdleTimeout)},
	} {
		if limit.value < 0 {
			p.add(Place{Field: limit.field}, SeverityError, ValueIgnored, "a limit below zero is ignored")
		}
	}
}

// checkWorkspaces checks which keys are valid, as the router finds the workspace of a key.
func (p *planChecker) checkWorkspaces() {
	for i := range p.plan.Workspaces {
		workspace := &p.plan.Workspaces[i]
		place := Place{Entry: EntryWorkspace, Index: i}
		if workspace.Name == "" {
			p.add(place, SeverityError, WorkspaceIgnored, "the workspace has no name, so its keys are not valid")
		}
		hasKey := false
		for item, key := range workspace.Keys {
			place.Field, place.Item = FieldKey, item
			holder, _ := p.router.Workspace(&server.Route{}, key)
			switch {
			case holder == workspace:
				hasKey = true
			case key == "":
				p.add(place, SeverityError, KeyIgnored, "an empty key is not valid")
			case holder != nil:
				p.add(place, SeverityWarning, KeyShared, fmt.Sprintf("key %s belongs to the workspace %q, which is listed later", ShortHash(key), holder.Name))
			}
		}
		if workspace.Priority != nil {
			place.Field = FieldPriority
			p.checkPriority(place, *workspace.Priority, router.Rank(&server.Route{}, workspace))
		}
		if hasKey {
			p.callers = append(p.callers, workspace)
		}
		p.checkRegions(Place{Entry: EntryWorkspace, Index: i, Field: FieldRegion}, workspace.AllowedRegions)
	}
}

// checkRoute checks one route.
func (p *planChecker) checkRoute(i int) {
	route := &p.plan.Routes[i]
	place := Place{Entry: EntryRoute, Index: i}
	if winner := p.router.Route(route.Host, route.Prefix); winner != route && winner != nil {
		p.add(place, SeverityWarning, RouteHidden, fmt.Sprintf("the route %q has the same host and prefix and comes first", winner.Name))
	}
	if router.Service(route, "") == "" {
		p.add(place, SeverityWarning, RouteWithoutService, "the route names no service with a weight above zero, so its requests are refused")
	}
	if !p.hasCaller(route) {
		p.add(place, SeverityWarning, RouteWithoutWorkspace, "the route needs a key, and no workspace with a valid key may use it")
	}
	place.Field = FieldRegion
	p.checkRegions(place, route.AllowedRegions)
	p.checkTimes(i, route)
	p.checkStages(i, route)
	p.checkAttempts(i, route)
}

// hasCaller reports whether anybody may use a route.
func (p *planChecker) hasCaller(route *server.Route) bool {
	if _, isOpen := p.router.Workspace(route, ""); isOpen {
		return true
	}
	return slices.ContainsFunc(p.callers, func(workspace *server.Workspace) bool {
		_, ok := router.AllowedRegions(route, workspace)
		return ok
	})
}

// checkRegions checks that each allowed region has a data centre. The place is that of the list's items.
func (p *planChecker) checkRegions(place Place, regions []string) {
	if p.settings == nil {
		return
	}
	for i, region := range regions {
		if !p.hasRegion(region) {
			place.Item = i
			p.add(place, SeverityWarning, RegionUnknown, fmt.Sprintf("no data centre is in the region %q", region))
		}
	}
}

// hasRegion reports whether a replica in one of the data centres may get requests that are allowed in a region.
func (p *planChecker) hasRegion(region string) bool {
	for _, known := range p.settings.Regions {
		replica := server.Replica{Region: known}
		if replica.IsAllowed([]string{region}) {
			return true
		}
	}
	return false
}

// checkAttempts checks that the retry budget can cover the attempts of a route: all retries of one request in a window,
// at the only instance. With more requests the budget for each is smaller.
func (p *planChecker) checkAttempts(i int, route *server.Route) {
	if p.settings == nil || route.MaxAttempts <= 1 {
		return
	}
	budget := budgeter.New(fixedTimer{}, p.settings.RetryRatio, p.settings.RetrySlack, p.settings.RetryWindow, func() int { return 1 })
	budget.RecordRequests("", 1)
	if !budget.AcquireRetries("", route.MaxAttempts-1) {
		p.add(Place{Entry: EntryRoute, Index: i, Field: FieldAttempts}, SeverityWarning, AttemptsExceedBudget, fmt.Sprintf("the retry budget never covers the retries of each request if it has %d attempts", route.MaxAttempts))
	}
}

// usesRegions reports whether the plan has allowed regions.
func (p *planChecker) usesRegions() bool {
	return slices.ContainsFunc(p.plan.Routes, func(r server.Route) bool { return len(r.AllowedRegions) > 0 }) ||
		slices.ContainsFunc(p.plan.Workspaces, func(w server.Workspace) bool { return len(w.AllowedRegions) > 0 })
}

// usesAttempts reports whether a route has more than one attempt.
func (p *planChecker) usesAttempts() bool {
	return slices.ContainsFunc(p.plan.Routes, func(r server.Route) bool { return r.MaxAttempts > 1 })
}

// checkServices checks that a route or stage uses each service.
func (p *planChecker) checkServices() {
	used := make(map[string]bool)
	for i := range p.plan.Routes {
		for _, target := range p.plan.Routes[i].Targets {
			used[target.Service] = true
		}
		for _, stage := range p.plan.Routes[i].Stages {
			used[stage.Service] = true
		}
	}
	for name := range p.plan.Backends {
		if !used[name] {
			p.add(Place{Entry: EntryService, Service: name}, SeverityWarning, ServiceUnused, fmt.Sprintf("no route or stage uses the service %q", name))
		}
	}
}

// joinIndices formats indices for a message.
func joinIndices(indices []int) string {
	texts := make([]string, len(indices))
	for i, index := range indices {
		texts[i] = strconv.Itoa(index)
	}
	return strings.Join(texts, ", ")
}
