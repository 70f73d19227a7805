// Package router finds the route, workspace, rank and service of a relayed request.
package router

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// Router finds routes and workspaces by one version of the plan. It is immutable and safe
// for concurrent use.
type Router struct {
	plan            *server.Plan
	routesByHost    map[string][]*server.Route
	workspacesByKey map[string]*server.Workspace
	// patientServices are the services that patient routes use, directly or through their stages.
	patientServices map[string]bool
}

// New returns the Router of a plan. The plan must not change afterwards.
func New(plan *server.Plan) *Router {
	r := &Router{plan: plan, routesByHost: make(map[string][]*server.Route), workspacesByKey: make(map[string]*server.Workspace), patientServices: make(map[string]bool)}
	for i := range plan.Routes {
		route := &plan.Routes[i]
		host := strings.ToLower(route.Host)
		r.routesByHost[host] = append(r.routesByHost[host], route)
		r.addPatientServices(route)
	}
	for _, routes := range r.routesByHost {
		slices.SortStableFunc(routes, func(a, b *server.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range plan.Workspaces {
		for _, key := range plan.Workspaces[i].Keys {
			// A request without a key is not one with an empty key, and one of a workspace without a name
			// would run as that of none.
			if key != "" && plan.Workspaces[i].Name != "" {
				r.workspacesByKey[key] = &plan.Workspaces[i]
			}
		}
	}
	return r
}

// addPatientServices adds the services of a route if it is patient.
func (r *Router) addPatientServices(route *server.Route) {
	if !route.IsPatient() {
		return
	}
	for _, target := range route.Targets {
		r.patientServices[target.Service] = true
	}
	for _, stage := range route.Stages {
		r.patientServices[stage.Service] = true
	}
}

// PatientServices returns the services that patient routes use, directly or through their stages. The caller must not
// change them.
func (r *Router) PatientServices() map[string]bool { return r.patientServices }

// HasPatientStage reports whether a stage of the route is computed by a service that a patient route uses.
func (r *Router) HasPatientStage(route *server.Route) bool {
	return slices.ContainsFunc(route.Stages, func(stage server.StageSpec) bool { return r.patientServices[stage.Service] })
}

// Plan returns the plan of the router.
func (r *Router) Plan() *server.Plan { return r.plan }

// Route returns the route of the host with the longest prefix of the path, or nil. The host
// may have a port and end with a dot; case is ignored.
func (r *Router) Route(host, path string) *server.Route {
	host = strings.ToLower(host)
	routes, ok := r.routesByHost[host]
	if !ok {
		hostname, _, _ := strings.Cut(host, ":")
		routes = r.routesByHost[strings.TrimSuffix(hostname, ".")]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Workspace returns the workspace of an API key, or nil if the key is unknown. ok is false if
// the route requires a workspace and the key is unknown; public routes, and plans that require no keys,
// require none.
func (r *Router) Workspace(route *server.Route, key string) (workspace *server.Workspace, ok bool) {
	workspace = r.workspacesByKey[key]
	if !r.plan.RequiresKeys && len(r.plan.Workspaces) == 0 || route.IsPublic {
		return workspace, true
	}
	return workspace, workspace != nil
}

// Priority returns the effective priority of a workspace's request on a route, from 0, the
// most urgent: that of the workspace if it has one, else that of the route.
func Priority(route *server.Route, workspace *server.Workspace) int {
	if workspace != nil && workspace.Priority != nil {
		return *workspace.Priority
	}
	return route.Priority
}

// AllowedRegions returns the regions whose replicas may get a workspace's request on a route; none means all. If both have
// a list, only regions on both are allowed. ok is false if there is none.
func AllowedRegions(route *server.Route, workspace *server.Workspace) (regions []string, ok bool) {
	if workspace == nil || len(workspace.AllowedRegions) == 0 {
		return route.AllowedRegions, true
	}
	if len(route.AllowedRegions) == 0 {
		return workspace.AllowedRegions, true
	}
	for _, region := range route.AllowedRegions {
		if slices.Contains(workspace.AllowedRegions, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}

// RankCount is the number of ranks in which requests are served. RanksPerPriority of them
// have the same effective priority.
const (
	RankCount        = 16
	RanksPerPriority = 4
)

// Rank returns the rank of a workspace's request on a route, from 0, the most urgent. Ranks
// are ordered by the effective priority, then by the priority of the route. A priority out of
// range counts as the nearest.
func Rank(route *server.Route, workspace *server.Workspace) int {
	lowest := RanksPerPriority - 1
	return min(max(Priority(route, workspace), 0), lowest)*RanksPerPriority + min(max(route.Priority, 0), lowest)
}

// Service returns the service for an attempt of a client, chosen by the weights of the route.
// Under one plan the same attempt ID always gives the same service. It is "" if no target has a weight.
func Service(route *server.Route, attemptID string) string {
	if len(route.Targets) == 1 && route.Targets[0].Weight > 0 {
		return route.Targets[0].Service
	}
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(attemptID) % uint64(total))
	for _, target := range route.Targets {
		if point -= target.Weight; point < 0 {
			return target.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}
