package dialer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// Tunnel opens connections to replicas through other instances. It must be safe for concurrent use.
type Tunnel interface {
	// DialThrough opens a connection to a replica through another instance. It returns
	// ErrReplicaUnreachable if an instance with a path to the replica's service does not reach the
	// replica either, ErrWithheld if the replica has requested pauses from those that could help, and
	// ErrUnavailable if no other instance helps.
	DialThrough(ctx context.Context, replica *server.Replica) (net.Conn, error)
}

// dialResult is the result of one dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// start runs a dial in a goroutine.
func start(dial func() (net.Conn, error)) <-chan dialResult {
	result := make(chan dialResult, 1)
	go func() {
		conn, err := dial()
		result <- dialResult{conn, err}
	}()
	return result
}

// discard closes the connection of a dial whose result is not needed any more.
func discard(result <-chan dialResult) {
	go func() {
		if r := <-result; r.conn != nil {
			_ = r.conn.Close()
		}
	}()
}

// connect opens a connection to a replica: directly, or, if this instance may have lost its path to
// the replica, through another instance. isRelayed is set in the second case. Nothing is sent to the
// replica.
func (d *Dialer) connect(ctx context.Context, replica *server.Replica) (conn net.Conn, isRelayed bool, err error) {
	if d.tunnel == nil {
		conn, err = d.dialDirect(ctx, replica)
		return conn, false, err
	}
	if d.paths.isLost(replica) {
		d.startProbe(replica)
		conn, err = d.tunnel.DialThrough(ctx, replica)
		d.recordRelayed(replica, err)
		return conn, true, err
	}
	return d.connectEitherWay(ctx, replica)
}

// connectEitherWay opens a connection directly and, once that has failed or takes long, through
// another instance as well. The first connection is returned.
func (d *Dialer) connectEitherWay(ctx context.Context, replica *server.Replica) (conn net.Conn, isRelayed bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct := start(func() (net.Conn, error) { return d.dialDirect(ctx, replica) })
	final, directErr := d.awaitDirect(replica, direct)
	if final != nil {
		return final.conn, false, final.err
	}
	relayed := start(func() (net.Conn, error) { return d.tunnel.DialThrough(ctx, replica) })
	if directErr != nil {
		return d.finishRelayed(replica, <-relayed, directErr)
	}
	select {
	case r := <-direct:
		if r.err == nil {
			discard(relayed)
			return r.conn, false, nil
		}
		return d.finishRelayed(replica, <-relayed, r.err)
	case r := <-relayed:
		if r.err == nil {
			discard(direct)
			return d.finishRelayed(replica, r, nil)
		}
		_, _, _ = d.finishRelayed(replica, r, r.err)
		last := <-direct
		return last.conn, false, last.err
	}
}

// awaitDirect waits for a direct dial. It returns its result if that is the final one. Otherwise the
// path may be lost: failure is the dial's error, or nil if it takes long.
func (d *Dialer) awaitDirect(replica *server.Replica, direct <-chan dialResult) (final *dialResult, failure error) {
	slow, delay := make(chan struct{}), tunnelDelay
	switch {
	case d.paths.isSuspect(replica.Service):
		delay = 0
	case d.paths.isProven(replica.Service):
		delay = provenTunnelDelay
	}
	defer d.timer.After(delay, func(time.Time) { close(slow) })()
	select {
	case r := <-direct:
		if r.err == nil || !d.paths.mayBeLost(replica) {
			return &r, nil
		}
		return nil, r.err
	case <-slow:
		if !d.paths.mayBeLost(replica) {
			r := <-direct
			return &r, nil
		}
		return nil, nil
	}
}

// finishRelayed records the result of a dial through another instance, for a replica that this instance
// did not reach, and returns its connection, or directErr if there is none.
func (d *Dialer) finishRelayed(replica *server.Replica, r dialResult, directErr error) (conn net.Conn, isRelayed bool, err error) {
	d.recordRelayed(replica, r.err)
	if r.err == nil {
		return r.conn, true, nil
	}
	if errors.Is(r.err, server.ErrWithheld) {
		return nil, true, r.err
	}
	d.paths.recordUnreachable(replica)
	return nil, false, directErr
}

// recordRelayed records the result of a dial through another instance.
func (d *Dialer) recordRelayed(replica *server.Replica, err error) {
	switch {
	case err == nil:
		d.paths.recordLost(replica)
	case errors.Is(err, server.ErrReplicaUnreachable):
		d.paths.recordUnreachable(replica)
	}
}

// dialDirect opens a connection to a replica by itself.
func (d *Dialer) dialDirect(ctx context.Context, replica *server.Replica) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.dial(ctx, replica.Address)
	if err == nil {
		d.paths.recordConnected(replica)
	}
	return conn, err
}

// DialFor opens a connection to a replica for another instance. It returns ErrPathLost if this
// instance has lost its path, ErrReplicaUnreachable if it has a path to the replica's service and does
// not reach the replica, and ErrUnavailable if it does not know which of the two.
func (d *Dialer) DialFor(ctx context.Context, replica *server.Replica) (net.Conn, error) {
	if d.paths.isLost(replica) || d.paths.isSuspect(replica.Service) {
		// Without requests of its own this instance would not notice that the path is back.
		d.startProbe(replica)
		return nil, server.NewFault("dial", replica.ID, server.ErrPathLost)
	}
	conn, err := d.dialDirect(ctx, replica)
	switch {
	case err == nil:
		return conn, nil
	case d.paths.isProven(replica.Service):
		return nil, server.NewFault("dial", replica.ID, merry.Prepend(server.ErrReplicaUnreachable, err.Error()))
	default:
		return nil, server.NewFault("dial", replica.ID, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
}

// startProbe checks in the background whether the path to a service is back, unless that was checked
// lately.
func (d *Dialer) startProbe(replica *server.Replica) {
	if d.paths.beginProbe(replica.Service) {
		go d.probe(*replica)
	}
}

// probe dials a replica. The connection is kept for a request.
func (d *Dialer) probe(replica server.Replica) {
	defer d.paths.endProbe(replica.Service)
	conn, err := d.dialDirect(context.Background(), &replica)
	if err == nil {
		d.Put(d.newConn(conn, &replica, false), 0)
	}
}
