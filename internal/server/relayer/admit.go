package relayer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/batcher"
	"oriolemill.example/oriolemill/internal/server/chooser"
	"oriolemill.example/oriolemill/internal/server/stager"
)

const (
	// notReadyRetryAfter is the Retry-After of responses before the instance has read its
	// configuration.
	notReadyRetryAfter = time.Second
	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter = 100 * time.Millisecond
	// refusedRetryAfter is the least Retry-After when the replicas refused the request, no
	// replica is left for it, or its stages failed.
	refusedRetryAfter = 400 * time.Millisecond
	// blockedRetryAfter is the Retry-After of requests whose pieces crash replicas. Its block lasts
	// longer.
	blockedRetryAfter = time.Minute
	// engineBaseDelay and enginePromptTokenTime give the typical time of an engine until the
	// first token: the users' data sheets state 112 to 157 prompt tokens a ms, and decode
	// steps that run at the same time.
	engineBaseDelay       = 60 * time.Millisecond
	enginePromptTokenTime = 9 * time.Microsecond
	// outputTokenTime is the typical time of an engine for an output token; the users' data
	// sheets state decode steps of 3.4 ms and more.
	outputTokenTime = 6 * time.Millisecond
	// callWaitFactor scales the duration of a call to include the typical wait of a piece
	// for the previous call under normal load.
	callWaitFactor = 1.2
	// minRefusalQueueing is the expected queueing time below which a request is admitted
	// although it will miss its goal: the stage services have capacity to spare.
	minRefusalQueueing = 150 * time.Millisecond
	// overloadRetryAfter is the minimum Retry-After of a request refused for lack of
	// capacity: bursts last seconds, and a client waits as long as Retry-After says, up
	// to a third of the time that it has left.
	overloadRetryAfter = 4 * time.Second
	// firstEventMargin is the part of a client's first-event timeout that is reserved for
	// delivering the event.
	firstEventMargin = 100 * time.Millisecond
	// typicalFill is the part of a call's size that is used under normal load.
	typicalFill = 0.5
)

// admit reports whether the request is admitted. It refuses a request that cannot be
// served before its deadline, and one that would miss its goal while the stage services
// have no capacity to spare.
func (f *relayedRequest) admit() bool {
	f.Budget.RecordRequests(f.service, 1)
	switch {
	case len(f.view.Replicas(f.service)) == 0:
		return f.refuse("no replica of the service is registered", refusedRetryAfter)
	case !f.hasAllowedReplicas():
		return f.refuse(noRegionReason, refusedRetryAfter)
	}
	expected, queued, age := f.expectedDelay(onTimeWait)
	f.estimateAge = age
	if pause := f.pauseWait(nil); pause > expected-f.engineDelay() && !f.mayAwaitPause(pause) {
		return f.refuse(pausedReason, f.retryAfter())
	}
	lateness, availableTime := f.lateness(expected), f.firstByteDeadline().Sub(f.Timer.Now())
	f.isReturning = f.recognizeReturning()
	if shouldAdmit(expected, availableTime, lateness, queued, f.isReturning && !f.hasLeftoverRule()) || f.mayUseLeftover(availableTime) {
		return f.reserve()
	}
	f.Stager.RecordRefused(f.route.Stages, f.info.Pieces, f.rank)
	f.Log.Info("refused on arrival", "request", loggedText(f.info.ID), "route", f.route.Name, "rank", f.rank, "workspace", f.workspaceName(), "returning", f.isReturning, "expected_ms", expected.Milliseconds(),
		"queued_ms", queued.Milliseconds(), "estimate_age_ms", age.Milliseconds(), "late_ms", lateness.Milliseconds(),
		"left_ms", f.remaining().Milliseconds())
	if f.hasLeftoverRule() {
		queued = max(queued, f.retryAfter())
	}
	return f.refuseForOverload("it cannot be answered in time now", queued)
}

