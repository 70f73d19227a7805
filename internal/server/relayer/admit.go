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
	// startWait is told to clients while the instance knows no configuration.
	startWait = time.Second
	// minWait is the shortest time that a refused client is told.
	minWait = 100 * time.Millisecond
	// refusedWait is told when replicas refused or none is left.
	refusedWait = 400 * time.Millisecond
	// engineBase and enginePerToken are what an engine usually takes to the
	// first token: the users' sheets state 112 to 157 prompt tokens a ms, and steps
	// that go on beside.
	engineBase     = 60 * time.Millisecond
	enginePerToken = 9 * time.Microsecond
	// perOutput is what an engine usually takes for a token; the sheets state
	// steps of 3.4 ms and more.
	perOutput = 6 * time.Millisecond
	// stageExtra stretches a call by what a piece usually waits for the one
	// before, as seen in the lines of calm days.
	stageExtra = 1.2
	// queuedLeast is the wait in queues below which late requests are taken too.
	queuedLeast = 150 * time.Millisecond
	// minBack is the shortest time after which a request that was refused for
	// want of capacity is told to come back: bursts last seconds, and clients
	// heed a third of the time that they have left.
	minBack = 4 * time.Second
	// firstMargin is left of a client's patience for the way of the first event.
	firstMargin = 100 * time.Millisecond
	// stageFill is the part of a call's size that is usually filled, as seen in
	// the lines of calm days.
	stageFill = 0.5
)

// admit refuses at once what cannot be served in time, and what would only be
// late while the stage services have no time to spare.
func (f *flow) admit() bool {
	f.Budget.Requested(f.service, 1)
	if len(f.view.Replicas(f.service)) == 0 {
		return f.refuse("no replica of the service is registered", refusedWait)
	}
	expected, queued, age := f.expected()
	late, left := f.late(expected), f.last().Sub(f.Timer.Now())
	if expected <= left && (late <= 0 || queued < queuedLeast) {
		return true
	}
	f.Stager.Decline(f.route.Stages, f.traits.Pieces, f.rank)
	f.Log.Info("refused on arrival", "request", f.traits.ID, "route", f.route.Name, "rank", f.rank, "expected_ms", expected.Milliseconds(),
		"queued_ms", queued.Milliseconds(), "estimate_age_ms", age.Milliseconds(), "late_ms", late.Milliseconds(),
		"left_ms", f.left().Milliseconds())
	return f.refuse("it cannot be answered in time now", max(queued, minBack))
}

// late is by how much an answer's beginning misses the goal if it takes a time.
func (f *flow) late(expected time.Duration) time.Duration {
	return f.Timer.Now().Add(expected).Sub(f.goal)
}

// last is when the first byte of the answer must be there to be of use.
func (f *flow) last() time.Time {
	if f.route.Kind != server.KindStream {
		return f.deadline
	}
	output := f.traits.Output
	if f.traits.Expected > 0 {
		output = min(output, f.traits.Expected)
	}
	last := f.deadline.Add(-time.Duration(output) * perOutput)
	if leaves := f.arrived.Add(firstEvent(f.route) - firstMargin); leaves.Before(last) {
		return leaves
	}
	return last
}

// expected estimates the time to the first byte of the answer along the
// request's critical path, the part of it that is queueing, and the age of the
// oldest estimate in it. The queue of a later stage drains while the stages before
// are made.
func (f *flow) expected() (total, queued, age time.Duration) {
	stages := f.route.Stages
	ends, waits := make([]time.Duration, len(stages)), make([]time.Duration, len(stages))
	for i, stage := range stages {
		for _, after := range stage.After {
			if after >= 0 && after < i && ends[after] > ends[i] {
				ends[i], waits[i] = ends[after], waits[after]
			}
		}
		if i < len(f.traits.Pieces) && f.traits.Pieces[i] > 0 {
			outlook := f.outlook(stage.Service)
			queue := max(outlook.OnTime-outlook.CallDuration, 0)
			waits[i] += max(queue-ends[i], 0)
			ends[i] = max(ends[i], queue) + outlook.CallDuration
			age = max(age, outlook.Age)
		}
		if ends[i] > total {
			total, queued = ends[i], waits[i]
		}
	}
	return total + f.engine(), queued, age
}

// outlook is what a piece can expect of a service; without a fresh word of its owner
// it is a usual call.
func (f *flow) outlook(service string) batcher.WaitEstimate {
	if outlook, ok := f.Estimates.WaitEstimate(service, f.rank); ok {
		return outlook
	}
	usual := f.call(service)
	return batcher.WaitEstimate{OnTime: usual, AfterBacklog: usual, CallDuration: usual}
}

