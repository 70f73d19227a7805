package exchanger_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/dialer"
	"oriolemill.example/oriolemill/internal/server/exchanger"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// lateConn is a connection whose writes return late.
type lateConn struct{ *net.TCPConn }

func (c lateConn) Write(data []byte) (int, error) {
	n, err := c.TCPConn.Write(data)
	time.Sleep(5 * time.Millisecond)
	return n, err
}

// TestConnectionIsKeptIfTheSenderReturnsLate guards against connections that are closed after a complete
// exchange because the response was read before the goroutine that sent the request returned.
func TestConnectionIsKeptIfTheSenderReturnsLate(t *testing.T) {
	is := is.New(t)
	replica := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer replica.Close()
	timer := ticker.New()
	defer timer.Close()
	d := dialer.New(timer, dialer.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return lateConn{conn.(*net.TCPConn)}, nil
	}))
	defer d.Close()
	x := exchanger.New(d, fakeCodec{})
	for range 5 {
		is.NoErr(x.ReleaseResults(t.Context(), &server.Replica{ID: "i-1", Address: replica.Listener.Addr().String()}, []string{"a"}))
	}
	opened, reused := d.Counts()
	is.Equal(opened, uint64(1))
	is.Equal(reused, uint64(4))
}
