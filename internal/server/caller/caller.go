// Package caller calls upstreams over HTTP and validates their responses.
//
// It uses the client of the standard library, since hertz's client does not end a
// call when its context ends; see docs/design/upstreams.md.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/validator"
)

// Limits of the client.
const (
	// dialTimeout bounds the establishment of a connection.
	dialTimeout = time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 256
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
	// maxResponseBytes bounds the size of a response.
	maxResponseBytes = 8 << 20
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// maxDiscardedBytes bounds what is read of a body only to reuse its connection.
	maxDiscardedBytes = 64 << 10
)

// Caller is the client of all upstreams. It implements server.Pool, server.Engine
// and server.Service, and is safe for concurrent use.
type Caller struct {
	client *http.Client
	// singleUse is a client that opens a new connection for each call.
	singleUse *http.Client
	// token returns the signed token for calls to a service, or "" for none.
	token func(service string) string
	now   func() time.Time
}

// Option sets a property of a Caller.
type Option func(*Caller)

// WithToken sets the function that returns the signed token for a service, with which
// the service authenticates the caller.
func WithToken(token func(service string) string) Option {
	return func(c *Caller) { c.token = token }
}

// WithClock replaces the clock in tests.
func WithClock(now func() time.Time) Option {
	return func(c *Caller) { c.now = now }
}

// WithTransport wraps the transports of all calls.
func WithTransport(wrap func(http.RoundTripper) http.RoundTripper) Option {
	return func(c *Caller) {
		c.client.Transport, c.singleUse.Transport = wrap(c.client.Transport), wrap(c.singleUse.Transport)
	}
}

// New returns a Caller.
func New(options ...Option) *Caller {
	transport := &http.Transport{
		DialContext:         dialChecked,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	singleUseTransport := &http.Transport{DialContext: dialChecked, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	c := &Caller{
		client:    &http.Client{Transport: validator.NewTransport(transport), CheckRedirect: refuseRedirect},
		singleUse: &http.Client{Transport: validator.NewTransport(singleUseTransport), CheckRedirect: refuseRedirect},
		token:     func(string) string { return "" },
		now:       time.Now,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// refuseRedirect makes a client return a redirect response instead of following it.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// remainingMillis returns the milliseconds left until the deadline, at least 1, or
// 0 if there is no deadline.
func (c *Caller) remainingMillis(deadline time.Time) int64 {
	if deadline.IsZero() {
		return 0
	}
	return max(deadline.Sub(c.now()).Milliseconds(), 1)
}

// post sends a JSON message to an upstream.
func (c *Caller) post(ctx context.Context, upstream *server.Upstream, path, traceparent string, message any) (*http.Response, error) {
	return c.postWith(ctx, c.client, upstream, path, traceparent, message)
}

// postWith sends a JSON message with the given client. GetBody is cleared, so that
// the client never sends the message twice on its own.
func (c *Caller) postWith(ctx context.Context, client *http.Client, upstream *server.Upstream, path, traceparent string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+upstream.Address()+path, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if traceparent != "" {
		request.Header.Set("Traceparent", traceparent)
	}
	return client.Do(request)
}

// statusError returns the error that corresponds to the response's status code, or
// nil for 200.
func statusError(response *http.Response) error {
	switch {
	case response.StatusCode == http.StatusOK:
		return nil
	case response.StatusCode == http.StatusNotFound:
		return merry.Wrap(server.ErrNotFound)
	case response.StatusCode == http.StatusForbidden:
		return errors.Join(server.ErrUnavailable, server.ErrTokenRejected)
	case response.StatusCode == http.StatusTooManyRequests:
		return merry.Wrap(server.ErrOverload)
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("X-Leaving") != "":
		return merry.Wrap(server.ErrLeaving)
	default:
		return merry.Prependf(server.ErrUnavailable, "status %d", response.StatusCode)
	}
}

// discardBody reads and closes a body, so that its connection can be reused.
func discardBody(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes))
	_ = body.Close()
}
