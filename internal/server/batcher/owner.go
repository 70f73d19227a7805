package batcher

import (
	"context"
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

// Owner keeps the queues of the services that this instance owns.
type Owner struct {
	log    logr.Logger
	timer  server.Timer
	caller Caller
	budget server.Budget
	mu     sync.Mutex
	pools  map[string]*pool
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

// pool is one service at its owner; the owner's mu guards it.
type pool struct {
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
func NewOwner(log logr.Logger, timer server.Timer, caller Caller, budget server.Budget) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{log: log, timer: timer, caller: caller, budget: budget, pools: make(map[string]*pool), ctx: ctx, cancel: cancel, next: func(*encoder.Holdings) {}}
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
	for _, s := range o.pools {
		if s.queue.waiting > 0 {
			return false
		}
		for _, b := range s.queue.workers {
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
		s := o.pool(name)
		s.queue.batch = *backend.Batch
		o.follow(s, replicas(name))
		o.dispatch(s)
	}
}

func (o *Owner) pool(name string) *pool {
	s := o.pools[name]
	if s == nil {
		s = &pool{name: name, queue: newQueue(), tasks: make(map[string][]*task), unknown: make(map[string]time.Time), frees: make(map[string][]string)}
		o.pools[name] = s
	}
	return s
}

func (o *Owner) follow(s *pool, replicas []server.Replica) {
	listed := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		listed[replica.ID] = true
		known := s.queue.workers[replica.ID]
		if known == nil || known.Born != replica.Born || known.Address != replica.Address {
			s.queue.workers[replica.ID] = newWorker(replica)
		}
	}
	for id, b := range s.queue.workers {
		b.gone = !listed[id]
		if b.gone && b.calls == 0 && len(b.results) == 0 {
			delete(s.queue.workers, id)
		}
	}
}

// Submit queues a job. done is called once, from any goroutine.
func (o *Owner) Submit(job *Job, done func(Result)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.pool(job.Service)
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
	for _, s := range o.pools {
		for _, t := range s.queue.tasks {
			if len(t.waiting) == len(t.Pieces) {
				o.end(s, t, FailingMoved)
			}
		}
		o.handOver(s)
	}
}

// end tells a task's result and frees what nobody wants; mu is held.
func (o *Owner) end(s *pool, t *task, failing server.Failing) {
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
	s := o.pools[service]
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
	o.pool(service).queue.expect(stageKey{request, stage}, count, rank, o.timer.Now())
}

// Decline notes pieces of a rank that will not be asked for.
func (o *Owner) Decline(service string, count, rank int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool(service).queue.decline(count, rank, o.timer.Now())
}

// Until returns the expected times until a new piece is made, by rank and last
// until everything is made, and the part of them that a call takes.
func (o *Owner) Until(service string) (until []time.Duration, usual time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.pools[service]; s != nil {
		return s.queue.until(o.timer.Now()), s.queue.typical()
	}
	return nil, 0
}

// dispatch starts every call that can be made; mu is held.
func (o *Owner) dispatch(s *pool) {
	now := o.timer.Now()
	for {
		c, hopeless := s.queue.next(now)
		for _, t := range hopeless {
			o.counts.Late++
			o.end(s, t, server.FailingLate)
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
func (o *Owner) arm(s *pool, now time.Time) {
	if s.wake != nil {
		s.wake()
		s.wake = nil
	}
	if s.queue.waiting == 0 {
		return
	}
	at := now.Add(patience)
	for _, t := range s.queue.tasks {
		if until := t.enqueued.Add(patience); until.After(now) && until.Before(at) {
			at = until
		}
	}
	for _, b := range s.queue.workers {
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
