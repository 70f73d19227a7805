package batcher

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// untrackedReleaseTTL is how long an owner remembers a result that was released before the
// previous owner's state arrived. That state lists the result as stored.
const untrackedReleaseTTL = 5 * time.Second

// exportState returns the remaining time of the replica's current call and the given
// results, for the next owner. The owner's mu must be held.
func (b *trackedReplica) exportState(results map[string]storedResult, now time.Time) *encoder.ReplicaState {
	state := &encoder.ReplicaState{ReplicaId: b.ID}
	if b.activeCalls > 0 {
		state.BusyMs = uint32(max(b.freeAt.Sub(now), 0).Milliseconds())
	}
	for handle, r := range results {
		state.ResultHandles = append(state.ResultHandles, handle)
		state.ResultBytes = append(state.ResultBytes, uint64(r.bytes))
		state.ResultRemainingMs = append(state.ResultRemainingMs, uint32(max(r.expiresAt.Sub(now), 0).Milliseconds()))
	}
	return state
}

// transferState sends the state of a service's replicas to the next owner, in the
// background. The caller holds mu.
func (o *Owner) transferState(s *ownedService) {
	now := o.timer.Now()
	state := &encoder.ServiceState{Service: s.name}
	for _, b := range s.queue.replicas {
		b.expireResults(now)
		if b.activeCalls > 0 || len(b.results) > 0 {
			state.Replicas = append(state.Replicas, b.exportState(b.results, now))
		}
	}
	o.log.Info("stage service transferred to its next owner", "service", s.name, "replicas", len(state.Replicas))
	go o.sendState(state)
}

// transferLateResults sends the next owner the results of a call that ended after the
// handover. The caller holds mu.
func (o *Owner) transferLateResults(s *ownedService, c *call, results []server.PieceResult, now time.Time) {
	lateResults := make(map[string]storedResult)
	for _, r := range results {
		if stored, ok := c.replica.results[r.Handle]; ok {
			lateResults[r.Handle] = stored
		}
	}
	go o.sendState(&encoder.ServiceState{Service: s.name, Replicas: []*encoder.ReplicaState{c.replica.exportState(lateResults, now)}})
}

// HandleServiceState adds the state of a service's replicas that the previous owner sent.
// A replica that is busy with a call of the previous owner gets no call until that one
// should have ended.
func (o *Owner) HandleServiceState(state *encoder.ServiceState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.getOrCreateService(state.GetService())
	now := o.timer.Now()
	for _, replica := range state.GetReplicas() {
		b := s.queue.replicas[replica.GetReplicaId()]
		if b == nil {
			continue
		}
		if busyUntil := now.Add(time.Duration(replica.GetBusyMs()) * time.Millisecond); busyUntil.After(b.blockedUntil) {
			b.blockedUntil = busyUntil
		}
		for n, handle := range replica.GetResultHandles() {
			if _, isTracked := b.results[handle]; isTracked || s.wasReleasedEarly(handle, now) || n >= len(replica.GetResultBytes()) || n >= len(replica.GetResultRemainingMs()) {
				continue
			}
			result := storedResult{bytes: int64(replica.GetResultBytes()[n]), expiresAt: now.Add(time.Duration(replica.GetResultRemainingMs()[n]) * time.Millisecond)}
			b.results[handle] = result
			b.usedMemory += result.bytes
		}
	}
	o.dispatch(s)
}

// wasReleasedEarly reports whether a result was released before this owner received the
// state that lists it. It deletes the entries older than untrackedReleaseTTL.
func (s *ownedService) wasReleasedEarly(handle string, now time.Time) bool {
	for released, at := range s.untrackedReleases {
		if now.Sub(at) > untrackedReleaseTTL {
			delete(s.untrackedReleases, released)
		}
	}
	_, released := s.untrackedReleases[handle]
	return released
}