// shouldAdmit reports whether a request is admitted that is expected to be answered after a time, of which it
// queues for a part, and misses its goal by its lateness. A returning client has usually missed the goal
// already, so it is refused only if it cannot be answered before its deadline.
func shouldAdmit(expected, available, lateness, queued time.Duration, isReturning bool) bool {
	return expected <= available && (lateness <= 0 || queued < minRefusalQueueing || isReturning)
}

// recognizeReturning reports whether the client is treated as returning: it was refused before and has waited as
// the refusal asked. A resumed stream is none, since its client had an answer.
func (f *relayedRequest) recognizeReturning() bool {
	if !f.hasLeftoverRule() && !f.PrefersReturning || f.info.LastEventID != "" {
		return false
	}
	hasWaited := f.clientTimeouts.isReturning
	if f.hasLeftoverRule() {
		hasWaited = f.clientTimeouts.isRepeated
	}
	return hasWaited(f.route.Name, f.info.ClientTimeout) && !f.refusals.IsEarly(f.content.Keys[0], f.Timer.Now())
}

// refuseForOverload refuses the request and remembers when its client may return. It returns false.
func (f *relayedRequest) refuseForOverload(reason string, wait time.Duration) bool {
	if f.hasLeftoverRule() {
		wait = f.spreadReturn(wait)
	} else {
		wait = max(wait, overloadRetryAfter)
	}
	if f.PrefersReturning || f.hasLeftoverRule() {
		f.refusals.Record(f.content.Keys[0], wait, f.remaining(), f.Timer.Now())
	}
	return f.refuse(reason, wait)
}

// lateness returns by how much the response misses the soft deadline if its first byte
// takes the expected time; it is negative for a response on time.
func (f *relayedRequest) lateness(expected time.Duration) time.Duration {
	return f.Timer.Now().Add(expected).Sub(f.softDeadline)
}

// firstByteDeadline returns the time by which the first byte of the response must arrive.
// A stream also needs time for its output tokens, and its client disconnects if the first
// event takes too long.
func (f *relayedRequest) firstByteDeadline() time.Time {
	if f.route.Kind != server.RouteKindStream {
		return f.clientDeadline
	}
	outputTokens := f.info.MaxOutputTokens
	if f.info.ExpectedTokens > 0 {
		outputTokens = min(outputTokens, f.info.ExpectedTokens)
	}
	deadline := f.clientDeadline.Add(-time.Duration(outputTokens) * outputTokenTime)
	if disconnectsAt := f.receivedAt.Add(firstEventTimeout(f.route) - firstEventMargin); disconnectsAt.Before(deadline) {
		return disconnectsAt
	}
	return deadline
}

// onTimeWait returns the wait of pieces that can be on time, and backlogWait that of pieces that are computed after all
// queued ones.
func onTimeWait(estimate *batcher.WaitEstimate) time.Duration  { return estimate.OnTime }
func backlogWait(estimate *batcher.WaitEstimate) time.Duration { return estimate.AfterBacklog }

// expectedDelay estimates the time until the first byte of the response along the
// request's critical path, the part of it that is queueing, and the age of the oldest
// estimate used. wait returns the wait of the request's pieces. The queue of a later stage drains while the stages that
// it depends on are computed.
func (f *relayedRequest) expectedDelay(wait func(*batcher.WaitEstimate) time.Duration) (total, queued, age time.Duration) {
	stages := f.route.Stages
	ends, waits := make([]time.Duration, len(stages)), make([]time.Duration, len(stages))
	for _, i := range f.route.StageOrder() {
		stage := stages[i]
		for _, dependency := range stage.Dependencies {
			if ends[dependency] > ends[i] {
				ends[i], waits[i] = ends[dependency], waits[dependency]
			}
		}
		if i < len(f.info.Pieces) && f.info.Pieces[i] > 0 {
			estimate := f.waitEstimate(stage.Service)
			queueing := max(wait(&estimate)-estimate.CallDuration, 0)
			waits[i] += max(queueing-ends[i], 0)
			ends[i] = max(ends[i], queueing) + estimate.CallDuration
			age = max(age, estimate.Age)
		}
		if ends[i] > total {
			total, queued = ends[i], waits[i]
		}
	}
	return total + f.engineDelay(), queued, age
}

