package caller_test

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/caller"
)

// maxEndlessBytes is the most that a call may read, and endlessTimeout the longest time that it
// may take, if the upstream sends bytes without end.
const (
	maxEndlessBytes = 16 << 20
	endlessTimeout  = 20 * time.Second
)

// startEndless starts an upstream that sends start, and then the pieces that piece returns until
// the connection is closed. It returns the upstream and the number of bytes sent.
func startEndless(t *testing.T, start string, piece func(i int) string) (*server.Upstream, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096))
				_, err := conn.Write([]byte(start))
				for i := 0; err == nil && sent.Load() < 8*maxEndlessBytes; i++ {
					n := 0
					n, err = conn.Write([]byte(piece(i)))
					sent.Add(int64(n))
				}
			}()
		}
	}()
	return server.NewUpstream(server.Listing{ID: "u", Address: listener.Addr().String()}, &server.Gauge{}), sent
}

// TestEndlessResponsesAreBounded guards against upstreams that send bytes without end, which were
// read until the deadline.
func TestEndlessResponsesAreBounded(t *testing.T) {
	call := newCall("words")
	call.MaxTokens = 100
	const ok = "HTTP/1.1 200 OK\r\n\r\n"
	token := func(i int) string {
		return fmt.Sprintf(`{"attempt":%q,"workspace":%q,"offset":%d,"text":"x"}`+"\n", call.AttemptID.String(), call.Workspace, i)
	}
	block := strings.Repeat("x", 4096)
	always := func(text string) func(int) string { return func(int) string { return text } }
	for name, c := range map[string]struct {
		start string
		piece func(int) string
		limit int64
		// isJSON is set if a piece is JSON, so that the calls which expect one value read one.
		isJSON bool
	}{
		"head":    {"HTTP/1.1 200 OK\r\n", always("A: b\r\n"), 1 << 20, false},
		"body":    {ok, always(block), maxEndlessBytes, false},
		"tokens":  {ok, token, 1 << 20, true},
		"failure": {"HTTP/1.1 500 Broken\r\n\r\n", always(block), maxEndlessBytes, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			upstream, sent := startEndless(t, c.start, c.piece)
			client := caller.New()
			defer client.Close()
			for i, run := range []func() error{
				func() error {
					_, err := client.Generate(t.Context(), upstream, call, func(server.Token) error { return nil })
					return err
				},
				func() error {
					_, err := client.Run(t.Context(), upstream, call)
					return err
				},
				func() error {
					_, _, err := client.FetchLoad(t.Context(), upstream)
					return err
				},
				func() error {
					_, err := client.FetchEvents(t.Context(), upstream, 0)
					return err
				},
			} {
				sent.Store(0)
				begin := time.Now()
				err := run()
				is.True(c.isJSON && i > 0 || errors.Is(err, server.ErrMismatch) || errors.Is(err, server.ErrUnavailable))
				is.True(time.Since(begin) < endlessTimeout)
				limit := c.limit
				if c.isJSON && i > 0 {
					limit = maxEndlessBytes // these calls read a body, not tokens
				}
				is.True(sent.Load() < limit+(8<<20)) // besides what the kernel's buffers hold
			}
		})
	}
}
