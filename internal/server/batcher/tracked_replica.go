package batcher

import (
	"math"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// trackedReplica is the state of a replica that its service's owner tracks. The owner's
// mu guards it.
type trackedReplica struct {
	server.Replica
	// activeCalls is the number of calls of this owner in progress.
	activeCalls int
	// slowdown is a moving average of the ratio of a call's measured duration to its
	// planned one (see Batch.CallDuration), as of slowdownAt.
	slowdown   float64
	slowdownAt time.Time
	// needsProbe is set when the replica was slow and may have recovered: its next call
	// is a small one.
	needsProbe bool
	// freeAt is when the latest call is expected to end.
	freeAt time.Time
	// usedMemory is the memory in bytes of the tracked results and of those that the calls
	// in progress will give; results are the tracked ones by handle.
	usedMemory int64
	results    map[string]storedResult
	// untrackedMemory estimates the memory in bytes of results of another owner, as of
	// untrackedAt. It decays with untrackedHalfLife.
	untrackedMemory int64
	untrackedAt     time.Time
	// No call is sent to the replica before blockedUntil.
	blockedUntil        time.Time
	consecutiveFailures int
	// pausedUntil is the end of the last pause that the replica has requested.
	pausedUntil time.Time
	// isUnregistered is set while the replica is not listed; it gets no calls then.
	isUnregistered bool
}

// isBlocked reports whether no call may be sent to the replica now.
func (b *trackedReplica) isBlocked(now time.Time) bool {
	return now.Before(b.blockedUntil) || now.Before(b.pausedUntil)
}

// storedResult is a result in a replica's memory.
type storedResult struct {
	bytes     int64
	expiresAt time.Time
}

func newTrackedReplica(replica server.Replica) *trackedReplica {
	return &trackedReplica{Replica: replica, slowdown: 1, results: make(map[string]storedResult)}
}

// decaySlowdown lets the slowdown of an idle replica decay towards 1 with
// slowdownHalfLife: a slow replica gets no calls, so no measurement would show that it has
// recovered.
func (b *trackedReplica) decaySlowdown(now time.Time) {
	idle := now.Sub(b.slowdownAt)
	if b.slowdown <= 1 || b.activeCalls > 0 || idle <= 0 || b.slowdownAt.IsZero() {
		return
	}
	b.needsProbe = b.needsProbe || b.slowdown > slowThreshold
	b.slowdown = 1 + (b.slowdown-1)*math.Exp2(-float64(idle)/float64(slowdownHalfLife))
	b.slowdownAt = now
}

// recordDuration updates the slowdown with a call's measured duration and the one that
// was planned for it.
func (b *trackedReplica) recordDuration(measured, planned time.Duration, now time.Time) {
	b.slowdownAt = now
	ratio := min(max(float64(measured)/float64(max(planned, time.Millisecond)), minSlowdown), maxSlowdown)
	b.slowdown += slowdownGain * (ratio - b.slowdown)
}

// expireResults removes the results that the replica has dropped at the end of their TTL.
func (b *trackedReplica) expireResults(now time.Time) {
	for handle, r := range b.results {
		if now.After(r.expiresAt) {
			b.usedMemory -= r.bytes
			delete(b.results, handle)
		}
	}
}

// removeResult removes a result that was released.
func (b *trackedReplica) removeResult(handle string) {
	if r, ok := b.results[handle]; ok {
		b.usedMemory -= r.bytes
		delete(b.results, handle)
	}
}

// recordMemoryFull adds bytes to the untracked memory: the replica had no memory for
// results of that size, which should have fitted.
func (b *trackedReplica) recordMemoryFull(bytes int64, now time.Time) {
	b.untrackedMemory = b.currentUntracked(now) + bytes
	b.untrackedAt = now
}

// currentUntracked returns the estimated untracked memory now, in bytes.
func (b *trackedReplica) currentUntracked(now time.Time) int64 {
	return b.untrackedMemory >> min(now.Sub(b.untrackedAt)/untrackedHalfLife, 62)
}

// freeMemory returns the estimated free memory in bytes, of total.
func (b *trackedReplica) freeMemory(total int64, now time.Time) int64 {
	return total - b.usedMemory - b.currentUntracked(now)
}
