// Package dialer opens connections to upstreams and keeps idle ones for reuse.
// A connection is reused only if it is open and no unread bytes have arrived on it, so
// that the next response received belongs to the next request.
package dialer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/tuner"
	"oriolemill.example/oriolemill/internal/validator"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 700 * time.Millisecond
	// defaultIdleTTL is how long an idle connection is kept if the upstream does
	// not state its idle timeout.
	defaultIdleTTL = time.Second
	// idleMargin is how long before the end of the upstream's idle timeout a
	// connection is closed.
	idleMargin = 700 * time.Millisecond
	// atMostOnceMaxIdle is the maximum idle time of a connection that is reused for
	// a request that may run only once. If the upstream closed the connection while
	// the request is sent, the outcome of the request would be unknown.
	atMostOnceMaxIdle = 300 * time.Millisecond
	// maxIdlePerReplica is the maximum number of idle connections to the address of
	// a replica.
	maxIdlePerReplica = 8
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = time.Second
	// bufferBytes is the size of the read and write buffers of a connection.
	bufferBytes = 4096
)

// Dialer opens connections and keeps idle ones by address. It is safe for
// concurrent use.
type Dialer struct {
	timer       server.Timer
	dial        func(ctx context.Context, address string) (net.Conn, error)
	mu          sync.Mutex
	idle        map[string][]*Conn
	stopSweep   func()
	openedCount uint64
	reusedCount uint64
	// tunnel opens connections to replicas that this instance does not reach; nil without one.
	tunnel Tunnel
	paths  *paths
	// onBroken is called when an idle connection to a replica was found closed.
	onBroken func(*server.Replica)
}

// Option sets a property of a Dialer.
type Option func(*Dialer)

// WithDial replaces the function that opens connections.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(d *Dialer) { d.dial = dial }
}

// WithTunnel has connections to replicas that this instance does not reach opened through other
// instances.
func WithTunnel(tunnel Tunnel) Option {
	return func(d *Dialer) { d.tunnel = tunnel }
}

// WithPathHandler sets a function that is called when the path of this instance to the replicas of a
// service is lost or is back. It must not block.
func WithPathHandler(onChange func(service string, isLost bool)) Option {
	return func(d *Dialer) { d.paths.onChange = onChange }
}

// WithBreakHandler sets a function that is called when a kept connection to a replica was closed by the other
// side, or has received something.
func WithBreakHandler(onBroken func(*server.Replica)) Option {
	return func(d *Dialer) { d.onBroken = onBroken }
}

// New returns a Dialer.
func New(timer server.Timer, options ...Option) *Dialer {
	network := tuner.NewDialer(dialTimeout)
	d := &Dialer{timer: timer, idle: make(map[string][]*Conn), paths: newPaths(timer), onBroken: func(*server.Replica) {}, dial: func(ctx context.Context, address string) (net.Conn, error) {
		return network.DialContext(ctx, "tcp", address)
	}}
	for _, option := range options {
		option(d)
	}
	d.stopSweep = timer.Every(sweepInterval, d.sweep)
	return d
}

// Close closes all idle connections.
func (d *Dialer) Close() {
	d.stopSweep()
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, list := range d.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(d.idle, address)
	}
}

// Counts returns the number of connections opened and reused so far.
func (d *Dialer) Counts() (opened, reused uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openedCount, d.reusedCount
}

// Acquire returns a connection to a replica: an idle one that is safe to reuse, else
// a new one. Idle connections that it finds unsafe are closed. It returns ErrWithheld if the replica has
// requested pauses from the instances through which it can be reached.
// atMostOnce is set for requests that may run only once.
func (d *Dialer) Acquire(ctx context.Context, replica *server.Replica, atMostOnce bool) (*Conn, error) {
	for {
		c := d.popIdle(replica.Address)
		if c == nil {
			break
		}
		idleTime := d.timer.Now().Sub(c.idleSince)
		if d.paths.isLost(replica) {
			_ = c.Close()
			continue
		}
		isOpen := c.isOpenWithoutInput()
		if !isOpen && c.startMillis == replica.StartMillis && c.replicaID == replica.ID {
			d.onBroken(replica)
		}
		if c.startMillis == replica.StartMillis && c.replicaID == replica.ID && idleTime < c.idleTTL && (!atMostOnce || idleTime < atMostOnceMaxIdle) && isOpen {
			d.mu.Lock()
			d.reusedCount++
			d.mu.Unlock()
			c.isReused = true
			return c, nil
		}
		_ = c.Close()
	}
	return d.Open(ctx, replica)
}

// Open returns a new connection to a replica; see Acquire for its errors.
func (d *Dialer) Open(ctx context.Context, replica *server.Replica) (*Conn, error) {
	raw, isRelayed, err := d.connect(ctx, replica)
	if errors.Is(err, server.ErrWithheld) {
		return nil, err
	}
	if err != nil {
		return nil, server.NewFault("dial", replica.ID, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	d.mu.Lock()
	d.openedCount++
	d.mu.Unlock()
	return d.newConn(raw, replica, isRelayed), nil
}

// newConn returns a new connection to a replica.
func (d *Dialer) newConn(raw net.Conn, replica *server.Replica, isRelayed bool) *Conn {
	conn := validator.NewConn(raw)
	limiter := &headLimiter{Conn: conn}
	return &Conn{
		Conn: conn, reader: bufio.NewReaderSize(limiter, bufferBytes), headLimiter: limiter, replicaID: replica.ID,
		startMillis: replica.StartMillis, address: replica.Address, isRelayed: isRelayed, openedAt: d.timer.Now(),
	}
}

// LostPaths returns the number of services whose replicas this instance does not reach by itself.
func (d *Dialer) LostPaths() int { return d.paths.lostCount() }

// popIdle removes and returns the idle connection to an address that was used
// last, or nil.
func (d *Dialer) popIdle(address string) *Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	d.idle[address] = list[:len(list)-1]
	return c
}

// Put returns a connection to the pool after a complete exchange, or closes it: one through another
// instance is used once only, so that its state is never judged from afar.
// idleTimeout is the idle timeout that the upstream states, or zero.
func (d *Dialer) Put(c *Conn, idleTimeout time.Duration) {
	idleTTL := defaultIdleTTL
	if idleTimeout > 0 {
		idleTTL = idleTimeout - idleMargin
	}
	if c.isRelayed || idleTTL <= 0 || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.idleSince, c.idleTTL = d.timer.Now(), idleTTL
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle[c.address]) >= maxIdlePerReplica {
		_ = c.Close()
		return
	}
	d.idle[c.address] = append(d.idle[c.address], c)
}

// sweep closes the connections whose idle time has reached idleTTL.
func (d *Dialer) sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, list := range d.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTTL {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if d.idle[address] = kept; len(kept) == 0 {
			delete(d.idle, address)
		}
	}
}
