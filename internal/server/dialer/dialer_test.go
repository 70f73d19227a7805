package dialer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/dialer"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// startUpstream starts an upstream that sends responses[n] to request n on each
// connection, counted from 0.
func startUpstream(t *testing.T, responses ...string) server.Replica {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for _, response := range responses {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	return server.Replica{ID: "i", Address: socket.Addr().String(), StartMillis: 1}
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\n" + body
}

func newDialer(t *testing.T) *dialer.Dialer {
	t.Helper()
	timer := ticker.New()
	d := dialer.New(timer)
	t.Cleanup(func() {
		d.Close()
		timer.Close()
	})
	return d
}

// exchange sends a request and reads the response. It returns the body, whether
// the connection was reused and whether it was returned to the pool.
func exchange(d *dialer.Dialer, replica server.Replica, id string) (body string, reused, kept bool, err error) {
	conn, err := d.Acquire(context.Background(), &replica, false)
	if err != nil {
		return "", false, false, err
	}
	reused = conn.IsReused()
	if err := conn.WriteRequest("POST", "/", "h", http.Header{}, []byte("x")); err != nil {
		return "", reused, false, err
	}
	response, err := conn.ReadResponse("POST", id, func(r *http.Response) string { return r.Header.Get("Id") })
	if err != nil {
		_ = conn.Close()
		return "", reused, false, err
	}
	data, err := io.ReadAll(response.Body)
	if err == nil && conn.IsReusable(response) {
		d.Put(conn, 5*time.Second)
		return string(data), reused, true, nil
	}
	_ = conn.Close()
	return string(data), reused, false, err
}

func TestConnectionsAreKeptAfterCompleteResponsesOnly(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		kept     bool
		fails    bool
	}{
		"whole":       {responseText("1", "ok"), true, false},
		"chunked":     {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true, false},
		"closing":     {"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false, false},
		"more":        {responseText("1", "ok") + responseText("1", "no"), false, false},
		"cut":         {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok", false, true},
		"no length":   {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", false, false},
		"another's":   {responseText("0", "no") + responseText("1", "ok"), false, false},
		"only others": {responseText("0", "no"), false, true},
		"garbage":     {"\x00\x01\x02 what\r\n\r\n", false, true},
		"informed":    {"HTTP/1.1 103 Early Hints\r\n\r\n" + responseText("1", "ok"), true, false},
		"switching":   {"HTTP/1.1 101 Switching Protocols\r\n\r\n", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, _, kept, err := exchange(newDialer(t), startUpstream(t, c.response), "1")
			is.Equal(err != nil, c.fails)
			is.Equal(kept, c.kept)
			if !c.fails {
				is.Equal(body, "ok")
			}
		})
	}
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	d := newDialer(t)
	replica := startUpstream(t, responseText("1", "ok")) // closes the connection after one response
	for range 3 {
		body, reused, _, err := exchange(d, replica, "1")
		is.NoErr(err)
		is.Equal(body, "ok")
		is.True(!reused)
		time.Sleep(20 * time.Millisecond) // until the close arrives
	}
}

func TestNewIncarnationGetsNewConnection(t *testing.T) {
	is := is.New(t)
	d := newDialer(t)
	replica := startUpstream(t, responseText("1", "ok"), responseText("1", "ok"), responseText("1", "ok"))
	_, _, kept, err := exchange(d, replica, "1")
	is.NoErr(err)
	is.True(kept)
	_, reused, _, err := exchange(d, replica, "1")
	is.NoErr(err)
	is.True(reused)
	replica.StartMillis = 2
	_, reused, _, err = exchange(d, replica, "1")
	is.NoErr(err)
	is.True(!reused)
}

func TestRefusedDialIsUnavailable(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(socket.Close())
	_, _, _, err = exchange(newDialer(t), server.Replica{ID: "i", Address: socket.Addr().String()}, "1")
	is.True(errors.Is(err, server.ErrUnavailable))
}

// FuzzAnswer reads arbitrary bytes as a response. Reading must not panic and must
// not return the response to another request.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(responseText("1", "ok")))
	f.Add([]byte(responseText("0", "no") + responseText("1", "ok")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		dialerSide, upstreamSide := net.Pipe()
		timer := ticker.New()
		defer timer.Close()
		d := dialer.New(timer, dialer.WithDial(func(context.Context, string) (net.Conn, error) { return dialerSide, nil }))
		defer d.Close()
		go func() {
			_, _ = upstreamSide.Write(data)
			_ = upstreamSide.Close()
		}()
		conn, err := d.Acquire(context.Background(), &server.Replica{}, false)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		response, err := conn.ReadResponse("POST", "1", func(r *http.Response) string { return r.Header.Get("Id") })
		if err == nil && response.Header.Get("Id") != "1" && response.StatusCode < http.StatusMultipleChoices {
			t.Fatal("ReadResponse returned the response to another request")
		}
	})
}
