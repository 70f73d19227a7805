package validator_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server/peeker"
	"oriolemill.example/oriolemill/internal/validator"
)

const (
	// waitTimeout bounds how long the tests wait for the other side.
	waitTimeout = 10 * time.Second
	// pollInterval is the time between two looks at a state.
	pollInterval = time.Millisecond
	// part is the response that the server sends.
	part = "part"
)

// pair is a connection of a client and the server's side of it.
type pair struct {
	*is.I
	t      *testing.T
	client *net.TCPConn
	conn   *validator.Conn
	server *net.TCPConn
}

// newPair opens a connection on which the response was sent and read.
func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{I: is.New(t), t: t}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	p.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	p.NoErr(err)
	server, err := listener.Accept()
	p.NoErr(err)
	p.client, p.server = client.(*net.TCPConn), server.(*net.TCPConn)
	p.conn = validator.NewConn(client)
	t.Cleanup(func() {
		_ = p.conn.Close()
		_ = server.Close()
	})
	p.conn.BeginResponse()
	p.respond()
	return p
}

// respond sends the response and reads it.
func (p *pair) respond() {
	p.t.Helper()
	_, err := io.WriteString(p.server, part)
	p.NoErr(err)
	data := make([]byte, len(part))
	_, err = io.ReadFull(p.conn, data)
	p.NoErr(err)
	p.Equal(string(data), part)
}

// send writes a request and records its end.
func (p *pair) send(request string) error {
	_, err := io.WriteString(p.conn, request)
	p.conn.EndRequest(err)
	return err
}

// reset has the server reset the connection.
func (p *pair) reset() {
	p.t.Helper()
	p.NoErr(p.server.SetLinger(0))
	p.NoErr(p.server.Close())
}

// readEnd returns the error of the read after the response.
func (p *pair) readEnd() error {
	p.t.Helper()
	p.NoErr(p.client.SetReadDeadline(time.Now().Add(waitTimeout)))
	n, err := p.conn.Read(make([]byte, 1))
	p.Equal(n, 0)
	return err
}

// isBroken reports whether an error is that of a response that broke off.
func isBroken(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// Guards against whole responses that are taken for broken ones.
func TestOrderlyEndIsTheEndOfTheResponse(t *testing.T) {
	p := newPair(t)
	p.NoErr(p.send("request"))
	_, err := io.ReadFull(p.server, make([]byte, len("request")))
	p.NoErr(err)
	p.NoErr(p.server.Close())
	p.Equal(p.readEnd(), io.EOF)
}

// Guards against responses that look whole because a write got the error of the reset.
func TestResetThatAWriteReportedIsNoEnd(t *testing.T) {
	p := newPair(t)
	p.reset()
	for end := time.Now().Add(waitTimeout); p.send("request") == nil && time.Now().Before(end); time.Sleep(pollInterval) {
	}
	_, err := p.client.Read(make([]byte, 1))
	p.Equal(err, io.EOF) // the system has reported the reset already
	p.True(errors.Is(p.readEnd(), io.ErrUnexpectedEOF))
}

// Guards against responses that look whole because a look at the input got the error of the reset.
func TestResetThatAPeekReportedIsNoEnd(t *testing.T) {
	p := newPair(t)
	p.NoErr(p.send("request"))
	p.reset()
	for end := time.Now().Add(waitTimeout); peeker.Peek(p.client) != peeker.StateClosed && time.Now().Before(end); time.Sleep(pollInterval) {
	}
	_, err := p.client.Read(make([]byte, 1))
	p.Equal(err, io.EOF) // the system has reported the reset already
	p.True(errors.Is(p.readEnd(), io.ErrUnexpectedEOF))
}

// Guards against responses that look whole because the end was read before the goroutine that sends the request had
// its error.
func TestEndWaitsForTheRequest(t *testing.T) {
	sendErr := errors.New("write failed")
	for name, c := range map[string]struct {
		sendErr error
		isWhole bool
	}{"sent": {nil, true}, "not sent": {sendErr, false}} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.NoErr(p.server.CloseWrite())
			end := make(chan error, 1)
			go func() {
				_, err := p.conn.Read(make([]byte, 1))
				end <- err
			}()
			select {
			case <-end:
				t.Fatal("the end was read before the request was sent")
			case <-time.After(20 * pollInterval):
			}
			p.conn.EndRequest(c.sendErr)
			err := <-end
			p.Equal(err == io.EOF, c.isWhole) //nolint:errorlint // readers compare with io.EOF
			p.Equal(errors.Is(err, io.ErrUnexpectedEOF), !c.isWhole)
		})
	}
}

// Guards against responses that look whole because the system took in the request that the server never read.
func TestUnreadRequestIsNoEnd(t *testing.T) {
	p := newPair(t)
	p.NoErr(p.server.SetReadBuffer(1))
	p.NoErr(p.send(strings.Repeat("x", 64<<10)))
	p.NoErr(p.server.CloseWrite())
	time.AfterFunc(20*pollInterval, func() { _ = p.server.Close() }) // resets, as there is unread input
	p.True(isBroken(p.readEnd()))
}

// Guards against whole responses that are taken for broken ones because the server reads the rest of the request
// after it has ended its side.
func TestRequestThatIsReadLateIsSent(t *testing.T) {
	p := newPair(t)
	go func() { _ = p.send(strings.Repeat("x", 16<<20)) }()
	p.NoErr(p.server.CloseWrite())
	time.AfterFunc(20*pollInterval, func() { _, _ = io.Copy(io.Discard, p.server) })
	p.Equal(p.readEnd(), io.EOF)
}

// Guards against readers that wait for a request after the connection was closed on their side.
func TestCloseEndsTheWaitForTheRequest(t *testing.T) {
	p := newPair(t)
	p.NoErr(p.server.CloseWrite())
	time.AfterFunc(20*pollInterval, func() { _ = p.conn.Close() })
	p.True(p.readEnd() != nil)
}

// Guards against a wait for the request when the server ends the connection before it responds.
func TestEndBeforeAResponseIsPassedOn(t *testing.T) {
	p := newPair(t)
	p.NoErr(p.send("request"))
	p.conn.BeginResponse()
	p.NoErr(p.server.CloseWrite())
	p.Equal(p.readEnd(), io.EOF)
}
