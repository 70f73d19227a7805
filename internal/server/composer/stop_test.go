package composer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are ended early in a short grace period because most of it is reserved for
// their responses.
func TestShortGracePeriodIsMostlyForRequests(t *testing.T) {
	for grace, expected := range map[time.Duration]time.Duration{
		0:                      0,
		500 * time.Millisecond: 0,
		time.Second:            400 * time.Millisecond,
		2 * time.Second:        1300 * time.Millisecond,
		8 * time.Second:        7300 * time.Millisecond,
	} {
		is.New(t).Equal(workTime(grace), expected)
	}
}
