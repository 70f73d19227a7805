package batcher

import (
	"math"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// worker is a replica as its service's owner sees it.
type worker struct {
	server.Replica
	// calls is the number of calls in progress.
	calls int
	// pace is the time of calls over the time that the plan states, as of timedAt.
	pace    float64
	timedAt time.Time
	// suspect is set when the replica was slow and may not be any more.
	suspect bool
	// free is when the call in progress is expected to end.
	free time.Time
	// used is the room that results take, by handle with their sizes.
	used    int64
	results map[string]result
	// foreign is room that results of another owner are believed to take, as
	// of foreignAt.
	foreign   int64
	foreignAt time.Time
	// blocked is until when the replica gets no call.
	blocked  time.Time
	failures int
	gone     bool
}

// result is one result in a replica's memory.
type result struct {
	bytes   int64
	expires time.Time
}

func newWorker(replica server.Replica) *worker {
	return &worker{Replica: replica, pace: 1, results: make(map[string]result)}
}

// recover forgets, bit by bit, that an idle replica was slow: nobody asks a slow
// one, so nothing else would tell that it is no longer.
func (b *worker) recover(now time.Time) {
	idle := now.Sub(b.timedAt)
	if b.pace <= 1 || b.calls > 0 || idle <= 0 || b.timedAt.IsZero() {
		return
	}
	b.suspect = b.suspect || b.pace > slowFactor
	b.pace = 1 + (b.pace-1)*math.Exp2(-float64(idle)/float64(paceHalf))
	b.timedAt = now
}

// timed learns from a call that took a time where span was stated.
func (b *worker) timed(took, span time.Duration, now time.Time) {
	b.timedAt = now
	pace := min(max(float64(took)/float64(max(span, time.Millisecond)), minPace), maxPace)
	b.pace += paceGain * (pace - b.pace)
}

// expire forgets results that the replica does not keep any more.
func (b *worker) expire(now time.Time) {
	for handle, r := range b.results {
		if now.After(r.expires) {
			b.used -= r.bytes
			delete(b.results, handle)
		}
	}
}

// release forgets a result.
func (b *worker) release(handle string) {
	if r, ok := b.results[handle]; ok {
		b.used -= r.bytes
		delete(b.results, handle)
	}
}

// full notes that the replica had no room for bytes that were believed to fit.
func (b *worker) full(bytes int64, now time.Time) {
	b.foreign = b.believed(now) + bytes
	b.foreignAt = now
}

// believed is the room that results of others are believed to take still.
func (b *worker) believed(now time.Time) int64 {
	return b.foreign >> min(now.Sub(b.foreignAt)/foreignHalf, 62)
}

// room returns the room that is believed to be left.
func (b *worker) room(room int64, now time.Time) int64 { return room - b.used - b.believed(now) }

// span is the expected time of a call with n pieces.
func (b *worker) span(batch *server.Batch, n int) time.Duration {
	return time.Duration(b.pace * float64(batch.Span(n)))
}
