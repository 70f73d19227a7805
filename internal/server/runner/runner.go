// Package runner runs a request through its state chart: limit and route, and then
// either admission and the stages of a pipeline, or an order, or a call. Every
// request ends in exactly one outcome.
package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/charter"
	"oriolemill.example/oriolemill/internal/server"
)

// chartName is the state chart of requests.
const chartName = "request"

// Dependencies are the dependencies of a Runner. All of them are required.
type Dependencies struct {
	Picker   server.Picker
	Admitter server.Admitter
	Limiter  server.Limiter
	Retrier  server.Retrier
	Orderer  server.Orderer
	Pool     server.Pool
	Engine   server.Engine
	Service  server.Service
	Observer server.Observer
	Timer    server.Timer
	// RequestBlocker knows the parts of prompts that crash engines.
	RequestBlocker server.RequestBlocker
	// UntilAvailable returns the time until the first of a service's upstreams takes requests, if all have
	// requested a pause; zero otherwise. It is nil if none does.
	UntilAvailable func([]*server.Upstream) time.Duration
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	dependencies Dependencies
	snapshot     func() *server.Snapshot
	machine      *charter.Machine[*run]
}

// New returns a Runner. snapshot returns the current snapshot.
func New(dependencies Dependencies, snapshot func() *server.Snapshot) (*Runner, error) {
	chart, err := charter.Load(chartName)
	if err != nil {
		return nil, err
	}
	machine, err := charter.NewMachine(chart, actions())
	if err != nil {
		return nil, err
	}
	return &Runner{dependencies: dependencies, snapshot: snapshot, machine: machine}, nil
}

// Result is the result of a request.
type Result struct {
	outcome   server.Outcome
	answer    server.Answer
	costs     map[string]server.Cost
	durations map[string]time.Duration
	err       error
}

// ResultOption sets a property of a Result.
type ResultOption func(*Result)

// WithCosts sets the cost per stage.
func WithCosts(costs map[string]server.Cost) ResultOption {
	return func(r *Result) { r.costs = costs }
}

// WithDurations sets the duration per stage.
func WithDurations(durations map[string]time.Duration) ResultOption {
	return func(r *Result) { r.durations = durations }
}

// NewResult returns the result of a request. err must be nil if and only if the
// outcome is OutcomeDone.
func NewResult(outcome server.Outcome, answer server.Answer, err error, options ...ResultOption) *Result {
	r := &Result{outcome: outcome, answer: answer, err: err}
	for _, option := range options {
		option(r)
	}
	return r
}

// Outcome returns the outcome of the request.
func (r *Result) Outcome() server.Outcome { return r.outcome }

// Answer returns the complete response. It is valid only if the outcome is
// OutcomeDone.
func (r *Result) Answer() server.Answer { return r.answer }

// Costs returns the cost per stage, including all attempts.
func (r *Result) Costs() map[string]server.Cost { return r.costs }

// Durations returns the duration of each stage, from when it was scheduled to its
// response.
func (r *Result) Durations() map[string]time.Duration { return r.durations }

// Err returns nil if the outcome is OutcomeDone, and otherwise the cause, which
// is a *server.Fault if the result comes from a Runner.
func (r *Result) Err() error { return r.err }

// Run runs a request until it ends or its deadline passes. It passes the tokens
// of the last stage to handleToken, which may be nil.
func (r *Runner) Run(ctx context.Context, request *server.Request, handleToken server.TokenHandler) *Result {
	ctx, cancel := context.WithDeadlineCause(ctx, request.Deadline, server.ErrDeadline)
	defer cancel()
	seed := request.ID
	current := &run{
		runner:      r,
		snapshot:    r.snapshot(),
		request:     request,
		handleToken: handleToken,
		random:      rand.New(rand.NewPCG(seedOf(seed[:8]), seedOf(seed[8:]))),
		costs:       make(map[string]server.Cost),
		durations:   make(map[string]time.Duration),
	}
	defer current.releaseResources()
	state, err := r.machine.Run(ctx, current, nil)
	if err != nil {
		current.err = err
		state = string(server.OutcomeUnknown)
	}
	return current.result(server.Outcome(state))
}

// seedOf returns up to eight bytes as a big-endian number.
func seedOf(bytes []byte) uint64 {
	var value uint64
	for _, b := range bytes {
		value = value<<8 | uint64(b)
	}
	return value
}

// upstreamRetryAfter is the suggested wait after upstream failures. By then,
// outliers have been ejected and replacements have been listed.
const upstreamRetryAfter = time.Second

// retryAfter returns the fault's own time after which to repeat the request, or
// else upstreamRetryAfter if the error is transient. It returns zero if a repeat
// is not suggested: after an unknown outcome, since the request may have run, or for
// a permanent error such as an invalid request.
func retryAfter(fault *server.Fault, outcome server.Outcome) time.Duration {
	if fault.RetryAfter() > 0 || outcome == server.OutcomeUnknown {
		return fault.RetryAfter()
	}
	for _, transient := range [...]error{
		server.ErrNoUpstream, server.ErrUnavailable, server.ErrOverload, server.ErrLeaving, server.ErrDeadline, server.ErrAttemptAbandoned, server.ErrMismatch,
	} {
		if errors.Is(fault, transient) {
			return upstreamRetryAfter
		}
	}
	return 0
}

// result returns the result of the request. The outcome of its error is always the
// final state of the chart.
func (c *run) result(outcome server.Outcome) *Result {
	costs := WithCosts(c.costs)
	durations := WithDurations(c.durations)
	if outcome == server.OutcomeDone {
		return NewResult(outcome, c.answer, nil, costs, durations)
	}
	err := c.err
	if err == nil {
		err = merry.New("no cause recorded")
	}
	fault := &server.Fault{}
	if errors.As(err, &fault) {
		err = server.NewFault(fault.Step(), fault.Peer(), fault.Unwrap(), server.WithOutcome(outcome), server.WithRetryAfter(retryAfter(fault, outcome)))
	} else {
		err = server.NewFault("request", "", err, server.WithOutcome(outcome))
	}
	return NewResult(outcome, server.Answer{}, err, costs, durations)
}
