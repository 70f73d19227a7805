package blocker

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAttemptsAfterACrashDoNotCount guards against the block of a request that was tried at replicas which had
// crashed before, behind something that accepts connections for them and closes them.
func TestAttemptsAfterACrashDoNotCount(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	is.True(e.recordEnding("r1", at(0.5), at(1)))    // the crash
	is.True(e.recordEnding("r1", at(0.9), at(1.3)))  // began before it
	is.True(!e.recordEnding("r1", at(1.1), at(1.2))) // began after it
	// Attempts of other instances, whose reports take a while:
	is.True(e.recordEnding("r1", time.Time{}, at(1.04)))
	is.True(!e.recordEnding("r1", time.Time{}, at(1.2)))
	is.True(e.recordEnding("r2", at(1.1), at(1.2))) // of another incarnation
}

// TestCrashAfterABrokenConnectionCounts guards against crashes that are not noticed because a connection to the
// replica broke before, for another reason.
func TestCrashAfterABrokenConnectionCounts(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	is.True(e.recordEnding("r1", at(0), at(1)))
	e.endings.recordServing("r1", at(0.5)) // may have been sent before
	is.True(!e.recordEnding("r1", at(1.5), at(1.6)))
	e.endings.recordServing("r1", at(1.6))
	is.True(e.recordEnding("r1", at(1.7), at(1.8)))
	is.True(!e.recordEnding("r1", at(1.9), at(2)))
	is.True(e.recordEnding("r1", at(3.9), at(4))) // long after the last one
}

// TestEndingsUseBoundedMemory guards against memory that grows with the number of incarnations.
func TestEndingsUseBoundedMemory(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 10 * maxEndings {
		e.recordEnding(fmt.Sprint(i), at(0), at(1))
		is.True(len(e.endings) <= maxEndings)
	}
}
