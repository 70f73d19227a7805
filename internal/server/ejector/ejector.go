// Package ejector finds replicas that fail or are slow against their service's
// median, keeps regular work from them for a growing while, and probes them
// back in. The chart "upstream" drives each replica.
package ejector

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/charter"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
)

// chartName is the chart that replicas follow.
const chartName = "upstream"

// States and triggers of the chart.
const (
	stateHealthy = "healthy"
	stateEjected = "ejected"
	stateProbing = "probing"

	triggerBad    = "bad"
	triggerGood   = "good"
	triggerRested = "rested"
)

// Parameters of ejection.
const (
	// maxErrors is how many errors in a row eject a replica.
	maxErrors = 3
	// maxSlow is how many slow attempts in a row eject a replica.
	maxSlow = 3
	// slowFactor is how many times the service's median is slow.
	slowFactor = 4
	// minPeers is the number of replicas below which there is no median.
	minPeers = 3
	// part is the largest part of a service that is ejected: one of so many.
	part = 3
	// firstRest and maxRest bound how long a replica is left alone.
	firstRest = time.Second
	maxRest   = 30 * time.Second
	// averageWeight is how much an attempt moves a replica's average.
	averageWeight = 0.2
)

// replica is what is known of one replica.
type replica struct {
	service string
	state   string
	errors  int
	slow    int
	average float64
	rests   int
	until   time.Time
}

// Ejector implements server.Observer. Its state is touched on the control
// goroutine only; Observe may be called from anywhere.
type Ejector struct {
	control  *controller.Controller
	chart    *charter.Chart
	replicas map[string]*replica
	services map[string][]*replica
	changed  func()
}

// New returns an Ejector that calls changed on the control goroutine when a
// replica is ejected or taken back.
func New(control *controller.Controller, changed func()) (*Ejector, error) {
	chart, err := charter.Load(chartName)
	if err != nil {
		return nil, err
	}
	return &Ejector{
		control: control, chart: chart, changed: changed,
		replicas: make(map[string]*replica), services: make(map[string][]*replica),
	}, nil
}

// Observe implements server.Observer; under pressure observations are lost.
func (e *Ejector) Observe(o server.Observation) {
	e.control.Offer(controller.EventFunc(func() {
		if e.Take(o) {
			e.changed()
		}
	}))
}

// Take learns from one attempt and reports whether a state changed.
func (e *Ejector) Take(o server.Observation) bool {
	r := e.replica(o.Service, o.Upstream)
	before := r.state
	switch {
	case errors.Is(o.Err, server.ErrLeaving), errors.Is(o.Err, server.ErrOverload):
		// A refusal says nothing of the replica's health.
	case errors.Is(o.Err, server.ErrSlow):
		r.slow++
	case !o.OK:
		r.errors++
	default:
		e.takeWhole(r, o)
	}
	if r.errors >= maxErrors || r.slow >= maxSlow || (r.state == stateProbing && r.errors+r.slow > 0) {
		e.eject(r, o.At)
	}
	return r.state != before
}

// takeWhole learns from a whole answer.
func (e *Ejector) takeWhole(r *replica, o server.Observation) {
	r.errors = 0
	took := perUnit(o)
	r.average += (took - r.average) * averageWeight
	if r.average == took*averageWeight {
		r.average = took
	}
	median, ok := e.median(r.service)
	if ok && took > median*slowFactor {
		r.slow++
		return
	}
	r.slow = 0
	if r.state == stateProbing {
		e.step(r, triggerGood)
		r.average = median
		r.rests = 0
	}
}

// perUnit returns an attempt's time, for engines by generated token.
func perUnit(o server.Observation) float64 {
	return float64(o.Took) / float64(max(o.Tokens, 1))
}

func (e *Ejector) replica(service, id string) *replica {
	r := e.replicas[id]
	if r == nil {
		r = &replica{service: service, state: e.chart.Start()}
		e.replicas[id] = r
		e.services[service] = append(e.services[service], r)
	}
	return r
}

// median returns the median of the averages of a service's healthy replicas.
func (e *Ejector) median(service string) (float64, bool) {
	var averages []float64
	for _, r := range e.services[service] {
		if r.average > 0 && r.state == stateHealthy {
			averages = append(averages, r.average)
		}
	}
	if len(averages) < minPeers {
		return 0, false
	}
	slices.SortFunc(averages, cmp.Compare[float64])
	return averages[len(averages)/2], true
}

// eject leaves a replica alone for twice as long as the last time, unless a
// third of its service is ejected already.
func (e *Ejector) eject(r *replica, now time.Time) {
	ejected := 0
	for _, other := range e.services[r.service] {
		if other.state == stateEjected {
			ejected++
		}
	}
	if (ejected+1)*part > len(e.services[r.service]) || !e.step(r, triggerBad) {
		return
	}
	r.until = now.Add(min(firstRest<<r.rests, maxRest))
	r.rests = min(r.rests+1, 5)
	r.errors, r.slow = 0, 0
}

func (e *Ejector) step(r *replica, trigger string) bool {
	next, ok := e.chart.Next(r.state, trigger)
	if ok {
		r.state = next
	}
	return ok
}

// Ejected reports whether a replica gets no regular work; one whose rest is
// over is probed from then on. It is called from events.
func (e *Ejector) Ejected(id string, now time.Time) bool {
	r := e.replicas[id]
	if r == nil {
		return false
	}
	if r.state == stateEjected && !now.Before(r.until) {
		e.step(r, triggerRested)
	}
	return r.state == stateEjected
}

// triggerGone is given when a replica is no longer listed.
const triggerGone = "gone"

// Forget drops a replica that is no longer listed.
func (e *Ejector) Forget(id string) {
	r := e.replicas[id]
	if r == nil || !e.step(r, triggerGone) {
		return
	}
	delete(e.replicas, id)
	e.services[r.service] = slices.DeleteFunc(e.services[r.service], func(other *replica) bool { return other == r })
}
