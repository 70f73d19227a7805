package storer_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/storer"
	"oriolemill.example/oriolemill/internal/standin"
)

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	sentBytes *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.sentBytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// countingListener counts the bytes that a server sends.
type countingListener struct {
	net.Listener
	sentBytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, sentBytes: l.sentBytes}, err
}

// serveList serves a list. It returns a client and the number of bytes that the server
// sent.
func serveList(t testing.TB, list *standin.InstanceList) (*storer.Storer, *atomic.Int64) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	var sentBytes atomic.Int64
	table := standin.NewPlatform(1e6, 1e6, list)
	platform := &http.Server{Handler: table.Handler()}
	go func() { _ = platform.Serve(countingListener{Listener: socket, sentBytes: &sentBytes}) }()
	t.Cleanup(func() { _ = platform.Close() })
	return storer.New("http://" + socket.Addr().String()), &sentBytes
}

// addListings adds entries of live replicas to a list.
func addListings(list *standin.InstanceList, entries int) {
	for i := range entries {
		list.Put(server.Listing{
			ID: fmt.Sprintf("oriole-pool-%d", i), Service: "oriole-pool", Datacentre: fmt.Sprintf("dc-%02d", i%20),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i%6, i/250, i%250), Presence: server.PresenceLive,
		})
	}
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	list := standin.NewInstanceList(0)
	addListings(list, 200)
	client, sentBytes := serveList(t, list)
	first, err := client.List(t.Context())
	is.NoErr(err)
	is.Equal(len(first), 200)
	before := sentBytes.Load()
	second, err := client.List(t.Context())
	is.NoErr(err)
	is.Equal(second, first)
	is.True(sentBytes.Load()-before < 300) // response headers only, no body
	list.Remove("oriole-pool-7")
	changed, err := client.List(t.Context())
	is.NoErr(err)
	is.Equal(len(changed), 199)
}

// serveFixed serves one of two prepared lists, so that a benchmark measures only
// the client. If changes is set, it switches between them with each request.
func serveFixed(b *testing.B, entries int, changes bool) (*storer.Storer, *atomic.Int64) {
	b.Helper()
	var bodies [2][]byte
	for i := range bodies {
		list := standin.NewInstanceList(0)
		addListings(list, entries+i)
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.Header.Set("Accept-Encoding", "gzip")
		list.ServeHTTP(recorder, request)
		bodies[i] = recorder.Body.Bytes()
	}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(b).NoErr(err)
	var sentBytes atomic.Int64
	current := 0
	platform := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if changes {
			current = 1 - current
		}
		tag := strconv.Itoa(current)
		w.Header().Set("Etag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(bodies[current])
	})}
	go func() { _ = platform.Serve(countingListener{Listener: socket, sentBytes: &sentBytes}) }()
	b.Cleanup(func() { _ = platform.Close() })
	return storer.New("http://" + socket.Addr().String()), &sentBytes
}

// BenchmarkList measures the time and bytes of one read of a changed and of an
// unchanged list.
func BenchmarkList(b *testing.B) {
	for _, entries := range []int{250, 1000, 2490} {
		for _, changes := range []bool{true, false} {
			name := map[bool]string{true: "changed", false: "same"}[changes]
			b.Run(fmt.Sprintf("%s/%d", name, entries), func(b *testing.B) {
				client, sentBytes := serveFixed(b, entries, changes)
				listOnce(b, client)
				sentBytes.Store(0)
				for b.Loop() {
					listOnce(b, client)
				}
				b.ReportMetric(float64(sentBytes.Load())/float64(b.N), "wire-B/op")
			})
		}
	}
}

func listOnce(b *testing.B, client *storer.Storer) {
	b.Helper()
	if _, err := client.List(b.Context()); err != nil {
		b.Fatalf("list could not be read: %v", err)
	}
}
