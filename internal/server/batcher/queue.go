package batcher

import (
	"cmp"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// patience is how long a piece waits for a replica in the data centre where it
	// is best made, while it stays on time; latePatience is the same for one that
	// does not.
	patience     = 350 * time.Millisecond
	latePatience = 50 * time.Millisecond
	// slackLeast is the slack that a piece keeps when it waits.
	slackLeast = 60 * time.Millisecond
	// slowFactor is how many times slower than the best a replica may be before
	// pieces wait for a better one.
	slowFactor = 1.8
	// paceGain is the weight of the newest call in a replica's pace.
	paceGain = 0.4
	// lateWait is how long a piece that cannot be on time any more waits for a
	// replica that nothing on time needs, about a call and a half. After that the
	// service is saturated.
	lateWait = 400 * time.Millisecond
	// spanGain is the weight of the newest call in a service's usual time.
	spanGain = 0.15
	// foreignHalf is the time in which room that others are believed to take halves.
	foreignHalf = 150 * time.Millisecond
	// comingFor is how long an instance's word of coming pieces is believed.
	comingFor = 3 * time.Second
	// usualFill is the part of a call that is taken as filled before any was made.
	usualFill = 0.5
	// minPace and maxPace bound what one call says of a replica.
	minPace, maxPace = 0.3, 12
)

// queue holds the pieces of one service. It decides without clock, network or
// goroutine.
type queue struct {
	batch   server.Batch
	items   []*item
	workers map[string]*worker
	numbers uint64
	// usual is the time that calls usually take; zero before the first.
	usual time.Duration
	// coming are the pieces that will be asked for.
	coming map[stageKey]coming
}

func newQueue() *queue {
	return &queue{workers: make(map[string]*worker), coming: make(map[stageKey]coming)}
}

// add queues a task's pieces.
func (q *queue) add(t *task) {
	q.numbers++
	t.number = q.numbers
	delete(q.coming, stageKey{t.Request, t.Stage})
	for i := range t.Pieces {
		q.items = append(q.items, &item{task: t, index: i})
	}
}

// call is a call that shall be made.
type call struct {
	worker *worker
	items  []*item
	span   time.Duration
}

// oldest is when the first of a call's pieces was queued.
func (c *call) oldest() time.Time {
	oldest := c.items[0].task.enqueued
	for _, i := range c.items {
		if i.task.enqueued.Before(oldest) {
			oldest = i.task.enqueued
		}
	}
	return oldest
}

// next returns the next call to make now, or nil. Pieces that cannot be made in
// time any more are returned as hopeless and leave the queue.
func (q *queue) next(now time.Time) (*call, []*item) {
	hopeless := q.prune(now)
	if len(q.items) == 0 {
		return nil, hopeless
	}
	idle := q.idle(now)
	if len(idle) == 0 {
		return nil, hopeless
	}
	q.sort(now)
	places := q.places(now)
	for _, b := range idle {
		if q.better(b, now) {
			continue
		}
		if items := q.fill(b, places, now); len(items) > 0 {
			return q.start(b, items, now), hopeless
		}
	}
	return nil, hopeless
}

// prune takes out what has ended and what is hopeless.
func (q *queue) prune(now time.Time) []*item {
	var hopeless []*item
	shortest, ahead := q.shortest(), q.ahead()
	kept := q.items[:0]
	for _, i := range q.items {
		switch {
		case i.task.ended:
		case now.Add(shortest).After(i.task.Last), i.waitedLate(now, ahead):
			hopeless = append(hopeless, i)
		default:
			kept = append(kept, i)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
	return hopeless
}

// waitedLate reports whether a piece that is late anyway has waited for long.
func (i *item) waitedLate(now time.Time, ahead time.Duration) bool {
	since := i.task.Goal.Add(-ahead)
	if since.Before(i.task.enqueued) {
		since = i.task.enqueued
	}
	return now.Sub(since) > lateWait
}

// shortest is the time of a call with one piece at the best replica.
func (q *queue) shortest() time.Duration {
	pace := 0.0
	for _, b := range q.workers {
		if !b.gone && (pace == 0 || b.pace < pace) {
			pace = b.pace
		}
	}
	return time.Duration(min(pace, 1) * float64(q.batch.Span(1)))
}

// ahead is the time of the next call at the best replica, as full as the queue
// makes it: what is due sooner cannot be on time any more.
func (q *queue) ahead() time.Duration {
	return time.Duration(q.best() * float64(q.batch.Span(min(max(len(q.items), 1), q.batch.Size))))
}

// idle returns the replicas that can take a call, the fastest first.
func (q *queue) idle(now time.Time) []*worker {
	var idle []*worker
	for _, b := range q.workers {
		if !b.gone && b.calls < q.batch.Slots && !now.Before(b.blocked) {
			b.expire(now)
			idle = append(idle, b)
		}
	}
	slices.SortFunc(idle, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.pace, b.pace), cmp.Compare(a.ID, b.ID))
	})
	return idle
}

