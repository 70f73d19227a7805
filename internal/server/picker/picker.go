// Package picker chooses the upstream for an attempt.
package picker

import (
	"math/rand/v2"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/indexer"
)

// Parameters of the selection.
const (
	// sampleSize is the number of random candidates compared.
	sampleSize = 2
	// maxDraws bounds the random draws; if none is allowed, the replicas are scanned
	// in order.
	maxDraws = 8
	// maxFullScan is the largest number of replicas of which all are compared.
	maxFullScan = 8
	// A replica that has the prompt's prefix cached is considered while its attempts
	// are at most affinityLoadFactor times the mean of the compared candidates plus
	// affinityLoadMargin.
	affinityLoadFactor = 1.25
	affinityLoadMargin = 2
	// staleReportAge is the age above which the weight of a report decreases.
	staleReportAge = time.Second
	// slowdownPerRequest is the fraction by which each request slows the decoding of
	// the others on an engine.
	slowdownPerRequest = 0.02
	// remoteDatacentreSeconds is the additional time of an attempt in another data
	// centre.
	remoteDatacentreSeconds = 0.002
	// nominalSeconds is the assumed time of an attempt at a service other than an
	// engine. Only its ratio to remoteDatacentreSeconds matters.
	nominalSeconds = 0.01
	// defaultSlots is the number of slots assumed for replicas that do not report it.
	defaultSlots = 8
	// defaultPrefillRate and defaultDecodeRate are the rates, in tokens per second,
	// assumed for replicas that do not report them.
	defaultPrefillRate = 20000
	defaultDecodeRate  = 50
)

// Picker picks the candidate with the earliest estimated finish. It implements
// server.Picker.
type Picker struct {
	index *indexer.Indexer
	// pausedFor returns for how long a replica wants no requests.
	pausedFor func(*server.Upstream) time.Duration
}

// Option sets a property of a Picker.
type Option func(*Picker)

// WithPauses sets a function that returns for how long a replica wants no requests. It is not picked then.
func WithPauses(pausedFor func(*server.Upstream) time.Duration) Option {
	return func(p *Picker) { p.pausedFor = pausedFor }
}

// New returns a Picker; index may be nil.
func New(index *indexer.Indexer, options ...Option) *Picker {
	p := &Picker{index: index, pausedFor: func(*server.Upstream) time.Duration { return 0 }}
	for _, option := range options {
		option(p)
	}
	return p
}

// strictness is the set of conditions that a candidate has to meet.
type strictness uint8

// Each level drops one condition of the one before. Leaving and paused replicas, and those of another
// software version or model than requested, are never picked.
const (
	strict strictness = iota
	allowAttempted
	allowEjected
	strictnessCount
)

// Pick implements server.Picker. If no replica meets all conditions, it picks one that
// was attempted before, and if there is none either, one that is ejected.
func (p *Picker) Pick(snapshot *server.Snapshot, request *server.PickRequest, now time.Time, random *rand.Rand) *server.Upstream {
	upstreams := snapshot.Upstreams(request.Service)
	for level := strict; level < strictnessCount; level++ {
		c := selection{picker: p, snapshot: snapshot, request: request, now: now, level: level}
		c.compareSample(upstreams, random)
		if c.best == nil {
			continue
		}
		if p.index != nil && len(request.BlockHashes) > 0 {
			c.comparePrefixHolders()
		}
		return c.best
	}
	return nil
}

// selection is the state of one pick.
type selection struct {
	picker         *Picker
	snapshot       *server.Snapshot
	request        *server.PickRequest
	now            time.Time
	level          strictness
	best           *server.Upstream
	bestSeconds    float64 // estimated time until best would finish the attempt
	pendingTotal   float64 // attempts at all compared candidates
	candidateCount int
}

// compareSample compares all replicas if there are few, else a random sample.
func (c *selection) compareSample(upstreams []*server.Upstream, random *rand.Rand) {
	if len(upstreams) == 0 {
		return
	}
	start := random.IntN(len(upstreams))
	if len(upstreams) > maxFullScan {
		for range maxDraws {
			if c.compare(upstreams[random.IntN(len(upstreams))]); c.candidateCount == sampleSize {
				return
			}
		}
		if c.best != nil {
			return
		}
	}
	for i := range upstreams {
		c.compare(upstreams[(start+i)%len(upstreams)])
		if len(upstreams) > maxFullScan && c.candidateCount == sampleSize {
			return
		}
	}
}

