// Package chooser chooses the replica to which a relayed request is sent.
package chooser

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// failureWeight is the weight of the newest outcome in a replica's failure rate.
	failureWeight = 0.3
	// failureHalfLife is the time in which the rate halves without new outcomes.
	failureHalfLife = 2 * time.Second
	// maxFailureRate is the failure rate above which other replicas are preferred.
	maxFailureRate = 0.4
	// minEjection and maxEjection bound how long an unreachable replica is avoided.
	minEjection = 400 * time.Millisecond
	maxEjection = 3 * time.Second
	// loadMaxAge is how long a reported load is used.
	loadMaxAge = 400 * time.Millisecond
	// A replica is not picked by affinity if this instance's requests there exceed
	// affinityLoadFactor times the average per candidate by affinityFreeRequests or
	// more.
	affinityFreeRequests = 4
	affinityLoadFactor   = 2
	// affinityMaxUtilization is the fraction of a replica's slots in use above which
	// it is not picked by affinity.
	affinityMaxUtilization = 0.7
	// A replica counts as stalled if a request has waited for the response headers
	// for stallFactor times the service's typical time, and at least minStallTime.
	stallFactor  = 6
	minStallTime = time.Second
	// headerTimeWeight is the weight of the newest sample in the typical time to the
	// response headers.
	headerTimeWeight = 0.1
	// unlistedTTL is how long the state of a replica that is no longer listed is kept
	// after its last update.
	unlistedTTL = 30 * time.Second
)

// Chooser tracks the state of replicas from the outcomes of this instance's requests.
// It is safe for concurrent use.
type Chooser struct {
	timer    server.Timer
	mu       sync.Mutex
	replicas map[string]*replicaState
	// headerTimes is the typical time to the response headers, by service.
	headerTimes map[string]time.Duration
	// speeds knows the speeds of replicas; nil if none are learned.
	speeds       server.SpeedKeeper
	changedCount atomic.Uint64
	// random is used with mu held.
	random *rand.Rand
}

// replicaState is the state of one incarnation of a replica.
type replicaState struct {
	startMillis int64
	inflight    []*Attempt
	// failureRate is the smoothed fraction of failures as of decayedAt.
	failureRate float64
	decayedAt   time.Time
	// ejectedUntil is the end of the last ejection; ejections counts those since the
	// last success.
	ejectedUntil time.Time
	ejections    int
	// load is the number of requests in progress and waiting that the replica
	// reported at loadReportedAt.
	load           int
	slots          int
	loadReportedAt time.Time
}

// Attempt is one request sent to a replica.
type Attempt struct {
	chooser    *Chooser
	service    string
	id         string
	startedAt  time.Time
	hasHeaders bool
	// replica is what identifies the replica to the keeper of speeds, sample what the attempt has
	// shown of its speed.
	replica server.Replica
	sample  server.SpeedSample
}

// Option sets a property of a Chooser.
type Option func(*Chooser)

// WithSpeeds has the expected time at replicas considered, by their learned speeds.
func WithSpeeds(speeds server.SpeedKeeper) Option {
	return func(c *Chooser) { c.speeds = speeds }
}

// WithRandom sets the source of the random numbers by which replicas are picked; the default is that of
// the process.
func WithRandom(source rand.Source) Option {
	return func(c *Chooser) { c.random = rand.New(source) }
}

// processSource is the random source of the process.
type processSource struct{}

// Uint64 implements rand.Source.
func (processSource) Uint64() uint64 { return rand.Uint64() }

