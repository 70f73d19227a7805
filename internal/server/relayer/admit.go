package relayer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
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
	// first token.
	engineBase     = 60 * time.Millisecond
	enginePerToken = 9 * time.Microsecond
	// perOutput is what an engine usually takes for a token.
	perOutput = 6 * time.Millisecond
	// stageExtra is the part of a call that a piece usually waits for another.
	stageExtra = 0.5
	// stageFill is the part of a call's size that is usually filled.
	stageFill = 0.5
)

// admit refuses at once what cannot be served in time.
func (f *flow) admit() bool {
	f.Budget.Requested(f.service, 1)
	if len(f.view.Replicas(f.service)) == 0 {
		return f.refuse("no replica of the service is registered", refusedWait)
	}
	expected := f.expected()
	if f.left() >= expected {
		return true
	}
	f.Log.Info("refused on arrival", "request", f.traits.ID, "route", f.route.Name, "priority", f.priority,
		"expected_ms", expected.Milliseconds(), "left_ms", f.left().Milliseconds())
	return f.refuse("it cannot end in time", expected-f.left())
}

// expected estimates the time to the end of the request's critical path.
func (f *flow) expected() time.Duration {
	ends := make([]time.Duration, len(f.route.Stages))
	var longest time.Duration
	for i, stage := range f.route.Stages {
		for _, after := range stage.After {
			if after >= 0 && after < i {
				ends[i] = max(ends[i], ends[after])
			}
		}
		if i < len(f.traits.Pieces) && f.traits.Pieces[i] > 0 {
			wait, _ := f.Waits.Wait(stage.Service, f.priority)
			ends[i] += wait + f.call(stage.Service)
		}
		longest = max(longest, ends[i])
	}
	return longest + f.engine()
}

// call is the time of a call of a stage service as the plan states it.
func (f *flow) call(service string) time.Duration {
	batch := f.view.Router().Plan().Backends[service].Batch
	if batch == nil {
		return 0
	}
	return batch.Span(int(stageFill * float64(batch.Size)))
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
			own := time.Duration((1 + stageExtra) * float64(f.call(f.route.Stages[next].Service)))
			longest = max(longest, own+f.tail(next)-f.engine())
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
	output := f.traits.Output
	if f.traits.Expected > 0 {
		output = min(output, f.traits.Expected)
	}
	results, err := f.Stager.Run(f.ctx, &stager.Request{
		ID: f.traits.ID, Stages: f.route.Stages, Pieces: f.traits.Pieces, Key: f.traits.PieceKey, Priority: f.priority,
		Datacentre: place, Goal: f.arrived.Add(f.route.Goal), Last: f.deadline.Add(-time.Duration(output) * perOutput), Tail: f.tail,
	})
	f.staged += f.Timer.Now().Sub(began)
	f.Meter.Staged(f.route.Name, f.staged)
	if err == nil {
		f.results = results
		return true
	}
	return f.unstaged(err)
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
			told, _ := f.Waits.Wait(stage.Service, f.priority)
			wait = max(wait, told)
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
