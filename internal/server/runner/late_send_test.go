package runner_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/admitter"
	"oriolemill.example/oriolemill/internal/server/estimator"
	"oriolemill.example/oriolemill/internal/server/limiter"
	"oriolemill.example/oriolemill/internal/server/picker"
	"oriolemill.example/oriolemill/internal/server/retrier"
	"oriolemill.example/oriolemill/internal/server/runner"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// leavingUpstreams are upstreams of which the first one that is picked leaves before the call
// is sent.
type leavingUpstreams struct {
	snapshot atomic.Pointer[server.Snapshot]
	hasLeft  bool
	// withheld and sent count the calls whose check failed and succeeded.
	withheld, sent int
}

// leaveBeforeSend lets the upstream leave, if it is the first one, and makes the check.
func (u *leavingUpstreams) leaveBeforeSend(upstream *server.Upstream, call server.Call) error {
	if !u.hasLeft {
		u.hasLeft = true
		current := u.snapshot.Load()
		upstreams := make(map[string][]*server.Upstream)
		for service, replicas := range current.Services() {
			for _, replica := range replicas {
				listing := server.Listing{ID: replica.ID(), Service: service, Datacentre: replica.Datacentre(), Presence: server.PresenceLive}
				if replica.ID() == upstream.ID() {
					listing.Presence = server.PresenceLeaving
				}
				upstreams[service] = append(upstreams[service], server.NewUpstream(listing, replica.Gauge()))
			}
		}
		u.snapshot.Store(server.NewSnapshot(current.TakenAt(), current, server.WithUpstreams(upstreams)))
	}
	if err := call.BeforeSend(); err != nil {
		u.withheld++
		return server.NewFault(call.Stage, upstream.ID(), err)
	}
	u.sent++
	return nil
}

func (u *leavingUpstreams) Operate(_ context.Context, upstream *server.Upstream, call server.Call) (server.Answer, server.SendState, error) {
	return server.Answer{Output: call.Input}, server.SendStateAnswered, u.leaveBeforeSend(upstream, call)
}

func (u *leavingUpstreams) OrderStatus(context.Context, *server.Upstream, string, string, uint64) (server.Answer, error) {
	return server.Answer{}, server.ErrNotFound
}

func (u *leavingUpstreams) Run(_ context.Context, upstream *server.Upstream, call server.Call) (server.Answer, error) {
	return server.Answer{Output: call.Input}, u.leaveBeforeSend(upstream, call)
}

func (u *leavingUpstreams) Generate(_ context.Context, upstream *server.Upstream, call server.Call, _ server.TokenHandler) (server.Answer, error) {
	return server.Answer{Output: call.Input}, u.leaveBeforeSend(upstream, call)
}

// TestCallIsNotSentToUpstreamThatLeftAfterThePick guards against work for leaving upstreams:
// the pick of an upstream was carried out although it had left since.
func TestCallIsNotSentToUpstreamThatLeftAfterThePick(t *testing.T) {
	for kind, calls := range map[string]int{"look": 1, "question": 3} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				timer := ticker.New()
				defer timer.Close()
				upstreams := &leavingUpstreams{}
				upstreams.snapshot.Store(newSnapshot(t, timer))
				estimates := estimator.New()
				observer := observers{&fakeUpstreams{random: rand.New(rand.NewPCG(1, 1))}}
				requestRunner, err := runner.New(runner.Dependencies{
					Picker: picker.New(nil), Admitter: admitter.New(timer, estimates), Limiter: limiter.New("i-0", timer, limiter.Standalone("i-0"), upstreams.snapshot.Load),
					Retrier: retrier.New(estimates), Orderer: noOrders{}, Pool: upstreams, Engine: upstreams, Service: upstreams, Observer: observer, Timer: timer,
					RequestBlocker: noBlocker{},
				}, upstreams.snapshot.Load)
				is.NoErr(err)
				request := newRequest(upstreams.snapshot.Load(), timer, 1)
				request.Kind = request.Contract.Kind(kind)
				is.NoErr(requestRunner.Run(t.Context(), request, nil).Err())
				is.Equal(upstreams.withheld, 1)
				is.Equal(upstreams.sent, calls)
			})
		})
	}
}
