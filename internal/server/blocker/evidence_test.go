package blocker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

const testService = "engine"

// complete records that requests with other parts are completed.
func complete(e *evidence, at time.Time) { e.addCompletion(serviceKey(testService), at) }

// convicted returns the names of the parts that are convicted if all suspects were queried.
func convicted(e *evidence, now time.Time) []string {
	var parts []string
	for _, c := range e.convict(e.suspects(now), now, now) {
		parts = append(parts, c.part)
	}
	return parts
}

func TestPartIsConvictedOfItsCrashes(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.addCompletion("first", at(0))
	for i := range minCrashes {
		is.Equal(len(convicted(e, at(10))), 0)
		e.addCrash(testService, fmt.Sprint("r", i), nil, []string{"first", "bad"}, at(1+float64(i)))
	}
	is.Equal(len(convicted(e, at(8))), 0) // no other request was completed since
	e.addCompletion("first", at(9))
	complete(e, at(9))
	is.Equal(convicted(e, at(10)), []string{"bad"})
	is.Equal(len(convicted(e, at(10))), 0) // its crashes count against no other part
}

// TestCrashesOfOneMomentConvictNoServedPart guards against the block of a part that happened to
// be on many replicas that crashed together.
func TestCrashesOfOneMomentConvictNoServedPart(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.addCompletion("first", at(9))
	for i := range 20 {
		e.addCrash(testService, fmt.Sprint("r", i), nil, []string{"first"}, at(10))
	}
	is.Equal(len(convicted(e, at(10.5))), 0)
}

// TestRepeatedCrashesOfOneReplicaCountOnce guards against the block of parts whose requests one
// faulty replica breaks off.
func TestRepeatedCrashesOfOneReplicaCountOnce(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 20 {
		e.addCrash(testService, "r1", nil, []string{"a"}, at(float64(i)))
	}
	is.Equal(len(convicted(e, at(20))), 0)
}

// TestCompanionsOfACrashingPartAreNotConvicted guards against the block of parts that only ran
// beside, or together with, the part that crashes replicas.
func TestCompanionsOfACrashingPartAreNotConvicted(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.addCompletion("seen", at(0)) // with as many crashes, but completed once
	for i := range minCrashes + 1 {
		r := fmt.Sprint("r", i)
		e.addCrash(testService, r, nil, []string{"seen", "bad"}, at(5+float64(i)))
		if i > 0 {
			e.addCrash(testService, r, nil, []string{"beside"}, at(5+float64(i)))
		}
	}
	complete(e, at(19))
	is.Equal(convicted(e, at(20)), []string{"bad"})
	e.addCrash(testService, "r9", nil, []string{"beside"}, at(21))
	is.Equal(len(convicted(e, at(21))), 0)
}

func TestCompletionsAndAgeEndTheSuspicion(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range minCrashes {
		e.addCrash(testService, fmt.Sprint("r", i), nil, []string{"a"}, at(float64(i)))
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
		e.addCrash(testService, fmt.Sprint("r", i), nil, []string{part, "all"}, at(float64(i)))
		e.addCompletion(part, at(float64(i)))
		b.set(part, b.next(part, start, at(float64(i))))
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

// TestPartOfAllRequestsIsNotConvictedInAnOutage guards against the block of a part that all requests
// have, while their service completes none of them.
func TestPartOfAllRequestsIsNotConvictedInAnOutage(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.addCompletion("first", at(0))
	complete(e, at(0))
	e.addCompletion(serviceKey("another"), at(50))
	for i := range 2 * minCrashes {
		e.addCrash(testService, fmt.Sprint("r", i), nil, []string{"first", "bad"}, at(5+float64(i)))
	}
	is.Equal(len(convicted(e, at(50))), 0)
	e.addCompletion("first", at(51)) // the service is back
	complete(e, at(51))
	is.Equal(convicted(e, at(52)), []string{"bad"})
}

// TestUnqueriedPartIsNotConvicted guards against the block of a part that became suspected after
// the other instances were asked.
func TestUnqueriedPartIsNotConvicted(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range minCrashes {
		e.addCrash(testService, fmt.Sprint("r", i), nil, []string{"a"}, at(float64(i)))
	}
	complete(e, at(4))
	is.Equal(len(e.convict([]string{"b"}, at(5), at(5))), 0)
	found := e.convict([]string{"a"}, at(5), at(5))
	is.Equal(found, []conviction{{part: "a", since: at(0)}})
}

func TestBlocksEndAndGrow(t *testing.T) {
	is := is.New(t)
	b := make(blocks)
	is.True(b.set("a", b.next("a", start, at(0))))
	late := b["a"]
	late.until = late.until.Add(time.Second)
	is.True(!b.set("a", late)) // known, and longer by the time on the way
	is.Equal(b["a"].until, at(0).Add(blockDuration))
	_, ok := b.isBlocked("a", at(1))
	is.True(ok)
	end := at(0).Add(blockDuration)
	_, ok = b.isBlocked("a", end)
	is.True(!ok)
	is.True(b.isOnProbation("a", end))
	is.True(b.set("a", b.next("a", end, end)))
	_, ok = b.isBlocked("a", end.Add(2*blockDuration-time.Second))
	is.True(ok)
	b.dropExpired(end.Add(2*blockDuration + probation))
	is.Equal(len(b), 0)
}

// TestLongestMessagesFitAFrame guards against blocks, reports and queries that cannot be sent.
func TestLongestMessagesFitAFrame(t *testing.T) {
	is := is.New(t)
	part := strings.Repeat("x", maxPartBytes)
	message := &encoder.PromptParts{Incarnation: part}
	for range maxBlocks {
		message.Blocks = append(message.Blocks, encodeBlock(part, block{until: at(1e9), times: 100}, at(0)))
	}
	is.True(proto.Size(message) < encoder.MaxFrameBytes)
	message.Blocks = nil
	for range maxParts {
		message.CrashedParts, message.QueriedParts = append(message.CrashedParts, part), append(message.QueriedParts, part)
		message.Completions = append(message.Completions, &encoder.PartCompletion{Part: part, AgeMs: 1 << 30})
	}
	is.True(proto.Size(message) < encoder.MaxFrameBytes)
}
