// Package operator serves the operator interface of an instance: health,
// metrics, profiles, status and the routes that other packages add.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/acceptor"
)

// Limits of the operator interface.
const (
	// maxBodyBytes is the maximum size of a request body; those with documents are
	// the largest.
	maxBodyBytes = 4 << 20
	// readTimeout bounds the time to read a request.
	readTimeout = 10 * time.Second
)

// Dependencies are the dependencies of an Operator; none may be nil.
type Dependencies struct {
	// ID is the name of the instance.
	ID string
	// Snapshot returns the current snapshot.
	Snapshot func() *server.Snapshot
	// Gatherer collects the metrics.
	Gatherer prometheus.Gatherer
	// Now returns the current time.
	Now func() time.Time
}

// Operator is the HTTP server of the operator interface.
type Operator struct {
	dependencies   Dependencies
	tokenChecker   TokenChecker
	routes         []Route
	tableState     func() string
	notReadyReason func() string
	hertz          *acceptor.Acceptor
	isStopping     atomic.Bool
}

// Option sets a property of an Operator.
type Option func(*Operator)

// WithRoutes adds the routes of other packages.
func WithRoutes(routes ...Route) Option {
	return func(o *Operator) { o.routes = append(o.routes, routes...) }
}

// WithTokenChecker replaces the check of tokens against the active configuration.
func WithTokenChecker(tokenChecker TokenChecker) Option {
	return func(o *Operator) { o.tokenChecker = tokenChecker }
}

// WithTableState sets the function that returns the state of the platform's table, such
// as up, down or unknown.
func WithTableState(state func() string) Option {
	return func(o *Operator) { o.tableState = state }
}

// WithBootstrapHash sets the hexadecimal SHA-256 hash of the only token that has access
// while the configuration has no operators; with "" everyone has access then.
func WithBootstrapHash(hash string) Option {
	return func(o *Operator) {
		o.tokenChecker = documentChecker{snapshot: o.dependencies.Snapshot, bootstrapHash: hash}
	}
}

// WithNotReadyReason sets the function that returns why the instance is not ready, or "".
func WithNotReadyReason(reason func() string) Option {
	return func(o *Operator) { o.notReadyReason = reason }
}

// New returns an Operator on an open socket. It serves after Start.
func New(socket net.Listener, dependencies Dependencies, options ...Option) *Operator {
	o := &Operator{
		dependencies:   dependencies,
		tokenChecker:   documentChecker{snapshot: dependencies.Snapshot},
		tableState:     func() string { return "unknown" },
		notReadyReason: func() string { return "" },
	}
	for _, option := range options {
		option(o)
	}
	o.hertz = acceptor.New(socket,
		hertz.WithMaxRequestBodySize(maxBodyBytes),
		hertz.WithReadTimeout(readTimeout),
		hertz.WithHandleMethodNotAllowed(true),
		hertz.WithSenseClientDisconnection(true),
	)
	for _, route := range append(o.builtinRoutes(), o.routes...) {
		o.hertz.Handle(route.Method, route.Path, o.authorize(route))
	}
	return o
}

// builtinRoutes returns the routes that every instance has.
func (o *Operator) builtinRoutes() []Route {
	metrics := promhttp.HandlerFor(o.dependencies.Gatherer, promhttp.HandlerOpts{})
	profiles := http.NewServeMux()
	profiles.HandleFunc("/debug/pprof/", pprof.Index)
	profiles.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	profiles.HandleFunc("/debug/pprof/profile", pprof.Profile)
	profiles.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	profiles.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return []Route{
		{Method: http.MethodGet, Path: "/healthz", Access: AccessOpen, Serve: o.serveHealth},
		{Method: http.MethodGet, Path: "/readyz", Access: AccessOpen, Serve: o.serveReady},
		{Method: http.MethodGet, Path: "/metrics", Access: AccessRead, Serve: adaptor.HertzHandler(metrics)},
		{Method: http.MethodGet, Path: "/debug/pprof/*profile", Access: AccessRead, Serve: adaptor.HertzHandler(profiles)},
		{Method: http.MethodGet, Path: "/v1/status", Access: AccessRead, Serve: o.serveStatus},
	}
}

// Start serves in the background until Shutdown.
func (o *Operator) Start() error { return o.hertz.Start() }

// BeginDrain marks the instance as stopping, so that it is reported as not ready and
// the load balancer sends it no new requests.
func (o *Operator) BeginDrain() { o.isStopping.Store(true) }

// Shutdown marks the instance as stopping, closes the socket and stops the
// server.
func (o *Operator) Shutdown(ctx context.Context) error {
	o.BeginDrain()
	return o.hertz.Shutdown(ctx)
}

func writeJSON(c *app.RequestContext, status int, contentType string, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.Data(status, contentType, data)
}