// New returns a Chooser without any state.
func New(timer server.Timer, options ...Option) *Chooser {
	c := &Chooser{
		timer: timer, replicas: make(map[string]*replicaState), headerTimes: make(map[string]time.Duration),
		random: rand.New(processSource{}),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Criteria describes the replica that a request needs.
type Criteria struct {
	// AffinityKey identifies data that a replica may have cached. If it is empty, the
	// replica is picked by load alone.
	AffinityKey string
	// AttemptedReplicas are the replicas to which the request was sent before.
	AttemptedReplicas []string
}

// Pick returns the best of the replicas, or false if the request was sent to all of them
// before.
func (c *Chooser) Pick(replicas []server.Replica, criteria Criteria) (server.Replica, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	candidates := make([]*candidate, 0, len(replicas))
	values := make([]candidate, len(replicas)) // one allocation for all candidates
	totalInflight := 0
	for i := range replicas {
		if slices.Contains(criteria.AttemptedReplicas, replicas[i].ID) {
			continue
		}
		g := c.replicaState(&replicas[i], now)
		totalInflight += len(g.inflight)
		values[i] = candidate{Replica: &replicas[i], replicaState: g, penalty: c.penalty(g, replicas[i].Service, now)}
		candidates = append(candidates, &values[i])
	}
	if len(candidates) == 0 {
		return server.Replica{}, false
	}
	hasSpeeds := c.addSpeeds(candidates)
	if criteria.AffinityKey != "" {
		maxPace := math.Inf(1)
		if hasSpeeds {
			maxPace = maxAffinityPace(candidates)
		}
		return *c.pickByAffinity(candidates, criteria.AffinityKey, totalInflight, maxPace, now).Replica, true
	}
	if hasSpeeds {
		return *c.pickLeastTime(candidates, now).Replica, true
	}
	return *c.pickLeastLoaded(candidates, now).Replica, true
}

// candidate is a replica that may be picked. Those with a lower penalty are preferred.
type candidate struct {
	*server.Replica
	replicaState *replicaState
	penalty      int
	hash         uint64
	// speed is what is known of the speed, usualSpeed if nothing is. score is the expected time
	// relative to that at the others.
	speed server.Speed
	score float64
}

// pickByAffinity picks by rendezvous hashing, so that all instances pick the same
// replica without coordination. It skips replicas with too much load, and those whose pace is above
// maxPace; if all that have the lowest penalty are skipped, it picks the first of them, or the first
// that is not too slow.
func (c *Chooser) pickByAffinity(candidates []*candidate, affinity string, totalInflight int, maxPace float64, now time.Time) *candidate {
	for _, k := range candidates {
		k.hash = xxhash.Sum64String(affinity + "\x00" + k.ID)
	}
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), cmp.Compare(b.hash, a.hash))
	})
	maxInflight := affinityFreeRequests + affinityLoadFactor*totalInflight/len(candidates)
	var firstAtSpeed *candidate
	isYielding := false
	for _, k := range candidates {
		if k.penalty > candidates[0].penalty {
			break
		}
		switch {
		case k.speed.Pace > maxPace:
			isYielding = true
		case len(k.replicaState.inflight) < maxInflight && !k.isBusy(now):
			if isYielding {
				c.changedCount.Add(1)
			}
			return k
		case firstAtSpeed == nil:
			firstAtSpeed = k
		}
	}
	if firstAtSpeed != nil {
		return firstAtSpeed
	}
	return candidates[0]
}

// pickLeastLoaded picks the replica with the fewest known requests among those with
// the lowest penalty, and a random one of several equal ones.
func (c *Chooser) pickLeastLoaded(candidates []*candidate, now time.Time) *candidate {
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return slices.MinFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), cmp.Compare(a.replicaState.requestCount(now), b.replicaState.requestCount(now)))
	})
}

// requestCount returns the number of requests that the replica is known to have: the
// reported load while it is recent, and at least those of this instance.
func (g *replicaState) requestCount(now time.Time) int {
	if now.Sub(g.loadReportedAt) < loadMaxAge {
		return max(g.load, len(g.inflight))
	}
	return len(g.inflight)
}

// replicaState returns the state of a replica. A new incarnation gets a new state. mu
// must be held.
func (c *Chooser) replicaState(replica *server.Replica, now time.Time) *replicaState {
	g := c.replicas[replica.ID]
	if g == nil || g.startMillis != replica.StartMillis {
		g = &replicaState{startMillis: replica.StartMillis, decayedAt: now}
		c.replicas[replica.ID] = g
	}
	return g
}

// penalty returns the penalty of a replica: 3 if it is ejected, 2 if it fails often, 1 if
// requests are stalled there, else 0. mu must be held.
func (c *Chooser) penalty(g *replicaState, service string, now time.Time) int {
	g.decay(now)
	switch {
	case now.Before(g.ejectedUntil):
		return 3
	case g.failureRate > maxFailureRate:
		return 2
	case c.isStalled(g, service, now):
		return 1
	default:
		return 0
	}
}

