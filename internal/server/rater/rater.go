// Package rater learns the speeds of replicas: how long work takes at each relative to usual, and up to
// which load it does not slow down.
//
// A Rater decides and keeps state; it starts no goroutine and sends nothing. A Sender exchanges what
// the raters of all instances have learned.
package rater

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
)

// Mode states from what speeds are learned.
type Mode string

// The modes.
const (
	// ModeStated learns from the paces that replicas state.
	ModeStated Mode = "stated"
	// ModeInferred also learns from latencies, of services whose replicas state no pace.
	ModeInferred Mode = "inferred"
	// ModeOff learns nothing.
	ModeOff Mode = "off"
)

// ParseMode returns the mode of a name.
func ParseMode(name string) (Mode, error) {
	switch mode := Mode(name); mode {
	case ModeStated, ModeInferred, ModeOff:
		return mode, nil
	default:
		return "", merry.Errorf("speeds: %q is not one of stated, inferred, off", name)
	}
}

const (
	// differingRatio is the ratio to usual from which a pace counts as different.
	differingRatio = 1.25
	// activeTime is how long a service counts as having differing speeds after the last sign of one.
	activeTime = 10 * time.Second
	// retention is how long a replica is kept after its last update.
	retention = 30 * time.Second
	// evictionInterval is how often replicas are checked for eviction.
	evictionInterval = 5 * time.Second
)

// Members tells which instance owns a name.
type Members interface {
	// OwnerID returns the ID of the instance that owns a name.
	OwnerID(name string) string
	// Availability returns the number of instances that respond, and of those that are known.
	Availability() (available, known int)
}

// Rater implements server.SpeedKeeper. It is safe for concurrent use.
type Rater struct {
	log     logr.Logger
	timer   server.Timer
	mode    Mode
	self    string
	members Members
	// hasStatements is set once a replica has stated its pace to this instance.
	hasStatements atomic.Bool
	// mu guards the fields below.
	mu        sync.Mutex
	services  map[string]*service
	evictedAt time.Time
	lines     lineBudget
	random    *rand.Rand
}

// service is what is known of the replicas of one service.
type service struct {
	name     string
	replicas map[string]*replica
	// usual holds the usual times to the response headers, by size class.
	usual map[int]*usualTime
	// isStated is set once a replica has stated its pace.
	isStated bool
	// activeUntil is until when the service counts as having differing speeds.
	activeUntil time.Time
	budgets
}

// replica is what is known of one incarnation of a replica.
type replica struct {
	id          string
	startMillis int64
	stated      statedPace
	inferred    inferredPace
	limit       loadLimit
	updatedAt   time.Time
	isSlow      bool
	exchange
}

// Option sets a property of a Rater.
type Option func(*Rater)

// WithRandom sets the source of the random numbers by which messages are spread over time and reports
// are selected; the default is that of the process.
func WithRandom(source rand.Source) Option {
	return func(r *Rater) { r.random = rand.New(source) }
}

// processSource is the random source of the process.
type processSource struct{}

// Uint64 implements rand.Source.
func (processSource) Uint64() uint64 { return rand.Uint64() }

