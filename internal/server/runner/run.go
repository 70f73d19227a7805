package runner

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/charter"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/parser"
)

// Triggers that the actions return. The chart defines the transitions.
const (
	triggerWithinLimits = "within"
	triggerRefused      = "refused"
	triggerPipeline     = "pipeline"
	triggerOrder        = "order"
	triggerCall         = "call"
	triggerAdmitted     = "admitted"
	triggerNext         = "next"
	triggerLast         = "last"
	triggerNotStarted   = "late"
	triggerFailed       = "broken"
	triggerAnswered     = "answered"
	triggerUncertain    = "unsure"
)

// run is the state of one request. It is not safe for concurrent use.
type run struct {
	runner      *Runner
	snapshot    *server.Snapshot
	request     *server.Request
	handleToken server.TokenHandler
	random      *rand.Rand
	stages      []parser.Stage
	// grant is the permission of the admitter; nil before admission.
	grant server.Grant
	// releaseLimit releases what the limiter granted and reports the costs; nil before
	// the limiter granted anything.
	releaseLimit func(map[string]server.Cost)
	// stageIndex is the index of the stage that is running or next.
	stageIndex int
	// upstreamPicked reports that an upstream was picked, so that it may have done work
	// and caused costs.
	upstreamPicked bool
	// previousOutput is the output of the previous stage.
	previousOutput json.RawMessage
	// streamedTokens are the tokens that engines have generated for the current
	// stage. The next attempt continues after them.
	streamedTokens []string
	answer         server.Answer
	// costs and durations are per stage or operation and include all attempts.
	costs     map[string]server.Cost
	durations map[string]time.Duration
	err       error
}

// actions maps the chart's action names to functions.
func actions() map[string]charter.Action[*run] {
	return map[string]charter.Action[*run]{
		"limit": {Run: limitRun, Triggers: []string{triggerWithinLimits, triggerRefused}},
		"route": {Run: routeRun, Triggers: []string{triggerPipeline, triggerOrder, triggerCall}},
		"admit": {Run: admitRun, Triggers: []string{triggerAdmitted, triggerRefused}},
		"stage": {Run: stageRun, Triggers: []string{triggerNext, triggerLast, triggerNotStarted, triggerFailed}},
		"call":  {Run: callRun, Triggers: []string{triggerAnswered, triggerNotStarted, triggerFailed}},
		"order": {Run: orderRun, Triggers: []string{triggerAnswered, triggerRefused, triggerFailed, triggerUncertain}},
	}
}

// releaseResources releases the grants of the admitter and the limiter.
func (c *run) releaseResources() {
	if c.grant != nil {
		c.grant.Close()
	}
	if c.releaseLimit != nil {
		c.releaseLimit(c.costs)
	}
}

// limitRun checks the limits of the contract.
func limitRun(_ context.Context, c *run) string {
	release, err := c.runner.dependencies.Limiter.Acquire(c.snapshot, c.request)
	if err != nil {
		c.err = err
		return triggerRefused
	}
	c.releaseLimit = release
	return triggerWithinLimits
}

// routeRun selects how the request is run: as an order, call or pipeline.
func routeRun(_ context.Context, c *run) string {
	if server.RunsAtMostOnce(c.snapshot.Deployment(), c.request.Kind) {
		return triggerOrder
	}
	if c.request.Kind.Pipeline() == "" {
		return triggerCall
	}
	c.stages = c.snapshot.Deployment().Pipeline(c.request.Kind.Pipeline()).Stages()
	return triggerPipeline
}

// admitRun requests admission.
func admitRun(ctx context.Context, c *run) string {
	grant, err := c.runner.dependencies.Admitter.Admit(ctx, c.snapshot, c.request)
	if err != nil {
		c.err = err
		return triggerRefused
	}
	c.grant = grant
	return triggerAdmitted
}

// stageRun waits until the next stage is scheduled and runs it.
func stageRun(ctx context.Context, c *run) string {
	stage := c.stages[c.stageIndex]
	release, err := c.grant.AcquireStage(ctx, c.stageIndex)
	if err != nil {
		c.err = server.NewFault(stage.Name(), "", err)
		return c.failureTrigger()
	}
	defer release()
	begin := c.runner.dependencies.Timer.Now()
	answer, err := c.runStage(ctx, stage)
	c.durations[stage.Name()] = c.runner.dependencies.Timer.Now().Sub(begin)
	if err != nil {
		c.err = err
		return c.failureTrigger()
	}
	c.previousOutput = answer.Output
	c.stageIndex++
	if c.stageIndex < len(c.stages) {
		return triggerNext
	}
	c.answer = answer
	return triggerLast
}

// failureTrigger returns the trigger of a failed request: triggerFailed if an
// upstream was picked, so that costs may have arisen, and otherwise
// triggerNotStarted.
func (c *run) failureTrigger() string {
	if c.upstreamPicked {
		return triggerFailed
	}
	return triggerNotStarted
}

// orderRun runs the request as an order.
func orderRun(ctx context.Context, c *run) string {
	begin := c.runner.dependencies.Timer.Now()
	answer, err := c.runner.dependencies.Orderer.Order(ctx, c.snapshot, c.request)
	c.durations[c.request.Kind.Operation()] = c.runner.dependencies.Timer.Now().Sub(begin)
	if err == nil {
		c.costs[c.request.Kind.Operation()] = answer.Cost
		c.answer = answer
		return triggerAnswered
	}
	c.err = err
	var fault *server.Fault
	if !errors.As(err, &fault) {
		c.err = merry.Prepend(err, "running the order")
		return triggerUncertain
	}
	switch fault.Outcome() {
	case server.OutcomeNotRun:
		return triggerRefused
	case server.OutcomeFailed:
		return triggerFailed
	default:
		return triggerUncertain
	}
}
