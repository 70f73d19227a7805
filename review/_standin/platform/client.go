package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client saw of the answer to one request.
type answer struct {
	status int
	header http.Header
	body   string
	// isWhole is set if the body ended as its framing says.
	isWhole bool
	// err is why the answer is not whole, or why there is none.
	err  error
	took time.Duration
}

// clientConn is a connection of a client to an instance. It carries one request at a time.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialClient(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends a request and reads the answer until its end or the deadline.
func (c *clientConn) do(method, host, path string, header http.Header, body string, deadline time.Duration) answer {
	startedAt := time.Now()
	_ = c.SetDeadline(startedAt.Add(deadline))
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n", method, path, host, deadline.Milliseconds())
	if method != http.MethodGet {
		_, _ = fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	for name, values := range header {
		for _, value := range values {
			_, _ = fmt.Fprintf(&text, "%s: %s\r\n", name, value)
		}
	}
	text.WriteString("\r\n" + body)
	if _, err := io.WriteString(c.Conn, text.String()); err != nil {
		return answer{err: err, took: time.Since(startedAt)}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(startedAt)}
	}
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), isWhole: err == nil, err: err, took: time.Since(startedAt)}
}

// request sends one request on a connection of its own.
func request(address, method, host, path string, header http.Header, body string, deadline time.Duration) answer {
	conn, err := dialClient(address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	return conn.do(method, host, path, header, body, deadline)
}

// recorder writes record.txt.
type recorder struct {
	mu        sync.Mutex
	out       io.Writer
	startedAt time.Time
}

// add writes a line with the time since the start.
func (r *recorder) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}