// waitEstimate returns the wait estimate of a service. Without a recent one from the
// service's owner it is the planned duration of a call.
func (f *relayedRequest) waitEstimate(service string) batcher.WaitEstimate {
	estimate, ok := f.WaitEstimator.WaitEstimate(service, f.rank)
	if ok {
		return estimate
	}
	plannedDuration := f.plannedCallDuration(service)
	return batcher.WaitEstimate{OnTime: plannedDuration, AfterBacklog: plannedDuration, CallDuration: plannedDuration, Age: estimate.Age}
}

// plannedCallDuration returns the duration of a call of a stage service by the plan, with
// the typical wait for the previous call; 0 for a service without batch settings.
func (f *relayedRequest) plannedCallDuration(service string) time.Duration {
	batch := f.view.Router().Plan().Backends[service].Batch
	if batch == nil {
		return 0
	}
	return time.Duration(callWaitFactor * float64(batch.CallDuration(int(typicalFill*float64(batch.MaxPieces)))))
}

// engineDelay returns the typical time of an engine until the first token; 0 for routes
// other than streams.
func (f *relayedRequest) engineDelay() time.Duration {
	if f.route.Kind != server.RouteKindStream {
		return 0
	}
	return engineBaseDelay + time.Duration(f.info.PromptTokens)*enginePromptTokenTime
}

// delayAfter returns the typical time from the end of a stage until the first token: the
// longest chain of stages that depend on it, and the engine.
func (f *relayedRequest) delayAfter(stage int) time.Duration {
	var longest time.Duration
	for next := range f.route.Stages {
		if slices.Contains(f.route.Stages[next].Dependencies, stage) {
			longest = max(longest, f.plannedCallDuration(f.route.Stages[next].Service)+f.delayAfter(next)-f.engineDelay())
		}
	}
	return longest + f.engineDelay()
}

// computeStages has the pieces of the request's stages computed and reports whether the
// request goes on.
func (f *relayedRequest) computeStages() bool {
	total := 0
	for _, n := range f.info.Pieces {
		total += n
	}
	if len(f.route.Stages) == 0 || total == 0 {
		return true
	}
	startedAt := f.Timer.Now()
	datacentre := ""
	if f.reserved != nil {
		datacentre = f.reserved.Datacentre
	} else if replica, ok := f.chooseReplica(); ok {
		datacentre = replica.Datacentre
	}
	results, err := f.Stager.Run(f.ctx, &stager.Request{
		ID: f.info.ID, Stages: f.route.Stages, Pieces: f.info.Pieces, Key: f.info.PieceKey, Content: f.content.Keys[0], Rank: f.rank, Regions: f.regions,
		Workspace: f.workspaceName(), IsReturning: f.isReturning, Datacentre: datacentre, ResultDatacentre: f.resultDatacentre, SoftDeadline: f.softDeadline, HardDeadline: f.firstByteDeadline(), DelayAfter: f.delayAfter,
	})
	f.stagesDuration += f.Timer.Now().Sub(startedAt)
	f.Meter.RecordStages(f.route.Name, f.stagesDuration)
	if err == nil {
		f.results, f.stageDurations = results, stager.FormatMilliseconds(results.Durations())
		return true
	}
	return f.handleStageError(err)
}

// resultDatacentre returns the data centre of the replica that holds a result, or "".
func (f *relayedRequest) resultDatacentre(service, handle string) string {
	replica, _ := f.view.ReplicaAt(service, f.Codec.ResultAddress(handle))
	return replica.Datacentre
}