// sort orders pieces: those that can be on time before those that are late
// anyway, then by rank, then by what is due first.
func (q *queue) sort(now time.Time) {
	soon := now.Add(q.ahead())
	late := func(i *item) int {
		if soon.After(i.task.Goal) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(q.items, func(a, b *item) int {
		if a.task == b.task {
			return cmp.Compare(a.index, b.index)
		}
		return cmp.Or(
			cmp.Compare(late(a), late(b)),
			cmp.Compare(a.task.Rank, b.task.Rank),
			a.task.Goal.Compare(b.task.Goal),
			cmp.Compare(a.task.number, b.task.number),
		)
	})
}

// places returns by data centre when its replicas can take their next calls.
func (q *queue) places(now time.Time) map[string][]time.Time {
	places := make(map[string][]time.Time)
	for _, b := range q.workers {
		if b.gone || now.Before(b.blocked) || q.slow(b) {
			continue
		}
		free := now
		if b.calls >= q.batch.Slots && b.free.After(now) {
			free = b.free
		}
		places[b.Datacentre] = append(places[b.Datacentre], free)
	}
	for _, free := range places {
		slices.SortFunc(free, time.Time.Compare)
	}
	return places
}

func (q *queue) slow(b *worker) bool { return b.pace > slowFactor*q.best() }

func (q *queue) best() float64 {
	best := 0.0
	for _, b := range q.workers {
		if !b.gone && (best == 0 || b.pace < best) {
			best = b.pace
		}
	}
	return best
}

// better reports whether pieces are made sooner by waiting for another replica
// than by a slow one that is idle.
func (q *queue) better(slow *worker, now time.Time) bool {
	if !q.slow(slow) {
		return false
	}
	end := now.Add(slow.span(&q.batch, min(len(q.items), q.batch.Size)))
	for _, b := range q.workers {
		if b.gone || b == slow || q.slow(b) || now.Before(b.blocked) {
			continue
		}
		// A busy replica takes what waits before, so this call is the next but
		// one where the queue is longer than a call.
		calls := 1 + len(q.items)/max(q.batch.Size*len(q.workers), 1)
		free := b.free
		if free.Before(now) {
			free = now
		}
		if free.Add(time.Duration(calls) * b.span(&q.batch, q.batch.Size)).Before(end) {
			return true
		}
	}
	return false
}

// fill chooses pieces for a replica, within the size of a call and its room. A
// piece that is wanted elsewhere is left for there if a replica there can take it
// within patience.
func (q *queue) fill(b *worker, places map[string][]time.Time, now time.Time) []*item {
	var items []*item
	room := b.room(q.batch.Room, now)
	homes := make(map[string]int, len(places))
	for _, i := range q.items {
		if len(items) == q.batch.Size {
			break
		}
		t := i.task
		if home := t.Datacentre; home != "" && home != b.Datacentre && len(places[home]) > 0 {
			call := homes[home] / q.batch.Size
			homes[home]++
			if call < len(places[home]) && q.waits(t, places[home][call]) {
				continue
			}
		}
		if q.batch.Room > 0 && t.Bytes > room {
			continue
		}
		room -= t.Bytes
		items = append(items, i)
	}
	return items
}

// waits reports whether a task should wait for a replica where its pieces are
// best made: while it stays on time, else for a short while only.
func (q *queue) waits(t *task, free time.Time) bool {
	wait := free.Sub(t.enqueued)
	if free.Add(q.typical() + slackLeast).Before(t.Goal) {
		return wait < patience
	}
	return wait < latePatience
}

// start takes pieces out of the queue for a call.
func (q *queue) start(b *worker, items []*item, now time.Time) *call {
	taken := make(map[*item]bool, len(items))
	for _, i := range items {
		taken[i] = true
		b.used += i.task.Bytes
		if i.task.Datacentre == "" {
			// The stage that follows fetches all of a request's results together.
			i.task.Datacentre = b.Datacentre
		}
	}
	q.items = slices.DeleteFunc(q.items, func(i *item) bool { return taken[i] })
	span := b.span(&q.batch, len(items))
	b.calls++
	b.free = now.Add(span)
	return &call{worker: b, items: items, span: span}
}

// finish gives a call's room back; results that were made take theirs.
func (q *queue) finish(c *call) {
	c.worker.calls--
	for _, i := range c.items {
		c.worker.used -= i.task.Bytes
	}
}
