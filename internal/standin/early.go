package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// earlyResetDelay is the time after which an EarlyServer resets a connection: its client then waits in a write.
const earlyResetDelay = 20 * time.Millisecond

// EarlyServer responds to requests before it reads their bodies, and resets the connection while they are sent.
type EarlyServer struct {
	listener net.Listener
	response string
}

// ListenEarly starts an EarlyServer at an address. response is the whole response.
func ListenEarly(address, response string) (*EarlyServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &EarlyServer{listener: listener, response: response}
	go s.accept()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *EarlyServer) Address() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *EarlyServer) Close() { _ = s.listener.Close() }

func (s *EarlyServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn))
	}
}

// serve responds to one request and resets the connection.
func (s *EarlyServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, s.response)
	time.Sleep(earlyResetDelay)
	_ = conn.SetLinger(0)
}
