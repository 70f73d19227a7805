// Package limiter enforces the limits of contracts across all instances.
//
// The owner of a limit, chosen by rendezvous hash from the live instances,
// grants credits that expire: tokens for a rate limit and slots for a concurrency
// limit. An instance that cannot reach the owner uses an equal share: the limit
// divided by the number of listed instances.
package limiter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// shardCount is the number of locks over which accounts and ledgers are spread.
	shardCount = 64
	// renewInterval is the time between renewals of credits.
	renewInterval = 500 * time.Millisecond
	// grantTimeout bounds a request's wait for the owner's response.
	grantTimeout = 100 * time.Millisecond
	// maxAcquireAttempts bounds how often one request waits for a grant.
	maxAcquireAttempts = 3
	// maxRequestsPerFrame bounds the limits whose credits one frame requests.
	maxRequestsPerFrame = 200
)

// PeerLinks are the links to the other instances. Implementations are safe for
// concurrent use.
type PeerLinks interface {
	// OwnerID returns the ID of the live instance that owns a key.
	OwnerID(key string) string
	// ListedIDs returns the IDs of the instances that the platform lists, this one
	// included, in sorted order.
	ListedIDs() []string
	// LiveIDs returns the IDs of the live instances: this one and those that are not
	// known to be unreachable or leaving.
	LiveIDs() []string
	// Send queues a frame and reports whether there is a path to the instance.
	Send(to string, frame *encoder.Frame) bool
}

// Limiter implements server.Limiter and handles the credit messages of the peer
// links. It is safe for concurrent use and takes no lock of the control state.
type Limiter struct {
	self               string
	timer              server.Timer
	peers              PeerLinks
	snapshot           func() *server.Snapshot
	budgets            *budgets
	accounts           [shardCount]accountShard
	ledgers            [shardCount]ledgerShard
	requestNumber      atomic.Uint64
	instancesChangedAt atomic.Int64
	stopRenewal        func()
	stopped            atomic.Bool
}

type accountShard struct {
	mu    sync.Mutex
	byKey map[string]*account
}

type ledgerShard struct {
	mu    sync.Mutex
	byKey map[string]*ledger
}

// Option sets a property of a Limiter.
type Option func(*Limiter)

// WithTable stores the cost budgets in the table. Without it budgets are not
// enforced.
func WithTable(table server.Table) Option {
	return func(l *Limiter) { l.budgets = newBudgets(table, l.timer, l.self) }
}

// New returns a Limiter for an instance.
func New(self string, timer server.Timer, peers PeerLinks, snapshot func() *server.Snapshot, options ...Option) *Limiter {
	l := &Limiter{self: self, timer: timer, peers: peers, snapshot: snapshot}
	for i := range shardCount {
		l.accounts[i].byKey = make(map[string]*account)
		l.ledgers[i].byKey = make(map[string]*ledger)
	}
	for _, option := range options {
		option(l)
	}
	l.instancesChangedAt.Store(timer.Now().UnixNano())
	return l
}

// Start begins to renew credits, until Stop.
func (l *Limiter) Start() {
	l.stopRenewal = l.timer.Every(renewInterval, l.renewCredits)
}

// Stop ends the renewals and returns credits to their owners and unspent budget to
// the table. It takes a bounded time: credits that cannot be returned expire, and
// budget that cannot be returned counts as spent.
func (l *Limiter) Stop() {
	l.stopRenewal()
	l.returnCredits(l.timer.Now())
	l.stopped.Store(true)
	if l.budgets != nil {
		l.budgets.close()
	}
}

// Acquire implements server.Limiter.
func (l *Limiter) Acquire(_ *server.Snapshot, request *server.Request) (func(cost map[string]server.Cost), error) {
	requestLimits := requiredLimits(request)
	acquiredAccounts := make([]*account, 0, len(requestLimits))
	for i, c := range requestLimits {
		a := l.account(c.key)
		if wait, ok := l.acquire(a, c.limits, requestLimits[i+1:]); !ok {
			for j, earlier := range acquiredAccounts {
				earlier.mu.Lock()
				earlier.undoAcquire(requestLimits[j].limits)
				earlier.mu.Unlock()
			}
			return nil, server.NewFault("limit", "", server.ErrLimited, server.WithOutcome(server.OutcomeNotRun), server.WithRetryAfter(wait))
		}
		acquiredAccounts = append(acquiredAccounts, a)
	}
	return func(cost map[string]server.Cost) {
		for i, a := range acquiredAccounts {
			a.finishRequest(cost, requestLimits[i].limits)
		}
	}, nil
}

// finishRequest ends a request's use of its credit and records the cost of stages
// that have a budget.
func (a *account) finishRequest(cost map[string]server.Cost, t limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runningRequests--
	for stage := range t.budget {
		if used := cost[stage].BusyTime; used > 0 {
			if a.unreportedCost == nil {
				a.unreportedCost = make(map[string]uint64)
			}
			a.unreportedCost[stage] += uint64(used.Microseconds())
		}
	}
}

