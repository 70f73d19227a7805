// Package accountant bounds the bytes that a process holds for all clients together: request bodies and buffered
// responses. Bytes are reserved before they are read. While too few are left, reservations wait, so that nothing more is
// read from their connections, and the requests whose clients send the slowest are terminated.
package accountant

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// smallBytes is the size of requests that may also use the part of the budget that is kept for small ones:
	// 1/smallShare of it. Large bodies thus never keep ordinary requests waiting.
	smallBytes = 16 << 10
	smallShare = 8
	// checkInterval is the interval of checks for slow clients while reservations wait.
	checkInterval = 100 * time.Millisecond
	// progressWindow is the time over which the progress of a client is measured. A request that has been received
	// for less is not terminated.
	progressWindow = 500 * time.Millisecond
	// DefaultMinProgress is the progress in bytes per second from which on a client is not terminated for others, unless
	// WithMinProgress sets another one. Instances have at least 10 Mbit/s, so a twentieth of the least line.
	DefaultMinProgress = 64 << 10
	// DefaultMaxWait bounds the wait for a reservation unless WithMaxWait sets another bound. Requests that hold a part of
	// their bodies and wait for one another are refused after it.
	DefaultMaxWait = 2 * time.Second
	// logInterval bounds the rate of log lines.
	logInterval = 10 * time.Second
)

// Accountant holds the budget. It is safe for concurrent use.
type Accountant struct {
	log      logr.Logger
	timer    server.Timer
	capacity int64
	// minProgress is the progress in bytes per second from which on a client is not terminated, and maxWait the longest
	// wait for a reservation.
	minProgress int64
	maxWait     time.Duration
	mu          sync.Mutex
	used        int64
	// receiving are the accounts of requests that are being received.
	receiving map[*Account]struct{}
	// sending are the accounts of requests whose responses are being written.
	sending map[*Account]struct{}
	// ending are the accounts of requests that were terminated and still hold their bytes.
	ending map[*Account]struct{}
	// waiting are the reservations that wait, in the order of their arrival.
	waiting []*reservation
	// stopCheck stops the checks; nil while nothing waits.
	stopCheck func()
	loggedAt  time.Time

	waitCount, refusedCount, terminatedCount atomic.Uint64
}

// reservation is a reservation that waits.
type reservation struct {
	account *Account
	bytes   int64
	// isGranted is set before done is closed if the bytes were reserved.
	isGranted bool
	done      chan struct{}
}

// Option sets a property of an Accountant.
type Option func(*Accountant)

// WithMinProgress sets the progress in bytes per second from which on a client is not terminated for others.
func WithMinProgress(bytesPerSecond int64) Option {
	return func(a *Accountant) { a.minProgress = bytesPerSecond }
}

// WithMaxWait sets the longest wait for a reservation.
func WithMaxWait(wait time.Duration) Option {
	return func(a *Accountant) { a.maxWait = wait }
}

