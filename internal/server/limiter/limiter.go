// Package limiter holds the limits of contracts over all instances together.
//
// The owner of a limit, chosen by rendezvous hash from the live instances,
// hands out credits that expire: tokens of a rate and slots of a concurrency.
// An instance that reaches no owner uses its own share among all listed.
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
	shards      = 64
	renewPeriod = 500 * time.Millisecond
	answerWait  = 100 * time.Millisecond
	takeTries   = 3
	wantsLimit  = 200
)

// Exchange is the links to the other instances. It is safe for concurrent use.
type Exchange interface {
	// Owner returns the live instance that owns a key.
	Owner(key string) string
	// Listed returns the IDs that the platform lists, in order, self included.
	Listed() []string
	// Live returns those of them that are not known to be silent.
	Live() []string
	// Send queues a frame and reports whether there is a way to the instance.
	Send(to string, frame *encoder.Frame) bool
}

// Limiter implements server.Limiter and the credits of the peers' links. It is
// safe for concurrent use and locks no control state.
type Limiter struct {
	self     string
	timer    server.Timer
	exchange Exchange
	snapshot func() *server.Snapshot
	budgets  *budgets
	accounts [shards]accounts
	ledgers  [shards]ledgers
	number   atomic.Uint64
	changed  atomic.Int64
	stop     func()
	stopped  atomic.Bool
}

type accounts struct {
	mu   sync.Mutex
	byID map[string]*account
}

type ledgers struct {
	mu   sync.Mutex
	byID map[string]*ledger
}

// Option sets a property of a Limiter.
type Option func(*Limiter)

// WithTable keeps the budgets of cost in the table. Without it budgets are not held.
func WithTable(table server.Table) Option {
	return func(l *Limiter) { l.budgets = newBudgets(table, l.timer, l.self) }
}

// New returns a Limiter for an instance.
func New(self string, timer server.Timer, exchange Exchange, snapshot func() *server.Snapshot, options ...Option) *Limiter {
	l := &Limiter{self: self, timer: timer, exchange: exchange, snapshot: snapshot}
	for i := range shards {
		l.accounts[i].byID = make(map[string]*account)
		l.ledgers[i].byID = make(map[string]*ledger)
	}
	for _, option := range options {
		option(l)
	}
	l.changed.Store(timer.Now().UnixNano())
	return l
}

// Start renews credits until Stop.
func (l *Limiter) Start() {
	l.stop = l.timer.Every(renewPeriod, l.renew)
}

// Stop ends the renewals, gives credits back to their owners and unspent budget
// to the table. It is bounded: what cannot be given back expires by itself, and
// of a budget it counts as spent.
func (l *Limiter) Stop() {
	l.stop()
	l.giveBack(l.timer.Now())
	l.stopped.Store(true)
	if l.budgets != nil {
		l.budgets.close()
	}
}

// Take implements server.Limiter.
func (l *Limiter) Take(_ *server.Snapshot, request *server.Request) (func(cost map[string]server.Cost), error) {
	list := claims(request)
	held := make([]*account, 0, len(list))
	for i, c := range list {
		a := l.account(c.key)
		if wait, ok := l.draw(a, c.terms, list[i+1:]); !ok {
			for j, earlier := range held {
				earlier.mu.Lock()
				earlier.giveBack(list[j].terms)
				earlier.mu.Unlock()
			}
			return nil, server.NewFault("limit", "", server.ErrLimited, server.WithOutcome(server.OutcomeNotRun), server.WithRetryAfter(wait))
		}
		held = append(held, a)
	}
	return func(cost map[string]server.Cost) {
		for i, a := range held {
			a.release(cost, list[i].terms)
		}
	}, nil
}

// release ends a request's use and notes its cost where a budget holds it.
func (a *account) release(cost map[string]server.Cost, t terms) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inUse--
	for stage := range t.budget {
		if used := cost[stage].Busy; used > 0 {
			if a.spent == nil {
				a.spent = make(map[string]uint64)
			}
			a.spent[stage] += uint64(used.Microseconds())
		}
	}
}

// draw takes one request from an account, with a short wait for the owner's
// answer when there is no credit. The limits that come after it are asked for
// in the same frame.
func (l *Limiter) draw(a *account, t terms, later []claim) (time.Duration, bool) {
	reached, waiting := true, 0
	for try := range takeTries {
		a.mu.Lock()
		now := l.timer.Now()
		if try == 0 {
			a.arrive(now)
		}
		a.waiting -= waiting
		outcome, after := a.take(now, t, l.part(), reached)
		if outcome != asks {
			a.mu.Unlock()
			return after, outcome == taken
		}
		waiting = 1
		a.waiting += waiting
		answered, sent := l.request(a, now, later)
		a.mu.Unlock()
		reached = sent && l.await(a, answered)
	}
	// No round brought credit, and no owner said that the limit is reached.
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting -= waiting
	outcome, after := a.take(l.timer.Now(), t, l.part(), false)
	return after, outcome == taken
}

// request asks the owner unless an answer is due already; a.mu is held.
func (l *Limiter) request(a *account, now time.Time, later []claim) (<-chan struct{}, bool) {
	if a.answered != nil && now.Sub(a.askedAt) < answerWait {
		return a.answered, true
	}
	owner := l.owner(a.key)
	number := l.number.Add(1)
	w := a.ask(now, number, true)
	if owner == l.self {
		a.granted(now, number, l.grant(now, l.self, a.key, w, a.takeSpent()))
		return nil, true
	}
	if a.answered == nil {
		a.answered = make(chan struct{})
	}
	ask := &encoder.CreditAsk{Number: number, Wants: []*encoder.Want{encodeWant(a, w)}}
	for _, c := range later {
		if w := l.join(c, now, number); w != nil {
			ask.Wants = append(ask.Wants, w)
		}
	}
	ask.Wants = shorten(ask.Wants)
	answered := a.answered
	sent := l.exchange.Send(owner, &encoder.Frame{Body: &encoder.Frame_Ask{Ask: ask}})
	if !sent {
		a.aloneUntil = now.Add(aheadTime)
		a.wake()
	}
	return answered, sent
}

// join returns what a later limit of the same request wants, or nil when it
// has credit or asked already. Accounts are locked in the order of claims.
func (l *Limiter) join(c claim, now time.Time, number uint64) *encoder.Want {
	a := l.account(c.key)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.lacks(now, c.terms) || a.answered != nil {
		return nil
	}
	a.answered = make(chan struct{})
	return encodeWant(a, a.ask(now, number, true))
}

// await waits for an answer; without one the account uses its own share for a while.
func (l *Limiter) await(a *account, answered <-chan struct{}) bool {
	if answered == nil {
		return true
	}
	late := make(chan struct{})
	stop := l.timer.After(answerWait, func(time.Time) { close(late) })
	defer stop()
	select {
	case <-answered:
		return true
	case <-late:
		a.mu.Lock()
		a.aloneUntil = l.timer.Now().Add(Interval)
		a.mu.Unlock()
		return false
	}
}

// part returns this instance's place among those listed.
func (l *Limiter) part() part {
	listed := l.exchange.Listed()
	for i, id := range listed {
		if id == l.self {
			return part{rank: i, count: len(listed)}
		}
	}
	return part{rank: 0, count: len(listed) + 1}
}

func shard(key string) uint64 { return xxhash.Sum64String(key) % shards }

func (l *Limiter) account(key string) *account {
	s := &l.accounts[shard(key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byID[key]
	if a == nil {
		a = &account{key: key, countFrom: l.timer.Now(), last: l.timer.Now()}
		s.byID[key] = a
	}
	return a
}
