// Package relayer forwards clients' requests to replicas and the responses back, byte for
// byte. It retries attempts that failed where that is safe, and logs how each request ended.
package relayer

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/accountant"
	"oriolemill.example/oriolemill/internal/server/batcher"
	"oriolemill.example/oriolemill/internal/server/chooser"
	"oriolemill.example/oriolemill/internal/server/exchanger"
	"oriolemill.example/oriolemill/internal/server/fronter"
	"oriolemill.example/oriolemill/internal/server/registrar"
	"oriolemill.example/oriolemill/internal/server/stager"
)

// WaitEstimator estimates how long stage services take to compute a new piece. It must be
// safe for concurrent use.
type WaitEstimator interface {
	// WaitEstimate returns the estimate of a service for a piece of a rank; ok is false
	// without a recent one.
	WaitEstimate(service string, rank int) (estimate batcher.WaitEstimate, ok bool)
}

// Meter records metrics of requests. It must be safe for concurrent use.
type Meter interface {
	// RecordRequest records a finished request.
	RecordRequest(route, outcome string, status int, duration time.Duration)
	// RecordAttempt records an attempt at a replica of a service; framing is that of the
	// response, "" without any.
	RecordAttempt(service, outcome, framing string, duration time.Duration)
	// RecordStages records the time until a request's stages were computed.
	RecordStages(route string, duration time.Duration)
	// RecordReturning records the outcome of a request whose client was refused before.
	RecordReturning(route, outcome string)
}

// Dependencies are the dependencies of a Relayer. View returns the current view of the
// deployment.
type Dependencies struct {
	Log            logr.Logger
	Timer          server.Timer
	View           func() *registrar.View
	Codec          server.Codec
	Chooser        *chooser.Chooser
	Exchanger      *exchanger.Exchanger
	Stager         *stager.Stager
	Budget         server.RetryBudget
	WaitEstimator  WaitEstimator
	Origins        server.StreamOrigins
	RequestBlocker server.RequestBlocker
	// RestorePeriods reads from the store since when services have had one version, for the view.
	RestorePeriods func(ctx context.Context)
	// ConfirmView returns a view that the store confirms, if it has had no outage since a time.
	ConfirmView func(ctx context.Context, since time.Time) (*registrar.View, error)
	// Incarnations is nil if the rows of replicas are never doubtful.
	Incarnations server.IncarnationVerifier
	// MaxStreamAge is MaxStreamAge unless a test needs less.
	MaxStreamAge time.Duration
	// Limits is nil if replicas state no limits.
	Limits server.LimitKeeper
	// Pauses is nil if replicas request no pauses.
	Pauses server.PauseKeeper
	// InstanceCount returns the number of instances that send requests to the replicas.
	InstanceCount func() int
	// PrefersReturning is set if clients that return after a refusal are preferred.
	PrefersReturning bool
	// Returning states for which routes clients that return after a refusal are served late, by left-over capacity. There,
	// PrefersReturning does not count.
	Returning batcher.ReturningPolicy
	// Accountant holds the budget of bytes for clients; nil means no bound.
	Accountant *accountant.Accountant
	// WriteTimeout bounds a write to a client that does not read the response; zero means DefaultWriteTimeout.
	WriteTimeout time.Duration
	Meter        Meter
}

// Relayer is the http.Handler for clients' requests.
type Relayer struct {
	Dependencies
	// drain is set once the instance stops.
	drain  atomic.Pointer[drain]
	active atomic.Int64
	// stopped ends when the last requests must be answered.
	stopped        context.Context
	endRequest     context.CancelCauseFunc
	clientTimeouts clientTimeouts
	pauseQueue     pauseQueue
	refusals       batcher.Refusals
	unread         unreadResponses
}

// New returns a Relayer with the given dependencies.
func New(dependencies Dependencies) *Relayer {
	if dependencies.Accountant == nil {
		dependencies.Accountant = accountant.New(dependencies.Log, dependencies.Timer, math.MaxInt64)
	}
	dependencies.WriteTimeout = cmp.Or(dependencies.WriteTimeout, DefaultWriteTimeout)
	l := &Relayer{
		Dependencies: dependencies, clientTimeouts: clientTimeouts{longest: make(map[string]time.Duration)},
		pauseQueue: pauseQueue{waiting: make(map[string]int)},
	}
	l.stopped, l.endRequest = context.WithCancelCause(context.Background())
	return l
}

// drain is the stop of an instance.
type drain struct {
	// lateAt is when clients are expected to use other instances. answerBy is when the last response must
	// have been written.
	lateAt, answerBy time.Time
}

// BeginDrain marks the instance as draining: every further response closes its connection. Requests that
// are received after the linger time are refused unless they end before answerBy in any case; then all
// requests in progress are ended with a response.
func (l *Relayer) BeginDrain(linger time.Duration, answerBy time.Time) {
	now := l.Timer.Now()
	l.drain.Store(&drain{lateAt: now.Add(linger), answerBy: answerBy})
	l.Timer.After(answerBy.Sub(now), func(time.Time) { l.endRequest(server.ErrDeadline) })
}

// UnreadResponses returns the number of responses that were given up since a write to the client was blocked for WriteTimeout.
func (l *Relayer) UnreadResponses() uint64 { return l.unread.count.Load() }

// ActiveRequests returns the number of requests in progress.
func (l *Relayer) ActiveRequests() int64 { return l.active.Load() }

// ServeHTTP implements http.Handler.
func (l *Relayer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.active.Add(1)
	defer l.active.Add(-1)
	f := newRelayedRequest(l, w, r)
	f.run()
	f.logRequest()
	if f.shouldAbort {
		if !r.ProtoAtLeast(1, 1) {
			// Its client knows no chunks, so the end of the connection is the end of the response.
			fronter.ResetOnClose(r.Context())
		}
		// The server closes the connection without completing the response.
		panic(http.ErrAbortHandler)
	}
}
