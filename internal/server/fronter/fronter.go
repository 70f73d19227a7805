// Package fronter serves the HTTP connections of clients on one socket. The plan
// sets limits on what clients may send. Limits apply to new connections; earlier
// connections keep the limits under which they were accepted, and are closed after their next response if
// headers may be longer than before.
package fronter

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peeker"
	"oriolemill.example/oriolemill/internal/server/tracker"
)

const (
	// Limits that apply if the plan sets none.
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 30 * time.Second
	// acceptRetryDelay is the delay after a failed accept, for example while no file
	// descriptors are left.
	acceptRetryDelay = 50 * time.Millisecond
)

// Fronter accepts connections and passes each to the HTTP server of the current
// limits.
type Fronter struct {
	log             logr.Logger
	socket          net.Listener
	handler         http.Handler
	tracker         *tracker.Tracker
	mu              sync.Mutex
	limits          server.Limits
	currentListener *connListener
	servers         []*http.Server
	goroutines      sync.WaitGroup
	isClosed        bool
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// IsDisconnected reports whether the client of a request has closed its connection. ctx is
// the context of the request, which the server cancels for the same reason; but that may be
// late in a process that is short of processor time.
func IsDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && peeker.Peek(conn) == peeker.StateClosed
}

// ResetOnClose makes the connection of a request end with a reset once it is closed, so that
// a response that ends with its connection does not look complete. ctx is the context of the
// request.
func ResetOnClose(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(interface{ SetLinger(seconds int) error }); ok {
		// If this fails, the connection is closed already.
		_ = conn.SetLinger(0)
	}
}

// connListener is the net.Listener of the HTTP server for one set of limits. Its Accept
// returns the connections that the Fronter has accepted and sends to conns.
type connListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	addr      net.Addr
}

// Option sets a property of a Fronter.
type Option func(*Fronter)

// WithTracker sets what bounds the number of connections; without it they are not bounded.
func WithTracker(connTracker *tracker.Tracker) Option {
	return func(f *Fronter) { f.tracker = connTracker }
}

// New returns a Fronter on an open socket.
func New(log logr.Logger, socket net.Listener, handler http.Handler, options ...Option) *Fronter {
	f := &Fronter{log: log, socket: socket, handler: handler}
	for _, option := range options {
		option(f)
	}
	f.startServer(server.Limits{})
	return f
}

// Start accepts connections in the background.
func (f *Fronter) Start() { f.goroutines.Go(f.accept) }

// SetLimits sets the limits for new connections. It starts an HTTP server for them
// if they differ from the current ones.
func (f *Fronter) SetLimits(limits server.Limits) {
	f.mu.Lock()
	isUnchanged := limits == f.limits || f.isClosed
	f.mu.Unlock()
	if !isUnchanged {
		f.startServer(limits)
	}
}

// startServer starts an HTTP server with the limits, which receives all new
// connections.
func (f *Fronter) startServer(limits server.Limits) {
	listener := &connListener{conns: make(chan net.Conn), closed: make(chan struct{}), addr: f.socket.Addr()}
	s := &http.Server{
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		Handler: f.handler, MaxHeaderBytes: effectiveHeaderBytes(limits), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		// The server would log each connection that a client breaks off.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	if f.tracker != nil {
		s.ConnState = f.tracker.SetState
	}
	if limits.HeaderTimeout > 0 {
		s.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		s.IdleTimeout = limits.IdleTimeout
	}
	f.mu.Lock()
	if s.MaxHeaderBytes > effectiveHeaderBytes(f.limits) {
		// Earlier connections would refuse headers that are allowed now.
		for _, earlier := range f.servers {
			go earlier.SetKeepAlivesEnabled(false)
		}
	}
	f.limits, f.currentListener = limits, listener
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.goroutines.Go(func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error(err, "HTTP server for client connections failed")
		}
	})
}

// effectiveHeaderBytes returns the bound of the headers under limits.
func effectiveHeaderBytes(limits server.Limits) int {
	if limits.MaxHeaderBytes > 0 {
		return int(limits.MaxHeaderBytes)
	}
	return defaultMaxHeaderBytes
}

// accept passes connections to the current listener until the socket is closed.
func (f *Fronter) accept() {
	for {
		conn, err := f.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.log.Error(err, "accepting a client connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if f.tracker != nil && !f.tracker.Admit(conn) {
			continue
		}
		f.mu.Lock()
		listener := f.currentListener
		f.mu.Unlock()
		select {
		case listener.conns <- conn:
		case <-listener.closed:
			_ = conn.Close()
			if f.tracker != nil {
				f.tracker.SetState(conn, http.StateClosed)
			}
		}
	}
}

// Shutdown closes the socket and idle connections, and waits for requests in
// progress until ctx ends. Connections that are left then are closed.
func (f *Fronter) Shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.isClosed = true
	servers := f.servers
	f.mu.Unlock()
	_ = f.socket.Close()
	var errs []error
	var group sync.WaitGroup
	results := make(chan error, len(servers))
	for _, s := range servers {
		group.Go(func() {
			err := s.Shutdown(ctx)
			if err != nil {
				_ = s.Close()
			}
			results <- err
		})
	}
	group.Wait()
	close(results)
	for err := range results {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// Accept implements net.Listener.
func (g *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-g.conns:
		return conn, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *connListener) Close() error {
	g.closeOnce.Do(func() { close(g.closed) })
	return nil
}

// Addr implements net.Listener.
func (g *connListener) Addr() net.Addr { return g.addr }
