// Package tracker bounds the number of open connections of an HTTP server. If a connection is accepted while the bound is
// reached, one that carries no request is closed for it.
package tracker

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// requestTime is how long a new connection may take to send its first request before it is closed for others. Its
	// client has sent the request together with the end of the handshake.
	requestTime = 500 * time.Millisecond
	// overshootShare is the part of the bound by which it is exceeded while terminated requests are ended.
	overshootShare = 8
	// refusalTimeout bounds the write of a refusal. It fits into the empty buffer of the socket.
	refusalTimeout = 10 * time.Millisecond
	// refusal is sent to a client whose connection is refused. Nothing was read from it.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.00\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// logInterval bounds the rate of log lines.
	logInterval = 10 * time.Second
)

// Tracker tracks the open connections of servers. It is safe for concurrent use.
type Tracker struct {
	log       logr.Logger
	timer     server.Timer
	maxConns  int
	terminate func() bool
	mu        sync.Mutex
	conns     map[net.Conn]*connState
	loggedAt  time.Time

	closedCount, refusedCount atomic.Uint64
}

// connState is the state of a connection since a time.
type connState struct {
	state http.ConnState
	since time.Time
}

// Option sets a property of a Tracker.
type Option func(*Tracker)

// WithTerminator sets the function that terminates a request which is received slowly, and reports whether there was
// one. It is called if no connection is without a request.
func WithTerminator(terminate func() bool) Option {
	return func(t *Tracker) { t.terminate = terminate }
}

// New returns a Tracker for at most maxConns connections.
func New(log logr.Logger, timer server.Timer, maxConns int, options ...Option) *Tracker {
	t := &Tracker{log: log, timer: timer, maxConns: maxConns, conns: make(map[net.Conn]*connState), terminate: func() bool { return false }}
	for _, option := range options {
		option(t)
	}
	return t
}

// Admit tracks an accepted connection. If there is no place for it, it is refused and closed, and Admit returns false.
func (t *Tracker) Admit(conn net.Conn) bool {
	now := t.timer.Now()
	if t.isFull(now) && !t.makeRoom(now) {
		t.refusedCount.Add(1)
		_ = conn.SetWriteDeadline(now.Add(refusalTimeout))
		_, _ = io.WriteString(conn, refusal)
		_ = conn.Close()
		return false
	}
	t.mu.Lock()
	t.conns[conn] = &connState{state: http.StateNew, since: now}
	t.mu.Unlock()
	return true
}

// isFull reports whether the bound is reached.
func (t *Tracker) isFull(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) < t.maxConns {
		return false
	}
	t.logFull(now)
	return true
}

// makeRoom closes a connection or terminates a request for a new connection, and reports whether it did: a connection whose
// first request is late, or else the one that has been idle for the longest time, or else a request that is received
// slowly, or else the connection that has been new for the longest time.
func (t *Tracker) makeRoom(now time.Time) bool {
	if t.closeOldest(http.StateNew, now.Add(-requestTime)) || t.closeOldest(http.StateIdle, now) {
		return true
	}
	return t.Open() < t.maxConns+max(t.maxConns/overshootShare, 1) && t.terminate() || t.closeOldest(http.StateNew, now)
}

// closeOldest closes the connection that has been in a state for the longest time, at least since a time, and reports
// whether there was one.
func (t *Tracker) closeOldest(state http.ConnState, since time.Time) bool {
	t.mu.Lock()
	var oldest net.Conn
	for conn, s := range t.conns {
		if s.state == state && !s.since.After(since) && (oldest == nil || s.since.Before(t.conns[oldest].since)) {
			oldest = conn
		}
	}
	delete(t.conns, oldest)
	t.mu.Unlock()
	if oldest == nil {
		return false
	}
	t.closedCount.Add(1)
	_ = oldest.Close()
	return true
}

// logFull logs that the bound is reached. mu must be held.
func (t *Tracker) logFull(now time.Time) {
	if now.Sub(t.loggedAt) >= logInterval {
		t.loggedAt = now
		t.log.Info("open connections have reached their limit", "max", t.maxConns, "closed", t.closedCount.Load(), "refused", t.refusedCount.Load())
	}
}

// SetState records the state of a connection. It is the ConnState function of an http.Server.
func (t *Tracker) SetState(conn net.Conn, state http.ConnState) {
	now := t.timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.conns[conn]
	switch {
	case !ok || state == http.StateNew:
	case state == http.StateClosed || state == http.StateHijacked:
		delete(t.conns, conn)
	default:
		s.state, s.since = state, now
	}
}

// Open returns the number of open connections, and Closed and Refused how many were closed for others and refused.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Closed returns the number of connections that were closed for others.
func (t *Tracker) Closed() uint64 { return t.closedCount.Load() }

// Refused returns the number of connections that were refused.
func (t *Tracker) Refused() uint64 { return t.refusedCount.Load() }

// listener admits the connections of a net.Listener.
type listener struct {
	net.Listener
	tracker *Tracker
}

// Listen returns a listener whose connections are admitted. The server that accepts them must call SetState.
func (t *Tracker) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, tracker: t}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.tracker.Admit(conn) {
			return conn, err
		}
	}
}
