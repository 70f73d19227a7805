package relayer

import (
	"context"
	"errors"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// findOrigin finds the service and version of the stream that the client resumes, so that the
// rest of it is sent there. It reports whether the request goes on: without a replica of that
// version the stream cannot.
func (f *relayedRequest) findOrigin() bool {
	if f.route.Kind != server.RouteKindStream || f.info.LastEventID == "" {
		return true
	}
	var origin server.StreamOrigin
	var ok bool
	if f.info.ResumedID != "" {
		origin, ok = f.Origins.Find(f.ctx, f.info.ResumedID)
	}
	if !ok {
		origin, ok = f.onlyOrigin()
	}
	switch {
	case context.Cause(f.ctx) != nil && errors.Is(context.Cause(f.ctx), context.Canceled):
		return f.endDisconnected("client disconnected before the stream's version was known")
	case !ok:
		return f.refuse("no instance knows which software version began the stream", refusedRetryAfter)
	case !slices.ContainsFunc(f.route.Targets, func(t server.RouteTarget) bool { return t.Service == origin.Service && t.Weight > 0 }):
		return f.refuse("the stream began at a service that the route no longer leads to", refusedRetryAfter)
	}
	f.origin, f.service = &origin, origin.Service
	if len(f.candidates()) == 0 {
		return f.refuse("no replica of the version that began the stream is left", refusedRetryAfter)
	}
	return true
}

// MaxStreamAge is how long after its first event a stream may be resumed. A client may try more than
// once, so its tries together may outlast the timeout of the route. pinner keeps origins as long.
const MaxStreamAge = time.Minute

// onlyOrigin returns the service and version that began the stream of a client that does not
// name its attempt, or names one that no instance knows any more: the version that all replicas of the service have had since before the
// stream can have begun. That this instance knows of no other version is not enough: it may have lost
// contact while others already used it. So the store must confirm it.
func (f *relayedRequest) onlyOrigin() (origin server.StreamOrigin, ok bool) {
	if !hasOnlyTarget(f.route) {
		return server.StreamOrigin{}, false // another service may have begun it
	}
	since := f.arrivedAt.Add(-f.MaxStreamAge)
	if _, ok := f.view.OnlyVersion(f.service, since); !ok {
		f.RestorePeriods(f.ctx)
		if _, ok := f.View().OnlyVersion(f.service, since); !ok {
			return server.StreamOrigin{}, false
		}
	}
	view, err := f.ConfirmView(f.ctx, since)
	if err != nil {
		f.Log.Info("the only version of a service is not confirmed", "request", loggedText(f.info.ID), "service", f.service, "cause", err.Error())
		return server.StreamOrigin{}, false
	}
	f.view = view
	version, ok := view.OnlyVersion(f.service, since)
	return server.StreamOrigin{Service: f.service, Version: version}, ok
}

// hasOnlyTarget reports whether a route leads to one service only.
func hasOnlyTarget(route *server.Route) bool {
	count := 0
	for _, target := range route.Targets {
		if target.Weight > 0 {
			count++
		}
	}
	return count == 1
}

// candidates returns the replicas of the service that may get the request by the current view:
// those in its allowed regions, and once a stream has begun, those of the software version that began it, since events of two
// versions do not fit together.
func (f *relayedRequest) candidates() []server.Replica {
	replicas := f.allowedReplicas(f.service)
	if f.origin == nil {
		return replicas
	}
	var ofVersion []server.Replica
	for n := range replicas {
		if replicas[n].Version == f.origin.Version {
			ofVersion = append(ofVersion, replicas[n])
		}
	}
	return ofVersion
}

// hasReplicaLeft reports whether a candidate is left to which the request was not sent.
func (f *relayedRequest) hasReplicaLeft() bool {
	f.view = f.View()
	return slices.ContainsFunc(f.candidates(), func(r server.Replica) bool { return !slices.Contains(f.attempted, r.ID) })
}
