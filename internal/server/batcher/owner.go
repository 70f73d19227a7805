package batcher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// freeWait gathers results to free into one call.
	freeWait = 15 * time.Millisecond
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// overdueFactor and overdueExtra say when a call is given up.
	overdueFactor = 2
	overdueExtra  = 250 * time.Millisecond
	// fullWait is how long a replica that was full gets no call.
	fullWait = 40 * time.Millisecond
	// roomWait is how long a replica without any room gets no call.
	roomWait = 250 * time.Millisecond
	// firstBlock and lastBlock bound how long a failing replica gets no call.
	firstBlock = 300 * time.Millisecond
	lastBlock  = 3 * time.Second
	// maxUnknown bounds the results that are remembered as freed early.
	maxUnknown = 4096
	// maxTries bounds the calls that a piece is part of.
	maxTries = 4
)

// Caller makes calls to replicas.
type Caller interface {
	// Make asks a replica for pieces. Errors: ErrOverload when it is full and
	// did nothing, ErrUnavailable and others when nothing is known.
	Make(ctx context.Context, replica *server.Replica, pieces []server.Piece) ([]server.Made, error)
	// Free gives results up.
	Free(ctx context.Context, replica *server.Replica, handles []string) error
	// Keeper returns the address of the replica that keeps a result.
	Keeper(handle string) string
}

// Budget bounds repeats.
type Budget interface {
	Requested(service string, n int)
	Spend(service string, n int) bool
}

// Owner keeps the queues of the services that this instance owns.
type Owner struct {
	log    logr.Logger
	timer  server.Timer
	caller Caller
	budget Budget
	mu     sync.Mutex
	shops  map[string]*shop
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	counts Counts
	// next takes what a service's replicas hold to its next owner.
	next func(*encoder.Holdings)
	// retired is set once the instance stops: what has not begun is another's.
	retired bool
}

// Counts tells what the owner did.
type Counts struct {
	Calls, Pieces, Full, Room, Failed, Late, Repeated uint64
}

// shop is one service at its owner; the owner's mu guards it.
type shop struct {
	name  string
	queue *queue
	// tasks are those that have not ended, by request.
	tasks map[string][]*task
	frees map[string][]string
	// unknown are results that were freed before this owner heard of them.
	unknown map[string]time.Time
	armed   bool
	wake    func()
}

// NewOwner returns an Owner of nothing.
func NewOwner(log logr.Logger, timer server.Timer, caller Caller, budget Budget) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{log: log, timer: timer, caller: caller, budget: budget, shops: make(map[string]*shop), ctx: ctx, cancel: cancel, next: func(*encoder.Holdings) {}}
}

// Stop ends all calls.
func (o *Owner) Stop() {
	o.cancel()
	o.work.Wait()
}

// Counts returns what was done so far.
func (o *Owner) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}

// Idle reports whether nothing waits and no call is in progress.
func (o *Owner) Idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.shops {
		if len(s.queue.items) > 0 {
			return false
		}
		for _, b := range s.queue.benches {
			if b.calls > 0 {
				return false
			}
		}
	}
	return true
}

// Follow takes the replicas of the services and how they make pieces.
func (o *Owner) Follow(backends map[string]server.Backend, replicas func(service string) []server.Replica) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range backends {
		backend := backends[name]
		if backend.Batch == nil {
			continue
		}
		s := o.shop(name)
		s.queue.batch = *backend.Batch
		o.follow(s, replicas(name))
		o.dispatch(s)
	}
}

func (o *Owner) shop(name string) *shop {
	s := o.shops[name]
	if s == nil {
		s = &shop{name: name, queue: newQueue(), tasks: make(map[string][]*task), unknown: make(map[string]time.Time), frees: make(map[string][]string)}
		o.shops[name] = s
	}
	return s
}

func (o *Owner) follow(s *shop, replicas []server.Replica) {
	listed := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		listed[replica.ID] = true
		known := s.queue.benches[replica.ID]
		if known == nil || known.Born != replica.Born || known.Address != replica.Address {
			s.queue.benches[replica.ID] = newBench(replica)
		}
	}
	for id, b := range s.queue.benches {
		b.gone = !listed[id]
		if b.gone && b.calls == 0 && len(b.results) == 0 {
			delete(s.queue.benches, id)
		}
	}
}

// Submit queues a job. done is called once, from any goroutine.
func (o *Owner) Submit(job *Job, done func(Result)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.shop(job.Service)
	o.budget.Requested(job.Service, len(job.Pieces))
	if o.retired {
		done(Result{Failing: FailingMoved})
		return
	}
	t := &task{Job: job, handles: make([]string, len(job.Pieces)), left: len(job.Pieces), done: done, enqueued: o.timer.Now()}
	s.queue.add(t)
	s.tasks[job.Request] = append(s.tasks[job.Request], t)
	o.dispatch(s)
}