// New returns an Accountant with a budget of capacity bytes.
func New(log logr.Logger, timer server.Timer, capacity int64, options ...Option) *Accountant {
	a := &Accountant{
		log: log, timer: timer, capacity: capacity, minProgress: DefaultMinProgress, maxWait: DefaultMaxWait,
		receiving: make(map[*Account]struct{}), sending: make(map[*Account]struct{}), ending: make(map[*Account]struct{}),
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// fits reports whether an account may hold bytes more. An account is never refused if no other one holds any, so that a
// single request is served however small the budget is. mu must be held.
func (a *Accountant) fits(account *Account, bytes int64) bool {
	limit := a.capacity
	if account.held+bytes > smallBytes {
		limit -= a.capacity / smallShare
	}
	return a.used+bytes <= limit || a.used == account.held
}

// reserve takes bytes for an account if they fit. mu must be held.
func (a *Accountant) reserve(account *Account, bytes int64) bool {
	if !a.fits(account, bytes) {
		return false
	}
	a.used += bytes
	account.held += bytes
	return true
}

// release gives bytes of an account back and grants the reservations that fit now, the smallest first. mu must be held.
func (a *Accountant) release(account *Account, bytes int64) {
	a.used -= bytes
	account.held -= bytes
	if bytes == 0 || len(a.waiting) == 0 {
		return
	}
	slices.SortStableFunc(a.waiting, func(x, y *reservation) int {
		return cmp.Compare(x.account.held+x.bytes, y.account.held+y.bytes)
	})
	a.waiting = slices.DeleteFunc(a.waiting, func(r *reservation) bool {
		if !a.reserve(r.account, r.bytes) {
			return false
		}
		r.account.endWait()
		r.isGranted = true
		close(r.done)
		return true
	})
	a.stopIdleCheck()
}

// startWait adds a reservation that waits and starts the checks. mu must be held.
func (a *Accountant) startWait(r *reservation) {
	a.waitCount.Add(1)
	r.account.isWaiting = true
	a.waiting = append(a.waiting, r)
	if a.stopCheck == nil {
		a.stopCheck = a.timer.Every(checkInterval, a.check)
	}
	if now := a.timer.Now(); now.Sub(a.loggedAt) >= logInterval {
		a.loggedAt = now
		a.log.Info("bytes held for clients have reached their limit; requests wait and slow clients are terminated", "capacity", a.capacity,
			"receiving", len(a.receiving), "waited", a.waitCount.Load(), "terminated", a.terminatedCount.Load(), "refused", a.refusedCount.Load())
	}
}

// stopIdleCheck stops the checks if nothing waits. mu must be held.
func (a *Accountant) stopIdleCheck() {
	if len(a.waiting) == 0 && a.stopCheck != nil {
		a.stopCheck()
		a.stopCheck = nil
	}
}

// check terminates the slowest requests until what they hold suffices, together with what those terminated before still
// hold, for the reservations that wait.
func (a *Accountant) check(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var needed int64
	for _, r := range a.waiting {
		needed += r.bytes
	}
	for account := range a.ending {
		needed -= account.held
	}
	for _, account := range a.slowest(now) {
		if needed <= 0 {
			break
		}
		if account.held == 0 {
			continue // its end frees nothing
		}
		needed -= account.held
		a.terminate(account)
	}
}

// slowest returns the accounts whose clients send less than minProgress, the slowest one first, and then those of whose
// responses a write has been blocked for progressWindow, the longest one first. mu must be held.
func (a *Accountant) slowest(now time.Time) []*Account {
	var accounts []*Account
	for account := range a.receiving {
		if !account.isWaiting && now.Sub(account.openedAt) >= progressWindow && account.progress(now) < a.minProgress {
			accounts = append(accounts, account)
		}
	}
	slices.SortFunc(accounts, func(x, y *Account) int {
		return cmp.Or(cmp.Compare(x.progress(now), y.progress(now)), x.receivedAt.Compare(y.receivedAt))
	})
	var unread []*Account
	for account := range a.sending {
		if now.Sub(account.sendingAt) >= progressWindow {
			unread = append(unread, account)
		}
	}
	slices.SortFunc(unread, func(x, y *Account) int { return x.sendingAt.Compare(y.sendingAt) })
	return append(accounts, unread...)
}

// terminate ends the request of an account. mu must be held also while it is aborted: otherwise the receiving or the write
// could end in between, and the abort would concern what follows on the connection.
func (a *Accountant) terminate(account *Account) {
	account.isTerminated = true
	delete(a.receiving, account)
	delete(a.sending, account)
	a.ending[account] = struct{}{}
	a.terminatedCount.Add(1)
	account.abort()
}

// TerminateSlowest terminates the request whose client sends, or reads its response, the slowest, and reports whether there
// was one. It is for the owner of another resource that requests hold meanwhile, such as their connections.
func (a *Accountant) TerminateSlowest() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	accounts := a.slowest(a.timer.Now())
	if len(accounts) == 0 {
		return false
	}
	a.terminate(accounts[0])
	return true
}

// Held returns the bytes that are held.
func (a *Accountant) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Collectors returns the metrics of the accountant.
func (a *Accountant) Collectors() []prometheus.Collector {
	counter := func(options prometheus.CounterOpts, value *atomic.Uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(options, func() float64 { return float64(value.Load()) })
	}
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriolemill_client_bytes", Help: "Bytes of request bodies and buffered responses that are held.",
		}, func() float64 { return float64(a.Held()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriolemill_client_bytes_max", Help: "Bytes that may be held.",
		}, func() float64 { return float64(a.capacity) }),
		counter(prometheus.CounterOpts{
			Name: "oriolemill_client_bytes_waits_total", Help: "Reservations of bytes that had to wait.",
		}, &a.waitCount),
		counter(prometheus.CounterOpts{
			Name: "oriolemill_client_bytes_refused_total", Help: "Requests refused since no bytes became free in time.",
		}, &a.refusedCount),
		counter(prometheus.CounterOpts{
			Name: "oriolemill_client_bytes_terminated_total", Help: "Requests terminated since their clients sent or read too slowly while bytes or connections were scarce.",
		}, &a.terminatedCount),
	}
}
