package recorder_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server/recorder"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// safeBuffer is an output that may be read while it is written.
type safeBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *safeBuffer) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(data)
}

func (o *safeBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		var out safeBuffer
		r := recorder.New(&out, timer)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := r.Write([]byte(line))
			is.NoErr(err)
		}
		is.Equal(out.String(), "") // Write itself writes nothing to the output
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(out.String(), "a\nb\nc\n")
	})
}

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (b blockedWriter) Write(data []byte) (int, error) {
	<-b.unblock
	return len(data), nil
}

func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		b := blockedWriter{unblock: make(chan struct{})}
		r := recorder.New(b, timer)
		line := []byte(strings.Repeat("x", 999) + "\n")
		for range 20000 {
			_, err := r.Write(line)
			is.NoErr(err)
			time.Sleep(time.Millisecond)
		}
		lines, acceptedBytes, dropped := r.Counts()
		is.Equal(lines+dropped, uint64(20000))
		is.True(dropped > 0 && acceptedBytes < 6<<20) // 20 s of 256 KiB, and a burst
		close(b.unblock)
	})
}

func TestNumberOfDroppedLinesIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		var out safeBuffer
		r := recorder.New(&out, timer)
		line := []byte(strings.Repeat("x", 1<<16) + "\n")
		for range 100 {
			_, _ = r.Write(line)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		_, _, dropped := r.Counts()
		is.True(dropped > 0)
		is.True(strings.Contains(out.String(), `"msg":"log lines dropped"`))
	})
}
