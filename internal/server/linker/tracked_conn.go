package linker

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// trackedConn is the connection of a link. It records since when something was written to which
// nothing has come back; the other side acknowledges each stream.
type trackedConn struct {
	net.Conn
	timer    server.Timer
	openedAt time.Time
	// unansweredSince is the time of the first write after the last read, in nanoseconds since
	// openedAt; zero without one.
	unansweredSince atomic.Int64
}

func newTrackedConn(conn net.Conn, timer server.Timer) *trackedConn {
	return &trackedConn{Conn: conn, timer: timer, openedAt: timer.Now()}
}

// age returns the time since the connection was opened, by the steady clock.
func (c *trackedConn) age(now time.Time) int64 { return max(int64(now.Sub(c.openedAt)), 1) }

// Write implements net.Conn.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.unansweredSince.CompareAndSwap(0, c.age(c.timer.Now()))
	return c.Conn.Write(data)
}

// Read implements net.Conn.
func (c *trackedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.unansweredSince.Store(0)
	}
	return n, err
}

// isUnanswered reports whether something was written a probeInterval ago or earlier to which nothing
// has come back.
func (c *trackedConn) isUnanswered(now time.Time) bool {
	since := c.unansweredSince.Load()
	return since != 0 && c.age(now)-since >= int64(probeInterval)
}

// bufferedConn is a connection of which the first bytes were read into a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(data []byte) (int, error) { return c.reader.Read(data) }

// Unwrap returns the connection itself.
func (c *bufferedConn) Unwrap() net.Conn { return c.Conn }
