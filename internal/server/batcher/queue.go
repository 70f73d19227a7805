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
	// replica that nothing on time needs. After that the service is saturated.
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

// bench is a replica as its service's owner sees it.
type bench struct {
	server.Replica
	// calls is the number of calls in progress.
	calls int
	// pace is the time of calls over the time that the plan states.
	pace float64
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

func newBench(replica server.Replica) *bench {
	return &bench{Replica: replica, pace: 1, results: make(map[string]result)}
}

// timed learns from a call that took a time where span was stated.
func (b *bench) timed(took, span time.Duration) {
	pace := min(max(float64(took)/float64(max(span, time.Millisecond)), minPace), maxPace)
	b.pace += paceGain * (pace - b.pace)
}

// expire forgets results that the replica does not keep any more.
func (b *bench) expire(now time.Time) {
	for handle, r := range b.results {
		if now.After(r.expires) {
			b.used -= r.bytes
			delete(b.results, handle)
		}
	}
}

// release forgets a result.
func (b *bench) release(handle string) {
	if r, ok := b.results[handle]; ok {
		b.used -= r.bytes
		delete(b.results, handle)
	}
}

// full notes that the replica had no room for bytes that were believed to fit.
func (b *bench) full(bytes int64, now time.Time) {
	b.foreign = b.believed(now) + bytes
	b.foreignAt = now
}

// believed is the room that results of others are believed to take still.
func (b *bench) believed(now time.Time) int64 {
	return b.foreign >> min(now.Sub(b.foreignAt)/foreignHalf, 62)
}

// room returns the room that is believed to be left.
func (b *bench) room(room int64, now time.Time) int64 { return room - b.used - b.believed(now) }

// span is the expected time of a call with n pieces.
func (b *bench) span(batch *server.Batch, n int) time.Duration {
	return time.Duration(b.pace * float64(batch.Span(n)))
}

// queue holds the pieces of one service. It decides without clock, network or
// goroutine.
type queue struct {
	batch   server.Batch
	items   []*item
	benches map[string]*bench
	numbers uint64
	// usual is the time that calls usually take; zero before the first.
	usual time.Duration
	// coming are the pieces that will be asked for.
	coming map[stageKey]coming
}

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

func newQueue() *queue {
	return &queue{benches: make(map[string]*bench), coming: make(map[stageKey]coming)}
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
	bench *bench
	items []*item
	span  time.Duration
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
	for _, b := range q.benches {
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
func (q *queue) idle(now time.Time) []*bench {
	var idle []*bench
	for _, b := range q.benches {
		if !b.gone && b.calls < q.batch.Slots && !now.Before(b.blocked) {
			b.expire(now)
			idle = append(idle, b)
		}
	}
	slices.SortFunc(idle, func(a, b *bench) int {
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
	for _, b := range q.benches {
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

func (q *queue) slow(b *bench) bool { return b.pace > slowFactor*q.best() }

func (q *queue) best() float64 {
	best := 0.0
	for _, b := range q.benches {
		if !b.gone && (best == 0 || b.pace < best) {
			best = b.pace
		}
	}
	return best
}

// better reports whether pieces are made sooner by waiting for another replica
// than by a slow one that is idle.
func (q *queue) better(slow *bench, now time.Time) bool {
	if !q.slow(slow) {
		return false
	}
	end := now.Add(slow.span(&q.batch, min(len(q.items), q.batch.Size)))
	for _, b := range q.benches {
		if b.gone || b == slow || q.slow(b) || now.Before(b.blocked) {
			continue
		}
		// A busy replica takes what waits before, so this call is the next but
		// one where the queue is longer than a call.
		calls := 1 + len(q.items)/max(q.batch.Size*len(q.benches), 1)
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
func (q *queue) fill(b *bench, places map[string][]time.Time, now time.Time) []*item {
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
func (q *queue) start(b *bench, items []*item, now time.Time) *call {
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
	return &call{bench: b, items: items, span: span}
}

// finish gives a call's room back; results that were made take theirs.
func (q *queue) finish(c *call) {
	c.bench.calls--
	for _, i := range c.items {
		c.bench.used -= i.task.Bytes
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
	for _, b := range q.benches {
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