// New returns a Rater for the instance with an ID.
func New(log logr.Logger, timer server.Timer, mode Mode, self string, members Members, options ...Option) *Rater {
	r := &Rater{
		log: log, timer: timer, mode: mode, self: self, members: members, services: make(map[string]*service),
		random: rand.New(processSource{}),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// HasSpeeds implements server.SpeedKeeper.
func (r *Rater) HasSpeeds(name string) bool {
	if r.mode == ModeOff {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	return s != nil && r.timer.Now().Before(s.activeUntil)
}

// HasStatements reports whether a replica of any service has stated its pace to this instance.
func (r *Rater) HasStatements() bool { return r.hasStatements.Load() }

// Speed implements server.SpeedKeeper.
func (r *Rater) Speed(of *server.Replica) server.Speed {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual := server.Speed{Pace: 1}
	s := r.services[of.Service]
	if s == nil || r.mode == ModeOff {
		return usual
	}
	p := s.replicas[of.ID]
	if p == nil || p.startMillis != of.StartMillis {
		return usual
	}
	return s.speed(p, r.timer.Now())
}

// speed returns the speed of a replica. What this instance learned counts if it is later than what
// the owner shared, and for inferred paces as long as shared values are valid.
func (s *service) speed(p *replica, now time.Time) server.Speed {
	pace, limit := p.ownPace(now), p.limit.value(now)
	weight := p.shared.weight(now)
	if weight > 0 && (s.isStated && p.shared.at.After(p.stated.at) || !s.isStated && (!p.inferred.isKnown() || now.Sub(p.inferred.at) > sharedLifetime)) {
		pace += weight * (p.shared.pace - pace)
	}
	if limit == 0 && weight > 0 {
		limit = p.shared.limit
	}
	return server.Speed{Pace: bound(pace), Limit: limit}
}

// ownPace returns the pace that this instance has learned.
func (p *replica) ownPace(now time.Time) float64 {
	if p.stated.isKnown() {
		return p.stated.paceAt(now)
	}
	return p.inferred.paceAt(now)
}

// RecordSample implements server.SpeedKeeper. A response to a misdirected request was written by another
// replica. An error may be quicker than any work, so it shows nothing.
func (r *Rater) RecordSample(of *server.Replica, sample server.SpeedSample) {
	info := &sample.Info
	if r.mode == ModeOff || info.IsMisdirected || info.IsFailure && !info.IsRefused {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[of.Service]
	if s == nil {
		if r.mode == ModeStated && info.Pace <= 0 {
			return
		}
		s = r.addService(of.Service)
	}
	now := r.timer.Now()
	switch {
	case info.Pace > 0:
		s.isStated = true
		r.hasStatements.Store(true)
		if p := s.replica(of.ID, of.StartMillis, now); p != nil {
			p.stated.observe(info.Pace, now)
			r.learn(s, p, info.Pace, info, now)
		}
	case r.mode == ModeInferred && !s.isStated && !info.IsRefused:
		r.infer(s, of, sample, now)
	}
}

// infer records the pace that the latency of an attempt shows. mu must be held.
func (r *Rater) infer(s *service, of *server.Replica, sample server.SpeedSample, now time.Time) {
	u := s.usual[sample.SizeClass]
	if u == nil {
		if len(s.usual) >= maxSizeClasses {
			return
		}
		u = &usualTime{}
		s.usual[sample.SizeClass] = u
	}
	var ratio float64
	var ok bool
	if sample.HasNoHeaders {
		ratio, ok = u.ratio(sample.Elapsed)
	} else {
		ratio, ok = u.observe(sample.Elapsed)
	}
	p := s.replica(of.ID, of.StartMillis, now)
	if info := &sample.Info; info.HasLoad && info.Slots > 0 {
		// A queue shows the load rather than the speed.
		ratio /= max(1, float64(info.Running+info.Waiting)/float64(info.Slots))
	}
	// The time of an attempt without headers is only a lower bound.
	if !ok || p == nil || sample.HasNoHeaders && ratio <= max(p.inferred.paceAt(now), 1) {
		return
	}
	p.inferred.observe(ratio, now)
	r.learn(s, p, ratio, &sample.Info, now)
}

// learn updates what follows from a pace that was observed at a load. mu must be held.
func (r *Rater) learn(s *service, p *replica, pace float64, info *server.ResponseInfo, now time.Time) {
	p.updatedAt, p.isUnreported = now, true
	if info.HasLoad {
		p.limit.observe(pace, info.Running+info.Waiting, info.Slots, now)
	}
	if differs(p.ownPace(now), 1) || p.limit.value(now) > 0 {
		s.activeUntil = now.Add(activeTime)
	}
	r.classify(s, p, now)
}

// addService adds a service. mu must be held.
func (r *Rater) addService(name string) *service {
	s := &service{name: name, replicas: make(map[string]*replica), usual: make(map[int]*usualTime)}
	r.services[name] = s
	return s
}

// replica returns the state of an incarnation of a replica, or nil if a later one is known. A new
// incarnation gets a new state.
func (s *service) replica(id string, startMillis int64, now time.Time) *replica {
	p := s.replicas[id]
	switch {
	case p != nil && p.startMillis > startMillis:
		return nil
	case p == nil || p.startMillis < startMillis:
		p = &replica{id: id, startMillis: startMillis}
		s.replicas[id] = p
	}
	p.updatedAt = now
	return p
}

// evict removes replicas that were not updated for long. mu must be held.
func (r *Rater) evict(now time.Time) {
	if now.Sub(r.evictedAt) < evictionInterval {
		return
	}
	r.evictedAt = now
	for _, s := range r.services {
		for id, p := range s.replicas {
			if now.Sub(p.updatedAt) > retention {
				delete(s.replicas, id)
			}
		}
	}
}

// differs reports whether a pace differs from another by more than a quarter.
func differs(a, b float64) bool { return a > differingRatio*b || b > differingRatio*a }
