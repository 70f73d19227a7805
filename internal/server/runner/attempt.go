package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/parser"
)

// attempt is one call of a stage to one upstream.
type attempt struct {
	stage     parser.Stage
	upstream  *server.Upstream
	call      server.Call
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelCauseFunc
	// firstTokenLatency is the time to the first token; zero before it arrives.
	firstTokenLatency time.Duration
	tokenCount        int
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	attempt *attempt
	answer  server.Answer
	err     error
}

// beginAttempt picks an upstream, adds it to the attempted ones of the pick request
// and counts the attempt.
func (c *run) beginAttempt(ctx context.Context, stage parser.Stage, call *server.Call, pickRequest *server.PickRequest) (*attempt, error) {
	if err := c.checkBlocked(pickRequest); err != nil {
		return nil, err
	}
	parts := c.runner.dependencies
	now := parts.Timer.Now()
	upstream := parts.Picker.Pick(c.runner.snapshot(), pickRequest, now, c.random)
	if upstream == nil {
		return nil, c.noUpstream(pickRequest)
	}
	pickRequest.AttemptedUpstreams = append(pickRequest.AttemptedUpstreams, upstream.ID())
	c.upstreamPicked = true
	a := &attempt{stage: stage, upstream: upstream, call: *call, startedAt: now}
	a.call.AttemptID = server.NewID()
	// The snapshot may be outdated; an engine rejects a model that it does not have.
	a.call.Model, _ = upstream.ServingModel(pickRequest.Model)
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.call.BeforeSend = func() error {
		if err := c.runner.checkSend(a.ctx, upstream, call.Deadline); err != nil {
			return err
		}
		return c.checkBlocked(pickRequest)
	}
	c.costs[stage.Name()] = c.costs[stage.Name()].Add(server.Cost{Calls: 1})
	upstream.Gauge().Begin()
	return a, nil
}

// noUpstream returns the error of an attempt for which no upstream is left, with the time until one takes
// requests if all have requested a pause.
func (c *run) noUpstream(pickRequest *server.PickRequest) error {
	var wait time.Duration
	if untilAvailable := c.runner.dependencies.UntilAvailable; untilAvailable != nil {
		wait = untilAvailable(c.runner.snapshot().Upstreams(pickRequest.Service))
	}
	return server.NewFault(pickRequest.Stage, pickRequest.Service, server.ErrNoUpstream, server.WithRetryAfter(wait))
}

// checkBlocked returns server.ErrRequestBlocked if the call, or a part of its prompt, crashes upstreams.
func (c *run) checkBlocked(pickRequest *server.PickRequest) error {
	wait, part := c.runner.dependencies.RequestBlocker.BlockedFor(pickRequest.Content)
	if wait == 0 {
		return nil
	}
	return server.NewFault(pickRequest.Stage, pickRequest.Service, merry.Prepend(server.ErrRequestBlocked, part), server.WithRetryAfter(wait))
}

// recordContent records for what a call holds how an attempt at an upstream ended.
func (c *run) recordContent(upstream *server.Upstream, pickRequest *server.PickRequest, err error) {
	switch {
	case err == nil:
		c.runner.dependencies.RequestBlocker.RecordCompletion(pickRequest.Service, pickRequest.Content)
	case errors.Is(err, server.ErrConnectionLost):
		c.runner.dependencies.RequestBlocker.RecordCrash(pickRequest.Service, upstream.ID(), pickRequest.Content, time.Time{})
	}
}

// checkSend returns an error if an attempt must not be sent any more: it was cancelled, its
// deadline has passed, or the upstream has left since it was picked. It is called right
// before the first byte is sent; the timer of the deadline may be late.
func (r *Runner) checkSend(ctx context.Context, upstream *server.Upstream, deadline time.Time) error {
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case !deadline.IsZero() && !r.dependencies.Timer.Now().Before(deadline):
		return server.ErrDeadline
	case !r.snapshot().IsServing(upstream):
		return server.ErrLeaving
	default:
		return nil
	}
}

// endAttempt adds the cost of an attempt and reports the attempt to the observer.
// An attempt that failed because the request's context ended is not reported,
// since its failure says nothing about the upstream.
func (c *run) endAttempt(ctx context.Context, r attemptResult) {
	cost := r.answer.Cost
	cost.Calls = 0
	name := r.attempt.stage.Name()
	c.costs[name] = c.costs[name].Add(cost)
	if r.err != nil && ctx.Err() != nil {
		return
	}
	c.observeAttempt(r)
}

// observeAttempt reports an attempt to the observer.
func (c *run) observeAttempt(r attemptResult) {
	now := c.runner.dependencies.Timer.Now()
	a := r.attempt
	c.runner.dependencies.Observer.Observe(server.Observation{
		Stage: a.stage.Name(), Service: a.stage.Service(), Upstream: a.upstream.ID(),
		InputBytes: len(a.call.Input), SizeClass: c.request.SizeClass(), Duration: now.Sub(a.startedAt), FirstTokenDelay: a.firstTokenLatency,
		Tokens: a.tokenCount, OK: r.err == nil, Err: r.err, EndTime: now,
	})
}

// hedgeDelay returns the time after which an attempt counts as slow, or false if
// it never does.
func (c *run) hedgeDelay(stage parser.Stage) (time.Duration, bool) {
	return c.runner.dependencies.Retrier.Hedge(stage.Name(), stage.Service(), c.request.SizeClass(), c.runner.dependencies.Timer.Now())
}

