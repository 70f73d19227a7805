package batcher

import (
	"cmp"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/router"
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
	// paceHalf is the time without a call in which half of a replica's slowness is
	// forgotten; replicas were seen to be slow for 5 s, and a trial costs one call.
	paceHalf = time.Second
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
	batch server.Batch
	// tasks are those with pieces that wait, waiting is the number of pieces.
	tasks   []*task
	waiting int
	workers map[string]*worker
	numbers uint64
	// usual is the time that calls usually take; zero before the first.
	usual time.Duration
	// coming are the pieces that will be asked for.
	coming map[stageKey]coming
	lanes  [router.Ranks]lane
}

func newQueue() *queue {
	return &queue{workers: make(map[string]*worker), coming: make(map[stageKey]coming)}
}

// add queues a task's pieces.
func (q *queue) add(t *task) {
	q.numbers++
	t.number = q.numbers
	key := stageKey{t.Request, t.Stage}
	if _, told := q.coming[key]; !told {
		q.lane(t.Rank).ask(len(t.Pieces), t.enqueued)
	}
	delete(q.coming, key)
	for i := range t.Pieces {
		q.put(&item{task: t, index: i})
	}
}

// put queues one piece.
func (q *queue) put(i *item) {
	if len(i.task.waiting) == 0 {
		q.tasks = append(q.tasks, i.task)
	}
	i.task.waiting = append(i.task.waiting, i)
	q.waiting++
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

// next returns the next call to make now, or nil. Tasks that cannot be made in
// time to be of use leave the queue and are returned as hopeless.
func (q *queue) next(now time.Time) (*call, []*task) {
	hopeless := q.prune(now)
	if q.waiting == 0 {
		return nil, hopeless
	}
	idle := q.idle(now)
	if len(idle) == 0 {
		return nil, hopeless
	}
	ordered := q.order(now)
	places := q.places(now)
	for _, b := range idle {
		if q.better(b, now) {
			continue
		}
		if items := q.fill(b, ordered, places, now); len(items) > 0 {
			return q.start(b, items, now), hopeless
		}
	}
	return nil, hopeless
}

// prune takes out what has ended and what is hopeless.
func (q *queue) prune(now time.Time) []*task {
	var hopeless []*task
	soonest, ahead, pressed := now.Add(q.shortest()), q.ahead(), q.pressed()
	q.tasks = slices.DeleteFunc(q.tasks, func(t *task) bool {
		// Late ones get no place while the queue is long; what no work was done
		// for is told so at once.
		crowdedOut := pressed && !t.followsUp() && now.Add(ahead).After(t.Goal)
		useless := soonest.After(t.Last) || t.waitedLate(now, ahead) || crowdedOut
		if !t.ended && !useless {
			return false
		}
		if !t.ended {
			hopeless = append(hopeless, t)
		}
		q.waiting -= len(t.waiting)
		t.waiting = nil
		return true
	})
	return hopeless
}

// waitedLate reports whether a task that is late anyway has waited for long.
func (t *task) waitedLate(now time.Time, ahead time.Duration) bool {
	since := t.Goal.Add(-ahead)
	if since.Before(t.enqueued) {
		since = t.enqueued
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
	return time.Duration(q.best() * float64(q.batch.Span(min(max(q.waiting, 1), q.batch.Size))))
}

// idle returns the replicas that can take a call, the fastest first.
func (q *queue) idle(now time.Time) []*worker {
	var idle []*worker
	for _, b := range q.workers {
		if !b.gone && b.calls < q.batch.Slots && !now.Before(b.blocked) {
			b.expire(now)
			b.recover(now)
			idle = append(idle, b)
		}
	}
	slices.SortFunc(idle, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.pace, b.pace), cmp.Compare(a.ID, b.ID))
	})
	return idle
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
	end := now.Add(slow.span(&q.batch, min(q.waiting, q.batch.Size)))
	for _, b := range q.workers {
		if b.gone || b == slow || q.slow(b) || now.Before(b.blocked) {
			continue
		}
		// A busy replica takes what waits before, so this call is the next but
		// one where the queue is longer than a call.
		calls := 1 + q.waiting/max(q.batch.Size*len(q.workers), 1)
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
// within patience. While more waits than one call of each replica holds, places
// that are left over go to those too. A replica that was slow gets a small call
// of what is least urgent, to see whether it still is.
func (q *queue) fill(b *worker, ordered []*task, places map[string][]time.Time, now time.Time) []*item {
	if b.suspect {
		return q.trial(b, ordered, now)
	}
	f := filling{queue: q, worker: b, room: b.room(q.batch.Room, now), homes: make(map[string]int, len(places))}
	for _, t := range ordered {
		for _, i := range t.waiting {
			if len(f.items) == q.batch.Size {
				return f.items
			}
			if f.leave(t, places) {
				f.left = append(f.left, i)
				continue
			}
			f.take(i)
		}
	}
	if q.pressed() {
		for _, i := range f.left {
			f.take(i)
		}
	}
	return f.items
}

// trial chooses the least urgent task's pieces for a replica.
func (q *queue) trial(b *worker, ordered []*task, now time.Time) []*item {
	f := filling{queue: q, worker: b, room: b.room(q.batch.Room, now)}
	for _, i := range ordered[len(ordered)-1].waiting {
		f.take(i)
	}
	return f.items
}

// filling is a call that pieces are chosen for.
type filling struct {
	queue  *queue
	worker *worker
	items  []*item
	// left are the pieces that are left for other replicas.
	left []*item
	room int64
	// homes counts the pieces that are wanted in each data centre.
	homes map[string]int
}

// leave reports whether a piece is left for the data centre where it is wanted.
func (f *filling) leave(t *task, places map[string][]time.Time) bool {
	home := t.Datacentre
	if home == "" || home == f.worker.Datacentre || len(places[home]) == 0 {
		return false
	}
	call := f.homes[home] / f.queue.batch.Size
	f.homes[home]++
	return call < len(places[home]) && f.queue.waits(t, places[home][call])
}

func (f *filling) take(i *item) {
	limited := f.queue.batch.Room > 0
	if len(f.items) == f.queue.batch.Size || limited && i.task.Bytes > f.room {
		return
	}
	f.room -= i.task.Bytes
	f.items = append(f.items, i)
}

// pressed reports whether more waits than one call of each replica holds.
func (q *queue) pressed() bool {
	replicas := 0
	for _, b := range q.workers {
		if !b.gone {
			replicas++
		}
	}
	return q.waiting > replicas*q.batch.Size
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
	soon := now.Add(q.ahead())
	taken := make(map[*item]bool, len(items))
	for _, i := range items {
		taken[i] = true
		b.used += i.task.Bytes
		if i.task.Datacentre == "" {
			// The stage that follows fetches all of a request's results together.
			i.task.Datacentre = b.Datacentre
		}
		if !soon.After(i.task.Goal) {
			q.lane(i.task.Rank).make(now)
		}
	}
	q.tasks = slices.DeleteFunc(q.tasks, func(t *task) bool {
		t.waiting = slices.DeleteFunc(t.waiting, func(i *item) bool { return taken[i] })
		return len(t.waiting) == 0
	})
	q.waiting -= len(items)
	span := b.span(&q.batch, len(items))
	b.calls++
	b.free = now.Add(span)
	b.suspect = false
	return &call{worker: b, items: items, span: span}
}

// finish gives a call's room back; results that were made take theirs.
func (q *queue) finish(c *call) {
	c.worker.calls--
	for _, i := range c.items {
		c.worker.used -= i.task.Bytes
	}
}
