package validator

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/ansel1/merry/v2"
)

// headEnd is the end of the head of a request.
const headEnd = "\r\n\r\n"

// defaultMaxHeadBytes is what http.Transport uses without MaxResponseHeaderBytes.
const defaultMaxHeadBytes = 10 << 20

// transport is an http.RoundTripper that checks the responses of an http.Transport.
type transport struct {
	base         *http.Transport
	maxHeadBytes int64
}

// NewTransport returns base with checks: it returns errors for responses with malformed heads, and reads of a body fail
// unless the end of its connection is an orderly one, see Conn. A request with a body must state its length. base is
// not used in any other way after this.
func NewTransport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &requestConn{Conn: NewConn(conn)}, nil
	}
	t := &transport{base: base, maxHeadBytes: defaultMaxHeadBytes}
	if base.MaxResponseHeaderBytes > 0 {
		t.maxHeadBytes = base.MaxResponseHeaderBytes
	}
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	headBytes := int64(0)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*requestConn); ok {
				conn.beginRequest(request.ContentLength)
			}
		},
		// With this function set, the base bounds each head and not all of them together.
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			if headBytes += size(header); headBytes > t.maxHeadBytes {
				return merry.Errorf("the informational heads are longer than %d bytes", t.maxHeadBytes)
			}
			return checkHead(code, http.Header(header))
		},
	}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes those of the base, for http.Client.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// size returns about how long a head with some fields is.
func size(header textproto.MIMEHeader) int64 {
	const lineBytes = len(": \r\n")
	total := len("HTTP/1.1 100\r\n\r\n")
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value) + lineBytes
		}
	}
	return int64(total)
}

// requestConn is a connection of an http.Transport. It notices when a request was written: the transport reports that
// before it has written the last bytes.
type requestConn struct {
	*Conn
	mu sync.Mutex
	// matched is how much of headEnd the last bytes of the head are, and bodyLeft the rest of the body.
	matched  int
	bodyLeft int64
}

// beginRequest has the next bytes that are written be a request with a body of some length.
func (c *requestConn) beginRequest(bodyLength int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.matched, c.bodyLeft = 0, bodyLength
	c.BeginResponse()
}

// Write implements net.Conn.
func (c *requestConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if isLast := c.record(data[:n]); isLast || err != nil {
		c.EndRequest(err)
	}
	return n, err
}

// record records bytes that were written and reports whether they are the last ones of the request.
func (c *requestConn) record(data []byte) (isLast bool) {
	if len(data) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(data) > 0 && c.matched < len(headEnd) {
		switch data[0] {
		case headEnd[c.matched]:
			c.matched++
		case headEnd[0]:
			c.matched = 1
		default:
			c.matched = 0
		}
		data = data[1:]
	}
	c.bodyLeft -= int64(len(data))
	return c.matched == len(headEnd) && c.bodyLeft == 0
}
