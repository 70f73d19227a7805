package dialer_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/dialer"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// maxHeadBytes is the most that a replica may send before the body of a response.
const maxHeadBytes = 128 << 10

// TestEndlessHeadIsRejected guards against a replica whose response has a head without end: it was
// read, and kept, until the deadline.
func TestEndlessHeadIsRejected(t *testing.T) {
	for name, response := range map[string][2]string{
		"status line":             {"HTTP/1.1 200 ", "x"},
		"not HTTP":                {"", "x"},
		"one header":              {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"many headers":            {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"folded header":           {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"other responses":         {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			timer := ticker.New()
			defer timer.Close()
			near, far := net.Pipe()
			d := dialer.New(timer, dialer.WithDial(func(context.Context, string) (net.Conn, error) { return near, nil }))
			defer d.Close()
			conn, err := d.Acquire(t.Context(), &server.Replica{ID: "r", Address: "a"}, false)
			is.NoErr(err)
			sent := make(chan int)
			go func() {
				n, _ := far.Write([]byte(response[0]))
				total := n
				for err := error(nil); err == nil && total < 4*maxHeadBytes; total += n {
					n, err = far.Write([]byte(response[1]))
				}
				_ = far.Close()
				sent <- total
			}()
			begin := time.Now()
			_, err = conn.ReadResponse(http.MethodGet, "id", func(r *http.Response) string { return r.Header.Get("Id") })
			is.True(errors.Is(err, server.ErrMismatch))
			is.True(time.Since(begin) < 5*time.Second)
			_ = conn.Close()
			is.True(<-sent <= maxHeadBytes)
		})
	}
}
