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

// NewBlind returns an Immediate retrier.
func NewBlind() *Immediate { return &Immediate{} }

// Retry implements server.Retrier.
func (b *Immediate) Retry(history *server.Attempted, _ time.Time, _ *rand.Rand) (time.Duration, bool) {
	return 0, history.Count < immediateAttempts && (history.Repeatable || history.Sent == server.SentNo)
}

// Hedge implements server.Retrier. It never hedges.
func (b *Immediate) Hedge(string, string, int, time.Time) (time.Duration, bool) { return 0, false }

// Spend implements server.Retrier. There is no budget for additional attempts.
func (b *Immediate) Spend(string, time.Time) bool { return false }
