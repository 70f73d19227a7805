package runner_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/admitter"
	"oriolemill.example/oriolemill/internal/server/estimator"
	"oriolemill.example/oriolemill/internal/server/indexer"
	"oriolemill.example/oriolemill/internal/server/picker"
	"oriolemill.example/oriolemill/internal/server/retrier"
	"oriolemill.example/oriolemill/internal/server/runner"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// instantUpstreams fakes all upstreams and responds immediately.
type instantUpstreams struct{}

func (instantUpstreams) Run(_ context.Context, _ *server.Upstream, call server.Call) (server.Answer, error) {
	return server.Answer{Output: call.Input}, nil
}

func (instantUpstreams) Generate(_ context.Context, _ *server.Upstream, call server.Call, _ server.TokenHandler) (server.Answer, error) {
	return server.Answer{Output: call.Input}, nil
}

// BenchmarkRun runs complete requests against upstreams that respond immediately.
// The difference between the two variants is the cost of the scheduling policy.
func BenchmarkRun(b *testing.B) {
	timer := ticker.New()
	defer timer.Close()
	estimates := estimator.New()
	retryPolicy := retrier.New(estimates)
	full := runner.Dependencies{
		Picker: picker.New(indexer.New(indexer.DefaultBytes)), Admitter: admitter.New(timer, estimates), Retrier: retryPolicy,
		Observer: observers{estimates, retryPolicy},
	}
	baseline := runner.Dependencies{Picker: picker.NewRoundRobin(), Admitter: admitter.NewUnlimited(), Retrier: retrier.NewImmediate(), Observer: observers{}}
	for name, dependencies := range map[string]runner.Dependencies{"full": full, "baseline": baseline} {
		b.Run(name, func(b *testing.B) {
			dependencies.Limiter, dependencies.Orderer, dependencies.Pool, dependencies.Engine, dependencies.Timer, dependencies.RequestBlocker = unlimited{}, noOrders{}, instantUpstreams{}, instantUpstreams{}, timer, noBlocker{}
			snapshot := newSnapshot(b, timer)
			requestRunner, err := runner.New(dependencies, func() *server.Snapshot { return snapshot })
			is.New(b).NoErr(err)
			begin := time.Now()
			for i := range b.N {
				if result := requestRunner.Run(context.Background(), newRequest(snapshot, timer, i), nil); result.Err() != nil {
					b.Fatalf("request %d failed: %v", i, result.Err())
				}
			}
			b.ReportMetric(float64(time.Since(begin).Microseconds())/float64(b.N), "us/request")
		})
	}
}
