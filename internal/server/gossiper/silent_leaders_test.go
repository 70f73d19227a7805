package gossiper_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestChangesAreKnownInTimeWhenLeadersLoseTheStoreSilently guards against instances that rely on
// leaders whose calls to the store hang, for longer than a change may take to be known.
func TestChangesAreKnownInTimeWhenLeadersLoseTheStoreSilently(t *testing.T) {
	for step := range 10 {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(40, "i-0", "i-1", "i-2", "i-3", "i-4")
				defer f.stop()
				s := newFakeStore()
				f.watchStore(s)
				time.Sleep(30*time.Second + time.Duration(step)*200*time.Millisecond)
				s.setUnavailable(f.leaders, true)
				time.Sleep(10 * time.Millisecond)
				s.write("row", "new", false)
				time.Sleep(maxPlanDelay)
				is.True(f.countWithRow("row", "new") >= 35) // all but the leaders
				s.setUnavailable(f.leaders, false)
			})
		})
	}
}

// TestOnlyLeadersCallAQuietStore guards against instances that stop to rely on leaders between two
// responses of the store, and then call it themselves.
func TestOnlyLeadersCallAQuietStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(85, "i-0", "i-1", "i-2", "i-3", "i-4")
		defer f.stop()
		s := newFakeStore()
		f.watchStore(s)
		time.Sleep(30 * time.Second)
		s.write("row", "new", false) // all watches end at once, and stay in phase
		time.Sleep(time.Second)
		before := s.callCount()
		time.Sleep(20 * time.Second)
		// Five leaders watch three tables: one call every 2 s.
		is.True(s.callCount()-before <= 5*3*(10+1))
	})
}
