package dialer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peeker"
	"oriolemill.example/oriolemill/internal/validator"
)

// Limits on responses to earlier requests.
const (
	// maxSkippedResponses is the maximum number of responses that are skipped.
	maxSkippedResponses = 2
	// maxSkippedBytes is the body size from which a response is no longer skipped.
	maxSkippedBytes = 1 << 20
)

// Conn is a connection to a replica. It carries one request and its response at a
// time. A response that ends with the connection is whole only if the connection says so,
// see validator.Conn.
type Conn struct {
	*validator.Conn
	reader *bufio.Reader
	// headLimiter is what reader reads from.
	headLimiter *headLimiter
	// replicaID and startMillis identify the incarnation of the replica to which the
	// connection was opened.
	replicaID   string
	address     string
	startMillis int64
	isReused    bool
	// isRelayed is set if the connection leads through another instance.
	isRelayed bool
	openedAt  time.Time
	idleSince time.Time
	// idleTTL is how long the connection may stay idle.
	idleTTL time.Duration
	// hasSkippedResponse is set when a response to another request was received; the
	// connection is then not reused.
	hasSkippedResponse bool
}

// ReportPause reports that the replica has requested a pause in a response on the connection, to the
// instance through which it leads, if any. It does not block.
func (c *Conn) ReportPause(pause time.Duration) {
	if reporter, ok := c.Unwrap().(interface{ ReportPause(time.Duration) }); ok {
		reporter.ReportPause(pause)
	}
}

// IsReused reports whether the connection has carried a request before.
func (c *Conn) IsReused() bool { return c.isReused }

// OpenedAt returns when the connection was open for the first time.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// MarkUsed has the connection count as one that has carried a request before.
func (c *Conn) MarkUsed() { c.isReused = true }

// IsClosed reports whether the connection is closed on either side. It may be called while
// another goroutine reads a response.
func (c *Conn) IsClosed() bool { return peeker.Peek(c.Unwrap()) == peeker.StateClosed }

// isOpenWithoutInput reports whether the idle connection is open and the
// replica has sent nothing on it.
func (c *Conn) isOpenWithoutInput() bool {
	return c.reader.Buffered() == 0 && peeker.Peek(c.Unwrap()) == peeker.StateQuiet
}

// WriteRequest writes a complete request. It writes target unchanged, so that the upstream
// receives it byte for byte as the client sent it. It removes Host and
// Content-Length from header.
func (c *Conn) WriteRequest(method, target, host string, header http.Header, body []byte) error {
	writer := bufio.NewWriterSize(c.Conn, bufferBytes)
	_, _ = fmt.Fprintf(writer, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	header.Del("Host")
	header.Del("Content-Length")
	if len(body) > 0 || method != http.MethodGet && method != http.MethodHead {
		_, _ = fmt.Fprintf(writer, "Content-Length: %d\r\n", len(body))
	}
	_ = header.Write(writer)
	_, _ = writer.WriteString("\r\n")
	_, _ = writer.Write(body)
	err := writer.Flush()
	c.EndRequest(err)
	return err
}

// ReadResponse reads the headers of the response to the request with an ID; with "" it
// accepts any response. idOf returns the ID of the request that a response belongs
// to, or "" if the response has none. Responses to earlier requests are skipped. A
// response without an ID is accepted only on a new connection and with a status of
// 300 or above. If the response is cut off, reading its body returns an error.
func (c *Conn) ReadResponse(method, id string, idOf func(*http.Response) string) (*http.Response, error) {
	c.BeginResponse()
	for range maxSkippedResponses + 1 {
		response, err := c.readFinalResponse(method)
		if err != nil {
			return nil, err
		}
		responseID := idOf(response)
		if id == "" || responseID == id || responseID == "" && !c.isReused && response.StatusCode >= http.StatusMultipleChoices {
			return response, nil
		}
		c.hasSkippedResponse = true
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes {
			break
		}
	}
	return nil, merry.Prepend(server.ErrMismatch, "the response belongs to another request")
}

// readFinalResponse reads the headers of the next response that is not
// informational. It returns ErrMismatch for a malformed head and for one of more than maxHeadBytes.
func (c *Conn) readFinalResponse(method string) (*http.Response, error) {
	c.headLimiter.begin()
	defer c.headLimiter.end()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err == nil {
			err = validator.CheckHead(response)
		}
		if err != nil {
			return nil, classifyReadError(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, merry.Prepend(server.ErrMismatch, "the upstream switched protocols")
		}
	}
}

// classifyReadError returns ErrUnavailable if the connection was cut off or timed
// out, and ErrMismatch if the bytes received are not an HTTP response.
func classifyReadError(err error) error {
	var protocolErr textproto.ProtocolError
	var networkErr net.Error
	if errors.As(err, &protocolErr) || !errors.As(err, &networkErr) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return merry.Prepend(server.ErrMismatch, err.Error())
	}
	return merry.Prepend(server.ErrUnavailable, err.Error())
}

// IsReusable reports whether the connection may be reused after the response, whose
// body was read to its end.
func (c *Conn) IsReusable(response *http.Response) bool {
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return isFramed && !response.Close && !c.hasSkippedResponse && c.reader.Buffered() == 0
}
