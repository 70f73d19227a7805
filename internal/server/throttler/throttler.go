// Package throttler keeps the limits of requests a second from all instances together: those that replicas
// state, and those of cold replicas.
//
// The limits of a service's replicas have an owner among the instances, chosen by rendezvous hash.
// The others ask it before they send a request to a replica that states a limit or is cold. What a replica
// states is passed on to all instances; that it is cold they read from the store, and state it when they ask.
package throttler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// askTimeout bounds the wait for the response of the owner.
	askTimeout = 150 * time.Millisecond
	// failureBlock is how long a replica gets no request after its owner did not respond.
	failureBlock = 100 * time.Millisecond
	// maxBlock bounds how long a replica gets no request after its owner granted none.
	maxBlock = time.Second
	// maxAsked bounds the replicas in one request to the owner.
	maxAsked = 16
	// tokenLifetime is how long a request that was granted in advance may be sent.
	tokenLifetime = 200 * time.Millisecond
)

// Links carries messages to other instances.
type Links interface {
	// OwnerID returns the ID of the instance that owns a name.
	OwnerID(name string) string
	// Availability returns the number of instances that respond, and of those that are known.
	Availability() (available, known int)
	// Ask sends a frame and returns the response.
	Ask(ctx context.Context, id string, frame *encoder.Frame) (*encoder.Frame, error)
	// Broadcast sends a frame to all linked instances.
	Broadcast(frame *encoder.Frame)
}

// Throttler implements server.LimitKeeper.
type Throttler struct {
	log   logr.Logger
	timer server.Timer
	self  string
	links Links
	// coldRatio and coldSlack bound the requests to cold replicas; see WithColdBound.
	coldRatio, coldSlack float64
	// limitedCount is the number of replicas that state a limit, knownCount that of those which
	// have stated one lately.
	limitedCount, knownCount  atomic.Int64
	grantedCount, deniedCount atomic.Uint64
	// coldEnd is when the last replica that is known to be cold will be warm, in Unix nanoseconds.
	coldEnd         atomic.Int64
	stopMaintenance func()
	// mu guards the fields below.
	mu sync.Mutex
	// limits holds what is known of the limits of replicas, by incarnation.
	limits map[string]*limit
	// rankBlocks holds by service until when requests of a rank and those after it get no replica,
	// while all replicas state limits.
	rankBlocks map[string]map[int]time.Time
	// ledgers holds the state of the services whose limits this instance owns.
	ledgers map[string]*ledger
	// changed are the incarnations whose limits are to be announced; isAnnouncing is set while
	// that is due.
	changed      map[string]bool
	isAnnouncing bool
	// newlyCold are the replicas that this instance has read to be cold and no instance has announced yet, and when.
	newlyCold map[string]time.Time
}

// limit is what this instance knows of the limit of one replica.
type limit struct {
	statement
	coldness
	// tokens is the number of requests that the owner granted in advance, until tokensEnd.
	tokens    int
	tokensEnd time.Time
	// blockedUntil is until when the replica gets no request.
	blockedUntil time.Time
}

// New returns a Throttler for the instance with an ID. Close must be called once.
func New(log logr.Logger, timer server.Timer, self string, links Links, options ...Option) *Throttler {
	t := &Throttler{
		log: log, timer: timer, self: self, links: links, limits: make(map[string]*limit), rankBlocks: make(map[string]map[int]time.Time),
		ledgers: make(map[string]*ledger), changed: make(map[string]bool), newlyCold: make(map[string]time.Time), coldRatio: defaultColdRatio, coldSlack: defaultColdSlack,
	}
	for _, option := range options {
		option(t)
	}
	t.stopMaintenance = timer.Every(announceInterval, func(now time.Time) { t.maintain(now) })
	return t
}

// Close ends the announcements.
func (t *Throttler) Close() { t.stopMaintenance() }

// HasLimits implements server.LimitKeeper.
func (t *Throttler) HasLimits() bool {
	return t.limitedCount.Load() > 0 || t.timer.Now().UnixNano() < t.coldEnd.Load()
}

// LimitedReplicas returns the number of replicas that state a limit.
func (t *Throttler) LimitedReplicas() int { return int(t.limitedCount.Load()) }

// IsLimited implements server.LimitKeeper.
func (t *Throttler) IsLimited(replica *server.Replica) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[replica.Incarnation()]
	return l != nil && l.isLimited(t.timer.Now())
}

// BlockedFor implements server.LimitKeeper.
func (t *Throttler) BlockedFor(replica *server.Replica) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[replica.Incarnation()]
	now := t.timer.Now()
	if l == nil || !l.isLimited(now) {
		return 0
	}
	return max(l.blockedUntil.Sub(now), 0)
}

// RecordResponse implements server.LimitKeeper. A response to a misdirected request was written by
// another replica and states nothing.
func (t *Throttler) RecordResponse(replica *server.Replica, info server.ResponseInfo, sentAt time.Time) {
	if info.IsMisdirected || info.IsLimitUnknown || !info.HasLimit && t.knownCount.Load() == 0 {
		return
	}
	s := statement{service: replica.Service, perSecond: noLimit, sentAt: sentAt, receivedAt: t.timer.Now()}
	if info.HasLimit {
		s.perSecond = info.LimitPerSecond
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.merge(replica.Incarnation(), s) {
		t.changed[replica.Incarnation()] = true
		t.scheduleAnnouncement()
	}
}

// Acquire implements server.LimitKeeper.
func (t *Throttler) Acquire(ctx context.Context, replicas []server.Replica, rank int, isScarce bool) (index int, wait time.Duration) {
	q := t.prepare(replicas, rank, isScarce)
	index, wait = q.otherwise, q.wait
	if len(q.indices) > 0 {
		index, wait = t.applyResponse(q, t.ask(ctx, q.request))
	}
	if index < 0 {
		t.deniedCount.Add(1)
	} else {
		t.grantedCount.Add(1)
	}
	return index, wait
}