// isAllowed reports whether a replica meets the conditions of the level and has the
// model.
func (c *selection) isAllowed(u *server.Upstream) bool {
	if u.IsLeaving() || c.isPaused(u) || (c.level < allowEjected && u.IsEjected()) {
		return false
	}
	if c.request.Version != nil && u.Version() != *c.request.Version {
		return false
	}
	if c.level < allowAttempted && slices.Contains(c.request.AttemptedUpstreams, u.ID()) {
		return false
	}
	_, ok := u.ServingModel(c.request.Model)
	return ok
}

// isPaused reports whether a replica has requested a pause.
func (c *selection) isPaused(u *server.Upstream) bool {
	return c.picker != nil && c.picker.pausedFor(u) > 0
}

// compare compares a replica with the best so far if it is allowed.
func (c *selection) compare(u *server.Upstream) {
	if !c.isAllowed(u) {
		return
	}
	pending := PendingAttempts(u, c.now)
	c.candidateCount++
	c.pendingTotal += pending
	cachedBlocks := 0.0
	if c.picker.index != nil && len(c.request.BlockHashes) > 0 {
		cachedBlocks = c.picker.index.ExpectedBlocks(u.ID(), c.request.BlockHashes, c.now)
	}
	c.keepBetter(u, c.estimateSeconds(u, pending, cachedBlocks))
}

// keepBetter replaces the best replica by one that would finish sooner.
func (c *selection) keepBetter(u *server.Upstream, seconds float64) {
	if c.best == nil || seconds < c.bestSeconds {
		c.best, c.bestSeconds = u, seconds
	}
}

// comparePrefixHolders compares the replicas that have the prompt's prefix cached and
// not too many attempts.
func (c *selection) comparePrefixHolders() {
	var holders [indexer.MaxHolders]indexer.Holder
	maxPending := c.pendingTotal/float64(c.candidateCount)*affinityLoadFactor + affinityLoadMargin
	for _, h := range holders[:c.picker.index.Holders(c.request.BlockHashes, c.now, &holders)] {
		u := c.snapshot.Upstream(h.EngineID)
		if u == nil || u.Service() != c.request.Service || !c.isAllowed(u) {
			continue
		}
		if pending := PendingAttempts(u, c.now); pending <= maxPending {
			c.keepBetter(u, c.estimateSeconds(u, pending, float64(h.BlockCount)*h.Confidence))
		}
	}
}

// estimateSeconds estimates the time until a replica would finish the attempt.
func (c *selection) estimateSeconds(u *server.Upstream, pending, cachedBlocks float64) float64 {
	load := u.Load()
	slots := orDefault(float64(load.Slots), defaultSlots)
	work := nominalSeconds * (1 + pending/slots)
	if c.request.ExpectedTokens > 0 && c.request.Prompt != "" {
		prompt := max(float64(messenger.CountTokens(c.request.Prompt))-cachedBlocks*messenger.BlockTokens, 1)
		work = prompt/orDefault(load.PrefillRate, defaultPrefillRate) +
			float64(c.request.ExpectedTokens)/orDefault(load.DecodeRate, defaultDecodeRate)*(1+slowdownPerRequest*pending)
	}
	seconds := work
	if queued := pending - slots + 1; queued > 0 {
		seconds += queued / slots * work
	}
	if u.Datacentre() != c.snapshot.Datacentre() {
		seconds += remoteDatacentreSeconds
	}
	return seconds
}

// PendingAttempts estimates the number of attempts at a replica. To the attempts of
// this instance it adds those of other instances: the larger of what the last report
// shows, weighted less as it ages, and of what the peers announced.
func PendingAttempts(u *server.Upstream, now time.Time) float64 {
	load := u.Load()
	peerAttempts := max(float64(load.Running+load.Waiting)-float64(u.InflightAtReport()), 0)
	if age := now.Sub(load.ReportedAt); age > staleReportAge {
		peerAttempts *= float64(staleReportAge) / float64(age)
	}
	return max(peerAttempts, float64(u.PeerInflight())) + float64(u.Gauge().Inflight())
}

// orDefault returns the value, or the fallback if the value is not positive.
func orDefault(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
