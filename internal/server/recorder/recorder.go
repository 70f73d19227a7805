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
	// maxPendingBytes bounds the lines that wait to be written.
	maxPendingBytes = 1 << 20
	// flushDelay gathers lines before a write; a line is at most this late.
	flushDelay = 100 * time.Millisecond
	// maxBytesPerSecond bounds the volume; maxBurstBytes may come at once.
	maxBytesPerSecond = 256 << 10
	maxBurstBytes     = 512 << 10
)

// Recorder is an io.Writer of whole lines.
type Recorder struct {
	out         io.Writer
	timer       server.Timer
	mu          sync.Mutex
	pending     []byte
	creditBytes float64
	creditAt    time.Time
	// flushScheduled is set while a flush is due or at work, so that a blocked output
	// holds at most one goroutine.
	flushScheduled bool
	acceptedLines  atomic.Uint64
	acceptedBytes  atomic.Uint64
	droppedLines   atomic.Uint64
	reportedDrops  uint64
}

// New returns a Recorder that writes to out.
func New(out io.Writer, timer server.Timer) *Recorder {
	return &Recorder{out: out, timer: timer, creditBytes: maxBurstBytes, creditAt: timer.Now()}
}

// Write implements io.Writer. It never waits and never fails.
func (r *Recorder) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	r.creditBytes = min(r.creditBytes+now.Sub(r.creditAt).Seconds()*maxBytesPerSecond, maxBurstBytes)
	r.creditAt = now
	if len(r.pending)+len(line) > maxPendingBytes || r.creditBytes < float64(len(line)) {
		r.droppedLines.Add(1)
		return len(line), nil
	}
	r.creditBytes -= float64(len(line))
	r.pending = append(r.pending, line...)
	r.acceptedLines.Add(1)
	r.acceptedBytes.Add(uint64(len(line)))
	r.scheduleFlush()
	return len(line), nil
}

// scheduleFlush has what is pending written after a while; mu is held.
func (r *Recorder) scheduleFlush() {
	if !r.flushScheduled {
		r.flushScheduled = true
		r.timer.After(flushDelay, func(time.Time) { go r.scheduledFlush() })
	}
}

func (r *Recorder) scheduledFlush() {
	r.Flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.flushScheduled = false; len(r.pending) > 0 {
		r.scheduleFlush()
	}
}

// Flush writes what is pending.
func (r *Recorder) Flush() {
	r.mu.Lock()
	pending := r.pending
	r.pending = nil
	if dropped := r.droppedLines.Load(); dropped > r.reportedDrops {
		pending = fmt.Appendf(pending, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n",
			r.timer.Now().Format(time.RFC3339Nano), dropped-r.reportedDrops)
		r.reportedDrops = dropped
	}
	r.mu.Unlock()
	if len(pending) > 0 {
		// Standard output has no other place to report its own failure to.
		_, _ = r.out.Write(pending)
	}
}

// Counts returns the lines and bytes taken and the lines dropped so far.
func (r *Recorder) Counts() (lines, bytes, dropped uint64) {
	return r.acceptedLines.Load(), r.acceptedBytes.Load(), r.droppedLines.Load()
}
