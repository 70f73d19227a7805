package relayer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
)

// TestOnlyAClientThatWaitedIsTakenAsOne holds that clients that merely state
// different times are not taken as ones that came back.
func TestOnlyAClientThatWaitedIsTakenAsOne(t *testing.T) {
	is := is.New(t)
	p := patience{longest: make(map[string]time.Duration)}
	is.Equal(p.elapsed("r", 8*time.Second), time.Duration(0))
	is.Equal(p.elapsed("r", 7*time.Second), time.Duration(0))
	is.Equal(p.elapsed("r", 5800*time.Millisecond), time.Second)
	is.Equal(p.elapsed("r", 0), time.Duration(0)) // states none
	is.Equal(p.elapsed("other", time.Second), time.Duration(0))
}

func TestFirstEventIsAwaitedForTheLongestOfThree(t *testing.T) {
	is := is.New(t)
	is.Equal(firstEvent(&server.Route{Goal: 300 * time.Millisecond, Gap: 100 * time.Millisecond}), 2*time.Second)
	is.Equal(firstEvent(&server.Route{Goal: 1700 * time.Millisecond, Gap: 400 * time.Millisecond}), 6800*time.Millisecond)
	is.Equal(firstEvent(&server.Route{Goal: 300 * time.Millisecond, Gap: 400 * time.Millisecond}), 3200*time.Millisecond)
}
