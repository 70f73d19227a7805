// Package admitter decides which requests may run, and in what order.
//
// A request waits in one queue before its first stage, so that no stage runs for
// it until the bottleneck of its pipeline has capacity. After that, each service
// has its own concurrency limit, which keeps the queues at the upstreams short.
package admitter

import (
	"context"
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/estimator"
	"oriolemill.example/oriolemill/pkg/parser"
)

// StageEstimator estimates how long stages take.
type StageEstimator interface {
	// EstimateStage returns the estimate for one stage at a service and a size class.
	EstimateStage(stage, service string, class int) estimator.Estimate
}

// Admitter admits requests that can still meet their deadline. It implements
// server.Admitter and is safe for concurrent use.
type Admitter struct {
	timer     server.Timer
	estimates StageEstimator

	mu     sync.Mutex
	limits map[limitKey]*concurrencyLimit
}

// limitKey identifies a concurrency limit: with isEntry that of requests whose
// bottleneck is the service, otherwise that of attempts at the service.
type limitKey struct {
	service string
	isEntry bool
}

// New returns an Admitter.
func New(timer server.Timer, estimates StageEstimator) *Admitter {
	return &Admitter{timer: timer, estimates: estimates, limits: make(map[limitKey]*concurrencyLimit)}
}

// concurrencyLimit returns the limit of a key and creates it if needed.
func (a *Admitter) concurrencyLimit(service string, isEntry bool) *concurrencyLimit {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := limitKey{service: service, isEntry: isEntry}
	g := a.limits[key]
	if g == nil {
		g = &concurrencyLimit{}
		a.limits[key] = g
	}
	return g
}

// Admit implements server.Admitter.
func (a *Admitter) Admit(_ context.Context, snapshot *server.Snapshot, request *server.Request) (server.Grant, error) {
	now := a.timer.Now()
	stages := snapshot.Deployment().Pipeline(request.Kind.Pipeline()).Stages()
	forecast := newForecast(a.estimates, stages, request)
	entryLimit := a.concurrencyLimit(forecast.bottleneck.Service(), true)
	window := newWindow(snapshot, forecast, entryLimit)
	waitEstimate := entryLimit.waitEstimate(window, request)
	if waitEstimate > 0 {
		// The window is full, so the stages take longer as well.
		waitEstimate += max(window.residenceTime-sumFrom(forecast.typicalDurations, 0), 0)
	}
	if decision := decide(now, request, forecast, waitEstimate); !decision.isAdmitted {
		return nil, server.NewFault("admit", "", decision.cause,
			server.WithOutcome(server.OutcomeNotRun), server.WithRetryAfter(decision.retryAfter))
	}
	return &grant{admitter: a, snapshot: snapshot, request: request, stages: stages, forecast: forecast, entryLimit: entryLimit, window: window}, nil
}

// forecast is the time that each stage of a request is expected to take, as a
// typical and as a high estimate.
type forecast struct {
	typicalDurations []time.Duration
	highDurations    []time.Duration
	bottleneck       parser.Stage
	bottleneckIndex  int
}

// newForecast estimates the stages and finds the bottleneck, which is the stage that
// takes longest.
func newForecast(estimates StageEstimator, stages []parser.Stage, request *server.Request) *forecast {
	f := &forecast{typicalDurations: make([]time.Duration, len(stages)), highDurations: make([]time.Duration, len(stages)), bottleneckIndex: len(stages) - 1}
	class := request.SizeClass()
	for i, stage := range stages {
		estimate := estimates.EstimateStage(stage.Name(), stage.Service(), class)
		f.typicalDurations[i], f.highDurations[i] = estimate.Median, estimate.P95
		if f.typicalDurations[i] > f.typicalDurations[f.bottleneckIndex] {
			f.bottleneckIndex = i
		}
	}
	f.bottleneck = stages[f.bottleneckIndex]
	return f
}

// sumFrom returns the sum of the times from stage i on.
func sumFrom(times []time.Duration, i int) time.Duration {
	var sum time.Duration
	for _, t := range times[i:] {
		sum += t
	}
	return sum
}

// decision is the result of decide: admitted, or refused with a cause.
type decision struct {
	isAdmitted bool
	cause      error
	retryAfter time.Duration
}

// minRetryAfter is the shortest retry delay returned to a refused client.
const minRetryAfter = 100 * time.Millisecond

// decide refuses a request that cannot finish in time after the given wait. Patient
// requests are admitted only if even the high estimate fits, since their results must be
// complete.
func decide(now time.Time, request *server.Request, f *forecast, wait time.Duration) decision {
	remaining := request.Deadline.Sub(now)
	if remaining <= 0 {
		return decision{cause: server.ErrDeadline, retryAfter: minRetryAfter}
	}
	requiredTime := f.requiredTime(request.Priority)
	if requiredTime+wait <= remaining {
		return decision{isAdmitted: true}
	}
	// The queue must shrink by the excess before such a request fits.
	return decision{cause: server.ErrOverload, retryAfter: max(requiredTime+wait-remaining, minRetryAfter)}
}

