// Package orderer runs requests with side effects at most once. It claims each
// order in the platform's table, sends it to the service, and records the
// outcome.
package orderer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// Dependencies are the dependencies of an Orderer. All of them are required.
type Dependencies struct {
	// ID is the instance's unique ID.
	ID      string
	Table   server.Table
	Service server.Service
	Picker  server.Picker
	Timer   server.Timer
	// Snapshot returns the current snapshot, for picks and recovery.
	Snapshot func() *server.Snapshot
	// RequestBlocker knows the orders that crash replicas, whatever their key.
	RequestBlocker server.RequestBlocker
	// UntilAvailable returns the time until the first of a service's replicas takes orders, if all have
	// requested a pause; zero otherwise. It is nil if none does.
	UntilAvailable func([]*server.Upstream) time.Duration
}

// Orderer implements server.Orderer. It is safe for concurrent use.
type Orderer struct {
	dependencies Dependencies
	// incarnation distinguishes this process from earlier ones of the instance.
	incarnation string
	committer   *committer

	mu sync.Mutex
	// executions are the orders in progress at this instance, by row.
	executions map[string]*execution
	// unconfirmed are the final records whose write is not confirmed, by nonce.
	unconfirmed map[string]intent
	// isFlushing reports that flushIntents is running.
	isFlushing bool
	sweep      sweepState
	// unsubscribe stops the background tasks.
	unsubscribe []func()
}

// New returns an Orderer. Start starts its background tasks.
func New(dependencies Dependencies) *Orderer {
	return &Orderer{
		dependencies: dependencies,
		incarnation:  server.NewID().String(),
		committer:    &committer{table: dependencies.Table, timer: dependencies.Timer},
		executions:   make(map[string]*execution),
		unconfirmed:  make(map[string]intent),
	}
}

// Order implements server.Orderer. Concurrent requests with the same key share
// one execution. If that execution did not run the order, the requests that
// joined it try again.
func (o *Orderer) Order(ctx context.Context, snapshot *server.Snapshot, request *server.Request) (server.Answer, error) {
	if err := o.validate(snapshot, request); err != nil {
		return server.Answer{}, err
	}
	digest := bodyDigest(request.Kind.Name(), request.Input)
	for {
		e, isStarter := o.joinOrStart(ctx, snapshot, request, digest)
		if e.bodyDigest != digest {
			return server.Answer{}, notRunError("claim", bodyMismatch())
		}
		select {
		case <-e.done:
			if isStarter || e.outcome != server.OutcomeNotRun {
				return e.answer, e.err
			}
		case <-ctx.Done():
			return o.respondEarly(ctx, e, isStarter)
		}
		if ctx.Err() != nil {
			return server.Answer{}, notRunError("claim", context.Cause(ctx))
		}
	}
}

// validate returns a fault for a request without an idempotency key, or whose
// service is not in the deployment.
func (o *Orderer) validate(snapshot *server.Snapshot, request *server.Request) error {
	if request.IdempotencyKey == "" {
		return notRunError("claim", merry.Prepend(server.ErrInvalid, "idempotency key is missing"))
	}
	if snapshot.Deployment() == nil || snapshot.Deployment().Service(request.Kind.Service()) == nil {
		return notRunError("claim", server.ErrNoUpstream)
	}
	return nil
}

// respondEarly returns the result for a caller whose context ended before the
// execution. If the caller's request started the execution, nothing was sent and no
// other request holds the order, it forbids sending and the order is not run.
// Otherwise it returns the execution's result if that has ended by now, and else
// outcome unknown.
func (o *Orderer) respondEarly(ctx context.Context, e *execution, isStarter bool) (server.Answer, error) {
	if isStarter && e.forbidSend() && !e.heldByOther.Load() {
		return server.Answer{}, notRunError("claim", context.Cause(ctx))
	}
	select {
	case <-e.done:
		return e.answer, e.err
	default:
		return server.Answer{}, unknownError(e.request.Kind.Operation(), "order "+e.request.ID.String()+" in progress", context.Cause(ctx))
	}
}

// joinOrStart returns the execution for the request's key, and whether this request
// started it because there was none.
func (o *Orderer) joinOrStart(ctx context.Context, snapshot *server.Snapshot, request *server.Request, digest string) (*execution, bool) {
	key := rowKey(request.Workspace, request.IdempotencyKey)
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.executions[key.Row]; e != nil {
		return e, false
	}
	e := &execution{
		orderer: o, request: request, snapshot: snapshot, key: key, bodyDigest: digest, done: make(chan struct{}),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	o.executions[key.Row] = e
	go e.run(context.WithoutCancel(ctx))
	return e, true
}

// removeExecution removes an execution that has ended and notifies the waiting callers.
func (o *Orderer) removeExecution(e *execution) {
	o.mu.Lock()
	delete(o.executions, e.key.Row)
	o.mu.Unlock()
	close(e.done)
}

// CountInProgress returns the numbers of orders in progress and of unconfirmed records.
func (o *Orderer) CountInProgress() (executions, unconfirmed int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.executions), len(o.unconfirmed)
}

// drainPollInterval is the interval between checks for orders in progress during Drain.
const drainPollInterval = 20 * time.Millisecond

// Drain waits until no order is in progress and every record is confirmed, or
// until ctx ends.
func (o *Orderer) Drain(ctx context.Context) error {
	for {
		executions, unconfirmed := o.CountInProgress()
		if executions == 0 && unconfirmed == 0 {
			return nil
		}
		o.flushIntents()
		if err := server.Sleep(ctx, o.dependencies.Timer, drainPollInterval); err != nil {
			return merry.Prependf(err, "%d orders in progress, %d records unconfirmed", executions, unconfirmed)
		}
	}
}

// OrderState implements server.Orderer. If this process has an unconfirmed final record
// for the claim in the row, that record takes precedence over the row.
func (o *Orderer) OrderState(ctx context.Context, workspace, key string) (server.OrderState, error) {
	row, err := o.dependencies.Table.Get(ctx, rowKey(workspace, key))
	if err != nil {
		return server.OrderState{}, err
	}
	found, err := decodeRecord(row.Value)
	if err != nil {
		return server.OrderState{}, err
	}
	if unconfirmed, ok := o.unconfirmedRecord(found.Nonce); ok {
		found = unconfirmed
	}
	return server.OrderState{Key: key, State: found.State, RequestID: found.RequestID, Output: found.Output, RecordedAt: found.UpdatedAt}, nil
}

// unconfirmedRecord returns the final record of a claim that this process has
// not yet managed to write.
func (o *Orderer) unconfirmedRecord(nonce string) (record, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	i, ok := o.unconfirmed[nonce]
	return i.record, ok
}

// bodyMismatch returns the error for a key that was used with another kind or
// input.
func bodyMismatch() error {
	return merry.Prepend(server.ErrInvalid, "idempotency key used with another body")
}

// notRunError returns a fault with OutcomeNotRun.
func notRunError(step string, cause error) error {
	return server.NewFault(step, "", cause, server.WithOutcome(server.OutcomeNotRun))
}

// unknownError returns a fault with OutcomeUnknown. A nil cause stands for
// ErrUncertain.
func unknownError(step, detail string, cause error) error {
	if cause == nil {
		cause = server.ErrUncertain
	}
	var fault *server.Fault
	peer := ""
	if errors.As(cause, &fault) {
		peer = fault.Peer()
		cause = fault.Unwrap()
	}
	return server.NewFault(step, peer, merry.Prepend(cause, detail), server.WithOutcome(server.OutcomeUnknown))
}
