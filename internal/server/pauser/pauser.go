// Package pauser keeps the pauses that replicas request: the times for which a replica that has refused a
// request wants no other one from this instance.
package pauser

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
)

// Pauser implements server.PauseKeeper. It is safe for concurrent use.
type Pauser struct {
	log   logr.Logger
	timer server.Timer
	// count is the number of entries in pauses, so that without any no lock is taken.
	count                         atomic.Int64
	requestedCount, breachedCount atomic.Uint64
	mu                            sync.Mutex
	// pauses holds the last pause of each replica, by ID.
	pauses map[string]pause
}

// pause is a time for which a replica wants no requests.
type pause struct {
	// startMillis is that of the replica's incarnation which was known when the pause was requested.
	startMillis      int64
	requestedAt, end time.Time
}

// New returns a Pauser.
func New(log logr.Logger, timer server.Timer) *Pauser {
	return &Pauser{log: log, timer: timer, pauses: make(map[string]pause)}
}

// applies reports whether the pause holds for an incarnation of its replica. A later incarnation than the
// one that was known may have requested it, before its row was read, if it was running by then.
func (p pause) applies(replica *server.Replica) bool {
	return replica.StartMillis <= p.startMillis || replica.StartMillis <= p.requestedAt.UnixMilli()
}

// PausedFor implements server.PauseKeeper.
func (p *Pauser) PausedFor(replica *server.Replica) time.Duration {
	if p.count.Load() == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.pauses[replica.ID]
	if !ok || !current.applies(replica) {
		return 0
	}
	return max(current.end.Sub(p.timer.Now()), 0)
}

// RecordResponse implements server.PauseKeeper. A response to a misdirected request was written by another
// replica and requests nothing. A pause is never shortened: each refusal has one of its own.
func (p *Pauser) RecordResponse(replica *server.Replica, info server.ResponseInfo, sentAt time.Time) {
	if info.IsMisdirected || info.Pause == 0 && p.count.Load() == 0 {
		return
	}
	now := p.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	current, isKnown := p.pauses[replica.ID]
	if isKnown && current.applies(replica) && sentAt.After(current.requestedAt) && sentAt.Before(current.end) {
		p.breachedCount.Add(1)
	}
	if info.Pause > 0 {
		p.record(replica, current, info.Pause, now)
	}
}

// record records a pause that begins now. current is the last one of the replica. The caller holds mu.
func (p *Pauser) record(replica *server.Replica, current pause, duration time.Duration, now time.Time) {
	p.requestedCount.Add(1)
	next := pause{startMillis: replica.StartMillis, requestedAt: now, end: now.Add(min(duration, maxPause))}
	if current.applies(replica) {
		if current.end.After(next.end) {
			next.end = current.end
		}
		if now.Before(current.end) {
			// The request that it refuses was under way when the pause began.
			next.requestedAt = current.requestedAt
		}
	}
	if !now.Before(current.end) {
		p.log.Info("replica requests a pause", "service", replica.Service, "replica", replica.ID, "born", replica.StartMillis, "pause_ms", duration.Milliseconds())
	}
	p.pauses[replica.ID] = next
	for id, other := range p.pauses {
		if now.After(other.end) {
			delete(p.pauses, id)
		}
	}
	p.count.Store(int64(len(p.pauses)))
}

// PausedReplicas returns the number of replicas that want no requests now.
func (p *Pauser) PausedReplicas() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	for _, current := range p.pauses {
		if now.Before(current.end) {
			count++
		}
	}
	return count
}
