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

// replica is a stand-in for a replica. Its handler writes the response to each request. It serves
// one request at a time on a connection.
type replica struct {
	id, service, version, zone string
	slots                      int
	listener                   net.Listener
	born                       int64
	handler                    func(c *replicaConn, request *http.Request, body []byte) bool
	mu                         sync.Mutex
	state                      string
	seq                        int
	// isDown is set while the process of the replica has ended. conns are its open connections.
	isDown bool
	conns  map[net.Conn]bool
}

// restart ends the process of the replica, and starts it after a time under the same ID and address
// with another version of its software.
func (r *replica) restart(s *store, downTime time.Duration, version string) {
	r.mu.Lock()
	r.isDown = true
	for conn := range r.conns {
		// A process that is killed resets its connections.
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	r.mu.Unlock()
	time.Sleep(downTime)
	r.mu.Lock()
	r.isDown, r.version, r.born, r.seq = false, version, time.Now().UnixMilli(), 0
	r.mu.Unlock()
	r.writeRow(s)
}

// currentVersion returns the version of the software that runs now.
func (r *replica) currentVersion() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// writeRow writes the row of the replica unless its process is down.
func (r *replica) writeRow(s *store) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDown {
		return
	}
	r.seq++
	s.put("servers", r.id, map[string]any{
		"Service": r.service, "Addr": r.address(), "Zone": r.zone, "Version": r.version, "Slots": r.slots, "State": r.state, "ColdLeftMs": 0, "Seq": r.seq, "born": r.born,
	})
}

// replicaConn is a connection to a replica. Responses are written through it.
type replicaConn struct {
	net.Conn
	mu sync.Mutex
	// closed is closed once the other side has closed the connection or it failed.
	closed chan struct{}
	// late is an answer that is written once more when the next request has arrived.
	late string
}

// send writes bytes at once.
func (c *replicaConn) send(text string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := io.WriteString(c.Conn, text)
	return err
}

func newReplica(id, service, version, zone string, slots int, handler func(c *replicaConn, request *http.Request, body []byte) bool) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, version: version, zone: zone, slots: slots, listener: listener, born: time.Now().UnixMilli(), handler: handler, state: "ready", conns: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			isDown := r.isDown
			if !isDown {
				r.conns[conn] = true
			}
			r.mu.Unlock()
			if isDown {
				// The listener stays open, so that the port is kept; nobody is behind it.
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
				continue
			}
			go r.serve(conn)
		}
	}()
	return r, nil
}

func (r *replica) address() string { return r.listener.Addr().String() }

// register writes the row of the replica, now and every 1.2 s.
func (r *replica) register(s *store) {
	r.writeRow(s)
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			r.writeRow(s)
		}
	}()
}

func (r *replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
	}()
	requests := make(chan *http.Request)
	bodies := make(chan []byte)
	c := &replicaConn{Conn: conn, closed: make(chan struct{})}
	go func() {
		defer close(c.closed)
		defer close(requests)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			requests <- request
			bodies <- body
		}
	}()
	for request := range requests {
		body := <-bodies
		if expected := request.Header.Get("Expect-Replica"); expected != "" && expected != r.id {
			_ = c.send(responseText("421 Misdirected Request", http.Header{"Replica-Id": {r.id}}, ""))
			continue
		}
		if !r.handler(c, request, body) {
			_ = conn.Close()
			for range requests {
				<-bodies
			}
			return
		}
	}
}

// responseText returns a response with a length.
func responseText(status string, header http.Header, body string) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "HTTP/1.1 %s\r\nContent-Length: %d\r\n", status, len(body))
	_ = header.Write(&text)
	text.WriteString("\r\n" + body)
	return text.String()
}

// identityHeader returns the headers of a response to a request.
func (r *replica) identityHeader(request *http.Request) http.Header {
	return http.Header{"Attempt-Id": {request.Header.Get("Attempt-Id")}, "Replica-Stamp": {"stamp." + r.id}}
}
