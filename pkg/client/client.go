package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/validator"
)

// Limits of the client.
const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 2 * time.Second
	// maxResponseBytes limits the size of a response body that is not streamed.
	maxResponseBytes = 16 << 20
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 4 << 20
	// maxHeadBytes limits the size of the head of a response.
	maxHeadBytes = 64 << 10
	// maxIdleConnsPerHost limits the idle connections that stay open for reuse.
	maxIdleConnsPerHost = 64
)

// Client sends requests to one instance, or to a load balancer in front of
// several. It is safe for concurrent use.
type Client struct {
	baseURL    string
	token      string
	httpClient *http.Client
}

// Option sets a property of a Client.
type Option func(*Client)

// WithToken sets the bearer token: the API key of a workspace or the token of an
// operator.
func WithToken(token string) Option {
	return func(c *Client) { c.token = token }
}

// New returns a client for a base URL such as "http://127.0.0.1:8080". It does
// not follow redirects.
func New(baseURL string, options ...Option) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	c := &Client{baseURL: strings.TrimSuffix(baseURL, "/")}
	c.httpClient = &http.Client{
		Transport:     validator.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Call sends a request and returns the complete answer. The request is sent at
// most once: the client never retries it.
//
// The error is a *Problem if the instance rejected the request or failed to serve
// it; other errors come from the connection or from decoding the response.
// OutcomeOf reports whether the request may have been run.
func (c *Client) Call(ctx context.Context, request Request) (*Answer, error) {
	response, err := c.postRequest(ctx, request, "application/json")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response)
}

// Order returns the state of an order of the workspace that the API key belongs
// to.
func (c *Client) Order(ctx context.Context, key string) (*Order, error) {
	order := &Order{}
	return order, c.getJSON(ctx, "/v1/orders/"+key, order)
}

// Status returns the status of the instance. It needs the token of an operator.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	status := &Status{}
	return status, c.getJSON(ctx, "/v1/status", status)
}

// CheckReady returns nil if the instance accepts new requests. The error is a *Problem
// if it does not.
func (c *Client) CheckReady(ctx context.Context) error {
	response, err := c.send(ctx, http.MethodGet, "/readyz", nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readProblem(response)
	}
	return nil
}

// getJSON gets a path and decodes the response into dst. The error is a *Problem
// for any status but 200.
func (c *Client) getJSON(ctx context.Context, path string, dst any) error {
	response, err := c.send(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readProblem(response)
	}
	return merry.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(dst))
}

// postRequest sends a request to a pipeline or a service and returns the response
// with its body unread. The accept parameter selects a stream or a complete answer.
func (c *Client) postRequest(ctx context.Context, request Request, accept string) (*http.Response, error) {
	body, err := json.Marshal(requestBody{Kind: request.Kind, Input: request.Input, Options: requestOptions{Tokens: request.MaxTokens}})
	if err != nil {
		return nil, merry.Prepend(err, "encoding the request input")
	}
	header := http.Header{"Accept": {accept}, "Content-Type": {"application/json"}}
	if request.IdempotencyKey != "" {
		header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	if request.Deadline > 0 {
		header.Set("X-Deadline-Ms", strconv.FormatInt(request.Deadline.Milliseconds(), 10))
	}
	if request.RequestID != "" {
		header.Set("X-Request-Id", request.RequestID)
	}
	return c.send(ctx, http.MethodPost, request.path(), header, body)
}

// send sends one HTTP request and returns the response. It clears GetBody, because
// the transport would otherwise retry a request with an idempotency key on a new
// connection.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, merry.Prepend(err, "building the request")
	}
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.httpClient.Do(request)
	return response, merry.Wrap(err)
}
