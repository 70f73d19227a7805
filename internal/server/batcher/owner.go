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
	// replicaReleaseDelay is how long released results are collected, to be sent to their
	// replica in one call.
	replicaReleaseDelay = 15 * time.Millisecond
	// releaseTimeout bounds a call that releases results.
	releaseTimeout = time.Second
	// A call is cancelled after callTimeoutFactor times its expected duration plus
	// callTimeoutMargin.
	callTimeoutFactor = 2
	callTimeoutMargin = 250 * time.Millisecond
	// overloadBackoff is how long no call is sent to a replica that refused one because
	// of overload, or from which a call was withheld.
	overloadBackoff = 40 * time.Millisecond
	// memoryBackoff is how long no call is sent to a replica that had no memory for any
	// result of a call.
	memoryBackoff = 250 * time.Millisecond
	// No call is sent to a replica for minFailureBackoff after a failed call; the time
	// doubles with each consecutive failure up to maxFailureBackoff.
	minFailureBackoff = 300 * time.Millisecond
	maxFailureBackoff = 3 * time.Second
	// maxUntrackedReleases bounds the number of results in untrackedReleases of a service.
	maxUntrackedReleases = 4096
	// maxAttempts bounds the attempts to compute a piece, the first one included.
	maxAttempts = 4
)

// Caller makes calls to replicas. It must be safe for concurrent use.
type Caller interface {
	// ComputePieces has a replica compute pieces and returns their results in order. Errors:
	// ErrOverload when the replica refused the call and did nothing, ErrWithheld when the
	// call was not sent since the replica gets no new work; after ErrUnavailable and others
	// the pieces may or may not have been computed.
	ComputePieces(ctx context.Context, replica *server.Replica, pieces []server.Piece) ([]server.PieceResult, error)
	// ReleaseResults releases results at the replica that holds them.
	ReleaseResults(ctx context.Context, replica *server.Replica, handles []string) error
	// ResultAddress returns the address of the replica that holds a result.
	ResultAddress(handle string) string
}

// Owner keeps the queues of the stage services that this instance owns and makes the
// calls to their replicas. It is safe for concurrent use.
type Owner struct {
	log      logr.Logger
	timer    server.Timer
	caller   Caller
	budget   server.RetryBudget
	mu       sync.Mutex
	services map[string]*ownedService
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	// spawnMu guards isStopped, after which no goroutine is started.
	spawnMu   sync.Mutex
	isStopped bool
	counts    Counts
	// sendState sends the state of a service's replicas to the service's next owner.
	sendState func(*encoder.ServiceState)
	// blocker knows the requests whose pieces crash replicas; nil without one.
	blocker server.RequestBlocker
	// pauses knows the pauses that replicas request; nil without one.
	pauses server.PauseKeeper
	// shares is the policy of all services.
	shares SharePolicy
	// returning states for which services returning clients use left-over capacity; patientServices are those that patient
	// routes of the plan use.
	returning       ReturningPolicy
	patientServices map[string]bool
	// statesPaces reports whether replicas have stated their paces to this instance.
	statesPaces     func() bool
	refusals        Refusals
	shedLimiter     shedLimiter
	pieceCounters   pieceCounters
	decisionMetrics decisionMetrics
	// draining is set once the instance stops: new jobs are left to the next owner.
	draining bool
}

// Counts are totals since the owner was created: Calls the calls made, Pieces the pieces
// in them, OverloadedCalls the calls refused because of overload, PiecesWithoutMemory the
// pieces without memory for their result, Failures the other failed calls and pieces,
// ShedJobs the jobs that the queue shed, RetriedPieces the pieces queued again.
type Counts struct {
	Calls, Pieces, OverloadedCalls, PiecesWithoutMemory, Failures, ShedJobs, RetriedPieces uint64
}

