package relayer

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sample = "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

func TestEventSplitterIgnoresReadBoundaries(t *testing.T) {
	is := is.New(t)
	for size := 1; size <= len(sample); size++ {
		var e eventSplitter
		var got strings.Builder
		for at := 0; at < len(sample); at += size {
			complete, _ := e.add([]byte(sample[at:min(at+size, len(sample))]))
			is.True(strings.HasSuffix(got.String()+string(complete), "\n\n") || len(complete) == 0)
			got.Write(complete)
		}
		is.Equal(got.String(), sample)
		is.Equal(e.lastID, "3")
		is.Equal(len(e.remainder()), 0)
	}
}

func TestEventSplitterSkipsRepeatedEventsAfterResumption(t *testing.T) {
	is := is.New(t)
	var e eventSplitter
	complete, n := e.add([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	is.Equal(string(complete), "id: 1\ndata: a\n\n")
	is.Equal(n, 1)
	e.resume()
	complete, n = e.add([]byte(sample))
	is.Equal(string(complete), sample[strings.Index(sample, "version"):])
	is.Equal(n, 2)
}

// TestEventsMayEndWithCarriageReturns guards against whole streams that seem to end inside an
// event, since their lines end with a carriage return.
func TestEventsMayEndWithCarriageReturns(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		is := is.New(t)
		var e eventSplitter
		text := strings.ReplaceAll(sample, "\n", lineEnd)
		complete, n := e.add([]byte(text))
		is.Equal(n, 3)
		is.Equal(e.lastID, "3")
		is.Equal(string(complete)+string(e.remainder()), text)
		is.True(!e.isInsideEvent())
		e.add([]byte("id: 4" + lineEnd))
		is.True(e.isInsideEvent())
	}
}

// FuzzEvents checks that the complete events and the remainder are the whole stream, however
// it is split into reads.
func FuzzEvents(f *testing.F) {
	f.Add(sample, 3)
	f.Add("data: x\r\n\r\ndata: y\n\r\n", 2)
	f.Fuzz(func(t *testing.T, text string, size int) {
		if size < 1 {
			return
		}
		var e eventSplitter
		var got []byte
		for at := 0; at < len(text); at += size {
			complete, _ := e.add([]byte(text[at:min(at+size, len(text))]))
			got = append(got, complete...)
		}
		if e.skipThrough == 0 && !strings.Contains(text, "id:") && string(got)+string(e.remainder()) != text {
			t.Fatalf("the stream %q was split into the events %q and the remainder %q", text, got, e.remainder())
		}
	})
}
