package batcher

import (
	"time"
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
	q.coming[key] = coming{count: count, rank: rank, expires: now.Add(comingFor)}
}

// expected adds the pieces that will be asked for to counts by rank.
func (q *queue) expected(counts []int, now time.Time) {
	for key, c := range q.coming {
		if now.After(c.expires) {
			delete(q.coming, key)
			continue
		}
		counts[min(c.rank, len(counts)-1)] += c.count
	}
}

// until estimates by rank how long it takes until a new piece is made: the
// pieces that are on time and go before it, here already or coming, and a call.
func (q *queue) until(ranks int, now time.Time) []time.Duration {
	times := make([]time.Duration, ranks)
	next, perSecond := q.flow(now)
	if next < 0 {
		for rank := range times {
			times[rank] = 2 * q.typical()
		}
		return times
	}
	soon := now.Add(q.ahead())
	counts := make([]int, ranks)
	q.expected(counts, now)
	for _, i := range q.items {
		if !soon.After(i.task.Goal) {
			counts[min(i.task.Rank, ranks-1)]++
		}
	}
	ahead := 0
	for rank := range times {
		ahead += counts[rank]
		times[rank] = next + time.Duration(float64(ahead)/perSecond*float64(time.Second)) + q.typical()
	}
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