// Retire gives the jobs of which no piece has begun back to those who asked,
// for the next owner, and finishes the others.
func (o *Owner) Retire() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.retired = true
	for _, s := range o.shops {
		waiting := make(map[*task]int)
		for _, i := range s.queue.items {
			waiting[i.task]++
		}
		for t, n := range waiting {
			if n == len(t.Pieces) {
				o.end(s, t, FailingMoved)
			}
		}
		o.handOver(s)
	}
}

// end tells a task's result and frees what nobody wants; mu is held.
func (o *Owner) end(s *shop, t *task, failing server.Failing) {
	if t.ended {
		return
	}
	orphans := t.end(failing)
	left := slices.DeleteFunc(s.tasks[t.Request], func(other *task) bool { return other == t })
	if s.tasks[t.Request] = left; len(left) == 0 {
		delete(s.tasks, t.Request)
	}
	o.free(s, orphans)
}

// Withdraw ends a request's jobs at a service.
func (o *Owner) Withdraw(service, request string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.shops[service]
	if s == nil {
		return
	}
	for key := range s.queue.coming {
		if key.request == request {
			delete(s.queue.coming, key)
		}
	}
	for _, t := range slices.Clone(s.tasks[request]) {
		o.end(s, t, server.FailingLate)
	}
	o.dispatch(s)
}

// Expect notes pieces of a request's stage that will be asked for.
func (o *Owner) Expect(service, request string, stage, count, rank int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shop(service).queue.expect(stageKey{request, stage}, count, rank, o.timer.Now())
}

// Until returns the expected times until a new piece is made, by rank, and the
// part of them that a call takes.
func (o *Owner) Until(service string, ranks int) (until []time.Duration, usual time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.shops[service]; s != nil {
		return s.queue.until(ranks, o.timer.Now()), s.queue.typical()
	}
	return nil, 0
}

// Release frees results.
func (o *Owner) Release(service string, handles []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.shop(service)
	o.free(s, handles)
}

// free gathers results for a call that frees them; mu is held.
func (o *Owner) free(s *shop, handles []string) {
	for _, handle := range handles {
		address := o.caller.Keeper(handle)
		known := false
		for _, b := range s.queue.benches {
			_, held := b.results[handle]
			known = known || held
		}
		if !known && len(s.unknown) < maxUnknown {
			s.unknown[handle] = o.timer.Now()
		}
		s.frees[address] = append(s.frees[address], handle)
	}
	if len(s.frees) > 0 && !s.armed {
		s.armed = true
		o.timer.After(freeWait, func(time.Time) { o.work.Go(func() { o.flush(s) }) })
	}
}

