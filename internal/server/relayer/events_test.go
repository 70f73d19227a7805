package relayer

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sample = "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

func TestWholeEventsWhereverBytesAreSplit(t *testing.T) {
	is := is.New(t)
	for size := 1; size <= len(sample); size++ {
		var e events
		var got strings.Builder
		for at := 0; at < len(sample); at += size {
			whole, _ := e.take([]byte(sample[at:min(at+size, len(sample))]))
			is.True(strings.HasSuffix(got.String()+string(whole), "\n\n") || len(whole) == 0)
			got.Write(whole)
		}
		is.Equal(got.String(), sample)
		is.Equal(e.last, "3")
		is.Equal(len(e.rest()), 0)
	}
}

func TestResumptionSkipsWhatTheClientHas(t *testing.T) {
	is := is.New(t)
	var e events
	whole, n := e.take([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	is.Equal(string(whole), "id: 1\ndata: a\n\n")
	is.Equal(n, 1)
	e.resume()
	whole, n = e.take([]byte(sample))
	is.Equal(string(whole), sample[strings.Index(sample, "version"):])
	is.Equal(n, 2)
}

// FuzzEvents holds that whole events are a prefix of the stream, however it is split.
func FuzzEvents(f *testing.F) {
	f.Add(sample, 3)
	f.Add("data: x\r\n\r\ndata: y\n\r\n", 2)
	f.Fuzz(func(t *testing.T, text string, size int) {
		if size < 1 {
			return
		}
		var e events
		var got []byte
		for at := 0; at < len(text); at += size {
			whole, _ := e.take([]byte(text[at:min(at+size, len(text))]))
			got = append(got, whole...)
		}
		if e.skip == 0 && !strings.Contains(text, "id:") && string(got)+string(e.rest()) != text {
			t.Fatalf("%q became %q and %q", text, got, e.rest())
		}
	})
}
