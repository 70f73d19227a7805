package client_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/client"
)

// newTestClient returns a client of a server with the given handler.
func newTestClient(t *testing.T, handler http.HandlerFunc) *client.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return client.New(server.URL, client.WithToken("demo"))
}

// serveEvents returns a handler that responds with a stream of events.
func serveEvents(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, strings.Join(events, "\n\n")+"\n\n")
	}
}

const (
	firstToken  = "event: token\ndata: {\"offset\":0,\"text\":\"a\"}"
	secondToken = "event: token\ndata: {\"offset\":1,\"text\":\"b\"}"
	endEvent    = "event: end\ndata: {\"outcome\":\"done\",\"total\":2}"
)

func TestStreamRejectsIncompleteStreams(t *testing.T) {
	cases := map[string]struct {
		events []string
		want   error
		text   string
	}{
		"complete":    {[]string{firstToken, secondToken, endEvent}, nil, "ab"},
		"no end":      {[]string{firstToken, secondToken}, client.ErrIncompleteStream, "ab"},
		"wrong total": {[]string{firstToken, endEvent}, client.ErrIncompleteStream, "a"},
		"gap":         {[]string{secondToken, endEvent}, client.ErrStreamGap, ""},
		"repeated":    {[]string{firstToken, firstToken, secondToken, endEvent}, client.ErrStreamGap, "a"},
		"after end":   {[]string{firstToken, secondToken, endEvent, secondToken}, client.ErrIncompleteStream, "ab"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := ""
			answer, err := newTestClient(t, serveEvents(c.events...)).Stream(context.Background(), client.Request{Pipeline: "p"}, func(token client.Token) error {
				text += token.Text
				return nil
			})
			is.True(errors.Is(err, c.want))
			is.Equal(text, c.text)
			is.Equal(answer != nil, c.want == nil)
		})
	}
}

func TestStreamReturnsProblemOfErrorEvent(t *testing.T) {
	is := is.New(t)
	problem := "event: error\ndata: {\"status\":502,\"outcome\":\"failed\",\"step\":\"generate\",\"peer\":\"pool-1\"}"
	_, err := newTestClient(t, serveEvents(firstToken, problem)).Stream(context.Background(), client.Request{Pipeline: "p"}, func(client.Token) error { return nil })
	var p *client.Problem
	is.True(errors.As(err, &p))
	is.Equal(p.Step, "generate")
	is.Equal(client.OutcomeOf(err), client.OutcomeFailed)
}

// TestClientDoesNotRetryAfterLostResponse guards against duplicate orders: a transport
// that retries a request after its connection was closed would send the order twice.
func TestClientDoesNotRetryAfterLostResponse(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if received.Add(1) == 1 {
			_, _ = io.WriteString(w, `{"outcome":"done"}`)
			return
		}
		connection, _, err := http.NewResponseController(w).Hijack()
		is.NoErr(err)
		_ = connection.Close()
	})
	order := client.Request{Service: "mill-gateway", Operation: "dose", Kind: "dosing", IdempotencyKey: "d-1"}
	_, err := c.Call(context.Background(), order)
	is.NoErr(err)
	_, err = c.Call(context.Background(), order) // on the connection kept from the first call
	is.True(err != nil)
	is.Equal(client.OutcomeOf(err), client.OutcomeUnknown)
	is.Equal(received.Load(), int64(2))
}

func TestOutcomeOfRejectedRequestAndFailedDial(t *testing.T) {
	is := is.New(t)
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Authorization"), "Bearer demo")
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(w, `{"title":"Too Many Requests","status":429,"detail":"rate","outcome":"not-run"}`)
	})
	_, err := c.Call(context.Background(), client.Request{Pipeline: "p"})
	is.Equal(client.OutcomeOf(err), client.OutcomeNotRun)
	is.Equal(err.Error(), "429 Too Many Requests: rate")
	var p *client.Problem
	is.True(errors.As(err, &p))
	is.Equal(p.RetryAfter().Seconds(), 2.0)
	closed := httptest.NewServer(nil)
	address := closed.URL
	closed.Close()
	_, err = client.New(address).Call(context.Background(), client.Request{Pipeline: "p"})
	is.Equal(client.OutcomeOf(err), client.OutcomeNotRun)
}

// Guards against answers that are used though the head of the response is malformed.
func TestResponseWithMalformedHeadIsAnError(t *testing.T) {
	is := is.New(t)
	answers := map[string]http.HandlerFunc{
		"call":   func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"outcome":"done"}`) },
		"stream": serveEvents(firstToken, secondToken, endEvent),
	}
	calls := map[string]func(c *client.Client) error{
		"call": func(c *client.Client) error {
			_, err := c.Call(t.Context(), client.Request{Pipeline: "p"})
			return err
		},
		"stream": func(c *client.Client) error {
			_, err := c.Stream(t.Context(), client.Request{Pipeline: "p"}, func(client.Token) error { return nil })
			return err
		},
	}
	for name, call := range calls {
		server, err := standin.ListenUnframed("127.0.0.1:0", answers[name])
		is.NoErr(err)
		defer server.Close()
		c := client.New("http://" + server.Address())
		is.NoErr(call(c))
		server.EachMalformedHead(func(head string) {
			err := call(c)
			if err == nil {
				t.Errorf("%s, %q: no error", name, head)
			}
			is.Equal(client.OutcomeOf(err), client.OutcomeUnknown) // the request may have run
		})
	}
}