// requiredTime returns the time that all stages take without waiting: the high
// estimate for patient requests, else the typical one.
func (f *forecast) requiredTime(priority server.Priority) time.Duration {
	if priority == server.PriorityPatient {
		return sumFrom(f.highDurations, 0)
	}
	return sumFrom(f.typicalDurations, 0)
}

// grant implements server.Grant. It is not safe for concurrent use.
type grant struct {
	admitter   *Admitter
	snapshot   *server.Snapshot
	request    *server.Request
	stages     []parser.Stage
	forecast   *forecast
	entryLimit *concurrencyLimit
	window     admissionWindow
	hasEntered bool
}

// AcquireStage implements server.Grant. Before the first stage it waits for admission to the
// window, then for the concurrency limit of the stage's service.
func (g *grant) AcquireStage(ctx context.Context, i int) (func(), error) {
	if !g.hasEntered {
		err := g.entryLimit.acquire(ctx, g.admitter.timer, g.window.maxRequests, g.newItem(sumFrom(g.forecast.typicalDurations, 0)), g.latestEntry())
		if err != nil {
			return nil, g.refuse(err)
		}
		g.hasEntered = true
	}
	stage := g.stages[i]
	serviceLimit := g.admitter.concurrencyLimit(stage.Service(), false)
	it := g.newItem(g.forecast.typicalDurations[i])
	g.prioritizeStarted(it, i)
	if err := serviceLimit.acquire(ctx, g.admitter.timer, g.attemptLimit(serviceLimit, stage), it, g.latestStageStart(i)); err != nil {
		return nil, err
	}
	return func() { serviceLimit.release(g.admitter.timer.Now()) }, nil
}

// prioritizeStarted changes the item of a request that is past its first stage: a patient
// request gets normal priority, and the time of arrival at the stage takes the place of
// the deadline. So later requests cannot delay it indefinitely.
func (g *grant) prioritizeStarted(it *item, i int) {
	if i == 0 {
		return
	}
	it.priority = min(it.priority, server.PriorityNormal)
	it.deadline = g.admitter.timer.Now()
}

// refuse returns the error for a request dropped before its first stage, with a
// retry delay.
func (g *grant) refuse(err error) error {
	waitEstimate := g.entryLimit.waitEstimate(g.window, g.request)
	return server.NewFault("admit", "", err, server.WithOutcome(server.OutcomeNotRun), server.WithRetryAfter(max(waitEstimate, minRetryAfter)))
}

// newItem returns a queue item for the request. cost is the expected time for which it
// uses its slot.
func (g *grant) newItem(cost time.Duration) *item {
	return &item{
		workspace: g.request.Workspace, share: g.request.Contract.Share(), priority: g.request.Priority,
		deadline: g.request.Deadline, cost: max(cost, time.Millisecond), result: make(chan error, 1), index: -1,
	}
}

// latestStageStart returns the latest time at which stage i can start so that the
// request finishes by its deadline.
func (g *grant) latestStageStart(i int) time.Time {
	return g.request.Deadline.Add(-sumFrom(g.forecast.typicalDurations, i))
}

// latestEntry returns the latest time at which the first stage may start. It leaves
// time for the high estimate or for the residence time of a full window, whichever is
// longer: the work of all stages is wasted if a request misses its deadline by little.
// Patient requests, whose results must be complete, get the high estimate plus the
// additional time that a full window causes.
func (g *grant) latestEntry() time.Time {
	high, full := sumFrom(g.forecast.highDurations, 0), g.window.residenceTime
	if g.request.Priority == server.PriorityPatient {
		high += max(full-sumFrom(g.forecast.typicalDurations, 0), 0)
	}
	return g.request.Deadline.Add(-max(high, full))
}

// attemptLimit returns the number of attempts that the instance may have at the
// stage's service at a time.
func (g *grant) attemptLimit(serviceLimit *concurrencyLimit, stage parser.Stage) int {
	return attemptLimit(serviceLimit.slots(g.snapshot, stage.Service()))
}

// StageDeadline implements server.Grant.
func (g *grant) StageDeadline(i int, _ time.Time) time.Time {
	return g.request.Deadline.Add(-sumFrom(g.forecast.typicalDurations, i+1))
}

// Close implements server.Grant.
func (g *grant) Close() {
	if g.hasEntered {
		g.hasEntered = false
		g.entryLimit.release(g.admitter.timer.Now())
	}
}
