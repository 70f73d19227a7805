package batcher

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// unknownFor is how long results are remembered that were freed before the owner
// heard of them.
const unknownFor = 5 * time.Second

// holding returns what one replica does and which results it is said to keep.
func (b *worker) holding(results map[string]result, now time.Time) *encoder.ReplicaHolding {
	held := &encoder.ReplicaHolding{Replica: b.ID}
	if b.calls > 0 {
		held.BusyMs = uint32(max(b.free.Sub(now), 0).Milliseconds())
	}
	for handle, r := range results {
		held.Handles = append(held.Handles, handle)
		held.Bytes = append(held.Bytes, uint64(r.bytes))
		held.LeftMs = append(held.LeftMs, uint32(max(r.expires.Sub(now), 0).Milliseconds()))
	}
	return held
}

// handOver tells the next owner what a service's replicas hold and do; mu is held.
func (o *Owner) handOver(s *pool) {
	now := o.timer.Now()
	holdings := &encoder.Holdings{Service: s.name}
	for _, b := range s.queue.workers {
		b.expire(now)
		if b.calls > 0 || len(b.results) > 0 {
			holdings.Replicas = append(holdings.Replicas, b.holding(b.results, now))
		}
	}
	o.log.Info("stage service handed over", "service", s.name, "replicas", len(holdings.Replicas))
	go o.next(holdings)
}

// handLate tells the next owner of results that were made after the hand-over;
// mu is held.
func (o *Owner) handLate(s *pool, c *call, made []server.Made, now time.Time) {
	late := make(map[string]result)
	for _, m := range made {
		if r, ok := c.worker.results[m.Handle]; ok {
			late[m.Handle] = r
		}
	}
	go o.next(&encoder.Holdings{Service: s.name, Replicas: []*encoder.ReplicaHolding{c.worker.holding(late, now)}})
}

// TakeOver notes what the owner before knew of a service's replicas.
func (o *Owner) TakeOver(holdings *encoder.Holdings) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.pool(holdings.GetService())
	now := o.timer.Now()
	for _, held := range holdings.GetReplicas() {
		b := s.queue.workers[held.GetReplica()]
		if b == nil {
			continue
		}
		if busy := now.Add(time.Duration(held.GetBusyMs()) * time.Millisecond); busy.After(b.blocked) {
			b.blocked = busy
		}
		for n, handle := range held.GetHandles() {
			if _, known := b.results[handle]; known || s.wasFreed(handle, now) || n >= len(held.GetBytes()) || n >= len(held.GetLeftMs()) {
				continue
			}
			r := result{bytes: int64(held.GetBytes()[n]), expires: now.Add(time.Duration(held.GetLeftMs()[n]) * time.Millisecond)}
			b.results[handle] = r
			b.used += r.bytes
		}
	}
	o.dispatch(s)
}

// wasFreed reports whether a result was freed before the owner heard of it.
func (s *pool) wasFreed(handle string, now time.Time) bool {
	for freed, at := range s.unknown {
		if now.Sub(at) > unknownFor {
			delete(s.unknown, freed)
		}
	}
	_, freed := s.unknown[handle]
	return freed
}
