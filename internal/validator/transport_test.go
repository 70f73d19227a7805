package validator_test

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/validator"
)

const (
	// uploadBytes is more than the buffers of a connection take in.
	uploadBytes = 16 << 20
	// resetRepeats is how often a reset is tried: who gets its error depends on the order of writes and reads.
	resetRepeats = 10
)

// rawServer serves connections until the test ends, and counts them.
type rawServer struct {
	*is.I
	client *http.Client
	url    string
	conns  atomic.Int64
}

// newRawServer starts a server that passes requests, whose bodies were not read, to respond, until that returns false.
func newRawServer(t *testing.T, respond func(conn *net.TCPConn, request *http.Request) bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s := &rawServer{I: is.New(t), client: &http.Client{Transport: validator.NewTransport(&http.Transport{})}}
	s.NoErr(err)
	s.url = "http://" + listener.Addr().String()
	t.Cleanup(func() {
		s.client.CloseIdleConnections()
		_ = listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil || !respond(conn.(*net.TCPConn), request) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// post sends a request and returns the body of the response.
func (s *rawServer) post(bytesLength int) (string, error) {
	response, err := s.client.Post(s.url, "text/plain", bytes.NewReader(make([]byte, bytesLength)))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against responses that look whole to users of http.Client, because the write of the request got the error of
// the reset.
func TestTransportTakesAResetForNoEnd(t *testing.T) {
	s := newRawServer(t, func(conn *net.TCPConn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+part)
		time.Sleep(20 * time.Millisecond) // until the client waits in a write
		_ = conn.SetLinger(0)
		return false
	})
	for range resetRepeats {
		_, err := s.post(uploadBytes)
		s.True(err != nil)
	}
}

// Guards against responses that look whole because the end was read before the last bytes of the request were written,
// which the transport does after it has reported the request as written.
func TestTransportTakesAnEndBeforeTheRequestForNoEnd(t *testing.T) {
	s := newRawServer(t, func(conn *net.TCPConn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+part)
		_ = conn.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		return false // resets, as there is unread input
	})
	for range resetRepeats {
		_, err := s.post(uploadBytes)
		s.True(err != nil)
	}
}

// Guards against whole responses that are taken for broken ones.
func TestTransportReturnsWholeResponses(t *testing.T) {
	s := newRawServer(t, func(conn *net.TCPConn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+part)
		return false
	})
	for _, length := range []int{0, 1, 4 << 10, uploadBytes} {
		body, err := s.post(length)
		s.NoErr(err)
		s.Equal(body, part)
	}
}

// Guards against connections that are not used again after a framed response.
func TestTransportKeepsConnections(t *testing.T) {
	s := newRawServer(t, func(conn *net.TCPConn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		_, err := io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"+part)
		return err == nil
	})
	for range 5 {
		body, err := s.post(1)
		s.NoErr(err)
		s.Equal(body, part)
	}
	s.Equal(s.conns.Load(), int64(1))
}

// Guards against informational heads without end: the transport bounds them together only without Got1xxResponse.
func TestTransportBoundsInformationalHeads(t *testing.T) {
	s := newRawServer(t, func(conn *net.TCPConn, _ *http.Request) bool {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n")
		}
		return false
	})
	ended := make(chan error, 1)
	go func() {
		_, err := s.post(0)
		ended <- err
	}()
	select {
	case err := <-ended:
		s.True(err != nil)
	case <-time.After(waitTimeout):
		t.Fatal("informational heads are still being read")
	}
}

// Guards against responses that are no longer compressed, such as the platform's list of instances.
func TestTransportAcceptsCompression(t *testing.T) {
	s := newRawServer(t, func(conn *net.TCPConn, request *http.Request) bool {
		var body bytes.Buffer
		if request.Header.Get("Accept-Encoding") == "gzip" {
			_, _ = body.WriteString("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n")
			writer := gzip.NewWriter(&body)
			_, _ = io.WriteString(writer, part)
			_ = writer.Close()
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = body.WriteTo(conn)
		return false
	})
	body, err := s.post(1)
	s.NoErr(err)
	s.Equal(body, part)
}
