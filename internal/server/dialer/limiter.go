package dialer

import (
	"net"

	"github.com/ansel1/merry/v2"
)

// maxHeadBytes bounds the bytes that are read for the head of a response, those of
// informational responses before it included.
const maxHeadBytes = 64 << 10

// errHeadTooLong means that an upstream sent more than maxHeadBytes before a body.
var errHeadTooLong = merry.Errorf("the head of the response is longer than %d bytes", maxHeadBytes)

// headLimiter is the reader of a connection. It bounds what is read while limited is set. Only
// one goroutine may read.
type headLimiter struct {
	net.Conn
	limited   bool
	remaining int
}

// begin bounds what is read until end is called.
func (l *headLimiter) begin() { l.limited, l.remaining = true, maxHeadBytes }

// end lifts the bound.
func (l *headLimiter) end() { l.limited = false }

// Read implements io.Reader. It returns errHeadTooLong once the bound is reached.
func (l *headLimiter) Read(buffer []byte) (int, error) {
	if !l.limited {
		return l.Conn.Read(buffer)
	}
	if l.remaining == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.Conn.Read(buffer[:min(len(buffer), l.remaining)])
	l.remaining -= n
	return n, err
}
