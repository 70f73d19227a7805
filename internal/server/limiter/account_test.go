package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestALearningOwnerSaysNothingOfTheLimit has an owner that learns answer, and a
// moment later one that knows: what the first did not hand out is not short.
func TestALearningOwnerSaysNothingOfTheLimit(t *testing.T) {
	is := is.New(t)
	limits, third := terms{rate: 1000, slots: 100}, part{rank: 0, count: 3}
	now := time.Unix(1000, 0)
	a := &account{key: "w", countFrom: now, last: now}
	a.arrive(now)
	outcome, _ := a.take(now, limits, third, true)
	is.Equal(outcome, asks)
	a.ask(now, 1, true)
	a.granted(now, 1, given{learning: true, wait: aheadTime})
	outcome, _ = a.take(now, limits, third, true)
	is.Equal(outcome, taken) // of its own share
	now = now.Add(aheadTime / 2)
	a.ask(now, 2, true)
	a.granted(now, 2, given{tokens: 1, slots: a.inUse + 1})
	outcome, _ = a.take(now, limits, third, true)
	is.Equal(outcome, taken)
	outcome, _ = a.take(now, limits, third, true)
	is.Equal(outcome, asks) // nobody has said that the limit is reached
}
