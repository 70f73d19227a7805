package peeker_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server/peeker"
)

// waitForState waits until a connection has a state.
func waitForState(t *testing.T, conn net.Conn, want peeker.State) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); peeker.Peek(conn) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the state is %d, want %d", peeker.Peek(conn), want)
		}
	}
}

func TestPeekFollowsTheOtherSide(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	conn, err := listener.Accept()
	is.NoErr(err)
	is.Equal(peeker.Peek(conn), peeker.StateQuiet)
	read := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(conn, make([]byte, 1)) // a read in progress must not block Peek
		read <- err
	}()
	is.Equal(peeker.Peek(conn), peeker.StateQuiet)
	_, err = io.WriteString(client, "ab")
	is.NoErr(err)
	is.NoErr(<-read)
	waitForState(t, conn, peeker.StateInput)
	is.NoErr(client.Close())
	is.Equal(peeker.Peek(conn), peeker.StateInput) // "b" is still unread
	_, err = io.ReadFull(conn, make([]byte, 1))
	is.NoErr(err)
	waitForState(t, conn, peeker.StateClosed)
	is.NoErr(conn.Close())
	is.Equal(peeker.Peek(conn), peeker.StateClosed)
	pipe, _ := net.Pipe()
	is.Equal(peeker.Peek(pipe), peeker.StateQuiet)
}

// Guards against resets that are passed over because another call got their error.
func TestAcknowledgementIsThatOfTheSocket(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	conn, err := listener.Accept()
	is.NoErr(err)
	const size = 4 << 20 // more than the other side takes in unread
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, size))
		written <- err
	}()
	_, err = io.ReadFull(client, make([]byte, 1))
	is.NoErr(err)
	isAcknowledged, err := peeker.IsAcknowledged(conn)
	is.NoErr(err)
	is.True(!isAcknowledged)
	_, err = io.ReadFull(client, make([]byte, size-1))
	is.NoErr(err)
	is.NoErr(<-written)
	for end := time.Now().Add(10 * time.Second); !isAcknowledged && time.Now().Before(end); time.Sleep(time.Millisecond) {
		isAcknowledged, err = peeker.IsAcknowledged(conn)
		is.NoErr(err)
	}
	is.True(isAcknowledged)
	is.NoErr(client.(*net.TCPConn).SetLinger(0))
	is.NoErr(client.Close())
	waitForState(t, conn, peeker.StateClosed) // gets the error of the reset
	_, err = peeker.IsAcknowledged(conn)
	is.True(err != nil)
	is.NoErr(conn.Close())
	_, err = peeker.IsAcknowledged(conn)
	is.True(err != nil)
	pipe, _ := net.Pipe()
	isAcknowledged, err = peeker.IsAcknowledged(pipe)
	is.NoErr(err)
	is.True(isAcknowledged)
}
