package retrier

import (
	"math/rand/v2"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// immediateAttempts is the number of attempts: the first and three retries.
const immediateAttempts = 4

// Blind retries up to three times without delay, budget or hedges. It implements
// server.Retrier and is the baseline of measurements.
type Blind struct{}

// NewBlind returns a Blind retrier.
func NewBlind() *Blind { return &Blind{} }

// Retry implements server.Retrier.
func (b *Blind) Retry(attempted *server.Attempted, _ time.Time, _ *rand.Rand) (time.Duration, bool) {
	return 0, attempted.Count < immediateAttempts && (attempted.Repeatable || attempted.Sent == server.SentNo)
}

// Hedge implements server.Retrier.
func (b *Blind) Hedge(string, string, int, time.Time) (time.Duration, bool) { return 0, false }

// Spend implements server.Retrier.
func (b *Blind) Spend(string, time.Time) bool { return false }
