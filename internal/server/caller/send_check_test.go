package caller_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/caller"
)

// startClosingListener starts a listener that reads the first bytes of each
// connection and closes it. It returns the upstream and the number of connections on
// which bytes were received.
func startClosingListener(t *testing.T) (*server.Upstream, *atomic.Int64) {
	t.Helper()
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	received := &atomic.Int64{}
	go func() {
		for {
			connection, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				if n, _ := connection.Read(make([]byte, 64<<10)); n > 0 {
					received.Add(1)
				}
				_ = connection.Close()
			}()
		}
	}()
	return server.NewUpstream(server.Listing{ID: "u", Service: "gate", Address: socket.Addr().String()}, &server.Gauge{}), received
}

// sendOrder sends a call with an idempotency key and the given pre-send check.
func sendOrder(upstream *server.Upstream, beforeSend func() error) (server.SendState, error) {
	c := caller.New()
	defer c.Close()
	call := server.Call{AttemptID: server.NewID(), Workspace: "w", Stage: "dose", IdempotencyKey: "k", Input: []byte(`1`), BeforeSend: beforeSend}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, sendState, err := c.Operate(ctx, upstream, call)
	return sendState, err
}

func TestOrderIsSentOnceWhenServiceClosesConnection(t *testing.T) {
	is := is.New(t)
	upstream, received := startClosingListener(t)
	for i := range 3 {
		sendState, err := sendOrder(upstream, func() error { return nil })
		is.True(err != nil)
		is.Equal(sendState, server.SendStateUnknown)
		is.Equal(received.Load(), int64(i+1)) // each call sends bytes on exactly one connection
	}
}

func TestFailedSendCheckStopsCallBeforeFirstByte(t *testing.T) {
	is := is.New(t)
	upstream, received := startClosingListener(t)
	sendState, err := sendOrder(upstream, func() error { return server.ErrDeadline })
	is.True(errors.Is(err, server.ErrDeadline))
	is.Equal(sendState, server.SendStateUnsent)
	time.Sleep(50 * time.Millisecond)
	is.Equal(received.Load(), int64(0))
}

func TestOrderOnRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(socket.Close())
	upstream := server.NewUpstream(server.Listing{ID: "u", Service: "gate", Address: socket.Addr().String()}, &server.Gauge{})
	sendState, err := sendOrder(upstream, func() error { return nil })
	is.True(err != nil)
	is.Equal(sendState, server.SendStateUnsent)
}

// TestFailedSendCheckStopsCallOnPooledConnection guards against calls of a pool, an engine
// or a plain service that are sent although their upstream or client has left: a connection
// that an earlier call has used must be subject to the check of the next one.
func TestFailedSendCheckStopsCallOnPooledConnection(t *testing.T) {
	var received atomic.Int64
	replica := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer replica.Close()
	upstream := upstreamAt(strings.TrimPrefix(replica.URL, "http://"))
	c := caller.New()
	defer c.Close()
	for name, send := range map[string]func(call server.Call) error{
		"pool": func(call server.Call) error {
			_, err := c.Run(t.Context(), upstream, call)
			return err
		},
		"engine": func(call server.Call) error {
			_, err := c.Generate(t.Context(), upstream, call, func(server.Token) error { return nil })
			return err
		},
		"plain": func(call server.Call) error {
			_, _, err := c.Operate(t.Context(), upstream, call)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := received.Load()
			for range 3 {
				call := newCall("x")
				call.BeforeSend = func() error { return nil }
				is.True(send(call) != nil) // the empty response is invalid
				call.BeforeSend = func() error { return server.ErrLeaving }
				is.True(errors.Is(send(call), server.ErrLeaving))
			}
			is.Equal(received.Load()-before, int64(3))
		})
	}
}
