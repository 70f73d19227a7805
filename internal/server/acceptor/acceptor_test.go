package acceptor_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server/acceptor"
)

// TestShutdownImmediatelyAfterStart guards against an HTTP server that continues to
// serve: hertz ignores a shutdown that comes before it accepts connections.
func TestShutdownImmediatelyAfterStart(t *testing.T) {
	is := is.New(t)
	for range 20 {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		a := acceptor.New(socket)
		is.NoErr(a.Start())
		is.NoErr(a.Shutdown(context.Background()))
		_, err = net.DialTimeout("tcp", socket.Addr().String(), time.Second)
		is.True(err != nil) // connections are no longer accepted
	}
}