// call is the time of a call of a stage service as the plan states it, with the
// usual wait for the call before.
func (f *flow) call(service string) time.Duration {
	batch := f.view.Router().Plan().Backends[service].Batch
	if batch == nil {
		return 0
	}
	return time.Duration(stageExtra * float64(batch.Span(int(stageFill*float64(batch.Size)))))
}

// engine is the time that an engine usually takes to the first token.
func (f *flow) engine() time.Duration {
	if f.route.Kind != server.KindStream {
		return 0
	}
	return engineBase + time.Duration(f.traits.Prompt)*enginePerToken
}

// tail is the time that usually follows a stage until the first token.
func (f *flow) tail(stage int) time.Duration {
	var longest time.Duration
	for next := stage + 1; next < len(f.route.Stages); next++ {
		if slices.Contains(f.route.Stages[next].After, stage) {
			longest = max(longest, f.call(f.route.Stages[next].Service)+f.tail(next)-f.engine())
		}
	}
	return longest + f.engine()
}

// stages has the request's pieces made.
func (f *flow) stages() bool {
	total := 0
	for _, n := range f.traits.Pieces {
		total += n
	}
	if len(f.route.Stages) == 0 || total == 0 {
		return true
	}
	began := f.Timer.Now()
	place := ""
	if target, ok := f.choose(); ok {
		place = target.Datacentre
	}
	results, err := f.Stager.Run(f.ctx, &stager.Request{
		ID: f.traits.ID, Stages: f.route.Stages, Pieces: f.traits.Pieces, Key: f.traits.PieceKey, Rank: f.rank,
		Datacentre: place, Place: f.place, Goal: f.goal, Last: f.last(), Tail: f.tail,
	})
	f.staged += f.Timer.Now().Sub(began)
	f.Meter.Staged(f.route.Name, f.staged)
	if err == nil {
		f.results, f.stageTimes = results, stager.Milliseconds(results.Took())
		return true
	}
	return f.unstaged(err)
}

// place returns the data centre that keeps a result, or "".
func (f *flow) place(service, handle string) string {
	replica, _ := f.view.Replica(service, f.Wire.Owner(handle))
	return replica.Datacentre
}

// unstaged ends a request whose pieces were not made.
func (f *flow) unstaged(err error) bool {
	switch {
	case errors.Is(context.Cause(f.ctx), context.Canceled):
		return f.leave("the client left before the stages were done")
	case f.begun:
		f.abort, f.outcome, f.reason = true, outcomeBroken, "the stages were not made again: "+err.Error()
		return false
	case f.mayRun:
		return f.fail(http.StatusBadGateway, "the stages were not made again: "+err.Error())
	case errors.Is(err, server.ErrInvalid):
		return f.reject(http.StatusBadRequest, err.Error())
	case errors.Is(err, server.ErrLate):
		return f.refuse("the stages cannot end in time", f.again())
	default:
		return f.refuse("the stages failed: "+err.Error(), f.again())
	}
}

// remake has the inputs made again after a replica found them gone.
func (f *flow) remake() bool {
	if f.results != nil {
		f.results.Free()
		f.results = nil
	}
	return f.stages()
}

// again is the time after which a refused client may be served.
func (f *flow) again() time.Duration {
	wait := refusedWait
	for i, stage := range f.route.Stages {
		if i < len(f.traits.Pieces) && f.traits.Pieces[i] > 0 {
			outlook := f.outlook(stage.Service)
			wait = max(wait, outlook.AfterBacklog-outlook.CallDuration)
		}
	}
	return wait
}

// affinity names the part of the prompt that other requests share: the last but
// one, since the last is the request's own.
func (f *flow) affinity() string {
	if !f.route.Sticky || len(f.traits.Parts) == 0 {
		return ""
	}
	return f.traits.Parts[max(len(f.traits.Parts)-2, 0)].ID
}

// choose returns the replica that the request would go to now.
func (f *flow) choose() (server.Replica, bool) {
	return f.Chooser.Pick(f.view.Replicas(f.service), chooser.Want{Affinity: f.affinity(), Tried: f.tried})
}

// pick returns the replica for the next attempt, by what is known now.
func (f *flow) pick() (server.Replica, bool) {
	f.view = f.View()
	return f.choose()
}
