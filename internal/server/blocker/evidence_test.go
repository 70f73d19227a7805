package blocker

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestPartIsConvictedOfItsCrashes(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.addCompletion("first", at(0))
	for i := range minCrashes {
		is.Equal(len(e.convict(at(10))), 0)
		e.addCrash(fmt.Sprint("r", i), []string{"first", "bad"}, at(1+float64(i)))
	}
	e.addCompletion("first", at(9))
	is.Equal(e.convict(at(10)), []string{"bad"})
	is.Equal(len(e.convict(at(10))), 0) // its crashes count against no other part
}

// TestCrashesOfOneMomentConvictNoServedPart guards against the block of a part that happened to
// be on many replicas that crashed together.
func TestCrashesOfOneMomentConvictNoServedPart(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.addCompletion("first", at(9))
	for i := range 20 {
		e.addCrash(fmt.Sprint("r", i), []string{"first"}, at(10))
	}
	is.Equal(len(e.convict(at(10.5))), 0)
}

// TestRepeatedCrashesOfOneReplicaCountOnce guards against the block of parts whose requests one
// faulty replica breaks off.
func TestRepeatedCrashesOfOneReplicaCountOnce(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 20 {
		e.addCrash("r1", []string{"a"}, at(float64(i)))
	}
	is.Equal(len(e.convict(at(20))), 0)
}

// TestCompanionsOfACrashingPartAreNotConvicted guards against the block of parts that only ran
// beside, or together with, the part that crashes replicas.
func TestCompanionsOfACrashingPartAreNotConvicted(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.addCompletion("seen", at(0)) // with as many crashes, but completed once
	for i := range minCrashes + 1 {
		r := fmt.Sprint("r", i)
		e.addCrash(r, []string{"seen", "bad"}, at(5+float64(i)))
		if i > 0 {
			e.addCrash(r, []string{"beside"}, at(5+float64(i)))
		}
	}
	is.Equal(e.convict(at(20)), []string{"bad"})
	e.addCrash("r9", []string{"beside"}, at(21))
	is.Equal(len(e.convict(at(21))), 0)
}

func TestCompletionsAndAgeEndTheSuspicion(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range minCrashes {
		e.addCrash(fmt.Sprint("r", i), []string{"a"}, at(float64(i)))
	}
	is.Equal(e.suspects(at(10)), []string{"a"})
	is.Equal(len(e.suspects(at(10).Add(crashMaxAge))), 0)
	e.addCompletion("a", at(4))
	is.Equal(len(e.suspects(at(10))), 0)
}

// TestEvidenceUsesBoundedMemory guards against clients that send many parts.
func TestEvidenceUsesBoundedMemory(t *testing.T) {
	is := is.New(t)
	e, b := newEvidence(), make(blocks)
	for i := range 3 * maxCompletions {
		part := fmt.Sprint("p", i)
		e.addCrash(fmt.Sprint("r", i), []string{part, "all"}, at(float64(i)))
		e.addCompletion(part, at(float64(i)))
		b.set(part, b.next(part, start, at(float64(i))), at(float64(i)))
	}
	is.True(len(e.crashes) <= maxSuspects)
	is.Equal(len(e.crashes["all"]), maxCrashesPerPart)
	is.True(len(e.completions.newer)+len(e.completions.older) <= 2*maxCompletions)
	is.True(len(b) <= maxBlocks)
	long := make([]string, 3*maxParts)
	for i := range long {
		long[i] = fmt.Sprintf("%01000d", i)
	}
	keys := partKeys(long)
	is.Equal(len(keys), maxParts)
	is.True(len(keys[0]) <= maxPartBytes)
	is.True(keys[0] != keys[1])
}

func TestBlocksEndAndGrow(t *testing.T) {
	is := is.New(t)
	b := make(blocks)
	is.True(b.set("a", b.next("a", start, at(0)), at(0)))
	is.True(!b.set("a", b["a"], at(1))) // known
	_, ok := b.isBlocked("a", at(1))
	is.True(ok)
	end := at(0).Add(blockDuration)
	_, ok = b.isBlocked("a", end)
	is.True(!ok)
	is.True(b.isOnProbation("a", end))
	is.True(b.set("a", b.next("a", end, end), end))
	_, ok = b.isBlocked("a", end.Add(2*blockDuration-time.Second))
	is.True(ok)
	b.dropExpired(end.Add(2*blockDuration + probation))
	is.Equal(len(b), 0)
}
