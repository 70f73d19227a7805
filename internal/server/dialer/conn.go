package dialer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// maxExtras bounds the answers of earlier requests that are skipped, and
// maxExtraBytes the size of each.
const (
	maxExtras     = 2
	maxExtraBytes = 1 << 20
)

// Conn is one connection to a replica. It carries one exchange at a time.
type Conn struct {
	net.Conn
	reader  *bufio.Reader
	replica string
	address string
	born    int64
	used    bool
	since   time.Time
	keep    time.Duration
	skipped bool
}

// Used reports whether the connection carried an exchange before.
func (c *Conn) Used() bool { return c.used }

// quiet reports whether the idle connection is open and nothing came on it.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Send sends a request whole. A path is sent byte for byte as it was received.
func (c *Conn) Send(method, target, host string, header http.Header, body []byte) error {
	writer := bufio.NewWriterSize(c.Conn, readBuffer)
	_, _ = fmt.Fprintf(writer, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	header.Del("Host")
	header.Del("Content-Length")
	if len(body) > 0 || method != http.MethodGet && method != http.MethodHead {
		_, _ = fmt.Fprintf(writer, "Content-Length: %d\r\n", len(body))
	}
	_ = header.Write(writer)
	_, _ = writer.WriteString("\r\n")
	_, _ = writer.Write(body)
	return writer.Flush()
}

// Answer reads the head of the answer to a request. id returns the request that
// an answer belongs to: "" when it does not say. Answers to earlier requests
// are skipped. The body ends with an error when it is cut.
func (c *Conn) Answer(method, id string, idOf func(*http.Response) string) (*http.Response, error) {
	for range maxExtras + 1 {
		response, err := c.head(method)
		if err != nil {
			return nil, err
		}
		echo := idOf(response)
		if id == "" || echo == id || echo == "" && !c.used && response.StatusCode >= http.StatusMultipleChoices {
			return response, nil
		}
		c.skipped = true
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxExtraBytes))
		if err != nil || n == maxExtraBytes {
			break
		}
	}
	return nil, merry.Prepend(server.ErrMismatch, "the answer is another request's")
}

// head reads one answer's head, past informational ones.
func (c *Conn) head(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, unreadable(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, merry.Prepend(server.ErrMismatch, "upstream switched protocols")
		}
	}
}

// unreadable tells a cut or silent connection from bytes that are no answer.
func unreadable(err error) error {
	var protocol textproto.ProtocolError
	var network net.Error
	if errors.As(err, &protocol) || !errors.As(err, &network) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return merry.Prepend(server.ErrMismatch, err.Error())
	}
	return merry.Prepend(server.ErrUnavailable, err.Error())
}

// Clean reports whether the connection may be used again after a whole answer.
func (c *Conn) Clean(response *http.Response) bool {
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return framed && !response.Close && !c.skipped && c.reader.Buffered() == 0
}
