package gossiper_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// maxSmallPlanDelay is how late a change may be known on small deployments.
	maxSmallPlanDelay = 2 * time.Second
	// settleTime is how long after an outage of the store the promises hold again.
	settleTime = 3 * time.Second
)

// TestChangesAreKnownInTimeWhenWatchesOutliveAnOutage guards against instances that wait for watches
// which an outage has interrupted, while the store serves new calls.
func TestChangesAreKnownInTimeWhenWatchesOutliveAnOutage(t *testing.T) {
	for _, count := range []int{1, 3, 7, 9, 16} {
		for _, isSilent := range []bool{false, true} {
			for _, isRestored := range []bool{false, true} {
				t.Run(fmt.Sprint(count, isSilent, isRestored), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runInterruption(t, count, isSilent, isRestored) })
				})
			}
		}
	}
}

func runInterruption(t *testing.T, count int, isSilent, isRestored bool) {
	is := is.New(t)
	f := newFleet(count)
	defer f.stop()
	s := newFakeStore()
	f.watchStore(s)
	time.Sleep(10 * time.Second)
	s.write("row", "older", false)
	time.Sleep(500 * time.Millisecond)
	s.interrupt(isSilent)
	if isRestored {
		s.restore(s.version - 1)
	}
	time.Sleep(settleTime)
	s.write("row", "new", false)
	time.Sleep(maxSmallPlanDelay)
	is.Equal(f.countWithRow("row", "new"), count)
}
