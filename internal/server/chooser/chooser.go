// Package chooser names the replica that a relayed request is sent to.
package chooser

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// failGain is the weight of the newest outcome in a replica's failure rate,
	// failHalf the time in which the rate halves without news.
	failGain = 0.3
	failHalf = 2 * time.Second
	// avoidRate is the failure rate from which other replicas are preferred.
	avoidRate = 0.4
	// firstEject and lastEject bound how long an unreachable replica is avoided.
	firstEject = 400 * time.Millisecond
	lastEject  = 3 * time.Second
	// loadFresh is how long a told load is believed.
	loadFresh = 400 * time.Millisecond
	// spreadFree and spreadFactor bound the requests of this instance at one
	// engine, over its average, before affinity yields.
	spreadFree   = 4
	spreadFactor = 2
	// fullShare is the part of an engine's slots from which affinity yields.
	fullShare = 0.7
	// stalledFactor and stalledLeast say when a request without an answer's
	// beginning speaks against its replica.
	stalledFactor = 6
	stalledLeast  = time.Second
	// headGain is the weight of the newest time to an answer's beginning.
	headGain = 0.1
	// forgetAfter is when a replica that is not listed any more is forgotten.
	forgetAfter = 30 * time.Second
)

// Chooser tracks replicas by what this instance saw of them.
type Chooser struct {
	timer    server.Timer
	mu       sync.Mutex
	replicas map[string]*gauge
	heads    map[string]time.Duration
}

// gauge is one incarnation of a replica as this instance saw it.
type gauge struct {
	born     int64
	pending  []*Use
	failing  float64
	seen     time.Time
	ejected  time.Time
	ejects   int
	load     int
	slots    int
	loadedAt time.Time
}

// Use is one request at a replica.
type Use struct {
	chooser *Chooser
	service string
	id      string
	began   time.Time
	headed  bool
}

// New returns a Chooser.
func New(timer server.Timer) *Chooser {
	return &Chooser{timer: timer, replicas: make(map[string]*gauge), heads: make(map[string]time.Duration)}
}

// Want is what a request looks for.
type Want struct {
	// Affinity names what a replica may have in its cache; "" spreads by load.
	Affinity string
	// Tried are the replicas that this request was sent to.
	Tried []string
}

// Pick returns the best of the replicas, or false when all were tried.
func (c *Chooser) Pick(replicas []server.Replica, want Want) (server.Replica, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	candidates := make([]*candidate, 0, len(replicas))
	total := 0
	for i := range replicas {
		if slices.Contains(want.Tried, replicas[i].ID) {
			continue
		}
		g := c.gauge(&replicas[i], now)
		total += len(g.pending)
		candidates = append(candidates, &candidate{Replica: &replicas[i], gauge: g, avoid: c.avoid(g, replicas[i].Service, now)})
	}
	if len(candidates) == 0 {
		return server.Replica{}, false
	}
	if want.Affinity != "" {
		return *c.affine(candidates, want.Affinity, total, now).Replica, true
	}
	return *c.least(candidates, now).Replica, true
}

// candidate is a replica that may be picked; avoid is higher the worse it is.
type candidate struct {
	*server.Replica
	gauge *gauge
	avoid int
	order uint64
}

// affine picks by rendezvous, so that all instances agree without talk, and
// passes over replicas that are busier than most.
func (c *Chooser) affine(candidates []*candidate, affinity string, total int, now time.Time) *candidate {
	for _, k := range candidates {
		k.order = xxhash.Sum64String(affinity + "\x00" + k.ID)
	}
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.avoid, b.avoid), cmp.Compare(b.order, a.order))
	})
	bound := spreadFree + spreadFactor*total/len(candidates)
	for _, k := range candidates {
		if k.avoid > candidates[0].avoid {
			break
		}
		full := k.gauge.slots > 0 && now.Sub(k.gauge.loadedAt) < loadFresh && float64(k.gauge.load) > fullShare*float64(k.gauge.slots)
		if len(k.gauge.pending) < bound && !full {
			return k
		}
	}
	return candidates[0]
}

