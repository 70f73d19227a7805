package relayer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// firstBufferBytes is the size of the first buffer of a body whose length is not announced, and maxFirstBufferBytes
	// the largest one for an announced length: clients that announce more than they send would reserve the rest.
	firstBufferBytes    = 4 << 10
	maxFirstBufferBytes = 64 << 10
	// bufferGrowth is the growth of a buffer that is full. With 4 a third of a body is copied, once.
	bufferGrowth = 4
	// overloadedBodyRetryAfter is the Retry-After of requests for whose body no memory became free.
	overloadedBodyRetryAfter = time.Second
	// discardTimeout bounds the time in which the server reads the rest of a body after a refusal, so that its
	// connection can be reused.
	discardTimeout = 300 * time.Millisecond
)

// errBodyTooLarge means that a body is longer than the limit.
var errBodyTooLarge = merry.New("the body is larger than the limit")

// errTerminated means that a request was terminated for others.
var errTerminated = merry.New("the request was terminated for others")

// bodyReader reads a body into memory that is reserved before it is read.
type bodyReader struct {
	// announced is the length of the body, or negative if it is not known; limit bounds it.
	announced, limit int64
	// reserve reserves bytes, release gives them back, and record records bytes that were read.
	reserve func(bytes int64) error
	release func(bytes int64)
	record  func(n int)
}

// read returns the body, or an error and what was read before it. It holds a reservation of the capacity of the
// returned slice.
func (b bodyReader) read(from io.Reader) ([]byte, error) {
	if b.announced > b.limit {
		return nil, errBodyTooLarge
	}
	// A body of unknown length may use one byte more, which shows that it is too long.
	most, size := b.limit+1, int64(firstBufferBytes)
	if b.announced >= 0 {
		most, size = b.announced, maxFirstBufferBytes
	}
	size = min(size, most)
	if err := b.reserve(size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	for {
		n, err := from.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if n > 0 {
			b.record(n)
		}
		switch {
		case int64(len(data)) > b.limit:
			return data, errBodyTooLarge
		case errors.Is(err, io.EOF) || err == nil && int64(len(data)) == b.announced:
			return data, nil
		case err != nil:
			return data, err
		}
		if len(data) == cap(data) {
			if data, err = b.grow(data, most); err != nil {
				return data, err
			}
		}
	}
}

// grow returns a larger buffer with the same data.
func (b bodyReader) grow(data []byte, most int64) ([]byte, error) {
	size := min(int64(cap(data))*bufferGrowth, most)
	if err := b.reserve(size); err != nil {
		return data, err
	}
	larger := make([]byte, len(data), size)
	copy(larger, data)
	b.release(int64(cap(data)))
	return larger, nil
}

// maxBodyBytes returns the limit of a body under the plan.
func (f *relayedRequest) maxBodyBytes() int64 {
	if limit := f.view.Router().Plan().Limits.MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// readBody reads the whole body, so that it can be sent more than once and a disconnect of the client is noticed. It
// gives up when the time allowed by the client or the route has passed. It reports whether the request goes on.
func (f *relayedRequest) readBody() bool {
	if f.hasUnreadBody() {
		if f.r.Header.Get("Expect") != "" {
			f.setWriteDeadline() // for the response that asks for the body; the last deadline may have passed
		}
		body, err := f.receiveBody(f.maxBodyBytes())
		if err != nil {
			return f.handleBodyError(err)
		}
		f.body = body
	}
	f.isBodyRead, f.receivedAt = true, f.Timer.Now()
	f.content.Keys = f.contentKeys()
	return true
}

// receiveBody reads the body, of up to limit bytes. It returns errTerminated if the request was terminated for others, also
// if the body is complete: its connection has an expired deadline, and would be taken for one that its client has closed.
func (f *relayedRequest) receiveBody(limit int64) ([]byte, error) {
	f.account.BeginReceiving(f.expireRead)
	stop := context.AfterFunc(f.ctx, f.expireRead)
	reader := bodyReader{
		announced: f.r.ContentLength, limit: limit, release: f.account.Release, record: f.account.RecordReceived,
		reserve: func(bytes int64) error { return f.account.Reserve(f.ctx, bytes) },
	}
	body, err := reader.read(f.r.Body)
	stop()
	if isKept := f.account.EndReceiving(); !isKept && !errors.Is(err, errBodyTooLarge) {
		return nil, errTerminated
	}
	return body, err
}

// hasUnreadBody reports whether a body follows that was not read yet.
func (f *relayedRequest) hasUnreadBody() bool {
	return f.r.ContentLength != 0 && f.r.Body != http.NoBody && !f.isBodyRead
}

// expireRead ends the read of the body in progress, and further ones.
func (f *relayedRequest) expireRead() { f.setReadDeadline(time.Unix(1, 0)) }

// setReadDeadline bounds the time in which the rest of the body is read. The server sets it again for the next request.
func (f *relayedRequest) setReadDeadline(deadline time.Time) {
	// A connection without support for deadlines is one of a test.
	_ = http.NewResponseController(f.w).SetReadDeadline(deadline)
}

// handleBodyError ends a request whose body was not received, so that it has not run. It returns false.
func (f *relayedRequest) handleBodyError(err error) bool {
	f.account.Close()
	cause := context.Cause(f.ctx)
	var timeout net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		return f.rejectBody(http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(f.maxBodyBytes(), 10)+" bytes")
	case errors.Is(err, errTerminated):
		return f.rejectBody(http.StatusRequestTimeout, "the body arrived too slowly while memory or connections were scarce")
	case errors.Is(err, server.ErrOverload):
		f.w.Header().Set("Connection", "close")
		return f.refuse("no memory for the body became free in time", overloadedBodyRetryAfter)
	case errors.Is(cause, server.ErrDeadline), errors.As(err, &timeout) && timeout.Timeout():
		return f.rejectBody(http.StatusRequestTimeout, "the body was not complete in time")
	case f.r.Context().Err() != nil:
		return f.endDisconnected("client disconnected while sending the body")
	default:
		return f.reject(http.StatusBadRequest, "the body cannot be read: "+err.Error())
	}
}

// rejectBody responds to a request whose body was not read completely, and closes its connection. It returns false.
func (f *relayedRequest) rejectBody(status int, reason string) bool {
	f.w.Header().Set("Connection", "close")
	return f.reject(status, reason)
}
