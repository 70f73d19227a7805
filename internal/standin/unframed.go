package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
)

// UnframedServer serves a handler's responses without a length or chunks: a body ends with
// its connection, and one that is broken off ends in the same way. It is safe for concurrent
// use.
type UnframedServer struct {
	listener net.Listener
	handler  http.Handler
	// maxBytes is the number of bytes after which a body is broken off.
	maxBytes atomic.Int64
	head     atomic.Pointer[headChange]
}

// headChange is what is sent in addition to the head of a response: bytes before it, and a line in it.
type headChange struct{ before, line string }

// ListenUnframed starts an UnframedServer at an address. It breaks off no body at first.
func ListenUnframed(address string, handler http.Handler) (*UnframedServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &UnframedServer{listener: listener, handler: handler}
	s.BreakOffAfter(-1)
	s.ChangeHead("", "")
	go s.accept()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *UnframedServer) Address() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *UnframedServer) Close() { _ = s.listener.Close() }

// BreakOffAfter breaks bodies off after a number of bytes; a negative one breaks off none.
func (s *UnframedServer) BreakOffAfter(bytes int) { s.maxBytes.Store(int64(bytes)) }

// ChangeHead sends bytes before the heads of responses, and a line without its end in them, unless they are "".
func (s *UnframedServer) ChangeHead(before, line string) {
	if line != "" {
		line += "\r\n"
	}
	s.head.Store(&headChange{before, line})
}

func (s *UnframedServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve responds to one request and closes the connection.
func (s *UnframedServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	recorded := &recordedResponse{header: make(http.Header), status: http.StatusOK}
	s.handler.ServeHTTP(recorded, request)
	body := recorded.body.Bytes()
	if limit := s.maxBytes.Load(); limit >= 0 && limit < int64(len(body)) {
		body = body[:limit]
	}
	recorded.header.Del("Content-Length")
	head := s.head.Load()
	_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 %d %s\r\n%s", head.before, recorded.status, http.StatusText(recorded.status), head.line)
	_ = recorded.header.Write(conn)
	_, _ = conn.Write(append([]byte("\r\n"), body...))
}

// recordedResponse is a response writer that keeps the response. It implements http.Flusher,
// which handlers of streams need.
type recordedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recordedResponse) Header() http.Header { return r.header }

// Write implements http.ResponseWriter.
func (r *recordedResponse) Write(data []byte) (int, error) { return r.body.Write(data) }

// WriteHeader implements http.ResponseWriter.
func (r *recordedResponse) WriteHeader(status int) { r.status = status }

// Flush implements http.Flusher.
func (r *recordedResponse) Flush() {}

// malformedHeads returns what makes a response malformed: bytes before its head, and lines in it.
func malformedHeads() (before, lines []string) {
	for _, status := range []string{"000", "099", "+20", "-00", "600"} {
		before = append(before, "HTTP/1.1 "+status+" Odd\r\n\r\n")
	}
	lines = []string{"X A: 1", "X-A : 1", "Content-Length : 1", "Transfer-Encoding : chunked", "X\x01A: 1", ": 1"}
	for _, line := range lines {
		before = append(before, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n")
	}
	return before, lines
}

// EachMalformedHead has the server send heads that are malformed in one way after the other, and calls check for each.
func (s *UnframedServer) EachMalformedHead(check func(name string)) {
	before, lines := malformedHeads()
	for _, text := range before {
		s.ChangeHead(text, "")
		check("before " + text)
	}
	for _, line := range lines {
		s.ChangeHead("", line)
		check("line " + line)
	}
	s.ChangeHead("", "")
}
