package relayer

import (
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// unreadLogInterval bounds the rate of log lines about responses that are not read.
const unreadLogInterval = 10 * time.Second

// unreadResponses counts the responses that were given up since their clients did not read them.
type unreadResponses struct {
	count    atomic.Uint64
	mu       sync.Mutex
	loggedAt time.Time
}

// record counts a response and reports whether a line is to be logged.
func (u *unreadResponses) record(now time.Time) bool {
	u.count.Add(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.loggedAt) < unreadLogInterval {
		return false
	}
	u.loggedAt = now
	return true
}

// recordWrite counts the response if a write was blocked for WriteTimeout. The accountant counts those that it terminates.
func (f *relayedRequest) recordWrite(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && !f.account.IsTerminated() && f.unread.record(f.Timer.Now()) {
		f.Log.Info("responses are given up since their clients do not read them", "timeout_ms", f.WriteTimeout.Milliseconds(), "responses", f.unread.count.Load())
	}
}
