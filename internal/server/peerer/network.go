package peerer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// dialTimeout bounds a TCP dial and the TLS handshake together.
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// fetchTimeout bounds a request for documents and its response.
	fetchTimeout = 2 * time.Second
)

// Network is the Transport over TCP, TLS and yamux. It is safe for concurrent use.
type Network struct {
	listener      net.Listener
	credentials   *Credentials
	sentBytes     atomic.Uint64
	receivedBytes atomic.Uint64
}

// NewNetwork listens on an address. Without credentials the links use no TLS.
func NewNetwork(address string, credentials *Credentials) (*Network, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "listen for peers")
	}
	return &Network{listener: listener, credentials: credentials}, nil
}

// Address returns the listener's address, host:port.
func (n *Network) Address() string { return n.listener.Addr().String() }

// SentBytes returns the bytes written to TCP connections so far.
func (n *Network) SentBytes() uint64 { return n.sentBytes.Load() }

// ReceivedBytes returns the bytes read from TCP connections so far.
func (n *Network) ReceivedBytes() uint64 { return n.receivedBytes.Load() }

// Close implements Transport.
func (n *Network) Close() error { return n.listener.Close() }

// Dial implements Transport.
func (n *Network) Dial(ctx context.Context, address string) (Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	tcpConnection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, server.NewFault("dial", address, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	var connection net.Conn = &countingConn{Conn: tcpConnection, network: n}
	if n.credentials != nil {
		tlsConnection := tls.Client(connection, n.credentials.clientConfig())
		if err := tlsConnection.HandshakeContext(ctx); err != nil {
			_ = tcpConnection.Close()
			return nil, server.NewFault("handshake", address, merry.Prepend(server.ErrForbidden, err.Error()))
		}
		connection = tlsConnection
	}
	session, err := yamux.Client(connection, yamuxConfig())
	if err != nil {
		_ = tcpConnection.Close()
		return nil, err
	}
	return newMuxConn(session, session.OpenStream)
}

// Accept implements Transport. The TLS handshake runs with the first read or write,
// so that a slow one does not delay other connections.
func (n *Network) Accept() (Conn, error) {
	tcpConnection, err := n.listener.Accept()
	if err != nil {
		return nil, err
	}
	var connection net.Conn = &countingConn{Conn: tcpConnection, network: n}
	if n.credentials != nil {
		connection = tls.Server(connection, n.credentials.serverConfig())
	}
	session, err := yamux.Server(connection, yamuxConfig())
	if err != nil {
		_ = tcpConnection.Close()
		return nil, err
	}
	return &muxConn{session: session, acceptStream: session.AcceptStream}, nil
}

// yamuxConfig returns the configuration of a session. yamux's own heartbeats are off,
// as digests serve as heartbeats.
func yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.LogOutput = io.Discard
	config.ConnectionWriteTimeout = writeTimeout
	config.AcceptBacklog = 16
	return config
}

// countingConn adds the bytes of a connection to the network's totals.
type countingConn struct {
	net.Conn
	network *Network
}

// Read implements net.Conn.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.network.receivedBytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.network.sentBytes.Add(uint64(n))
	return n, err
}

// muxConn is the Conn over a yamux session. Its first stream carries all frames but
// those of Fetch: each request for documents has a stream of its own, which carries the
// response too.
type muxConn struct {
	session *yamux.Session
	// acceptStream is set on the accepting side, which has no stream until the first
	// Read.
	acceptStream func() (*yamux.Stream, error)
	stream       *yamux.Stream
}

// newMuxConn returns a connection of the dialing side.
func newMuxConn(session *yamux.Session, openStream func() (*yamux.Stream, error)) (*muxConn, error) {
	stream, err := openStream()
	if err != nil {
		_ = session.Close()
		return nil, err
	}
	return &muxConn{session: session, stream: stream}, nil
}

// Read implements Conn. On the accepting side the first call accepts the stream.
func (m *muxConn) Read() (*encoder.Frame, error) {
	if m.stream == nil {
		stream, err := m.acceptStream()
		if err != nil {
			return nil, err
		}
		m.stream = stream
	}
	return encoder.Read(m.stream, encoder.MaxFrameBytes)
}

// Write implements Conn.
func (m *muxConn) Write(frame *encoder.Frame) error {
	if err := m.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return encoder.Write(m.stream, frame, encoder.MaxFrameBytes)
}

// Close implements Conn.
func (m *muxConn) Close() error { return m.session.Close() }

// Fetch implements Conn.
func (m *muxConn) Fetch(ctx context.Context, after uint64) (*encoder.DocumentsResponse, error) {
	stream, err := m.session.OpenStream()
	if err != nil {
		return nil, merry.Prepend(server.ErrUnavailable, err.Error())
	}
	defer func() { _ = stream.Close() }()
	deadline := time.Now().Add(fetchTimeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		deadline = earlier
	}
	if err := stream.SetDeadline(deadline); err != nil {
		return nil, err
	}
	request := &encoder.Frame{Body: &encoder.Frame_DocumentsRequest{DocumentsRequest: &encoder.DocumentsRequest{BaseVersion: after}}}
	if err := encoder.Write(stream, request, encoder.MaxFrameBytes); err != nil {
		return nil, merry.Prepend(server.ErrUnavailable, err.Error())
	}
	frame, err := encoder.Read(stream, encoder.MaxDocumentsBytes)
	if err != nil {
		return nil, merry.Prepend(server.ErrUnavailable, err.Error())
	}
	if frame.GetDocumentsResponse() == nil {
		return nil, merry.Prepend(server.ErrInvalid, "response contains no documents")
	}
	return frame.GetDocumentsResponse(), nil
}

// Serve implements Conn. It serves one request at a time.
func (m *muxConn) Serve(respond func(after uint64) *encoder.DocumentsResponse) {
	for {
		stream, err := m.session.AcceptStream()
		if err != nil {
			return
		}
		serveStream(stream, respond)
	}
}

// serveStream reads one request for documents and writes the response, if there is
// one.
func serveStream(stream *yamux.Stream, respond func(after uint64) *encoder.DocumentsResponse) {
	defer func() { _ = stream.Close() }()
	if err := stream.SetDeadline(time.Now().Add(fetchTimeout)); err != nil {
		return
	}
	frame, err := encoder.Read(stream, encoder.MaxFrameBytes)
	if err != nil || frame.GetDocumentsRequest() == nil {
		return
	}
	response := respond(frame.GetDocumentsRequest().GetBaseVersion())
	if response == nil {
		return
	}
	// If the response is lost, the other side repeats its request.
	_ = encoder.Write(stream, &encoder.Frame{Body: &encoder.Frame_DocumentsResponse{DocumentsResponse: response}}, encoder.MaxDocumentsBytes)
}
