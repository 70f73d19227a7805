package caller_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/caller"
)

// quitter reads the head of each request and closes the connection. It counts
// connections that sent anything.
func quitter(t *testing.T) (*server.Upstream, *atomic.Int64) {
	t.Helper()
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	seen := &atomic.Int64{}
	go func() {
		for {
			connection, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				if n, _ := connection.Read(make([]byte, 64<<10)); n > 0 {
					seen.Add(1)
				}
				_ = connection.Close()
			}()
		}
	}()
	return server.NewUpstream(server.Listing{ID: "u", Service: "gate", Address: socket.Addr().String()}, &server.Gauge{}), seen
}

func sendOrder(upstream *server.Upstream, gate func() error) (server.Sent, error) {
	c := caller.New()
	defer c.Close()
	call := server.Call{Attempt: server.NewID(), Workspace: "w", Stage: "dose", Key: "k", Input: []byte(`1`), Gate: gate}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, sent, err := c.Operate(ctx, upstream, call)
	return sent, err
}

func TestOrderIsSentOnceWhenTheServiceHangsUp(t *testing.T) {
	is := is.New(t)
	upstream, seen := quitter(t)
	for i := range 3 {
		sent, err := sendOrder(upstream, func() error { return nil })
		is.True(err != nil)
		is.Equal(sent, server.SentMaybe)
		is.Equal(seen.Load(), int64(i+1)) // one connection with bytes for each call
	}
}

func TestGateStopsBeforeTheFirstByte(t *testing.T) {
	is := is.New(t)
	upstream, seen := quitter(t)
	sent, err := sendOrder(upstream, func() error { return server.ErrLate })
	is.True(errors.Is(err, server.ErrLate))
	is.Equal(sent, server.SentNo)
	time.Sleep(50 * time.Millisecond)
	is.Equal(seen.Load(), int64(0))
}

func TestRefusedConnectionIsProofOfUnsent(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(socket.Close())
	upstream := server.NewUpstream(server.Listing{ID: "u", Service: "gate", Address: socket.Addr().String()}, &server.Gauge{})
	sent, err := sendOrder(upstream, func() error { return nil })
	is.True(err != nil)
	is.Equal(sent, server.SentNo)
}
