package runner_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

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

// suspendedTimer is a Timer of a process that was suspended for a time: its clock is ahead of the
// timers, which have not fired yet.
type suspendedTimer struct {
	server.Timer
	suspended atomic.Int64 // in nanoseconds
}

func (t *suspendedTimer) Now() time.Time { return t.Timer.Now().Add(time.Duration(t.suspended.Load())) }

// suspendingUpstreams suspend the process until after the deadline, right before a call is sent.
type suspendingUpstreams struct {
	leavingUpstreams
	timer *suspendedTimer
	sent  int
}

func (u *suspendingUpstreams) send(call server.Call) error {
	u.timer.suspended.Store(int64(time.Hour))
	if err := call.BeforeSend(); err != nil {
		return server.NewFault(call.Stage, "", err)
	}
	u.sent++
	return nil
}

func (u *suspendingUpstreams) Operate(_ context.Context, _ *server.Upstream, call server.Call) (server.Answer, server.SendState, error) {
	return server.Answer{Output: call.Input}, server.SendStateAnswered, u.send(call)
}

func (u *suspendingUpstreams) Run(_ context.Context, _ *server.Upstream, call server.Call) (server.Answer, error) {
	return server.Answer{Output: call.Input}, u.send(call)
}

// TestCallIsNotSentAfterItsDeadline guards against work for callers that have left: the timer of
// the deadline fires late in a process that was suspended.
func TestCallIsNotSentAfterItsDeadline(t *testing.T) {
	for _, kind := range []string{"look", "question"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				timer := &suspendedTimer{Timer: ticker.New()}
				defer timer.Timer.(*ticker.Ticker).Close()
				upstreams := &suspendingUpstreams{timer: timer}
				upstreams.snapshot.Store(newSnapshot(t, timer))
				estimates := estimator.New()
				requestRunner, err := runner.New(runner.Dependencies{
					Picker: picker.New(nil), Admitter: admitter.New(timer, estimates), Limiter: limiter.New("i-0", timer, limiter.Standalone("i-0"), upstreams.snapshot.Load),
					Retrier: retrier.New(estimates), Orderer: noOrders{}, Pool: upstreams, Engine: upstreams, Service: upstreams,
					Observer: observers{&fakeUpstreams{random: rand.New(rand.NewPCG(1, 1))}}, Timer: timer, RequestBlocker: noBlocker{},
				}, upstreams.snapshot.Load)
				is.NoErr(err)
				request := newRequest(upstreams.snapshot.Load(), timer, 1)
				request.Kind = request.Contract.Kind(kind)
				is.True(errors.Is(requestRunner.Run(t.Context(), request, nil).Err(), server.ErrDeadline))
				is.Equal(upstreams.sent, 0)
			})
		})
	}
}
