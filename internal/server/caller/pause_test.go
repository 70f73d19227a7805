package caller_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/caller"
	"oriolemill.example/oriolemill/internal/server/pauser"
	"oriolemill.example/oriolemill/internal/server/picker"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// TestUpstreamGetsNoCallsInThePauseThatItRequests guards against calls of any kind to an upstream that has
// refused one with Retry-After, and against picks of it.
func TestUpstreamGetsNoCallsInThePauseThatItRequests(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, c *caller.Caller, upstream *server.Upstream) error{
		"stage": func(ctx context.Context, c *caller.Caller, upstream *server.Upstream) error {
			_, err := c.Run(ctx, upstream, newCall("a"))
			return err
		},
		"engine": func(ctx context.Context, c *caller.Caller, upstream *server.Upstream) error {
			_, err := c.Generate(ctx, upstream, newCall("a"), func(server.Token) error { return nil })
			return err
		},
		"order": func(ctx context.Context, c *caller.Caller, upstream *server.Upstream) error {
			order := newCall("a")
			order.IdempotencyKey = "k"
			_, sendState, err := c.Operate(ctx, upstream, order)
			if strings.Contains(err.Error(), "pause") && sendState != server.SendStateUnsent {
				t.Error("a withheld order counts as sent")
			}
			return err
		},
		"plain call": func(ctx context.Context, c *caller.Caller, upstream *server.Upstream) error {
			_, _, err := c.Operate(ctx, upstream, newCall("a"))
			return err
		},
		"status of an order": func(ctx context.Context, c *caller.Caller, upstream *server.Upstream) error {
			_, err := c.OrderStatus(ctx, upstream, workspace, "k", 1)
			return err
		},
		"load report": func(ctx context.Context, c *caller.Caller, upstream *server.Upstream) error {
			_, _, err := c.FetchLoad(ctx, upstream)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var received atomic.Int64
			upstreamServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				received.Add(1)
				w.Header().Set("Retry-After", "60")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer upstreamServer.Close()
			timer := ticker.New()
			defer timer.Close()
			pauses := pauser.New(logr.Discard(), timer)
			c := caller.New(caller.WithTransport(pauses.Transport))
			defer c.Close()
			upstream := upstreamAt(strings.TrimPrefix(upstreamServer.URL, "http://"))
			for range 5 {
				is.True(call(t.Context(), c, upstream) != nil)
			}
			is.Equal(received.Load(), int64(1))
			is.True(pauses.UntilAvailable([]*server.Upstream{upstream}) > 50*time.Second)
			snapshot := server.NewSnapshot(time.Now(), nil, server.WithUpstreams(map[string][]*server.Upstream{"s": {upstream}}))
			pick := picker.New(nil, picker.WithPauses(pauses.UpstreamPausedFor))
			is.True(pick.Pick(snapshot, &server.PickRequest{Service: "s"}, time.Now(), rand.New(rand.NewPCG(1, 1))) == nil)
		})
	}
}
