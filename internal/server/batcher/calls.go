package batcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// run makes one call.
func (o *Owner) run(s *pool, c *call, began time.Time) {
	pieces := make([]server.Piece, len(c.items))
	for n, i := range c.items {
		t := i.task
		pieces[n] = server.Piece{
			Request: t.Request, Stage: t.Stage, Piece: t.Pieces[i.index], Left: t.Last.Sub(began), Key: t.Key, Inputs: t.Inputs,
		}
	}
	ctx, cancel := context.WithCancel(o.ctx)
	stop := o.timer.After(overdueFactor*c.span+overdueExtra, func(time.Time) { cancel() })
	made, err := o.caller.Make(ctx, &c.worker.Replica, pieces)
	stop()
	overdue := ctx.Err() != nil
	cancel()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	s.queue.finish(c)
	o.log.Info("stage call", "service", s.name, "replica", c.worker.ID, "datacentre", c.worker.Datacentre, "pieces", len(c.items),
		"first_request", c.items[0].task.Request, "oldest_ms", began.Sub(c.oldest()).Milliseconds(), "took_ms", now.Sub(began).Milliseconds(),
		"span_ms", c.span.Milliseconds(), "waiting", s.queue.waiting, "used", c.worker.used, "room", s.queue.batch.Room, "ok", err == nil)
	if err != nil {
		o.failed(s, c, err, overdue, now)
	} else {
		c.worker.failures = 0
		c.worker.timed(now.Sub(began), s.queue.batch.Span(len(c.items)), now)
		s.queue.took(now.Sub(began))
		o.made(s, c, made, now)
		if o.retired {
			o.handLate(s, c, made, now)
		}
	}
	o.dispatch(s)
}

// made hands out the results of a call; mu is held.
func (o *Owner) made(s *pool, c *call, made []server.Made, now time.Time) {
	var again, noRoom []*item
	for n, i := range c.items {
		t := i.task
		switch {
		case made[n].Handle != "":
			o.keep(s, c.worker, i, made[n].Handle, now)
		case made[n].Failing == server.FailingRoom:
			o.counts.Room++
			noRoom = append(noRoom, i)
		case made[n].Failing == server.FailingError:
			o.counts.Failed++
			again = append(again, i)
		default:
			o.log.Info("piece not made", "request", t.Request, "stage", t.Stage, "piece", t.Pieces[i.index], "service", s.name,
				"replica", c.worker.ID, "reason", string(made[n].Failing))
			o.end(s, t, made[n].Failing)
		}
	}
	if len(noRoom) == len(c.items) {
		// Results that nobody here knows fill the replica until they expire.
		c.worker.blocked = now.Add(roomWait)
	}
	if len(noRoom) > 0 {
		c.worker.full(int64(len(noRoom))*noRoom[0].task.Bytes, now)
		o.log.Info("replica had no room", "service", s.name, "replica", c.worker.ID, "pieces", len(noRoom), "used", c.worker.used, "room", s.queue.batch.Room)
	}
	for _, i := range noRoom {
		i.tries-- // it was not tried
	}
	o.again(s, append(again, noRoom...), "not made")
}

// keep notes a result and ends its task when it was the last.
func (o *Owner) keep(s *pool, b *worker, i *item, handle string, now time.Time) {
	t := i.task
	b.results[handle] = result{bytes: t.Bytes, expires: now.Add(s.queue.batch.Keep)}
	b.used += t.Bytes
	if t.ended {
		o.free(s, []string{handle})
		return
	}
	t.handles[i.index] = handle
	if t.left--; t.left == 0 {
		o.end(s, t, "")
	}
}

// again queues pieces once more, within their tries and the budget.
func (o *Owner) again(s *pool, items []*item, why string) {
	items = slices.DeleteFunc(items, func(i *item) bool { return i.task.ended })
	if len(items) == 0 {
		return
	}
	granted := o.budget.Spend(s.name, len(items))
	o.log.Info("pieces again", "service", s.name, "pieces", len(items), "granted", granted, "cause", why)
	for _, i := range items {
		if i.tries++; !granted || i.tries >= maxTries {
			o.end(s, i.task, server.FailingError)
			continue
		}
		o.counts.Repeated++
		s.queue.put(i)
	}
}

// failed handles a call without results; mu is held.
func (o *Owner) failed(s *pool, c *call, err error, overdue bool, now time.Time) {
	b := c.worker
	if errors.Is(err, server.ErrOverload) {
		o.counts.Full++
		b.blocked = now.Add(fullWait)
	} else {
		o.counts.Failed++
		block := min(firstBlock<<min(b.failures, 6), lastBlock)
		b.failures++
		b.blocked = now.Add(block)
		if overdue {
			b.timed(maxPace*c.span, c.span, now)
		}
		o.log.Info("stage call failed", "service", s.name, "replica", b.ID, "pieces", len(c.items), "overdue", overdue,
			"block_ms", block.Milliseconds(), "cause", err.Error())
	}
	o.again(s, c.items, err.Error())
}