// isStalled reports whether a request has waited at the replica for much longer than
// is typical for the service. mu must be held.
func (c *Chooser) isStalled(g *replicaState, service string, now time.Time) bool {
	maxWait := max(stallFactor*c.headerTimes[service], minStallTime)
	for _, attempt := range g.inflight {
		if !attempt.hasHeaders && now.Sub(attempt.startedAt) > maxWait {
			return true
		}
	}
	return false
}

// TypicalHeaderTime returns the typical time to a service's response headers, or zero before
// the first response.
func (c *Chooser) TypicalHeaderTime(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headerTimes[service]
}

// decay halves the failure rate for every failureHalfLife since decayedAt.
func (g *replicaState) decay(now time.Time) {
	for step := now.Sub(g.decayedAt); step >= failureHalfLife; step -= failureHalfLife {
		g.failureRate /= 2
		g.decayedAt = g.decayedAt.Add(failureHalfLife)
		if g.failureRate < maxFailureRate/1000 {
			g.decayedAt = now
			return
		}
	}
}

// Begin records that a request is sent to a replica. End must be called once.
func (c *Chooser) Begin(replica *server.Replica, options ...AttemptOption) *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	attempt := &Attempt{
		chooser: c, service: replica.Service, id: replica.ID, startedAt: now,
		replica: server.Replica{ID: replica.ID, Service: replica.Service, StartMillis: replica.StartMillis, Slots: replica.Slots},
	}
	for _, option := range options {
		option(attempt)
	}
	g := c.replicaState(replica, now)
	g.inflight = append(g.inflight, attempt)
	return attempt
}

// RecordHeaders records the arrival of the response headers and the load that they report.
// The time to a refusal does not count for the service's typical time.
func (u *Attempt) RecordHeaders(info server.ResponseInfo) {
	c := u.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	u.hasHeaders = true
	u.recordSpeed(info, now)
	if !info.IsRefused {
		elapsed := now.Sub(u.startedAt)
		if c.headerTimes[u.service] == 0 {
			c.headerTimes[u.service] = elapsed
		}
		c.headerTimes[u.service] += time.Duration(headerTimeWeight * float64(elapsed-c.headerTimes[u.service]))
	}
	if g := c.replicas[u.id]; g != nil && info.HasLoad {
		g.load, g.slots, g.loadReportedAt = info.Running+info.Waiting, info.Slots, now
	}
}

// Outcome is the result of a request, as far as it concerns the state of its replica.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeNeutral does not count: the client disconnected, or the request was refused.
	OutcomeNeutral Outcome = iota
	// OutcomeSuccess counts as a success and OutcomeFailure as a failure.
	OutcomeSuccess
	OutcomeFailure
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable
)

// End records the outcome of the request.
func (u *Attempt) End(outcome Outcome) {
	c := u.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	u.recordNoHeaders(outcome, now)
	g := c.replicas[u.id]
	if g == nil {
		return
	}
	g.inflight = slices.DeleteFunc(g.inflight, func(other *Attempt) bool { return other == u })
	g.decay(now)
	switch outcome {
	case OutcomeSuccess:
		g.failureRate -= failureWeight * g.failureRate
		g.ejections, g.decayedAt = 0, now
	case OutcomeFailure:
		g.failureRate += failureWeight * (1 - g.failureRate)
		g.decayedAt = now
	case OutcomeUnreachable:
		g.ejectedUntil = now.Add(min(minEjection<<min(g.ejections, 6), maxEjection))
		g.ejections++
	case OutcomeNeutral:
	}
}

// RemoveUnlisted deletes the state of replicas that are no longer listed, have no
// request in progress and were last updated more than unlistedTTL ago.
func (c *Chooser) RemoveUnlisted(listed func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	for id, g := range c.replicas {
		if !listed(id) && len(g.inflight) == 0 && now.Sub(g.decayedAt) > unlistedTTL {
			delete(c.replicas, id)
		}
	}
}
