package batcher

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/router"
)

const (
	// stageTimeGain is the weight of a full call of one stage in the estimate of its time per piece. Measured
	// calls vary by about a tenth, and the estimate should follow within ten calls.
	stageTimeGain = 0.5
	// maxTimeError bounds the part of its expected duration by which one call changes the estimates, since a
	// replica that stalls says nothing about its pieces.
	maxTimeError = 0.5
	// The time of a piece lies between minTimeFactor and maxTimeFactor times the planned one. The stages of
	// routes differ up to three times.
	minTimeFactor, maxTimeFactor = 0.2, 5.0
	// averageInterval is the least interval at which the average of the queued pieces is computed.
	averageInterval = 10 * time.Millisecond
	// maxStageKinds bounds the kinds of stages with estimates.
	maxStageKinds = 256
)

// stageKind identifies a stage of a route at a service. A job does not name its route, so that its stage, the priority of
// the route and the size of the results stand for it.
type stageKind struct {
	stage, routePriority int
	resultBytes          int64
	hasInputs            bool
}

// kindOf returns the stage of a task.
func kindOf(t *task) stageKind {
	return stageKind{stage: t.Stage, routePriority: max(t.Rank, 0) % router.RanksPerPriority, resultBytes: t.ResultBytes, hasInputs: t.hasInputs()}
}

// stageTimes estimates the time per piece of each stage from measured calls, relative to the planned time per piece of
// their service.
type stageTimes struct {
	factors map[stageKind]float64
	// average is the mean factor of the queued pieces, or of the last ones.
	average    float64
	averagedAt time.Time
}

func newStageTimes() *stageTimes {
	return &stageTimes{factors: make(map[stageKind]float64), average: 1}
}

// factor returns the estimate for a task; 1 before the first call.
func (s *stageTimes) factor(t *task) float64 {
	if factor, isKnown := s.factors[kindOf(t)]; isKnown {
		return factor
	}
	return 1
}

// updateAverage computes the mean factor of the queued pieces, at most every averageInterval.
func (s *stageTimes) updateAverage(tasks []*task, now time.Time) {
	if now.Sub(s.averagedAt) < averageInterval && !s.averagedAt.IsZero() {
		return
	}
	s.averagedAt = now
	pieces, sum := 0, 0.0
	for _, t := range tasks {
		pieces += len(t.queued)
		sum += float64(len(t.queued)) * s.factor(t)
	}
	if pieces > 0 {
		s.average = sum / float64(pieces)
	}
}

// learn updates the estimates with a call that took as long as measured on a replica of usual speed. The difference to the
// expected duration is attributed to the stages in proportion to their pieces (normalized least mean squares).
func (s *stageTimes) learn(batch *server.Batch, pieces []*queuedPiece, measured time.Duration) {
	if batch.TimePerPiece <= 0 || len(pieces) == 0 {
		return
	}
	counts, work := make(map[stageKind]float64), 0.0
	for _, p := range pieces {
		counts[kindOf(p.task)]++
		work += s.factor(p.task)
	}
	expected := float64(batch.CallOverhead) + work*float64(batch.TimePerPiece)
	bound := maxTimeError * expected
	difference := min(max(float64(measured)-expected, -bound), bound) / float64(batch.TimePerPiece)
	squares := 0.0
	for _, count := range counts {
		squares += count * count
	}
	// Calls with few pieces say little about them: their overhead varies as well.
	weight := squares / float64(batch.MaxPieces*batch.MaxPieces)
	if len(s.factors)+len(counts) > maxStageKinds {
		clear(s.factors)
	}
	for kind, count := range counts {
		factor, isKnown := s.factors[kind]
		if !isKnown {
			factor = 1
		}
		s.factors[kind] = min(max(factor+stageTimeGain*min(weight, 1)*difference*count/squares, minTimeFactor), maxTimeFactor)
	}
}

// pieceWork returns how long a piece of a task occupies a replica in a full call, relative to one of the planned time.
func (q *queue) pieceWork(t *task) float64 {
	if q.times == nil {
		return 1
	}
	return q.workOf(q.times.factor(t))
}

// taskWork returns the work of all pieces of a task.
func (q *queue) taskWork(t *task) float64 { return q.pieceWork(t) * float64(len(t.Pieces)) }

// averageWork returns the work of an average piece.
func (q *queue) averageWork() float64 {
	if q.times == nil {
		return 1
	}
	return q.workOf(q.times.average)
}

// workOf returns the work of a piece whose time is factor times the planned one.
func (q *queue) workOf(factor float64) float64 {
	perPiece := float64(q.batch.TimePerPiece)
	overhead := float64(q.batch.CallOverhead) / float64(max(q.batch.MaxPieces, 1))
	if perPiece+overhead <= 0 {
		return 1
	}
	return (overhead + factor*perPiece) / (overhead + perPiece)
}

// callDuration returns the expected duration of a call with n of the queued pieces at a replica of usual speed: with the
// average time of their stages if it is estimated, else as planned.
func (q *queue) callDuration(n int) time.Duration {
	if q.times == nil {
		return q.batch.CallDuration(n)
	}
	return q.batch.CallOverhead + time.Duration(float64(n)*q.times.average*float64(q.batch.TimePerPiece))
}

// durationOf returns the expected duration of a call with pieces at a replica of usual speed.
func (q *queue) durationOf(pieces []*queuedPiece) time.Duration {
	if q.times == nil {
		return q.batch.CallDuration(len(pieces))
	}
	work := 0.0
	for _, p := range pieces {
		work += q.times.factor(p.task)
	}
	return q.batch.CallOverhead + time.Duration(work*float64(q.batch.TimePerPiece))
}

// expectedDuration returns the expected duration of a call with n of the queued pieces at a replica.
func (q *queue) expectedDuration(b *trackedReplica, n int) time.Duration {
	return time.Duration(b.slowdown * float64(q.callDuration(n)))
}

// recordCall updates the estimates with the duration of a call. The call is divided by the slowdown
// of its replica relative to the average, so that a slow replica does not change the estimates of its stages.
func (q *queue) recordCall(c *call, measured time.Duration, now time.Time) {
	if q.times != nil {
		q.times.learn(&q.batch, c.pieces, time.Duration(float64(measured)*q.averageSlowdown()/c.replica.slowdown))
	}
	c.replica.recordDuration(measured, q.durationOf(c.pieces), now)
	q.recordDuration(measured)
}

// averageSlowdown returns the mean slowdown of the registered replicas; 1 without any.
func (q *queue) averageSlowdown() float64 {
	replicas, sum := 0, 0.0
	q.inspect(len(q.replicas))
	for _, b := range q.replicas {
		if !b.isUnregistered {
			replicas++
			sum += b.slowdown
		}
	}
	if replicas == 0 {
		return 1
	}
	return sum / float64(replicas)
}
