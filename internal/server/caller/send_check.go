package caller

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"oriolemill.example/oriolemill/internal/server"
)

// sendCheck runs the pre-send check of a call before the first byte is written to
// the call's own connection. If nothing was written, the call was provably not
// sent. It is safe for concurrent use.
type sendCheck struct {
	mu sync.Mutex
	// check is the pre-send check; may be nil.
	check      func() error
	hasWritten bool
	// err is why nothing may be written, or nil.
	err error
}

// allowWrite is called before each write. It returns the error of the pre-send
// check, which runs before the first write. If that fails, all writes fail.
func (s *sendCheck) allowWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasWritten {
		return nil
	}
	if s.err == nil && s.check != nil {
		s.err = s.check()
	}
	if s.err != nil {
		return s.err
	}
	s.hasWritten = true
	return nil
}

// refusal returns why the call was not sent, or nil.
func (s *sendCheck) refusal() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasWritten {
		return nil
	}
	return s.err
}

// sendState reports whether bytes of a failed call may have been sent. If not, it
// forbids all writes, so that a connection that is established late sends nothing.
func (s *sendCheck) sendState() server.SendState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasWritten {
		return server.SendStateUnknown
	}
	if s.err == nil {
		s.err = server.ErrCallerDisconnected
	}
	return server.SendStateUnsent
}

// sendError returns the error of a call that got no response: why it was not sent, or what
// the client reported.
func (s *sendCheck) sendError(ctx context.Context, err error) error {
	if refusal := s.refusal(); refusal != nil {
		return refusal
	}
	return transportError(ctx, err)
}

// responseError is sendError for a call that may be repeated. It is also server.ErrConnectionLost if
// the call was sent.
func (s *sendCheck) responseError(ctx context.Context, err error) error {
	err = s.sendError(ctx, err)
	if s.sendState() == server.SendStateUnsent {
		return err
	}
	return connectionLost(ctx, err)
}

// withSendCheck returns a context for one call of an HTTP client whose connections
// dialChecked opens. The call's first byte is subject to check, on a new connection as on
// one that earlier calls have used.
func withSendCheck(ctx context.Context, check *sendCheck) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn
		if wrapped, ok := conn.(interface{ Unwrap() net.Conn }); ok {
			conn = wrapped.Unwrap()
		}
		if checked, ok := conn.(*checkedConn); ok {
			checked.check.Store(check)
		}
	}})
}

// checkedConn is a connection whose writes are subject to the sendCheck of the call that
// uses it now; nil means none.
type checkedConn struct {
	net.Conn
	check atomic.Pointer[sendCheck]
}

// Write implements net.Conn.
func (c *checkedConn) Write(b []byte) (int, error) {
	if check := c.check.Load(); check != nil {
		if err := check.allowWrite(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// dialChecked dials a connection; see withSendCheck.
func dialChecked(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: connection}, nil
}
