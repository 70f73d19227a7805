// Package ejector detects replicas that fail or are slow compared to the median of
// their service. It ejects them for increasing times, in which they get no regular
// requests, and then probes them. The state of each replica follows the chart
// "upstream".
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

// chartName is the chart of a replica's states.
const chartName = "upstream"

// States and triggers of the chart: triggerBad ejects a replica, triggerRested starts its
// probe after the ejection, triggerGood ends a successful probe.
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
	// maxConsecutiveErrors is the number of consecutive errors that ejects a replica.
	maxConsecutiveErrors = 3
	// maxConsecutiveSlow is the number of consecutive slow attempts that ejects a
	// replica.
	maxConsecutiveSlow = 3
	// slowFactor is the multiple of the service's median above which an attempt is
	// slow.
	slowFactor = 4
	// minReplicasForMedian is the minimum number of healthy replicas with an average
	// time for which a median is taken.
	minReplicasForMedian = 3
	// At most one in maxEjectedDivisor replicas of a service is ejected at a time.
	maxEjectedDivisor = 3
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// averageWeight is the weight of the newest attempt in a replica's average time.
	averageWeight = 0.2
)

// replica is the state of one replica.
type replica struct {
	service           string
	state             string
	consecutiveErrors int
	consecutiveSlow   int
	// averageTime is the smoothed time in nanoseconds of an attempt, or of a
	// generated token.
	averageTime float64
	// ejections is the number of ejections since the last successful probe, at most 5.
	ejections    int
	ejectedUntil time.Time
}

// Ejector implements server.Observer. Observe is safe for concurrent use; the other
// methods must be called on the control goroutine.
type Ejector struct {
	control           *controller.Controller
	chart             *charter.Chart
	replicas          map[string]*replica
	replicasByService map[string][]*replica
	notifyChanged     func()
}

// New returns an Ejector that calls notifyChanged on the control goroutine when an
// observation changes the state of a replica.
func New(control *controller.Controller, notifyChanged func()) (*Ejector, error) {
	chart, err := charter.Load(chartName)
	if err != nil {
		return nil, err
	}
	return &Ejector{
		control: control, chart: chart, notifyChanged: notifyChanged,
		replicas: make(map[string]*replica), replicasByService: make(map[string][]*replica),
	}, nil
}

// Observe implements server.Observer. Observations are dropped if the control
// goroutine is overloaded.
func (e *Ejector) Observe(o server.Observation) {
	e.control.TryPost(controller.EventFunc(func() {
		if e.Record(o) {
			e.notifyChanged()
		}
	}))
}

// Record applies the outcome of one attempt and reports whether the state of its
// replica changed.
func (e *Ejector) Record(o server.Observation) bool {
	r := e.replica(o.Service, o.Upstream)
	previousState := r.state
	switch {
	case errors.Is(o.Err, server.ErrLeaving), errors.Is(o.Err, server.ErrOverload):
		// A refusal does not mean that the replica is unhealthy.
	case errors.Is(o.Err, server.ErrAttemptAbandoned):
		r.consecutiveSlow++
	case !o.OK:
		r.consecutiveErrors++
	default:
		e.recordSuccess(r, o)
	}
	if r.consecutiveErrors >= maxConsecutiveErrors || r.consecutiveSlow >= maxConsecutiveSlow || (r.state == stateProbing && r.consecutiveErrors+r.consecutiveSlow > 0) {
		e.eject(r, o.EndTime)
	}
	return r.state != previousState
}

// recordSuccess applies the time of an attempt with a complete response.
func (e *Ejector) recordSuccess(r *replica, o server.Observation) {
	r.consecutiveErrors = 0
	elapsed := timePerToken(o)
	r.averageTime += (elapsed - r.averageTime) * averageWeight
	// The first attempt sets the average.
	if r.averageTime == elapsed*averageWeight {
		r.averageTime = elapsed
	}
	median, ok := e.median(r.service)
	if ok && elapsed > median*slowFactor {
		r.consecutiveSlow++
		return
	}
	r.consecutiveSlow = 0
	if r.state == stateProbing {
		e.applyTrigger(r, triggerGood)
		r.averageTime = median
		r.ejections = 0
	}
}

// timePerToken returns an attempt's time in nanoseconds, divided by the number of
// generated tokens if there are any.
func timePerToken(o server.Observation) float64 {
	return float64(o.Duration) / float64(max(o.Tokens, 1))
}

// replica returns the state of a replica and creates it if needed.
func (e *Ejector) replica(service, id string) *replica {
	r := e.replicas[id]
	if r == nil {
		r = &replica{service: service, state: e.chart.StartState()}
		e.replicas[id] = r
		e.replicasByService[service] = append(e.replicasByService[service], r)
	}
	return r
}

// median returns the median of the average times of a service's healthy replicas, and
// false if there are too few.
func (e *Ejector) median(service string) (float64, bool) {
	var averages []float64
	for _, r := range e.replicasByService[service] {
		if r.averageTime > 0 && r.state == stateHealthy {
			averages = append(averages, r.averageTime)
		}
	}
	if len(averages) < minReplicasForMedian {
		return 0, false
	}
	slices.SortFunc(averages, cmp.Compare[float64])
	return averages[len(averages)/2], true
}

// eject ejects a replica for twice as long as the last time, unless more than a third
// of its service would then be ejected.
func (e *Ejector) eject(r *replica, now time.Time) {
	ejected := 0
	for _, other := range e.replicasByService[r.service] {
		if other.state == stateEjected {
			ejected++
		}
	}
	if (ejected+1)*maxEjectedDivisor > len(e.replicasByService[r.service]) || !e.applyTrigger(r, triggerBad) {
		return
	}
	r.ejectedUntil = now.Add(min(minEjection<<r.ejections, maxEjection))
	r.ejections = min(r.ejections+1, 5)
	r.consecutiveErrors, r.consecutiveSlow = 0, 0
}

// applyTrigger moves a replica to its next state. It returns false if the chart has no
// transition for the trigger.
func (e *Ejector) applyTrigger(r *replica, trigger string) bool {
	next, ok := e.chart.Target(r.state, trigger)
	if ok {
		r.state = next
	}
	return ok
}

// IsEjected reports whether a replica gets no regular requests. A replica whose ejection
// has ended is probed from this call on.
func (e *Ejector) IsEjected(id string, now time.Time) bool {
	r := e.replicas[id]
	if r == nil {
		return false
	}
	if r.state == stateEjected && !now.Before(r.ejectedUntil) {
		e.applyTrigger(r, triggerRested)
	}
	return r.state == stateEjected
}

// triggerGone is the trigger for a replica that is no longer listed.
const triggerGone = "gone"

// Remove deletes the state of a replica that is no longer listed.
func (e *Ejector) Remove(id string) {
	r := e.replicas[id]
	if r == nil || !e.applyTrigger(r, triggerGone) {
		return
	}
	delete(e.replicas, id)
	e.replicasByService[r.service] = slices.DeleteFunc(e.replicasByService[r.service], func(other *replica) bool { return other == r })
}
