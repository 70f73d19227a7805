package checker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/router"
)

// Effects of differences between plans on requests.
const (
	// A request keeps the route and workspace that it was given on arrival.
	effectFinish         = "completed as they began"
	effectNone           = "none"
	effectQueuedPieces   = "pieces that wait for a call use the new value"
	effectNewRoute       = "matching requests use this route"
	effectNewValue       = "use the new value"
	effectNewConnections = "new connections use the new value"
	effectNoLongerUsed   = "do not use it"
	effectKeyAdded       = "accepted with this key"
	effectKeyRemoved     = "refused with 401 with this key, except on public routes"
	effectKeyMoved       = "count for the new workspace"
	effectKeysRequired   = "routes that are not public need a valid key"
	effectKeysUnrequired = "no route needs a key"
)

// comparePlans returns the differences between two plans by meaning: what never matches is left out.
func comparePlans(before, after *server.Plan) []Difference {
	b, a := newPlanProperties(before), newPlanProperties(after)
	differences := compareSubjects(b.routes, a.routes, func(subject, property string, change Change) (string, string) {
		switch change {
		case ChangeAdded:
			return effectNone, effectNewRoute
		case ChangeRemoved:
			return effectFinish, "match " + a.describeMatch(b.routeOf[subject])
		default:
			return effectFinish, effectNewValue
		}
	})
	differences = append(differences, compareSubjects(b.services, a.services, func(_, _ string, change Change) (string, string) {
		switch change {
		case ChangeAdded:
			return effectNone, effectNewValue
		case ChangeRemoved:
			return effectFinish, effectNoLongerUsed
		default:
			return effectQueuedPieces, effectNewValue
		}
	})...)
	differences = append(differences, compareSubjects(b.workspaces, a.workspaces, func(_, _ string, change Change) (string, string) {
		switch change {
		case ChangeAdded:
			return effectNone, effectNewValue
		case ChangeRemoved:
			return effectFinish, effectNoLongerUsed
		default:
			return effectFinish, effectNewValue
		}
	})...)
	differences = append(differences, compareSubjects(b.keys, a.keys, keyEffects)...)
	return append(differences, compareSubjects(b.limits, a.limits, func(_, property string, _ Change) (string, string) {
		switch {
		case property == propertyBodyBytes:
			return effectFinish, effectNewValue
		case property != propertyKeysRequired:
			return effectFinish, effectNewConnections
		case after.RequiresKeys || len(after.Workspaces) > 0:
			return effectFinish, effectKeysRequired
		default:
			return effectFinish, effectKeysUnrequired
		}
	})...)
}

// keyEffects returns the effects of a change of an API key.
func keyEffects(_, _ string, change Change) (inProgress, following string) {
	switch change {
	case ChangeAdded:
		return effectNone, effectKeyAdded
	case ChangeRemoved:
		return effectFinish, effectKeyRemoved
	default:
		return effectFinish, effectKeyMoved
	}
}

// planProperties holds the properties of a plan by subject.
type planProperties struct {
	router                                     *router.Router
	routes, services, workspaces, keys, limits map[string][]property
	routeOf                                    map[string]*server.Route
}

// Properties of the limits whose changes have effects of their own.
const (
	propertyBodyBytes    = "bytes of a body"
	propertyKeysRequired = "keys required"
)

func newPlanProperties(plan *server.Plan) *planProperties {
	p := &planProperties{
		router: router.New(plan), routes: make(map[string][]property), services: make(map[string][]property),
		workspaces: make(map[string][]property), keys: make(map[string][]property), routeOf: make(map[string]*server.Route),
	}
	for i := range plan.Routes {
		route := &plan.Routes[i]
		if p.router.Route(route.Host, route.Prefix) == route {
			subject := "route " + strings.ToLower(route.Host) + route.Prefix
			p.routes[subject], p.routeOf[subject] = routeProperties(route), route
		}
	}
	for name, backend := range plan.Backends {
		p.services["service "+name] = serviceProperties(&backend)
	}
	for i := range plan.Workspaces {
		workspace := &plan.Workspaces[i]
		for _, key := range workspace.Keys {
			if holder, _ := p.router.Workspace(&server.Route{}, key); holder == workspace {
				p.keys["key "+ShortHash(key)] = []property{{"workspace", workspace.Name}}
			}
		}
		if workspace.Name != "" {
			p.workspaces["workspace "+workspace.Name] = []property{
				{"priority", formatPriority(workspace.Priority)}, {"allowed regions", formatNames(workspace.AllowedRegions)},
			}
		}
	}
	limits := plan.Limits
	p.limits = map[string][]property{"limits": {
		{"bytes of headers", formatLimit(limits.MaxHeaderBytes)},
		{propertyBodyBytes, formatLimit(limits.MaxBodyBytes)},
		{"time for headers", formatTime(limits.HeaderTimeout)},
		{"idle time", formatTime(limits.IdleTimeout)},
		{propertyKeysRequired, strconv.FormatBool(plan.RequiresKeys || len(plan.Workspaces) > 0)},
	}}
	return p
}

