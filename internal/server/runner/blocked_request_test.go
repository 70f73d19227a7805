package runner_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/admitter"
	"oriolemill.example/oriolemill/internal/server/blocker"
	"oriolemill.example/oriolemill/internal/server/estimator"
	"oriolemill.example/oriolemill/internal/server/limiter"
	"oriolemill.example/oriolemill/internal/server/picker"
	"oriolemill.example/oriolemill/internal/server/retrier"
	"oriolemill.example/oriolemill/internal/server/runner"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// badInput is the input of the request that crashes pools.
const badInput = "bad input"

// crashingPools crash on calls for the request with badInput.
type crashingPools struct {
	*fakeUpstreams
	mu        sync.Mutex
	crashedAt []time.Time
}

func (p *crashingPools) Run(ctx context.Context, upstream *server.Upstream, call server.Call) (server.Answer, error) {
	if err := call.BeforeSend(); err != nil {
		return server.Answer{}, server.NewFault(call.Stage, upstream.ID(), err)
	}
	if !strings.Contains(string(call.Input), badInput) {
		return p.fakeUpstreams.Run(ctx, upstream, call)
	}
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashedAt = append(p.crashedAt, time.Now())
	return server.Answer{}, server.NewFault(call.Stage, upstream.ID(), errors.Join(server.ErrUnavailable, server.ErrConnectionLost))
}

// TestRequestThatCrashesPoolsIsBlocked guards against one request of a pipeline that comes again and
// crashes one replica of a pool after the other, also by hedges and retries.
func TestRequestThatCrashesPoolsIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const allowedRequestCrashes = 3
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		snapshot := newSnapshot(t, timer)
		upstreams := &crashingPools{fakeUpstreams: &fakeUpstreams{random: rand.New(rand.NewPCG(1, 1))}}
		estimates := estimator.New()
		requestBlocker := blocker.New(logr.Discard(), timer, noLinks{}, blocker.WithRestartTime(500*time.Millisecond))
		defer requestBlocker.Close()
		requestRunner, err := runner.New(runner.Dependencies{
			Picker: picker.New(nil), Admitter: admitter.New(timer, estimates), Limiter: limiter.New("i-0", timer, limiter.Standalone("i-0"), func() *server.Snapshot { return snapshot }),
			Retrier: retrier.New(estimates), Orderer: noOrders{}, Pool: upstreams, Engine: upstreams, Service: upstreams, Observer: observers{upstreams}, Timer: timer,
			RequestBlocker: requestBlocker,
		}, func() *server.Snapshot { return snapshot })
		is.NoErr(err)
		run := func(i int, text string) error {
			request := newRequest(snapshot, timer, i)
			request.Input, _ = json.Marshal(text)
			return requestRunner.Run(t.Context(), request, nil).Err()
		}
		served := 0
		for i := range 60 {
			time.Sleep(200 * time.Millisecond)
			if run(2*i, fmt.Sprint("good ", i)) == nil {
				served++
			}
			is.True(run(2*i+1, badInput) != nil)
		}
		late := 0
		for _, at := range upstreams.crashedAt {
			if at.Sub(upstreams.crashedAt[allowedRequestCrashes-1]) > 3*time.Second {
				late++
			}
		}
		is.True(late <= maxLateCalls)
		is.True(served >= 54)
		blocked := run(1000, badInput)
		is.True(errors.Is(blocked, server.ErrRequestBlocked))
		var fault *server.Fault
		is.True(errors.As(blocked, &fault) && fault.RetryAfter() > time.Second)
	})
}
