package caller

import (
	"context"
	"net"
	"sync"

	"oriolemill.example/oriolemill/internal/server"
)

// gateKey carries a gate in the context of a call to its dial.
type gateKey struct{}

// gate stands between a call and the first byte on its own connection. A call
// whose connection was never written to is proven unsent.
type gate struct {
	mu      sync.Mutex
	ask     func() error
	written bool
	err     error
}

// open is asked before each write; only the first one can be refused.
func (g *gate) open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.written {
		return nil
	}
	if g.err == nil && g.ask != nil {
		g.err = g.ask()
	}
	if g.err != nil {
		return g.err
	}
	g.written = true
	return nil
}

// refusal returns why the call was stopped unsent, or nil.
func (g *gate) refusal() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.written {
		return nil
	}
	return g.err
}

// sent tells what is known of a failed call's bytes. It shuts the gate, so
// that a connection that comes late sends nothing.
func (g *gate) sent() server.Sent {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.written {
		return server.SentMaybe
	}
	if g.err == nil {
		g.err = server.ErrGone
	}
	return server.SentNo
}

// gated is a connection behind a gate.
type gated struct {
	net.Conn
	gate *gate
}

// Write implements net.Conn.
func (c *gated) Write(b []byte) (int, error) {
	if err := c.gate.open(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// dialGated dials a connection that only the context's call writes to.
func dialGated(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	g, ok := ctx.Value(gateKey{}).(*gate)
	if !ok {
		return connection, nil
	}
	return &gated{Conn: connection, gate: g}, nil
}
