package relayer

import (
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// limitedReason is the reason of refusals for lack of a replica within its limit.
	limitedReason = "no replica takes the request within its limit"
	// maxLimitQueries bounds how often the replicas' limits are asked for one request.
	maxLimitQueries = 4
	// maxReservation is how long a request that was taken from a limit may be sent. The stages of
	// several requests may end at the same moment, and their replica then gets them all at once.
	maxReservation = time.Second
	// maxPreferred bounds the replicas that are asked for at once.
	maxPreferred = 16
)

// reserve takes the request from the limit of a replica before any work is done for it, if all
// replicas of its service state limits. It reports whether the request goes on; it is refused at once
// if none takes it.
func (f *relayedRequest) reserve() bool {
	if f.Limits == nil || !f.Limits.HasLimits() || !f.areAllLimited(f.candidates()) {
		return true
	}
	if replica, ok := f.acquireReplica(); ok {
		f.reserved, f.reservedAt = &replica, f.Timer.Now()
		return true
	}
	if f.pauseWait(nil) > 0 {
		return true // nextReplica waits for its end
	}
	return f.refuse(limitedReason, max(f.limitWait, refusedRetryAfter))
}

// takeReservation returns the reserved replica unless the reservation has expired or the replica has
// left.
func (f *relayedRequest) takeReservation() (server.Replica, bool) {
	reserved := f.reserved
	f.reserved = nil
	if reserved == nil || f.Timer.Now().Sub(f.reservedAt) > maxReservation || !f.view.IsServing(reserved) || f.pausedFor(reserved) > 0 {
		return server.Replica{}, false
	}
	return *reserved, true
}

// areAllLimited reports whether all replicas that may get the request now state limits.
func (f *relayedRequest) areAllLimited(candidates []server.Replica) bool {
	excluded := f.unavailable(candidates)
	return !slices.ContainsFunc(candidates, func(r server.Replica) bool {
		return !slices.Contains(excluded, r.ID) && !f.Limits.IsLimited(&r)
	})
}

// acquireReplica chooses the best replica that takes the request within the limit that it states, and
// takes the request from it. It returns false, with the wait in limitWait, if there is none.
func (f *relayedRequest) acquireReplica() (server.Replica, bool) {
	if f.Limits == nil || !f.Limits.HasLimits() {
		return f.chooseReplica()
	}
	candidates := f.candidates()
	isScarce := f.areAllLimited(candidates)
	f.limitWait = 0
	for range maxLimitQueries {
		preferred := f.preferredReplicas(candidates)
		if len(preferred) == 0 {
			break
		}
		index, wait := f.Limits.Acquire(f.ctx, preferred, f.rank, isScarce)
		if index >= 0 {
			return preferred[index], true
		}
		f.recordLimitWait(wait)
	}
	return server.Replica{}, false
}

// preferredReplicas returns the replicas that may take the request now, the best one first, up to the
// first one without a limit.
func (f *relayedRequest) preferredReplicas(candidates []server.Replica) []server.Replica {
	excluded := slices.Clone(f.unavailable(candidates))
	for n := range candidates {
		if wait := f.Limits.BlockedFor(&candidates[n]); wait > 0 && !slices.Contains(excluded, candidates[n].ID) {
			f.recordLimitWait(wait)
			excluded = append(excluded, candidates[n].ID)
		}
	}
	var preferred []server.Replica
	for len(preferred) < maxPreferred {
		replica, ok := f.pick(candidates, excluded)
		if !ok {
			break
		}
		preferred = append(preferred, replica)
		excluded = append(excluded, replica.ID)
		if !f.Limits.IsLimited(&replica) {
			break
		}
	}
	return preferred
}

// recordLimitWait records that a replica may take the request after a wait.
func (f *relayedRequest) recordLimitWait(wait time.Duration) {
	if f.limitWait == 0 || wait < f.limitWait {
		f.limitWait = max(wait, time.Millisecond)
	}
}
