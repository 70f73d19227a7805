package exchanger_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/dialer"
	"oriolemill.example/oriolemill/internal/server/exchanger"
	"oriolemill.example/oriolemill/internal/server/pauser"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// pausingCodec reads the pauses of responses.
type pausingCodec struct{ fakeCodec }

func (pausingCodec) ParseResponse(status int, header server.Header) server.ResponseInfo {
	pause := pauser.ParseHeader(status, header, time.Now())
	return server.ResponseInfo{IsRefused: pause > 0, IdleTimeout: time.Minute, Pause: pause}
}

// TestNothingIsSentInAPause guards against requests, stage calls and releases that reach a replica in its pause,
// on a new connection or on a kept one, also if the pause began after they had been given a connection.
func TestNothingIsSentInAPause(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	var received atomic.Int64
	var isPausing atomic.Bool
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					received.Add(1)
					if isPausing.Load() {
						_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n\"x\"")
				}
			}()
		}
	}()
	timer := ticker.New()
	defer timer.Close()
	d := dialer.New(timer)
	defer d.Close()
	pauses := pauser.New(logr.Discard(), timer)
	x := exchanger.New(d, pausingCodec{}, exchanger.WithPauses(timer, pauses))
	replica := &server.Replica{ID: "i-1", Service: "stage", Address: listener.Addr().String()}
	do := func(check func() error) error {
		answer, sendState, err := x.Do(t.Context(), replica, &exchanger.Request{Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}, Check: check})
		if err != nil {
			is.Equal(sendState, server.SendStateUnsent)
			return err
		}
		_, err = io.ReadAll(answer.Body)
		answer.Close()
		return err
	}
	isWithheld := func(err error) {
		t.Helper()
		var fault *server.Fault
		is.True(errors.Is(err, server.ErrWithheld))
		is.True(errors.As(err, &fault))
		is.True(fault.RetryAfter() > 50*time.Second && fault.RetryAfter() <= time.Minute)
	}
	is.NoErr(do(nil))
	isWithheld(do(func() error { // on the kept connection
		pauses.RecordResponse(replica, server.ResponseInfo{Pause: time.Minute}, time.Now())
		return nil
	}))
	is.Equal(received.Load(), int64(1))
	replica.ID = "i-2"
	isPausing.Store(true)
	_, err = x.ComputePieces(t.Context(), replica, []server.Piece{{RequestID: "a"}})
	is.True(errors.Is(err, server.ErrOverload))
	is.Equal(received.Load(), int64(2))
	isWithheld(do(nil))
	_, err = x.ComputePieces(t.Context(), replica, []server.Piece{{RequestID: "a"}})
	isWithheld(err)
	isWithheld(x.ReleaseResults(t.Context(), replica, []string{"h"}))
	is.Equal(received.Load(), int64(2))
}
