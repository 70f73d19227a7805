package retrier

import (
	"math/rand/v2"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// immediateAttempts is the number of attempts: the first and three retries.
const immediateAttempts = 4

// Immediate retries up to three times without delay, budget or hedges. It implements
// server.Retrier and is the baseline of measurements.
type Immediate struct{}

// NewImmediate returns an Immediate retrier.
func NewImmediate() *Immediate { return &Immediate{} }

// Retry implements server.Retrier.
func (b *Immediate) Retry(history *server.AttemptHistory, _ time.Time, _ *rand.Rand) (time.Duration, bool) {
	return 0, history.Count < immediateAttempts && (history.IsRepeatable || history.SendState == server.SendStateUnsent)
}

// Hedge implements server.Retrier. It never hedges.
func (b *Immediate) Hedge(string, string, int, time.Time) (time.Duration, bool) { return 0, false }

// AcquireRetry implements server.Retrier. There is no budget for additional attempts.
func (b *Immediate) AcquireRetry(string, time.Time) bool { return false }
