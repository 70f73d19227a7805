package batcher

import (
	"time"

	"oriolemill.example/oriolemill/internal/server/router"
)

// stageKey names one stage of one request.
type stageKey struct {
	request string
	stage   int
}

// coming are pieces that will be asked for when the stages before are made.
type coming struct {
	count, rank int
	expires     time.Time
}

// expect notes pieces that will be asked for.
func (q *queue) expect(key stageKey, count, rank int, now time.Time) {
	q.lane(rank).ask(count, now)
	q.coming[key] = coming{count: count, rank: rank, expires: now.Add(comingFor)}
}

// decline notes pieces that will not be asked for, since their request was refused.
func (q *queue) decline(count, rank int, now time.Time) { q.lane(rank).ask(count, now) }

// backlog counts the pieces that are on time, here or coming, by rank, and all.
func (q *queue) backlog(now time.Time) (onTime [router.Ranks]int, all int) {
	for key, c := range q.coming {
		if now.After(c.expires) {
			delete(q.coming, key)
			continue
		}
		onTime[min(max(c.rank, 0), router.Ranks-1)] += c.count
		all += c.count
	}
	soon := now.Add(q.ahead())
	for _, t := range q.tasks {
		if !soon.After(t.Goal) {
			onTime[min(max(t.Rank, 0), router.Ranks-1)] += len(t.waiting)
		}
		all += len(t.waiting)
	}
	return onTime, all
}

// until estimates by rank how long it takes until a new piece is made, if it goes
// with those that are on time; the last is the time if it is late.
func (q *queue) until(now time.Time) []time.Duration {
	times := make([]time.Duration, router.Ranks+1)
	next, perSecond := q.flow(now)
	if next < 0 {
		for rank := range times {
			times[rank] = 2 * q.typical()
		}
		return times
	}
	after := func(pieces float64) time.Duration {
		return next + time.Duration(pieces/perSecond*float64(time.Second)) + q.typical()
	}
	onTime, all := q.backlog(now)
	before := 0.0
	for first := 0; first < router.Ranks; first += router.PerPriority {
		total, weights := 0.0, 0.0
		for rank := first; rank < first+router.PerPriority; rank++ {
			q.lanes[rank].fade(now)
			total += float64(onTime[rank])
			weights += q.weight(rank)
		}
		for rank := first; rank < first+router.PerPriority; rank++ {
			// Its own backlog drains with its part of the flow, or faster.
			own := float64(onTime[rank]) * weights / q.weight(rank)
			times[rank] = after(before + min(own, total))
		}
		before += total
	}
	times[router.Ranks] = after(float64(all))
	return times
}

// flow returns when the next call can begin, or -1 when no replica can make one,
// and the pieces a second that full calls make.
func (q *queue) flow(now time.Time) (next time.Duration, perSecond float64) {
	next = -1
	for _, b := range q.workers {
		if b.gone || now.Before(b.blocked) {
			continue
		}
		wait := time.Duration(0)
		if b.calls >= q.batch.Slots {
			wait = max(b.free.Sub(now), 0)
		}
		if next < 0 || wait < next {
			next = wait
		}
		perSecond += float64(q.batch.Size) / max(b.span(&q.batch, q.batch.Size), time.Millisecond).Seconds()
	}
	return next, perSecond
}

// typical is the time that calls usually take.
func (q *queue) typical() time.Duration {
	if q.usual == 0 {
		return q.batch.Span(int(usualFill * float64(q.batch.Size)))
	}
	return q.usual
}

// took learns from a call's time.
func (q *queue) took(span time.Duration) {
	if q.usual == 0 {
		q.usual = span
		return
	}
	q.usual += time.Duration(spanGain * float64(span-q.usual))
}
