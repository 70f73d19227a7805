package storer_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/storer"
	"oriolemill.example/oriolemill/internal/standin"
)

// TestUnframedObjectIsNotRead guards against a part of an object that is taken for the whole,
// since the response ended with its connection.
func TestUnframedObjectIsNotRead(t *testing.T) {
	is := is.New(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("object")) })
	framed := httptest.NewServer(handler)
	defer framed.Close()
	data, err := storer.New(framed.URL).GetObject(t.Context(), "name")
	is.NoErr(err)
	is.Equal(string(data), "object")
	unframed, err := standin.ListenUnframed("127.0.0.1:0", handler)
	is.NoErr(err)
	defer unframed.Close()
	unframed.BreakOffAfter(3)
	_, err = storer.New("http://"+unframed.Address()).GetObject(t.Context(), "name")
	is.True(err != nil)
}

// TestBrokenUnframedRowsAreAnError guards against rows that are missing, since the response
// ended with its connection.
func TestBrokenUnframedRowsAreAnError(t *testing.T) {
	is := is.New(t)
	const body = `{"rows":[{"key":{"table":"t","row":"a"},"version":1}]}`
	platform, err := standin.ListenUnframed("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	is.NoErr(err)
	defer platform.Close()
	s := storer.New("http://" + platform.Address())
	rows, err := s.Scan(t.Context(), "t", "", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	for cut := range len(body) {
		platform.BreakOffAfter(cut)
		_, err := s.Scan(t.Context(), "t", "", 10)
		is.True(err != nil) // broken off
	}
}

// TestResponseWithMalformedHeadIsAnError guards against rows that are read, and writes that count as done, though the
// head of the response is malformed.
func TestResponseWithMalformedHeadIsAnError(t *testing.T) {
	is := is.New(t)
	platform, err := standin.ListenUnframed("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	is.NoErr(err)
	defer platform.Close()
	s := storer.New("http://" + platform.Address())
	calls := map[string]func() error{
		"scan":   func() error { _, err := s.Scan(t.Context(), "t", "", 10); return err },
		"commit": func() error { _, err := s.Commit(t.Context(), nil); return err },
		"put":    func() error { return s.PutObject(t.Context(), "name", []byte("object")) },
	}
	for name, call := range calls {
		is.NoErr(call())
		platform.EachMalformedHead(func(head string) {
			err := call()
			if err == nil {
				t.Errorf("%s, %q: no error", name, head)
			}
			is.True(name == "scan" || errors.Is(err, server.ErrUncertain)) // the write may have been applied
		})
	}
}

// TestWriteIsUncertainAfterAnEarlyResponse guards against objects that count as stored though the connection was reset
// while they were sent.
func TestWriteIsUncertainAfterAnEarlyResponse(t *testing.T) {
	is := is.New(t)
	platform, err := standin.ListenEarly("127.0.0.1:0", "HTTP/1.1 200 OK\r\n\r\n")
	is.NoErr(err)
	defer platform.Close()
	s := storer.New("http://" + platform.Address())
	for range 10 {
		is.True(errors.Is(s.PutObject(t.Context(), "name", make([]byte, 16<<20)), server.ErrUncertain))
	}
}
