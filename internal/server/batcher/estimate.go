package batcher

import (
	"time"

	"oriolemill.example/oriolemill/internal/server/router"
)

// stageKey identifies one stage of one request.
type stageKey struct {
	request string
	stage   int
}

// expectedPieces is the forecast for one stage of a request: its pieces will be
// requested once the stages that it depends on are computed.
type expectedPieces struct {
	count, rank int
	expiresAt   time.Time
}

// expect records a forecast of pieces. The forecast is valid until the pieces are requested, for at
// most expectedTTL.
func (q *queue) expect(key stageKey, count, rank int, now time.Time) {
	q.usageOfRank(rank).addRequested(count, now)
	q.forecasts[key] = expectedPieces{count: count, rank: rank, expiresAt: now.Add(expectedTTL)}
}

// recordRefused adds the pieces of a refused request to the demand of its rank; they
// will not be requested.
func (q *queue) recordRefused(count, rank int, now time.Time) {
	q.usageOfRank(rank).addRequested(count, now)
}

// recordShareRefused adds the pieces of a refused task to the demand of its rank and workspace.
func (q *queue) recordShareRefused(t *task, now time.Time) {
	q.recordRefused(len(t.Pieces), t.Rank, now)
	q.shares.recordRequested(t, q.taskWork(t), now)
}

// backlog counts the queued and expected pieces: by rank those that can still meet
// their soft deadline, and the total. It deletes the forecasts that are no longer valid.
func (q *queue) backlog(now time.Time) (onTime [router.RankCount]int, total int) {
	q.inspect(len(q.forecasts))
	for key, e := range q.forecasts {
		if now.After(e.expiresAt) {
			delete(q.forecasts, key)
			continue
		}
		onTime[min(max(e.rank, 0), router.RankCount-1)] += e.count
		total += e.count
	}
	nextCallEnd := now.Add(q.nextCallDuration())
	q.inspect(len(q.tasks))
	for _, t := range q.tasks {
		if !t.usesLeftover && !nextCallEnd.After(q.dueAt(t)) {
			onTime[min(max(t.Rank, 0), router.RankCount-1)] += len(t.queued)
		}
		total += len(t.queued)
	}
	return onTime, total
}

// waitTimes estimates the time until a new piece is computed: by rank for a piece that
// can meet its soft deadline, and as the last entry for one that cannot, which is served
// after the whole backlog.
func (q *queue) waitTimes(now time.Time) []time.Duration {
	times := make([]time.Duration, router.RankCount+1)
	untilNextCall, perSecond := q.throughput(now)
	if untilNextCall < 0 {
		for rank := range times {
			times[rank] = 2 * q.typicalDuration()
		}
		return times
	}
	timeAfter := func(pieces float64) time.Duration {
		return untilNextCall + time.Duration(pieces/perSecond*float64(time.Second)) + q.typicalDuration()
	}
	onTime, backlog := q.backlog(now)
	if q.shares != nil {
		q.limitToShares(&onTime, now)
	}
	piecesAhead := 0.0
	for first := 0; first < router.RankCount; first += router.RanksPerPriority {
		total, weights := 0.0, 0.0
		for rank := first; rank < first+router.RanksPerPriority; rank++ {
			q.usage[rank].decay(now)
			total += float64(onTime[rank])
			weights += q.weight(rank)
		}
		for rank := first; rank < first+router.RanksPerPriority; rank++ {
			// A rank gets at least its share of the throughput: its pieces are computed by
			// the time that the priority has computed piecesUntilRankServed pieces, of all
			// its ranks.
			piecesUntilRankServed := float64(onTime[rank]) * weights / q.weight(rank)
			times[rank] = timeAfter(piecesAhead + min(piecesUntilRankServed, total))
		}
		piecesAhead += total
	}
	times[router.RankCount] = timeAfter(float64(backlog))
	return times
}

// throughput returns the time until the next call can begin, or -1 when no replica can
// take one, and the pieces per second that the available replicas compute in full calls. While all
// replicas are paused, those whose pause ends first count as available.
func (q *queue) throughput(now time.Time) (untilNextCall time.Duration, perSecond float64) {
	untilNextCall = -1
	pause := q.untilPauseEnd(now)
	q.inspect(len(q.replicas))
	for _, b := range q.replicas {
		if b.isUnregistered || b.isBlocked(now.Add(pause)) {
			continue
		}
		untilFree := pause
		if b.activeCalls >= q.batch.Slots {
			untilFree = max(b.freeAt.Sub(now), pause)
		}
		if untilNextCall < 0 || untilFree < untilNextCall {
			untilNextCall = untilFree
		}
		perSecond += float64(q.batch.MaxPieces) / max(q.expectedDuration(b, q.batch.MaxPieces), time.Millisecond).Seconds()
	}
	return untilNextCall, perSecond
}

// typicalDuration returns the average duration of the calls. Before the first call it
// returns the planned duration of a call filled to assumedFill.
func (q *queue) typicalDuration() time.Duration {
	if q.averageDuration == 0 {
		return q.batch.CallDuration(int(assumedFill * float64(q.batch.MaxPieces)))
	}
	return q.averageDuration
}

// recordDuration updates the moving average of call durations.
func (q *queue) recordDuration(duration time.Duration) {
	if q.averageDuration == 0 {
		q.averageDuration = duration
		return
	}
	q.averageDuration += time.Duration(durationGain * float64(duration-q.averageDuration))
}