// handleStageError ends a request whose pieces could not be computed, and returns false.
func (f *relayedRequest) handleStageError(err error) bool {
	switch {
	case errors.Is(context.Cause(f.ctx), context.Canceled):
		return f.endDisconnected("client disconnected before the stages were computed")
	case f.responseStarted:
		f.shouldAbort, f.outcome, f.reason = true, outcomeBroken, "recomputing the stages failed: "+err.Error()
		return false
	case f.mayHaveRun:
		return f.fail(http.StatusBadGateway, "the stages were not made again: "+err.Error())
	case errors.Is(err, server.ErrInvalid):
		return f.reject(http.StatusBadRequest, err.Error())
	case errors.Is(err, server.ErrRequestBlocked):
		return f.refuse(err.Error(), blockedRetryAfter)
	case errors.Is(err, server.ErrDeadline) && (f.PrefersReturning || f.hasLeftoverRule()):
		return f.refuseForOverload("the stages cannot end in time", f.retryAfter())
	case errors.Is(err, server.ErrDeadline):
		return f.refuse("the stages cannot end in time", f.retryAfter())
	default:
		return f.refuse("the stages failed: "+err.Error(), f.retryAfter())
	}
}

// releaseInputs releases the results of the stages once a stream has begun: the engine has
// read them. A stream lasts far longer than its stages, and the replicas have memory for few
// results. If the stream breaks, they are computed again.
func (f *relayedRequest) releaseInputs() {
	if f.results != nil {
		f.results.Release()
		f.inputsReleased = true
	}
}

// recomputeInputs has the inputs computed again that a replica reported as lost or that were
// released. A stream that has begun is due again within the goal of its route.
func (f *relayedRequest) recomputeInputs() bool {
	if f.results != nil {
		f.results.Release()
		f.results, f.inputsReleased = nil, false
	}
	if f.responseStarted {
		f.softDeadline = f.Timer.Now().Add(f.route.Goal)
	}
	return f.computeStages()
}

// retryAfter returns the time after which a refused client should repeat the request: when
// the backlogs of its stage services will have been computed, and a replica takes requests.
func (f *relayedRequest) retryAfter() time.Duration {
	wait := refusedRetryAfter
	for i, stage := range f.route.Stages {
		if i < len(f.info.Pieces) && f.info.Pieces[i] > 0 {
			estimate := f.waitEstimate(stage.Service)
			wait = max(wait, estimate.AfterBacklog-estimate.CallDuration)
		}
	}
	if pause := f.pauseWait(nil); pause > 0 {
		wait = max(wait, spreadPause(pause))
	}
	return wait
}

// affinityKey returns the ID of the prompt part by which a replica is chosen, or "" for
// routes without affinity. It is the last part but one: requests that share this part go
// to a replica that has it cached, while the last part belongs to this request alone.
func (f *relayedRequest) affinityKey() string {
	if !f.route.IsSticky || len(f.info.PromptParts) == 0 {
		return ""
	}
	return f.info.PromptParts[max(len(f.info.PromptParts)-2, 0)].ID
}

// chooseReplica returns the best replica by the current view; false when none is left.
func (f *relayedRequest) chooseReplica() (server.Replica, bool) {
	candidates := f.candidates()
	return f.pick(candidates, f.unavailable(candidates))
}

// pick returns the best of the candidates without the excluded ones.
func (f *relayedRequest) pick(candidates []server.Replica, excluded []string) (server.Replica, bool) {
	return f.Chooser.Pick(candidates, chooser.Criteria{AffinityKey: f.affinityKey(), AttemptedReplicas: excluded})
}

// nextReplica updates the view and returns the replica for the next attempt; false when
// none is left. It waits for the end of a pause if all replicas that are left have requested one.
func (f *relayedRequest) nextReplica() (server.Replica, bool) {
	defer f.endAwaitingPause()
	for {
		f.view = f.View()
		if replica, ok := f.takeReservation(); ok {
			return replica, true
		}
		if replica, ok := f.acquireReplica(); ok {
			return replica, true
		}
		if !f.awaitPause() {
			return server.Replica{}, false
		}
	}
}