// acquire uses credit of an account for one request. If the account has none, it
// requests credit from the owner and waits up to grantTimeout for the response, at
// most maxAcquireAttempts times. The credit that the limits in followingLimits lack is
// requested in the same frame. If it returns false, the duration is the delay before a retry.
func (l *Limiter) acquire(a *account, t limits, followingLimits []requiredLimit) (time.Duration, bool) {
	ownerReachable, ownWaiting := true, 0
	for attempt := range maxAcquireAttempts {
		a.mu.Lock()
		now := l.timer.Now()
		if attempt == 0 {
			a.recordArrival(now)
		}
		a.waitingRequests -= ownWaiting
		outcome, retryAfter := a.tryAcquire(now, t, l.position(), ownerReachable)
		if outcome != creditMissing {
			a.mu.Unlock()
			return retryAfter, outcome == creditTaken
		}
		ownWaiting = 1
		a.waitingRequests += ownWaiting
		grantReceived, sent := l.requestCredits(a, now, followingLimits)
		a.mu.Unlock()
		ownerReachable = sent && l.awaitGrant(a, grantReceived)
	}
	// No attempt brought credit, and no owner reported that the limit is reached, so
	// this instance uses its own share.
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waitingRequests -= ownWaiting
	outcome, retryAfter := a.tryAcquire(l.timer.Now(), t, l.position(), false)
	return retryAfter, outcome == creditTaken
}

// requestCredits sends a request to the owner unless a response is already due. It
// returns the channel to wait on, which is nil if this instance is the owner, and whether
// there is a path to the owner. a.mu must be held.
func (l *Limiter) requestCredits(a *account, now time.Time, followingLimits []requiredLimit) (<-chan struct{}, bool) {
	if a.grantReceived != nil && now.Sub(a.requestedAt) < grantTimeout {
		return a.grantReceived, true
	}
	owner := l.owner(a.key)
	requestNumber := l.requestNumber.Add(1)
	w := a.newLimitRequest(now, requestNumber, true)
	if owner == l.self {
		a.applyGrant(now, requestNumber, l.grant(now, l.self, a.key, w, a.costToReport()))
		return nil, true
	}
	if a.grantReceived == nil {
		a.grantReceived = make(chan struct{})
	}
	request := &encoder.CreditRequest{Sequence: requestNumber, Limits: []*encoder.LimitRequest{encodeRequest(a, w)}}
	for _, c := range followingLimits {
		if w := l.requestIfNeeded(c, now, requestNumber); w != nil {
			request.Limits = append(request.Limits, w)
		}
	}
	request.Limits = omitWorkspaces(request.Limits)
	grantReceived := a.grantReceived
	sent := l.peers.Send(owner, &encoder.Frame{Body: &encoder.Frame_CreditRequest{CreditRequest: request}})
	if !sent {
		a.ownShareUntil = now.Add(prefetchTime)
		a.notifyWaiters()
	}
	return grantReceived, sent
}

// requestIfNeeded returns the request for a further limit of the same client
// request, or nil if it has credit or a response is already due. Accounts are
// locked in the order of requiredLimits, so that this cannot deadlock.
func (l *Limiter) requestIfNeeded(c requiredLimit, now time.Time, requestNumber uint64) *encoder.LimitRequest {
	a := l.account(c.key)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.needsCredit(now, c.limits) || a.grantReceived != nil {
		return nil
	}
	a.grantReceived = make(chan struct{})
	return encodeRequest(a, a.newLimitRequest(now, requestNumber, true))
}

// awaitGrant waits for the owner's response and returns false if none arrived within
// grantTimeout; the account then uses its own share for CreditInterval. A nil
// channel means that there is nothing to wait for.
func (l *Limiter) awaitGrant(a *account, grantReceived <-chan struct{}) bool {
	if grantReceived == nil {
		return true
	}
	timeout := make(chan struct{})
	stop := l.timer.After(grantTimeout, func(time.Time) { close(timeout) })
	defer stop()
	select {
	case <-grantReceived:
		return true
	case <-timeout:
		a.mu.Lock()
		a.ownShareUntil = l.timer.Now().Add(CreditInterval)
		a.mu.Unlock()
		return false
	}
}

// position returns this instance's position among those listed. An instance that is
// not listed counts in addition to them.
func (l *Limiter) position() position {
	listed := l.peers.ListedIDs()
	for i, id := range listed {
		if id == l.self {
			return position{rank: i, count: len(listed)}
		}
	}
	return position{rank: 0, count: len(listed) + 1}
}

// shardOf returns the index of the shard that holds a key.
func shardOf(key string) uint64 { return xxhash.Sum64String(key) % shardCount }

// account returns the account of a key and creates it if needed.
func (l *Limiter) account(key string) *account {
	s := &l.accounts[shardOf(key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byKey[key]
	if a == nil {
		a = &account{key: key, arrivalsSince: l.timer.Now(), lastArrival: l.timer.Now()}
		s.byKey[key] = a
	}
	return a
}
