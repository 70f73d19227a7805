package caller_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/caller"
	"oriolemill.example/oriolemill/internal/standin"
)

// ignoreToken is a server.TokenHandler that accepts every token.
func ignoreToken(server.Token) error { return nil }

// readingCall is a call that reads a response, and the stand-in that serves it.
type readingCall struct {
	handler http.Handler
	call    func(c *caller.Caller, upstream *server.Upstream, call server.Call) error
}

// readingCalls returns all calls that read a response, by name.
func readingCalls(t *testing.T) map[string]readingCall {
	faults := standin.NewFaultInjector()
	engine := standin.NewEngine(faults, standin.EngineSpeed{Slots: 4, PrefillRate: 1e9, StepTime: time.Nanosecond}).Handler()
	pool := standin.NewPool(faults, 4, 0, echo).Handler()
	return map[string]readingCall{
		"run": {pool, func(c *caller.Caller, upstream *server.Upstream, call server.Call) error {
			_, err := c.Run(t.Context(), upstream, call)
			return err
		}},
		"operation": {pool, func(c *caller.Caller, upstream *server.Upstream, call server.Call) error {
			_, _, err := c.Operate(t.Context(), upstream, call)
			return err
		}},
		"status": {orderStatus(), func(c *caller.Caller, upstream *server.Upstream, _ server.Call) error {
			_, err := c.OrderStatus(t.Context(), upstream, workspace, "key", 1)
			return err
		}},
		"generate": {engine, func(c *caller.Caller, upstream *server.Upstream, call server.Call) error {
			_, err := c.Generate(t.Context(), upstream, call, ignoreToken)
			return err
		}},
		"load": {engine, func(c *caller.Caller, upstream *server.Upstream, _ server.Call) error {
			_, _, err := c.FetchLoad(t.Context(), upstream)
			return err
		}},
		"events": {engine, func(c *caller.Caller, upstream *server.Upstream, _ server.Call) error {
			_, err := c.FetchEvents(t.Context(), upstream, 0)
			return err
		}},
	}
}

// TestBrokenUnframedResponseIsAnError guards against responses that end with their connection
// and are taken for complete though they were broken off, at any byte.
func TestBrokenUnframedResponseIsAnError(t *testing.T) {
	for name, testCase := range readingCalls(t) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var size atomic.Int64 // of the last body, without its final line end
			measured := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				recorder := httptest.NewRecorder()
				r.URL.Path = pathAt(name, r.URL.Path)
				testCase.handler.ServeHTTP(recorder, r)
				size.Store(int64(len(bytes.TrimSpace(recorder.Body.Bytes()))))
				w.WriteHeader(recorder.Code)
				_, _ = w.Write(recorder.Body.Bytes())
			})
			replica, err := standin.ListenUnframed("127.0.0.1:0", measured)
			is.NoErr(err)
			defer replica.Close()
			c := caller.New()
			defer c.Close()
			call := newCall("one two three")
			is.NoErr(testCase.call(c, upstreamAt(replica.Address()), call))
			is.True(size.Load() > 0)
			for cut := range int(size.Load()) {
				replica.BreakOffAfter(cut)
				err := testCase.call(c, upstreamAt(replica.Address()), call)
				// A body states its time in microseconds, so some are a digit shorter.
				isBrokenOff := int64(cut) < size.Load()
				is.True(err != nil || !isBrokenOff)
			}
		})
	}
}

// pathAt returns the path at which the handler of a call expects it: operations are served by
// a pool here.
func pathAt(name, path string) string {
	if name == "operation" {
		return messenger.PathRun
	}
	return path
}

// orderStatus responds with the recorded response of an order.
func orderStatus() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(messenger.RunAnswer{Workspace: workspace, OutputLength: 3, Output: json.RawMessage(`"x"`), IsComplete: true})
	})
}