// least picks the replica with the fewest requests, as far as known.
func (c *Chooser) least(candidates []*candidate, now time.Time) *candidate {
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return slices.MinFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.avoid, b.avoid), cmp.Compare(a.gauge.busy(now), b.gauge.busy(now)))
	})
}

// busy is the number of requests that the replica is known to have.
func (g *gauge) busy(now time.Time) int {
	if now.Sub(g.loadedAt) < loadFresh {
		return max(g.load, len(g.pending))
	}
	return len(g.pending)
}

// gauge returns a replica's; a new incarnation begins anew. mu is held.
func (c *Chooser) gauge(replica *server.Replica, now time.Time) *gauge {
	g := c.replicas[replica.ID]
	if g == nil || g.born != replica.Born {
		g = &gauge{born: replica.Born, seen: now}
		c.replicas[replica.ID] = g
	}
	return g
}

// avoid ranks what speaks against a replica: 0 is nothing.
func (c *Chooser) avoid(g *gauge, service string, now time.Time) int {
	g.fade(now)
	switch {
	case now.Before(g.ejected):
		return 3
	case g.failing > avoidRate:
		return 2
	case c.stalled(g, service, now):
		return 1
	default:
		return 0
	}
}

// stalled reports whether requests wait at the replica for much longer than
// the service usually takes.
func (c *Chooser) stalled(g *gauge, service string, now time.Time) bool {
	bound := max(stalledFactor*c.heads[service], stalledLeast)
	for _, use := range g.pending {
		if !use.headed && now.Sub(use.began) > bound {
			return true
		}
	}
	return false
}

// Usual returns the usual time to the beginning of a service's answers; zero
// before the first.
func (c *Chooser) Usual(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heads[service]
}

func (g *gauge) fade(now time.Time) {
	for step := now.Sub(g.seen); step >= failHalf; step -= failHalf {
		g.failing /= 2
		g.seen = g.seen.Add(failHalf)
		if g.failing < avoidRate/1000 {
			g.seen = now
			return
		}
	}
}

// Begin notes that a request is sent to a replica. End must be called once.
func (c *Chooser) Begin(replica *server.Replica) *Use {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	use := &Use{chooser: c, service: replica.Service, id: replica.ID, began: now}
	g := c.gauge(replica, now)
	g.pending = append(g.pending, use)
	return use
}

// Headed notes that the answer began, and the load that it told.
func (u *Use) Headed(head server.Head) {
	c := u.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	u.headed = true
	if !head.Refused {
		took := now.Sub(u.began)
		if c.heads[u.service] == 0 {
			c.heads[u.service] = took
		}
		c.heads[u.service] += time.Duration(headGain * float64(took-c.heads[u.service]))
	}
	if g := c.replicas[u.id]; g != nil && head.Loaded {
		g.load, g.slots, g.loadedAt = head.Running+head.Waiting, head.Slots, now
	}
}

// Outcome is what a use says of its replica.
type Outcome uint8

// What a use says of its replica.
const (
	// Neutral says nothing: the client left, or the request was refused.
	Neutral Outcome = iota
	Good
	Bad
	// Unreached means that no connection was had.
	Unreached
)

// End notes how a use ended.
func (u *Use) End(outcome Outcome) {
	c := u.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	g := c.replicas[u.id]
	if g == nil {
		return
	}
	g.pending = slices.DeleteFunc(g.pending, func(other *Use) bool { return other == u })
	g.fade(now)
	switch outcome {
	case Good:
		g.failing -= failGain * g.failing
		g.ejects, g.seen = 0, now
	case Bad:
		g.failing += failGain * (1 - g.failing)
		g.seen = now
	case Unreached:
		g.ejected = now.Add(min(firstEject<<min(g.ejects, 6), lastEject))
		g.ejects++
	case Neutral:
	}
}

// Forget drops replicas that are listed no more and hold no request.
func (c *Chooser) Forget(listed func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	for id, g := range c.replicas {
		if !listed(id) && len(g.pending) == 0 && now.Sub(g.seen) > forgetAfter {
			delete(c.replicas, id)
		}
	}
}
