// Package recorder writes log lines without ever blocking the code that logs: lines go
// through a bounded buffer. Lines that do not fit are dropped, and their number is logged.
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
	// maxPendingBytes bounds the lines that wait for the next write.
	maxPendingBytes = 1 << 20
	// flushDelay is how long lines are collected before they are written; a line is at most
	// this late unless the output blocks.
	flushDelay = 100 * time.Millisecond
	// maxWriteBytes bounds one write to the output, which may be a pipe with a small buffer.
	maxWriteBytes = 16 << 10
	// maxBytesPerSecond bounds the average volume; maxBurstBytes may be logged at once.
	maxBytesPerSecond = 256 << 10
	maxBurstBytes     = 512 << 10
)

// Recorder is an io.Writer for log lines; each Write is one complete line. It is safe for
// concurrent use.
type Recorder struct {
	out     io.Writer
	timer   server.Timer
	mu      sync.Mutex
	pending []byte
	// creditBytes is how much may be logged at once, as of creditAt.
	creditBytes float64
	creditAt    time.Time
	// flushScheduled is set while a flush is scheduled or in progress, so that a blocked
	// output blocks at most one goroutine.
	flushScheduled bool
	acceptedLines  atomic.Uint64
	acceptedBytes  atomic.Uint64
	droppedLines   atomic.Uint64
	// reportedDrops is how many of the dropped lines have been logged.
	reportedDrops uint64
}

// New returns a Recorder that writes to out.
func New(out io.Writer, timer server.Timer) *Recorder {
	return &Recorder{out: out, timer: timer, creditBytes: maxBurstBytes, creditAt: timer.Now()}
}

// Write implements io.Writer. It never blocks and never fails; a line beyond the limits is
// dropped.
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

// scheduleFlush schedules a write of the pending lines unless one is scheduled. The caller
// holds mu.
func (r *Recorder) scheduleFlush() {
	if !r.flushScheduled {
		r.flushScheduled = true
		r.timer.After(flushDelay, func(time.Time) { go r.runScheduledFlush() })
	}
}

// runScheduledFlush writes the pending lines and schedules the next write if new ones have been
// logged since.
func (r *Recorder) runScheduledFlush() {
	r.Flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.flushScheduled = false; len(r.pending) > 0 {
		r.scheduleFlush()
	}
}

// Flush writes the pending lines, and a line with the number of those dropped since the last
// time. It waits for the output.
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
	for len(pending) > 0 {
		part := pending[:min(len(pending), maxWriteBytes)]
		pending = pending[len(part):]
		// There is no other place to report a failure of the log output.
		_, _ = r.out.Write(part)
	}
}

// Counts returns the numbers of accepted lines, accepted bytes and dropped lines.
func (r *Recorder) Counts() (lines, bytes, dropped uint64) {
	return r.acceptedLines.Load(), r.acceptedBytes.Load(), r.droppedLines.Load()
}
