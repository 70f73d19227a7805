// Package listener serves the callers' HTTP interface. It parses requests, runs
// them and responds with results, streams of events or problem documents.
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/acceptor"
	"oriolemill.example/oriolemill/internal/server/runner"
)

// Limits of the callers' interface.
const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 1 << 20
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 32 << 10
	// readTimeout bounds the time to read a request.
	readTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 60 * time.Second
	// maxInflight is the maximum number of requests in progress on one instance.
	maxInflight = 10000
	// overloadRetryDelay is the Retry-After for a request above maxInflight.
	overloadRetryDelay = time.Second
)

// Runner runs requests.
type Runner interface {
	// Run runs a request until it ends and passes its tokens to handleToken, which may be
	// nil.
	Run(ctx context.Context, request *server.Request, handleToken server.TokenHandler) *runner.Result
}

// Meter records metrics of finished requests.
type Meter interface {
	// RecordRequest records a finished request with its outcome, its duration and its
	// costs by stage.
	RecordRequest(kind string, outcome server.Outcome, duration time.Duration, costs map[string]server.Cost)
}

// Dependencies are the dependencies of a Listener; none may be nil.
type Dependencies struct {
	Runner   Runner
	Orderer  server.Orderer
	Meter    Meter
	Snapshot func() *server.Snapshot
	Now      func() time.Time
}

// Listener is the HTTP server for callers.
type Listener struct {
	dependencies Dependencies
	hertz        *acceptor.Acceptor
	// inflight is the number of requests in progress. A request is in progress
	// until the last byte of its response is written.
	inflight atomic.Int64
	// isStopping is set when draining begins, isClosed when Shutdown has closed
	// the socket.
	isStopping atomic.Bool
	isClosed   atomic.Bool
}

// New returns a Listener on an open socket. It serves after Start.
func New(socket net.Listener, dependencies Dependencies) *Listener {
	l := &Listener{dependencies: dependencies}
	options := []config.Option{
		hertz.WithTracer(&inflightTracer{listener: l}),
		hertz.WithStreamBody(true),
		hertz.WithMaxHeaderBytes(maxHeaderBytes),
		hertz.WithReadTimeout(readTimeout),
		hertz.WithIdleTimeout(idleTimeout),
		hertz.WithSenseClientDisconnection(true),
		hertz.WithHandleMethodNotAllowed(true),
	}
	l.hertz = acceptor.New(socket, options...)
	l.addRoutes()
	return l
}

func (l *Listener) addRoutes() {
	l.hertz.Use(l.trackInflight)
	l.hertz.POST("/v1/pipelines/:pipeline", l.servePipeline)
	l.hertz.POST("/v1/services/:service/:operation", l.serveService)
	l.hertz.GET("/v1/orders/:key", l.serveOrder)
	l.hertz.NoRoute(func(_ context.Context, c *app.RequestContext) {
		writeProblem(c, newProblem(http.StatusNotFound, "no such resource", server.OutcomeNotRun))
	})
	l.hertz.NoMethod(func(_ context.Context, c *app.RequestContext) {
		writeProblem(c, newProblem(http.StatusMethodNotAllowed, "method not allowed", server.OutcomeNotRun))
	})
}

// Start serves in the background until Shutdown.
func (l *Listener) Start() error { return l.hertz.Start() }

// contextKeyCounted is the key of a flag in the request context. It is set while the
// request is counted in inflight.
const contextKeyCounted = "counted"

// trackInflight counts a request in inflight and refuses it if the listener is
// closed or has too many in progress. While the listener is stopping, the
// connection is closed after the response. inflightTracer.Finish decrements
// inflight when the response has been written.
func (l *Listener) trackInflight(ctx context.Context, c *app.RequestContext) {
	c.Set(contextKeyCounted, true)
	inflight := l.inflight.Add(1)
	switch {
	case l.isClosed.Load():
		writeProblem(c, newProblem(http.StatusServiceUnavailable, "the instance is stopping", server.OutcomeNotRun))
		c.Abort()
	case inflight > maxInflight:
		problem := newProblem(http.StatusServiceUnavailable, "too many requests in progress", server.OutcomeNotRun)
		problem.retryAfter = overloadRetryDelay
		writeProblem(c, problem)
		c.Abort()
	}
	if l.isStopping.Load() {
		c.Response.SetConnectionClose()
	}
	c.Next(ctx)
	if l.isStopping.Load() {
		c.Response.SetConnectionClose()
	}
}

// inflightTracer decrements inflight when a response has been written.
type inflightTracer struct {
	listener *Listener
}

// Start implements the tracer interface of hertz.
func (t *inflightTracer) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	return ctx
}

// Finish implements the tracer interface of hertz. It is called after the last
// byte of a response was written; the handler returns before that.
func (t *inflightTracer) Finish(_ context.Context, c *app.RequestContext) {
	if c.GetBool(contextKeyCounted) {
		c.Set(contextKeyCounted, false)
		t.listener.inflight.Add(-1)
	}
}

// BeginDrain marks the listener as stopping: each persistent connection is closed after
// its next response. Requests are served until Shutdown.
func (l *Listener) BeginDrain() { l.isStopping.Store(true) }

// idlePollInterval is the interval at which Shutdown checks for requests in
// progress.
const idlePollInterval = 5 * time.Millisecond

// waitIdle returns when no request is in progress, or with the cause when ctx
// ends.
func (l *Listener) waitIdle(ctx context.Context) error {
	for l.inflight.Load() > 0 {
		select {
		case <-time.After(idlePollInterval):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// Shutdown waits until no request is in progress, then closes the socket. It uses
// inflight for that, since hertz would wait for idle connections too. A request on
// a persistent connection may still start while the socket is being closed: it is
// served and waited for. Requests after that are refused with the outcome not-run.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.BeginDrain()
	if err := l.waitIdle(ctx); err != nil {
		return err
	}
	err := l.hertz.Shutdown(ctx)
	l.isClosed.Store(true)
	return errors.Join(err, l.waitIdle(ctx))
}
