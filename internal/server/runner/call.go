package runner

import (
	"context"
	"errors"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// callRun runs a call of a plain service that may be repeated. It needs no claim in
// the table and is retried like a stage.
func callRun(ctx context.Context, c *run) string {
	begin := c.runner.dependencies.Timer.Now()
	answer, err := c.runCall(ctx)
	c.durations[c.request.Kind.Operation()] = c.runner.dependencies.Timer.Now().Sub(begin)
	if err != nil {
		c.err = err
		return c.failureTrigger()
	}
	c.answer = answer
	return triggerAnswered
}

// runCall runs the call with retries.
func (c *run) runCall(ctx context.Context) (server.Answer, error) {
	kind := c.request.Kind
	call := server.Call{
		Workspace: c.request.Workspace, Stage: kind.Operation(), Priority: c.request.Priority,
		Deadline: c.request.Deadline, Input: c.request.Input, Traceparent: c.request.Traceparent,
	}
	pickRequest := &server.PickRequest{Stage: kind.Operation(), Service: kind.Service(), Workspace: c.request.Workspace, Deadline: c.request.Deadline}
	pickRequest.Content.Keys = []string{server.ContentKey(call.Workspace, kind.Service(), kind.Operation(), string(call.Input))}
	return c.retry(ctx, pickRequest, func() (server.Answer, error) { return c.operate(ctx, call, pickRequest) })
}

// operate makes one attempt, and records its cost and result.
func (c *run) operate(ctx context.Context, call server.Call, pickRequest *server.PickRequest) (server.Answer, error) {
	if err := c.checkBlocked(pickRequest); err != nil {
		return server.Answer{}, err
	}
	parts := c.runner.dependencies
	upstream := parts.Picker.Pick(c.runner.snapshot(), pickRequest, parts.Timer.Now(), c.random)
	if upstream == nil {
		return server.Answer{}, c.noUpstream(pickRequest)
	}
	pickRequest.AttemptedUpstreams = append(pickRequest.AttemptedUpstreams, upstream.ID())
	call.AttemptID = server.NewID()
	call.BeforeSend = func() error {
		if err := c.runner.checkSend(ctx, upstream, call.Deadline); err != nil {
			return err
		}
		return c.checkBlocked(pickRequest)
	}
	c.upstreamPicked = true
	upstream.Gauge().Begin()
	begin := parts.Timer.Now()
	answer, _, err := parts.Service.Operate(ctx, upstream, call)
	upstream.Gauge().End(err == nil)
	c.recordContent(upstream, pickRequest, err)
	c.observeCall(pickRequest, upstream, begin, err)
	cost := answer.Cost
	cost.Calls = 1
	c.costs[pickRequest.Stage] = c.costs[pickRequest.Stage].Add(cost)
	return answer, err
}

// observeCall reports an attempt to the observer, unless it failed because the
// client disconnected, which says nothing about the upstream.
func (c *run) observeCall(pickRequest *server.PickRequest, upstream *server.Upstream, begin time.Time, err error) {
	if errors.Is(err, server.ErrCallerDisconnected) {
		return
	}
	now := c.runner.dependencies.Timer.Now()
	c.runner.dependencies.Observer.Observe(server.Observation{
		Stage: pickRequest.Stage, Service: pickRequest.Service, Upstream: upstream.ID(), InputBytes: len(c.request.Input),
		Duration: now.Sub(begin), OK: err == nil, Err: err, EndTime: now,
	})
}
