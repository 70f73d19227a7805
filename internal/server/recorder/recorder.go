// Package recorder writes log lines without ever holding up who logs: lines go
// through a bounded queue, and what does not fit is counted and told.
package recorder

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// queueBytes bounds the lines that wait to be written.
	queueBytes = 1 << 20
	// flushWait gathers lines before a write; a line is at most this late.
	flushWait = 100 * time.Millisecond
	// bytesPerSecond bounds the volume; burstBytes may come at once.
	bytesPerSecond = 256 << 10
	burstBytes     = 512 << 10
)

// Recorder is an io.Writer of whole lines.
type Recorder struct {
	out     io.Writer
	timer   server.Timer
	mu      sync.Mutex
	pending []byte
	credit  float64
	at      time.Time
	// armed is set while a flush is due or at work, so that a blocked output
	// holds at most one goroutine.
	armed   bool
	lines   atomic.Uint64
	bytes   atomic.Uint64
	dropped atomic.Uint64
	told    uint64
}

// New returns a Recorder that writes to out.
func New(out io.Writer, timer server.Timer) *Recorder {
	return &Recorder{out: out, timer: timer, credit: burstBytes, at: timer.Now()}
}

// Write implements io.Writer. It never waits and never fails.
func (r *Recorder) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	r.credit = min(r.credit+now.Sub(r.at).Seconds()*bytesPerSecond, burstBytes)
	r.at = now
	if len(r.pending)+len(line) > queueBytes || r.credit < float64(len(line)) {
		r.dropped.Add(1)
		return len(line), nil
	}
	r.credit -= float64(len(line))
	r.pending = append(r.pending, line...)
	r.lines.Add(1)
	r.bytes.Add(uint64(len(line)))
	r.arm()
	return len(line), nil
}

// arm has what is pending written after a while; mu is held.
func (r *Recorder) arm() {
	if !r.armed {
		r.armed = true
		r.timer.After(flushWait, func(time.Time) { go r.flush() })
	}
}

func (r *Recorder) flush() {
	r.Flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.armed = false; len(r.pending) > 0 {
		r.arm()
	}
}

// Flush writes what is pending.
func (r *Recorder) Flush() {
	r.mu.Lock()
	pending := r.pending
	r.pending = nil
	if dropped := r.dropped.Load(); dropped > r.told {
		pending = fmt.Appendf(pending, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n",
			r.timer.Now().Format(time.RFC3339Nano), dropped-r.told)
		r.told = dropped
	}
	r.mu.Unlock()
	if len(pending) > 0 {
		// Standard output has no other place to report its own failure to.
		_, _ = r.out.Write(pending)
	}
}

// Counts returns the lines and bytes taken and the lines dropped so far.
func (r *Recorder) Counts() (lines, bytes, dropped uint64) {
	return r.lines.Load(), r.bytes.Load(), r.dropped.Load()
}
