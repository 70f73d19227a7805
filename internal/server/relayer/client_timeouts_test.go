package relayer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
)

// TestWaitedBeforeIgnoresUsualDifferences checks that clients whose stated timeouts differ
// only as those of first attempts do are not taken for clients that waited before.
func TestWaitedBeforeIgnoresUsualDifferences(t *testing.T) {
	is := is.New(t)
	p := clientTimeouts{longest: make(map[string]time.Duration)}
	is.Equal(p.waitedBefore("r", 8*time.Second), time.Duration(0))
	is.Equal(p.waitedBefore("r", 7*time.Second), time.Duration(0))
	is.Equal(p.waitedBefore("r", 5800*time.Millisecond), time.Second)
	is.Equal(p.waitedBefore("r", 0), time.Duration(0)) // no timeout stated
	is.Equal(p.waitedBefore("other", time.Second), time.Duration(0))
}

func TestFirstEventTimeoutIsLongestOfMinimumGoalsAndGaps(t *testing.T) {
	is := is.New(t)
	is.Equal(firstEventTimeout(&server.Route{Goal: 300 * time.Millisecond, EventGap: 100 * time.Millisecond}), 2*time.Second)
	is.Equal(firstEventTimeout(&server.Route{Goal: 1700 * time.Millisecond, EventGap: 400 * time.Millisecond}), 6800*time.Millisecond)
	is.Equal(firstEventTimeout(&server.Route{Goal: 300 * time.Millisecond, EventGap: 400 * time.Millisecond}), 3200*time.Millisecond)
}

// TestResumedStreamIsDueAnew guards against refusals of streams that clients take up again, since the
// time before their first event, and of the part that they have, counted against the rest.
func TestResumedStreamIsDueAnew(t *testing.T) {
	is := is.New(t)
	is.Equal(timeToGoal(time.Second, 5*time.Second, true), time.Second)
	is.Equal(timeToGoal(time.Second, 5*time.Second, false), -4*time.Second)
}