// ownedService is the state of one service at its owner. The owner's mu guards it.
type ownedService struct {
	name  string
	queue *queue
	// tasks are the unfinished ones, by request.
	tasks map[string][]*task
	// pendingReleases are the results to release, by address of the holding replica.
	pendingReleases map[string][]string
	// untrackedReleases are results that were released although this owner does not track
	// them, with the time of the release: the state from the previous owner that lists
	// them may still arrive.
	untrackedReleases map[string]time.Time
	releaseScheduled  bool
	// cancelDispatch cancels the scheduled decision, which is due at nextDispatchAt; nil without one. leftQueued is set if the
	// last decision, at dispatchedAt, left pieces queued.
	cancelDispatch func()
	nextDispatchAt time.Time
	dispatchedAt   time.Time
	leftQueued     bool
	// estimate holds the waits by rank as of estimatedAt; see Owner.WaitTimes.
	estimate         []time.Duration
	estimateDuration time.Duration
	estimatedAt      time.Time
	load             serviceLoad
}

// OwnerOption sets a property of an Owner.
type OwnerOption func(*Owner)

// WithBlocker reports crashes of replicas under the pieces of a request, and rejects jobs whose pieces
// crash them.
func WithBlocker(blocker server.RequestBlocker) OwnerOption {
	return func(o *Owner) { o.blocker = blocker }
}

// WithPauses has no calls prepared for replicas in their pauses.
func WithPauses(pauses server.PauseKeeper) OwnerOption {
	return func(o *Owner) { o.pauses = pauses }
}

// WithShares sets the policy by which the throughput is shared; without it, it is shared between ranks only.
func WithShares(policy SharePolicy) OwnerOption {
	return func(o *Owner) { o.shares = policy }
}

// NewOwner returns an Owner without services; a service is added by UpdateServices or
// when it is first used. Stop must be called at the end.
func NewOwner(log logr.Logger, timer server.Timer, caller Caller, budget server.RetryBudget, options ...OwnerOption) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{log: log, timer: timer, caller: caller, budget: budget, statesPaces: func() bool { return false }, services: make(map[string]*ownedService), ctx: ctx, cancel: cancel, sendState: func(*encoder.ServiceState) {}, pieceCounters: newPieceCounters(), decisionMetrics: newDecisionMetrics()}
	for _, option := range options {
		option(o)
	}
	return o
}

// Stop cancels all calls and waits until they have returned.
func (o *Owner) Stop() {
	o.spawnMu.Lock()
	o.isStopped = true
	o.spawnMu.Unlock()
	o.cancel()
	o.wg.Wait()
}

// spawn runs a function in a goroutine that Stop waits for, unless the owner has stopped: a timer may fire while it stops.
func (o *Owner) spawn(run func()) {
	o.spawnMu.Lock()
	defer o.spawnMu.Unlock()
	if !o.isStopped {
		o.wg.Go(run)
	}
}

// Counts returns the totals so far.
func (o *Owner) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}

// IsIdle reports whether no piece is queued and no call for pieces is in progress.
func (o *Owner) IsIdle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.services {
		if s.queue.length > 0 {
			return false
		}
		for _, b := range s.queue.replicas {
			if b.activeCalls > 0 {
				return false
			}
		}
	}
	return true
}

// UpdateServices updates the batch settings and the replicas of the stage services; backends
// without batch settings are skipped.
func (o *Owner) UpdateServices(backends map[string]server.Backend, replicas func(service string) []server.Replica) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range backends {
		backend := backends[name]
		if backend.Batch == nil {
			continue
		}
		s := o.getOrCreateService(name)
		s.queue.batch = *backend.Batch
		o.updateReplicas(s, replicas(name))
		o.dispatch(s)
	}
}

// getOrCreateService returns the state of a service. The caller holds mu.
func (o *Owner) getOrCreateService(name string) *ownedService {
	s := o.services[name]
	if s == nil {
		s = &ownedService{name: name, queue: newQueue(), tasks: make(map[string][]*task), untrackedReleases: make(map[string]time.Time), pendingReleases: make(map[string][]string)}
		if o.shares == SharesOfWorkspaces {
			s.queue.shares, s.queue.times = newWorkspaceShares(), newStageTimes()
		}
		s.queue.hasLeftoverRule = o.returning.AppliesTo(o.patientServices[name])
		o.services[name] = s
	}
	return s
}