// flush sends what was gathered.
func (o *Owner) flush(s *shop) {
	o.mu.Lock()
	frees := s.frees
	s.frees, s.armed = make(map[string][]string), false
	keepers := make(map[string]*server.Replica, len(frees))
	for _, b := range s.queue.benches {
		if frees[b.Address] != nil {
			replica := b.Replica
			keepers[b.Address] = &replica
		}
	}
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(o.ctx, freeTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for address, handles := range frees {
		// A replica that is gone has kept nothing.
		if keeper := keepers[address]; keeper != nil {
			calls.Go(func() { o.freed(s, keeper, handles, o.caller.Free(ctx, keeper, handles)) })
		}
	}
	calls.Wait()
}

// freed gives the room of results back, once their replica has freed them.
func (o *Owner) freed(s *shop, keeper *server.Replica, handles []string, err error) {
	if err != nil {
		o.log.Info("results not freed; they expire", "service", s.name, "replica", keeper.ID, "results", len(handles), "cause", err.Error())
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if b := s.queue.benches[keeper.ID]; b != nil {
		for _, handle := range handles {
			b.release(handle)
		}
	}
	o.dispatch(s)
}

// dispatch starts every call that can be made; mu is held.
func (o *Owner) dispatch(s *shop) {
	now := o.timer.Now()
	for {
		c, hopeless := s.queue.next(now)
		for _, i := range hopeless {
			if !i.task.ended {
				o.counts.Late++
			}
			o.end(s, i.task, server.FailingLate)
		}
		if c == nil {
			break
		}
		o.counts.Calls++
		o.counts.Pieces += uint64(len(c.items))
		o.work.Go(func() { o.run(s, c, now) })
	}
	o.arm(s, now)
}

// arm looks at the queue again when patience or a block ends.
func (o *Owner) arm(s *shop, now time.Time) {
	if s.wake != nil {
		s.wake()
		s.wake = nil
	}
	if len(s.queue.items) == 0 {
		return
	}
	at := now.Add(patience)
	for _, i := range s.queue.items {
		if until := i.task.enqueued.Add(patience); until.After(now) && until.Before(at) {
			at = until
		}
	}
	for _, b := range s.queue.benches {
		if b.blocked.After(now) && b.blocked.Before(at) {
			at = b.blocked
		}
	}
	s.wake = o.timer.After(at.Sub(now)+time.Millisecond, func(time.Time) {
		o.work.Go(func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.dispatch(s)
		})
	})
}

// run makes one call.
func (o *Owner) run(s *shop, c *call, began time.Time) {
	pieces := make([]server.Piece, len(c.items))
	for n, i := range c.items {
		t := i.task
		pieces[n] = server.Piece{
			Request: t.Request, Stage: t.Stage, Piece: t.Pieces[i.index], Left: t.Last.Sub(began), Key: t.Key, Inputs: t.Inputs,
		}
	}
	ctx, cancel := context.WithCancel(o.ctx)
	stop := o.timer.After(overdueFactor*c.span+overdueExtra, func(time.Time) { cancel() })
	made, err := o.caller.Make(ctx, &c.bench.Replica, pieces)
	stop()
	overdue := ctx.Err() != nil
	cancel()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	s.queue.finish(c)
	o.log.Info("stage call", "service", s.name, "replica", c.bench.ID, "datacentre", c.bench.Datacentre, "pieces", len(c.items),
		"first_request", c.items[0].task.Request, "oldest_ms", began.Sub(c.oldest()).Milliseconds(), "took_ms", now.Sub(began).Milliseconds(),
		"span_ms", c.span.Milliseconds(), "waiting", len(s.queue.items), "used", c.bench.used, "room", s.queue.batch.Room, "ok", err == nil)
	if err != nil {
		o.failed(s, c, err, overdue, now)
	} else {
		c.bench.failures = 0
		c.bench.timed(now.Sub(began), s.queue.batch.Span(len(c.items)))
		s.queue.took(now.Sub(began))
		o.made(s, c, made, now)
		if o.retired {
			o.handLate(s, c, made, now)
		}
	}
	o.dispatch(s)
}

// made hands out the results of a call; mu is held.
func (o *Owner) made(s *shop, c *call, made []server.Made, now time.Time) {
	var again, noRoom []*item
	for n, i := range c.items {
		t := i.task
		switch {
		case made[n].Handle != "":
			o.keep(s, c.bench, i, made[n].Handle, now)
		case made[n].Failing == server.FailingRoom:
			o.counts.Room++
			noRoom = append(noRoom, i)
		case made[n].Failing == server.FailingError:
			o.counts.Failed++
			again = append(again, i)
		default:
			o.log.Info("piece not made", "request", t.Request, "stage", t.Stage, "piece", t.Pieces[i.index], "service", s.name,
				"replica", c.bench.ID, "reason", string(made[n].Failing))
			o.end(s, t, made[n].Failing)
		}
	}
	if len(noRoom) == len(c.items) {
		// Results that nobody here knows fill the replica until they expire.
		c.bench.blocked = now.Add(roomWait)
	}
	if len(noRoom) > 0 {
		c.bench.full(int64(len(noRoom))*noRoom[0].task.Bytes, now)
		o.log.Info("replica had no room", "service", s.name, "replica", c.bench.ID, "pieces", len(noRoom), "used", c.bench.used, "room", s.queue.batch.Room)
	}
	for _, i := range noRoom {
		i.tries-- // it was not tried
	}
	o.again(s, append(again, noRoom...), "not made")
}

// keep notes a result and ends its task when it was the last.
func (o *Owner) keep(s *shop, b *bench, i *item, handle string, now time.Time) {
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
func (o *Owner) again(s *shop, items []*item, why string) {
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
		s.queue.items = append(s.queue.items, i)
	}
}

// failed handles a call without results; mu is held.
func (o *Owner) failed(s *shop, c *call, err error, overdue bool, now time.Time) {
	b := c.bench
	if errors.Is(err, server.ErrOverload) {
		o.counts.Full++
		b.blocked = now.Add(fullWait)
	} else {
		o.counts.Failed++
		block := min(firstBlock<<min(b.failures, 6), lastBlock)
		b.failures++
		b.blocked = now.Add(block)
		if overdue {
			b.timed(maxPace*c.span, c.span)
		}
		o.log.Info("stage call failed", "service", s.name, "replica", b.ID, "pieces", len(c.items), "overdue", overdue,
			"block_ms", block.Milliseconds(), "cause", err.Error())
	}
	o.again(s, c.items, err.Error())
}
