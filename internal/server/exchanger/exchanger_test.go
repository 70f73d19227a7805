package exchanger_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/dialer"
	"oriolemill.example/oriolemill/internal/server/exchanger"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// fakeCodec encodes a call as the ID of the request of its first piece, and the results likewise.
type fakeCodec struct{ server.Codec }

func (fakeCodec) ParseResponse(_ int, header server.Header) server.ResponseInfo {
	return server.ResponseInfo{IsRefused: http.Header(header).Get("Refused") != "", IdleTimeout: time.Minute}
}

func (fakeCodec) CallHeader(string) server.Header { return server.Header{} }

func (fakeCodec) EncodePieces(pieces []server.Piece) (string, []byte, error) {
	body, err := json.Marshal(pieces[0].RequestID)
	return "/run", body, err
}

func (fakeCodec) DecodePieces(body []byte, _ int) ([]server.PieceResult, error) {
	var handle string
	err := json.Unmarshal(body, &handle)
	return []server.PieceResult{{Handle: handle}}, err
}

// Guards against results of one stage call that are taken for those of the next, because the replica
// wrote the refusal of an earlier call once more on the kept connection.
func TestRepeatedRefusalMixesNoResults(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := 1; ; n++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(request.Body)
					if n <= 2 {
						_, _ = io.WriteString(conn, refusal)
					}
					if n == 1 {
						continue
					}
					go func() {
						time.Sleep(time.Duration(n) * 50 * time.Millisecond)
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					}()
				}
			}()
		}
	}()
	timer := ticker.New()
	defer timer.Close()
	d := dialer.New(timer)
	defer d.Close()
	x := exchanger.New(d, fakeCodec{})
	replica := &server.Replica{ID: "i-1", Service: "stage", Address: listener.Addr().String()}
	for n := range 6 {
		id := fmt.Sprint("request-", n)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		results, err := x.ComputePieces(ctx, replica, []server.Piece{{RequestID: id}})
		cancel()
		if err == nil {
			is.Equal(results[0].Handle, id)
		}
	}
}

// EncodeRelease implements server.Codec.
func (fakeCodec) EncodeRelease([]string) (string, []byte, error) {
	return "/release", []byte(`"release"`), nil
}

// TestSecondResponseIsTakenForNoOther guards against responses without an ID that are taken for those of the
// next call, because the replica writes each of them a second time when the next request has arrived on the
// connection.
func TestSecondResponseIsTakenForNoOther(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				var last string
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(request.Body)
					_, _ = io.WriteString(conn, last)
					response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					_, _ = io.WriteString(conn, response)
					last = response
				}
			}()
		}
	}()
	timer := ticker.New()
	defer timer.Close()
	d := dialer.New(timer)
	defer d.Close()
	x := exchanger.New(d, fakeCodec{})
	replica := &server.Replica{ID: "i-1", Service: "stage", Address: listener.Addr().String()}
	for n := range 6 {
		id := fmt.Sprint("request-", n)
		results, err := x.ComputePieces(t.Context(), replica, []server.Piece{{RequestID: id}})
		is.NoErr(err)
		is.Equal(results[0].Handle, id)
		is.NoErr(x.ReleaseResults(t.Context(), replica, []string{id}))
		// A client's request without an ID.
		answer, _, err := x.Do(t.Context(), replica, &exchanger.Request{Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{}, Body: []byte(id)})
		is.NoErr(err)
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.Equal(string(body), id)
		answer.Close()
	}
}
