package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/client"
)

// States of an instance.
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateStopping = "stopping"
)

// stateEjected is the state of an upstream that is ejected as an outlier.
const stateEjected = "ejected"

// State returns starting, ready or stopping.
func (o *Operator) State() string {
	switch {
	case o.isStopping.Load():
		return stateStopping
	case o.dependencies.Snapshot().Version() == 0:
		return stateStarting
	default:
		return stateReady
	}
}

func (o *Operator) serveHealth(_ context.Context, c *app.RequestContext) {
	c.String(http.StatusOK, "ok\n")
}

// serveReady responds with 503 until a version is active, and while the
// instance is stopping.
func (o *Operator) serveReady(_ context.Context, c *app.RequestContext) {
	state := o.State()
	if state != stateReady {
		if reason := o.notReadyReason(); reason != "" {
			state += "\n" + reason
		}
		c.String(http.StatusServiceUnavailable, "%s", state+"\n")
		return
	}
	c.String(http.StatusOK, state+"\n")
}

func (o *Operator) serveStatus(_ context.Context, c *app.RequestContext) {
	writeJSON(c, http.StatusOK, "application/json", o.Status())
}

// Status returns the current status of the instance.
func (o *Operator) Status() client.Status {
	snapshot := o.dependencies.Snapshot()
	status := client.Status{
		ID:         o.dependencies.ID,
		Datacentre: snapshot.Datacentre(),
		Version:    snapshot.Version(),
		State:      o.State(),
		TableState: o.tableState(),
		TakenAt:    snapshot.TakenAt(),
		Members:    toClientMembers(snapshot),
		Services:   toClientServices(snapshot, o.dependencies.Now()),
	}
	if deployment := snapshot.Deployment(); deployment != nil {
		status.Deployment = deployment.Name()
	}
	return status
}

// toClientMembers returns the other instances, sorted by ID.
func toClientMembers(snapshot *server.Snapshot) []client.Member {
	members := make([]client.Member, 0, len(snapshot.Members()))
	for _, member := range snapshot.Members() {
		members = append(members, client.Member{
			ID:          member.Listing.ID,
			Datacentre:  member.Listing.Datacentre,
			Address:     member.Listing.Address,
			Presence:    string(member.Listing.Presence),
			IsReachable: member.IsReachable,
			Version:     member.Version,
		})
	}
	slices.SortFunc(members, func(a, b client.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// toClientServices returns the services and their replicas, sorted by name and ID.
func toClientServices(snapshot *server.Snapshot, now time.Time) []client.Service {
	services := make([]client.Service, 0)
	for name, upstreams := range snapshot.Services() {
		service := client.Service{Name: name, Replicas: make([]client.Replica, 0, len(upstreams))}
		for _, upstream := range upstreams {
			service.Replicas = append(service.Replicas, toClientReplica(upstream, now))
		}
		slices.SortFunc(service.Replicas, func(a, b client.Replica) int { return cmp.Compare(a.ID, b.ID) })
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b client.Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

// toClientReplica returns the state of an upstream and the counters of its gauge.
func toClientReplica(upstream *server.Upstream, now time.Time) client.Replica {
	load := upstream.Load()
	replica := client.Replica{
		ID:              upstream.ID(),
		Datacentre:      upstream.Datacentre(),
		Address:         upstream.Address(),
		State:           string(server.PresenceLive),
		Running:         load.Running,
		Waiting:         load.Waiting,
		Slots:           load.Slots,
		ReportAgeMillis: -1,
		Inflight:        upstream.Gauge().Inflight(),
		SentAttempts:    upstream.Gauge().SentAttempts(),
		FailedAttempts:  upstream.Gauge().FailedAttempts(),
	}
	switch {
	case upstream.IsLeaving():
		replica.State = string(server.PresenceLeaving)
	case upstream.IsEjected():
		replica.State = stateEjected
	}
	if !load.ReportedAt.IsZero() {
		replica.ReportAgeMillis = now.Sub(load.ReportedAt).Milliseconds()
	}
	return replica
}
