// Package dialer keeps connections to upstreams. A connection is used again
// only if all that was seen on it says that the next answer will be the next
// request's.
package dialer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 700 * time.Millisecond
	// idleUnknown is how long a connection is kept whose upstream does not say.
	idleUnknown = time.Second
	// idleMargin is left before the end that the upstream states.
	idleMargin = 700 * time.Millisecond
	// idleOnce bounds the age of a connection for a request that may run once
	// only: a close that crosses it would leave its fate unknown.
	idleOnce = 300 * time.Millisecond
	// idlePerReplica bounds the idle connections to one replica.
	idlePerReplica = 8
	// sweepPeriod is how often idle connections are looked through.
	sweepPeriod = time.Second
	// readBuffer is the size of a connection's buffer in bytes.
	readBuffer = 4096
)

// keepAlive finds connections that went silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Dialer keeps idle connections by address.
type Dialer struct {
	timer  server.Timer
	dial   func(ctx context.Context, address string) (net.Conn, error)
	mu     sync.Mutex
	idle   map[string][]*Conn
	stop   func()
	opened uint64
	reused uint64
}

// Option sets a property of a Dialer.
type Option func(*Dialer)

// WithDial replaces the network.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(d *Dialer) { d.dial = dial }
}

// New returns a Dialer.
func New(timer server.Timer, options ...Option) *Dialer {
	network := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	d := &Dialer{timer: timer, idle: make(map[string][]*Conn), dial: func(ctx context.Context, address string) (net.Conn, error) {
		return network.DialContext(ctx, "tcp", address)
	}}
	for _, option := range options {
		option(d)
	}
	d.stop = timer.Every(sweepPeriod, d.sweep)
	return d
}

// Close ends all idle connections.
func (d *Dialer) Close() {
	d.stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, list := range d.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(d.idle, address)
	}
}

// Counts returns the connections opened and used again so far.
func (d *Dialer) Counts() (opened, reused uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened, d.reused
}

// Take returns a connection to a replica: a kept one where that is safe, else a
// new one. once is set for requests that may run once only.
func (d *Dialer) Take(ctx context.Context, replica *server.Replica, once bool) (*Conn, error) {
	for {
		c := d.pop(replica.Address)
		if c == nil {
			break
		}
		age := d.timer.Now().Sub(c.since)
		if c.born == replica.Born && c.replica == replica.ID && age < c.keep && (!once || age < idleOnce) && c.quiet() {
			d.mu.Lock()
			d.reused++
			d.mu.Unlock()
			c.used = true
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := d.dial(ctx, replica.Address)
	if err != nil {
		return nil, server.NewFault("dial", replica.ID, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	d.mu.Lock()
	d.opened++
	d.mu.Unlock()
	return &Conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), replica: replica.ID, born: replica.Born, address: replica.Address}, nil
}

// pop takes the newest idle connection to an address.
func (d *Dialer) pop(address string) *Conn {
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

// Keep takes a connection back after a whole exchange. idle is what the
// upstream states, or zero.
func (d *Dialer) Keep(c *Conn, idle time.Duration) {
	keep := idleUnknown
	if idle > 0 {
		keep = idle - idleMargin
	}
	if keep <= 0 || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.since, c.keep = d.timer.Now(), keep
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle[c.address]) >= idlePerReplica {
		_ = c.Close()
		return
	}
	d.idle[c.address] = append(d.idle[c.address], c)
}

// sweep closes what was idle for too long.
func (d *Dialer) sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, list := range d.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.since) < c.keep {
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
