// Package validator decides, for all readers of HTTP responses, whether the head of a response is well-formed, and
// whether a response is whole.
package validator

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server/peeker"
)

const (
	// minAckInterval and maxAckInterval bound the time between two looks at what the server has acknowledged.
	minAckInterval = time.Millisecond
	maxAckInterval = 50 * time.Millisecond
)

// Conn is the connection of an HTTP client. The body of a response without a length or chunks ends with its
// connection, so Read returns io.EOF within a response only if the server has ended the connection in an orderly way:
// the whole request was sent and acknowledged, and the connection was not reset. Otherwise it returns
// io.ErrUnexpectedEOF. A Read error of the socket does not show every reset: the system reports it once, possibly to
// a write.
//
// Its user calls BeginResponse before it reads a response, and EndRequest once a request was sent.
type Conn struct {
	net.Conn
	// hasInput is set once a byte of the current response was read.
	hasInput atomic.Bool
	mu       sync.Mutex
	// responses counts the calls of BeginResponse, and requests those of EndRequest without an error.
	responses, requests int
	// err is why a request was not sent.
	err error
	// changed is closed when requests or err change.
	changed chan struct{}
}

// EndChecker is a connection that knows by itself whether its end is orderly.
type EndChecker interface {
	// CheckEnd returns an error unless the end that was read is an orderly one. It is called once the whole request
	// was written.
	CheckEnd() error
}

// NewConn returns a Conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn, changed: make(chan struct{})} }

// Unwrap returns the connection below.
func (c *Conn) Unwrap() net.Conn { return c.Conn }

// BeginResponse has the following bytes belong to the response to the next request.
func (c *Conn) BeginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses++
	c.hasInput.Store(false)
}

// EndRequest records that a request was written: the whole of it if err is nil.
func (c *Conn) EndRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return
	case err != nil:
		c.err = err
	default:
		c.requests++
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.hasInput.Store(true)
	}
	if errors.Is(err, io.EOF) && c.hasInput.Load() {
		if endErr := c.checkEnd(); endErr != nil {
			err = merry.Prepend(io.ErrUnexpectedEOF, endErr.Error())
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.EndRequest(net.ErrClosed)
	return c.Conn.Close()
}

// checkEnd returns an error unless the end of the connection is an orderly one.
func (c *Conn) checkEnd() error {
	if err := c.awaitRequest(); err != nil {
		return err
	}
	if checker, ok := c.Conn.(EndChecker); ok {
		return checker.CheckEnd()
	}
	return AwaitAcknowledgement(c.Conn)
}

// awaitRequest waits until the request of the current response was sent: the goroutine that sends it may return late,
// and a server that has ended its side may read on. The wait ends when the connection is closed.
func (c *Conn) awaitRequest() error {
	for {
		c.mu.Lock()
		isSent, err, changed := c.requests >= c.responses, c.err, c.changed
		c.mu.Unlock()
		if isSent || err != nil {
			return err
		}
		<-changed
	}
}

// AwaitAcknowledgement waits until the other side, which has ended its side of a connection, has acknowledged all that
// was written. It returns an error if the connection is reset or closed.
func AwaitAcknowledgement(conn net.Conn) error {
	for interval := minAckInterval; ; interval = min(2*interval, maxAckInterval) {
		isAcknowledged, err := peeker.IsAcknowledged(conn)
		if isAcknowledged || err != nil {
			return err
		}
		time.Sleep(interval)
	}
}
