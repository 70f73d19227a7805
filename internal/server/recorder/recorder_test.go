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

// output is an output that a test may look at while it is written.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(data)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func TestLinesComeInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		var out output
		r := recorder.New(&out, timer)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := r.Write([]byte(line))
			is.NoErr(err)
		}
		is.Equal(out.String(), "") // nothing on the hot path
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(out.String(), "a\nb\nc\n")
	})
}

// blocked is an output that takes nothing.
type blocked struct{ free chan struct{} }

func (b blocked) Write(data []byte) (int, error) {
	<-b.free
	return len(data), nil
}

func TestABlockedOutputHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		b := blocked{free: make(chan struct{})}
		r := recorder.New(b, timer)
		line := []byte(strings.Repeat("x", 999) + "\n")
		for range 20000 {
			_, err := r.Write(line)
			is.NoErr(err)
			time.Sleep(time.Millisecond)
		}
		lines, bytes, dropped := r.Counts()
		is.Equal(lines+dropped, uint64(20000))
		is.True(dropped > 0 && bytes < 6<<20) // 20 s of 256 KiB, and a burst
		close(b.free)
	})
}

func TestDroppedLinesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		var out output
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
