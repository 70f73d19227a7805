package runner

import (
	"context"
	"encoding/json"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/parser"
)

// defaultMaxTokens is the token limit if the contract sets none.
const defaultMaxTokens = 256

// stageInput is the input of a pool stage.
type stageInput struct {
	Input    json.RawMessage `json:"input"`
	Previous json.RawMessage `json:"previous,omitempty"`
}

// runStage runs one stage with retries until its response is complete.
func (c *run) runStage(ctx context.Context, stage parser.Stage) (server.Answer, error) {
	call, pickRequest, err := c.prepareStage(stage)
	if err != nil {
		return server.Answer{}, err
	}
	return c.retry(ctx, pickRequest, func() (server.Answer, error) { return c.attemptStage(ctx, stage, &call, pickRequest) })
}

// retry makes attempts until one succeeds, ctx ends or the retrier stops. The
// attempts must be safe to repeat.
func (c *run) retry(ctx context.Context, pickRequest *server.PickRequest, attempt func() (server.Answer, error)) (server.Answer, error) {
	history := server.AttemptHistory{Service: pickRequest.Service, IsRepeatable: true, Deadline: pickRequest.Deadline}
	for {
		answer, err := attempt()
		if err == nil {
			return answer, nil
		}
		if ctx.Err() != nil || !c.waitToRetry(ctx, &history, err) {
			return server.Answer{}, err
		}
	}
}

// waitToRetry waits as long as the retrier requires before the next attempt. It
// returns false if there must be none.
func (c *run) waitToRetry(ctx context.Context, history *server.AttemptHistory, err error) bool {
	history.Count++
	history.LastErr = err
	history.SendState = server.SendStateUnknown
	wait, ok := c.runner.dependencies.Retrier.Retry(history, c.runner.dependencies.Timer.Now(), c.random)
	return ok && server.Sleep(ctx, c.runner.dependencies.Timer, wait) == nil
}

// prepareStage returns the call and the pick request of a stage.
func (c *run) prepareStage(stage parser.Stage) (server.Call, *server.PickRequest, error) {
	deadline := c.grant.StageDeadline(c.stageIndex, c.runner.dependencies.Timer.Now())
	call := server.Call{
		Workspace:   c.request.Workspace,
		Stage:       stage.Name(),
		Priority:    c.request.Priority,
		Deadline:    deadline,
		CacheSalt:   c.request.Workspace,
		Model:       c.modelOf(stage),
		MaxTokens:   c.request.MaxTokens,
		Traceparent: c.request.Traceparent,
	}
	if call.MaxTokens == 0 {
		call.MaxTokens = defaultMaxTokens
	}
	pickRequest := &server.PickRequest{
		Stage: stage.Name(), Service: stage.Service(), Workspace: call.Workspace,
		CacheSalt: call.CacheSalt, Model: call.Model, ExpectedTokens: call.MaxTokens, Deadline: deadline,
	}
	var err error
	if stage.Role() == parser.RoleEngine {
		pickRequest.Prompt = buildPrompt(c.request.Input, c.previousOutput)
		pickRequest.BlockHashes = messenger.AppendBlockHashes(nil, pickRequest.CacheSalt, pickRequest.Prompt)
		pickRequest.Content.Parts = messenger.SharedParts(pickRequest.BlockHashes)
		call.Input, err = json.Marshal(pickRequest.Prompt)
	} else {
		call.Input, err = json.Marshal(stageInput{Input: c.request.Input, Previous: c.previousOutput})
	}
	if err != nil {
		return call, nil, server.NewFault(stage.Name(), "", err)
	}
	pickRequest.Content.Keys = []string{server.ContentKey(call.Workspace, stage.Service(), string(call.Input))}
	return call, pickRequest, nil
}

// modelOf returns the model that an engine stage requests: the one in the
// contract, or else the base name of the service's first model, which stands for
// its active version. It is "" for other stages.
func (c *run) modelOf(stage parser.Stage) string {
	if stage.Role() != parser.RoleEngine {
		return ""
	}
	if model := c.request.Kind.Model(); model != "" {
		return model
	}
	service := c.snapshot.Deployment().Service(stage.Service())
	if service == nil || len(service.Models()) == 0 {
		return ""
	}
	return server.ModelBase(service.Models()[0])
}

// buildPrompt puts the output of the previous stage before the caller's input, so
// that requests with the same retrieved documents share a cached prefix.
func buildPrompt(input, previous json.RawMessage) string {
	var text string
	if json.Unmarshal(input, &text) != nil {
		text = string(input)
	}
	return string(previous) + "\n" + text
}