// describeMatch returns what requests for a former route match.
func (p *planProperties) describeMatch(former *server.Route) string {
	if route := p.router.Route(former.Host, former.Prefix); route != nil {
		return "the route " + strings.ToLower(route.Host) + route.Prefix
	}
	return "no route: 404"
}

func routeProperties(r *server.Route) []property {
	kinds := map[server.RouteKind]string{server.RouteKindOnce: "once", server.RouteKindRepeatable: "repeatable", server.RouteKindStream: "stream"}
	var targets, stages []string
	for _, target := range r.Targets {
		targets = append(targets, fmt.Sprintf("%s (%d)", target.Service, target.Weight))
	}
	for _, stage := range r.Stages {
		stages = append(stages, fmt.Sprintf("%s after [%s], %d bytes", stage.Service, joinIndices(stage.Dependencies), stage.ResultBytes))
	}
	return []property{
		{"name", r.Name},
		{"services", formatNames(targets)},
		{"kind", kinds[r.Kind]},
		{"timeout", formatTime(r.Timeout)},
		{"goal", formatTime(r.Goal)},
		{"gap between events", formatTime(r.EventGap)},
		{"priority", strconv.Itoa(r.Priority)},
		{"attempts", strconv.Itoa(r.MaxAttempts)},
		{"public", strconv.FormatBool(r.IsPublic)},
		{"sticky", strconv.FormatBool(r.IsSticky)},
		{"resumable", strconv.FormatBool(r.IsResumable)},
		{"stages", formatNames(stages)},
		{"allowed regions", formatNames(r.AllowedRegions)},
	}
}

func serviceProperties(b *server.Backend) []property {
	properties := []property{
		{"connections", formatLimit(int64(b.MaxConnections))},
		{"engine", strconv.FormatBool(b.IsEngine)},
		{"requests a second while cold", strconv.FormatFloat(b.ColdPerSecond, 'g', -1, 64)},
		{"time cold", formatTime(b.ColdTime)},
		{"stage calls", strconv.FormatBool(b.Batch != nil)},
	}
	if b.Batch == nil {
		return properties
	}
	return append(properties,
		property{"slots", strconv.Itoa(b.Batch.Slots)}, property{"queue", strconv.Itoa(b.Batch.QueueCapacity)},
		property{"pieces in a call", strconv.Itoa(b.Batch.MaxPieces)}, property{"time of a call", formatTime(b.Batch.CallOverhead)},
		property{"time of a piece", formatTime(b.Batch.TimePerPiece)}, property{"bytes for results", formatLimit(b.Batch.ResultMemory)},
		property{"time results are kept", formatTime(b.Batch.ResultTTL)})
}

// sortedSubjects returns the subjects of both maps in alphabetical order.
func sortedSubjects(before, after map[string][]property) []string {
	subjects := slices.Concat(slices.Collect(maps.Keys(before)), slices.Collect(maps.Keys(after)))
	slices.SortFunc(subjects, cmp.Compare[string])
	return slices.Compact(subjects)
}

func formatPriority(priority *int) string {
	if priority == nil {
		return noValue
	}
	return strconv.Itoa(*priority)
}

func formatTime(value time.Duration) string {
	if value == 0 {
		return noValue
	}
	return value.String()
}

func formatLimit(value int64) string {
	if value == 0 {
		return noValue
	}
	return strconv.FormatInt(value, 10)
}

func formatNames(names []string) string {
	if len(names) == 0 {
		return noValue
	}
	return strings.Join(names, ", ")
}
