// Package router finds the route and the workspace of a relayed request.
package router

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// Router answers for one version of the plan. It never changes.
type Router struct {
	plan            *server.Plan
	routesByHost    map[string][]*server.Route
	workspacesByKey map[string]*server.Workspace
}

// New returns the Router of a plan, which must not be changed any more.
func New(plan *server.Plan) *Router {
	r := &Router{plan: plan, routesByHost: make(map[string][]*server.Route), workspacesByKey: make(map[string]*server.Workspace)}
	for i := range plan.Routes {
		route := &plan.Routes[i]
		host := strings.ToLower(route.Host)
		r.routesByHost[host] = append(r.routesByHost[host], route)
	}
	for _, routes := range r.routesByHost {
		slices.SortStableFunc(routes, func(a, b *server.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range plan.Workspaces {
		for _, key := range plan.Workspaces[i].Keys {
			r.workspacesByKey[key] = &plan.Workspaces[i]
		}
	}
	return r
}

// Plan returns the plan that the router answers for.
func (r *Router) Plan() *server.Plan { return r.plan }

// Route returns the route with the longest prefix, or nil.
func (r *Router) Route(host, path string) *server.Route {
	host = strings.ToLower(host)
	routes, ok := r.routesByHost[host]
	if !ok {
		name, _, found := strings.Cut(host, ":")
		if !found {
			return nil
		}
		routes = r.routesByHost[name]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Workspace returns the workspace that holds a key. The result is nil on routes that
// need none; ok is false where one is needed and the key is unknown.
func (r *Router) Workspace(route *server.Route, key string) (workspace *server.Workspace, ok bool) {
	workspace = r.workspacesByKey[key]
	if len(r.plan.Workspaces) == 0 || route.Public {
		return workspace, true
	}
	return workspace, workspace != nil
}

// Priority returns the rank of a workspace's request on a route.
func Priority(route *server.Route, workspace *server.Workspace) int {
	if workspace != nil && workspace.Priority != nil {
		return *workspace.Priority
	}
	return route.Priority
}

// Ranks is the number of ranks in which requests are served; RanksPerPriority of them
// share the priority that holds.
const (
	RankCount        = 16
	RanksPerPriority = 4
)

// Rank returns the place of a workspace's request among all others, from 0: first by
// the priority that holds, then by that of its route.
func Rank(route *server.Route, workspace *server.Workspace) int {
	last := RanksPerPriority - 1
	return min(max(Priority(route, workspace), 0), last)*RanksPerPriority + min(max(route.Priority, 0), last)
}

// Service returns the service for a request. The same attempt always goes to
// the same service of one plan.
func Service(route *server.Route, attempt string) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	total := 0
	for _, share := range route.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return route.Shares[rand.IntN(len(route.Shares))].Service
	}
	at := int(xxhash.Sum64String(attempt) % uint64(total))
	for _, share := range route.Shares {
		if at -= share.Weight; at < 0 {
			return share.Service
		}
	}
	return route.Shares[len(route.Shares)-1].Service
}