// updateReplicas tracks the registered replicas of a service. A replica with a new start
// time or address replaces the one of the same ID. An unregistered one is dropped at the
// first update at which it has neither calls in progress nor tracked results. The caller
// holds mu.
func (o *Owner) updateReplicas(s *ownedService, replicas []server.Replica) {
	registered := make(map[string]bool, len(replicas))
	for _, replica := range replicas {
		registered[replica.ID] = true
		tracked := s.queue.replicas[replica.ID]
		if tracked == nil || tracked.StartMillis != replica.StartMillis || tracked.Address != replica.Address {
			s.queue.replicas[replica.ID] = newTrackedReplica(replica)
		}
	}
	for id, b := range s.queue.replicas {
		b.isUnregistered = !registered[id]
		if b.isUnregistered && b.activeCalls == 0 && len(b.results) == 0 {
			delete(s.queue.replicas, id)
		}
	}
}

// Submit queues a job. onFinish is called once with the result, from any goroutine and
// possibly before Submit returns. mu is held during the call, so onFinish must not block
// or call the Owner.
func (o *Owner) Submit(job *Job, onFinish func(Result)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.getOrCreateService(job.Service)
	s.load.jobs++
	o.budget.RecordRequests(job.Service, len(job.Pieces))
	if o.draining {
		onFinish(Result{Failure: PieceFailureMoved})
		return
	}
	now := o.timer.Now()
	if job.IsReturning && !s.queue.hasLeftoverRule && o.refusals.IsEarly(job.Content, now) {
		job.IsReturning = false
	}
	t := &task{Job: job, handles: make([]string, len(job.Pieces)), remaining: len(job.Pieces), onFinish: onFinish, enqueuedAt: now}
	if o.isBlocked(t) {
		_ = t.finish(server.PieceFailureBlocked)
		return
	}
	if _, isRefused := s.queue.refusal(t, now); isRefused {
		s.queue.recordShareRefused(t, now)
		o.shed(s, t, shedByShare, now)
		return
	}
	s.queue.addTask(t)
	o.recordReturning(s, t, returningAdmitted)
	s.tasks[job.RequestID] = append(s.tasks[job.RequestID], t)
	o.dispatchSoon(s)
}

// BeginDrain prepares the shutdown. Jobs of which no piece is in a call yet fail with
// PieceFailureMoved, and so do all later ones; their senders send them to the next owner.
// The other jobs are completed. The state of the replicas is sent to the next owners.
func (o *Owner) BeginDrain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = true
	for _, s := range o.services {
		for _, t := range s.queue.tasks {
			if len(t.queued) == len(t.Pieces) {
				o.finishTask(s, t, PieceFailureMoved)
			}
		}
		o.transferState(s)
	}
}

// finishTask finishes a task and releases the results of a failed one. The caller holds mu.
func (o *Owner) finishTask(s *ownedService, t *task, failure server.PieceFailure) {
	if t.isFinished {
		return
	}
	orphans := t.finish(failure)
	unfinished := slices.DeleteFunc(s.tasks[t.RequestID], func(other *task) bool { return other == t })
	if s.tasks[t.RequestID] = unfinished; len(unfinished) == 0 {
		delete(s.tasks, t.RequestID)
	}
	o.queueReleases(s, orphans)
}

// CancelJobs cancels a request's jobs at a service and deletes the forecasts of its pieces.
func (o *Owner) CancelJobs(service, request string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if s == nil {
		return
	}
	for key := range s.queue.forecasts {
		if key.request == request {
			delete(s.queue.forecasts, key)
		}
	}
	for _, t := range slices.Clone(s.tasks[request]) {
		o.finishTask(s, t, server.PieceFailureDeadline)
	}
	o.dispatchSoon(s)
}

// CancelJob cancels one job; see CancelJobs.
func (o *Owner) CancelJob(job *Job) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[job.Service]
	if s == nil {
		return
	}
	for _, t := range slices.Clone(s.tasks[job.RequestID]) {
		if t.Job == job {
			o.finishTask(s, t, server.PieceFailureDeadline)
		}
	}
	o.dispatchSoon(s)
}

// Expect records that pieces of a request's stage will be requested.
func (o *Owner) Expect(service, request string, stage, count, rank int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.getOrCreateService(service).queue.expect(stageKey{request, stage}, count, rank, o.timer.Now())
}

// RecordRefused adds the pieces of a request that was refused on arrival to the demand
// of its rank.
func (o *Owner) RecordRefused(service string, count, rank int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.getOrCreateService(service).queue.recordRefused(count, rank, o.timer.Now())
}
