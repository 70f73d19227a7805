// Package fronter serves clients' HTTP connections on one socket. The limits on
// what clients may send come from the plan; connections that were accepted
// under older limits keep those.
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
)

// Limits that hold until a plan states others.
const (
	defaultHeader  = 64 << 10
	defaultTimeout = 5 * time.Second
	defaultIdle    = 30 * time.Second
	// acceptPause holds the socket back when descriptors run out.
	acceptPause = 50 * time.Millisecond
)

// Fronter accepts connections and hands each to the server of the limits in
// force.
type Fronter struct {
	log     logr.Logger
	socket  net.Listener
	handler http.Handler
	mu      sync.Mutex
	limits  server.Limits
	current *generation
	servers []*http.Server
	work    sync.WaitGroup
	closed  bool
}

// generation is the server of one set of limits, with its queue of connections.
type generation struct {
	conns chan net.Conn
	ended chan struct{}
	once  sync.Once
	addr  net.Addr
}

// New returns a Fronter on an open socket.
func New(log logr.Logger, socket net.Listener, handler http.Handler) *Fronter {
	f := &Fronter{log: log, socket: socket, handler: handler}
	f.serve(server.Limits{})
	return f
}

// Start accepts connections.
func (f *Fronter) Start() { f.work.Go(f.accept) }

// SetLimits makes new connections follow limits.
func (f *Fronter) SetLimits(limits server.Limits) {
	f.mu.Lock()
	same := limits == f.limits || f.closed
	f.mu.Unlock()
	if !same {
		f.serve(limits)
	}
}

// serve begins a generation.
func (f *Fronter) serve(limits server.Limits) {
	next := &generation{conns: make(chan net.Conn), ended: make(chan struct{}), addr: f.socket.Addr()}
	s := &http.Server{
		Handler: f.handler, MaxHeaderBytes: defaultHeader, ReadHeaderTimeout: defaultTimeout, IdleTimeout: defaultIdle,
		// The server's own lines are of clients' broken connections.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	if limits.HeaderBytes > 0 {
		s.MaxHeaderBytes = int(limits.HeaderBytes)
	}
	if limits.HeaderTimeout > 0 {
		s.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.Idle > 0 {
		s.IdleTimeout = limits.Idle
	}
	f.mu.Lock()
	f.limits, f.current = limits, next
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.work.Go(func() {
		if err := s.Serve(next); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error(err, "clients' connections are not served any more")
		}
	})
}

func (f *Fronter) accept() {
	for {
		conn, err := f.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.log.Error(err, "connection not accepted")
			time.Sleep(acceptPause)
			continue
		}
		f.mu.Lock()
		current := f.current
		f.mu.Unlock()
		select {
		case current.conns <- conn:
		case <-current.ended:
			_ = conn.Close()
		}
	}
}

// Shutdown stops accepting, closes idle connections and waits for requests in
// progress until ctx ends.
func (f *Fronter) Shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.closed = true
	servers := f.servers
	f.mu.Unlock()
	_ = f.socket.Close()
	var all []error
	var ending sync.WaitGroup
	results := make(chan error, len(servers))
	for _, s := range servers {
		ending.Go(func() { results <- s.Shutdown(ctx) })
	}
	ending.Wait()
	close(results)
	for err := range results {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case conn := <-g.conns:
		return conn, nil
	case <-g.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.ended) })
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return g.addr }
