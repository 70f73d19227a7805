package caller_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/caller"
	"oriolemill.example/oriolemill/internal/standin"
)

// TestResponseWithMalformedHeadIsAnError guards against responses that are used though their head is malformed, and
// against orders that count as not run after one.
func TestResponseWithMalformedHeadIsAnError(t *testing.T) {
	for name, testCase := range readingCalls(t) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			replica, err := standin.ListenUnframed("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.URL.Path = pathAt(name, r.URL.Path)
				testCase.handler.ServeHTTP(w, r)
			}))
			is.NoErr(err)
			defer replica.Close()
			c := caller.New()
			defer c.Close()
			call := newCall("one two three")
			replica.ChangeHead("HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n", "X-A: 1")
			is.NoErr(testCase.call(c, upstreamAt(replica.Address()), call))
			replica.EachMalformedHead(func(head string) {
				if testCase.call(c, upstreamAt(replica.Address()), call) == nil {
					t.Errorf("%q: no error", head)
				}
				call.IdempotencyKey = "key"
				_, sendState, err := c.Operate(t.Context(), upstreamAt(replica.Address()), call)
				call.IdempotencyKey = ""
				is.True(err != nil && sendState == server.SendStateUnknown) // the order may have run
			})
		})
	}
}

// TestEarlyResponseThatIsResetIsAnError guards against parts of results that are used, and against orders that count as not
// run, after a response whose connection was reset while the call was sent.
func TestEarlyResponseThatIsResetIsAnError(t *testing.T) {
	is := is.New(t)
	upstream, err := standin.ListenEarly("127.0.0.1:0", "HTTP/1.1 200 OK\r\n\r\n{")
	is.NoErr(err)
	defer upstream.Close()
	c := caller.New()
	defer c.Close()
	call := newCall(strings.Repeat("x", 8<<20))
	for range 3 {
		_, err := c.Run(t.Context(), upstreamAt(upstream.Address()), call)
		is.True(err != nil)
		call.IdempotencyKey = "key"
		_, sendState, err := c.Operate(t.Context(), upstreamAt(upstream.Address()), call)
		call.IdempotencyKey = ""
		is.True(err != nil && sendState == server.SendStateUnknown) // the order may have run
	}
}
