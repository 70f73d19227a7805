package limiter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
)

// TestConcurrencyLimitHoldsForSparseRequests acquires slots with long intervals on
// alternating instances and holds them for minutes, so that each is renewed many
// times.
func TestConcurrencyLimitHoldsForSparseRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		defer f.stop()
		var releases []func(map[string]server.Cost)
		for i := range 45 {
			if release, err := f.acquire(i % 3); err == nil {
				releases = append(releases, release)
			}
			time.Sleep(4 * time.Second)
			is.True(len(releases) <= 10)
		}
		is.Equal(len(releases), 10) // exactly the limit
		for _, release := range releases {
			release(nil)
		}
		time.Sleep(time.Second) // long enough to return the slots, too short for them to expire
		for i := range 10 {
			_, err := f.acquire(i % 3)
			is.NoErr(err)
			time.Sleep(250 * time.Millisecond)
		}
	})
}