// attemptStage makes one attempt of a stage. A slow attempt is hedged at pools; at
// engines it is cancelled, so that the stream moves to another engine.
func (c *run) attemptStage(ctx context.Context, stage parser.Stage, call *server.Call, pickRequest *server.PickRequest) (server.Answer, error) {
	if stage.Role() == parser.RoleEngine {
		return c.generate(ctx, stage, call, pickRequest)
	}
	a, err := c.beginAttempt(ctx, stage, call, pickRequest)
	if err != nil {
		return server.Answer{}, err
	}
	delay, ok := c.hedgeDelay(stage)
	if !ok {
		r := c.runner.sendToPool(a)
		c.endAttempt(ctx, r)
		c.recordContent(r.attempt.upstream, pickRequest, r.err)
		return r.answer, r.err
	}
	return c.attemptWithHedge(ctx, a, call, pickRequest, delay)
}

// sendToPool runs an attempt at a pool. It does not access the state of the
// request, so that a late response to a cancelled attempt has no effect.
func (r *Runner) sendToPool(a *attempt) attemptResult {
	answer, err := r.dependencies.Pool.Run(a.ctx, a.upstream, a.call)
	a.upstream.Gauge().End(err == nil)
	a.cancel(nil)
	return attemptResult{attempt: a, answer: answer, err: err}
}

// attemptWithHedge starts a second attempt if the first one takes longer than the
// delay. It returns the first complete response and cancels the other attempt.
func (c *run) attemptWithHedge(ctx context.Context, a *attempt, call *server.Call, pickRequest *server.PickRequest, delay time.Duration) (server.Answer, error) {
	results := make(chan attemptResult, 2)
	slow := make(chan struct{}, 1)
	stop := c.runner.dependencies.Timer.After(delay, func(time.Time) { slow <- struct{}{} })
	defer stop()
	pending := []*attempt{a}
	go func() { results <- c.runner.sendToPool(a) }()
	for {
		select {
		case r := <-results:
			pending = slices.DeleteFunc(pending, func(a *attempt) bool { return a == r.attempt })
			c.endAttempt(ctx, r)
			c.recordContent(r.attempt.upstream, pickRequest, r.err)
			if r.err != nil && len(pending) > 0 {
				continue
			}
			c.cancelSlower(pending)
			return r.answer, r.err
		case <-slow:
			if hedge := c.beginHedge(ctx, a, call, pickRequest); hedge != nil {
				pending = append(pending, hedge)
				go func() { results <- c.runner.sendToPool(hedge) }()
			}
		}
	}
}

// beginHedge begins a second attempt at another upstream. It returns nil if the
// request's context has ended, the retry budget is used up or no upstream is
// available.
func (c *run) beginHedge(ctx context.Context, a *attempt, call *server.Call, pickRequest *server.PickRequest) *attempt {
	if ctx.Err() != nil || !c.runner.dependencies.Retrier.AcquireRetry(a.stage.Service(), c.runner.dependencies.Timer.Now()) {
		return nil
	}
	hedge, err := c.beginAttempt(ctx, a.stage, call, pickRequest)
	if err != nil {
		return nil
	}
	return hedge
}

// cancelSlower cancels the remaining attempts and reports them as slow.
func (c *run) cancelSlower(pending []*attempt) {
	for _, a := range pending {
		a.cancel(server.ErrAttemptAbandoned)
		c.observeAttempt(attemptResult{attempt: a, err: server.ErrAttemptAbandoned})
	}
}

// generate makes one attempt at an engine, which continues after the tokens
// already streamed. An attempt that takes too long is cancelled if the retry
// budget allows, so that the next attempt moves the stream to another engine.
func (c *run) generate(ctx context.Context, stage parser.Stage, call *server.Call, pickRequest *server.PickRequest) (server.Answer, error) {
	a, err := c.beginAttempt(ctx, stage, call, pickRequest)
	if err != nil {
		return server.Answer{}, err
	}
	defer a.cancel(nil)
	if delay, ok := c.hedgeDelay(stage); ok {
		defer c.runner.dependencies.Timer.After(delay, func(now time.Time) {
			if c.runner.dependencies.Retrier.AcquireRetry(stage.Service(), now) {
				a.cancel(server.ErrAttemptAbandoned)
			}
		})()
	}
	a.call.ResumePrefix = c.streamedTokens
	answer, err := c.runner.dependencies.Engine.Generate(a.ctx, a.upstream, a.call, func(token server.Token) error {
		if a.tokenCount == 0 {
			a.firstTokenLatency = c.runner.dependencies.Timer.Now().Sub(a.startedAt)
		}
		a.tokenCount++
		c.streamedTokens = append(c.streamedTokens, token.Text)
		if c.handleToken != nil && c.stageIndex == len(c.stages)-1 {
			return c.handleToken(token)
		}
		return nil
	})
	a.upstream.Gauge().End(err == nil)
	c.endAttempt(ctx, attemptResult{attempt: a, answer: answer, err: err})
	c.recordContent(a.upstream, pickRequest, err)
	if err == nil {
		c.streamedTokens = nil
		return answer, nil
	}
	if len(c.streamedTokens) > 0 {
		// A stream continues with the versions of model and software that it began with.
		version := a.upstream.Version()
		pickRequest.Model, pickRequest.Version = a.call.Model, &version
	}
	return answer, err
}
