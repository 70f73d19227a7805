package leaser

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
)

// simulation is one state of the exploration: two candidates, the row, and an
// engine that checks fencing numbers. Arrays are indexed by candidate.
type simulation struct {
	// clock is the time in seconds since the start.
	clock      int
	rowVersion uint64
	row        Record
	writeCount int
	candidates [2]candidate
	// isUnresolved reports that the response to the last write was lost.
	isUnresolved [2]bool
	// isRenewal reports that the last write was a renewal.
	isRenewal     [2]bool
	delayedWrites [2]delayedWrite
	// checkedFences are fencing numbers that were checked with HeldFence but not used
	// yet; zero for none.
	checkedFences [2]uint64
	// engineFence is the highest fencing number that the engine has accepted.
	engineFence uint64
	// lastFence is the fencing number of the last command that the engine accepted.
	lastFence uint64
}

func (s simulation) time() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s.clock) * time.Second)
}

// writeOutcome is the outcome of a write as the candidate sees it.
type writeOutcome uint8

const (
	outcomeConfirmed writeOutcome = iota
	outcomeResponseLost
	outcomeDelayed // the response is lost and the write may be applied at any later step
)

// delayedWrite is a write that has not been applied yet.
type delayedWrite struct {
	expectedVersion uint64
	record          Record
}

// applyDelayed applies the delayed write of candidate i.
func (s simulation) applyDelayed(i int) simulation {
	if s.delayedWrites[i].expectedVersion == s.rowVersion {
		s.rowVersion++
		s.row = s.delayedWrites[i].record
	}
	s.delayedWrites[i] = delayedWrite{}
	return s
}

// write makes a conditional write of candidate i.
func (s simulation) write(i int, isRenewal bool, outcome writeOutcome) simulation {
	c := &s.candidates[i]
	nonce := string(rune('0' + s.writeCount))
	s.writeCount++
	expectedVersion := c.version
	var record Record
	if isRenewal {
		record = c.renewalRecord(s.time(), nonce)
	} else {
		record = c.acquireRecord(s.time(), nonce)
	}
	s.isRenewal[i] = isRenewal
	if outcome == outcomeDelayed {
		s.delayedWrites[i] = delayedWrite{expectedVersion: expectedVersion, record: record}
		s.isUnresolved[i] = true
		return s
	}
	isApplied := expectedVersion == s.rowVersion
	if isApplied {
		s.rowVersion++
		s.row = record
	}
	switch {
	case outcome == outcomeResponseLost:
		s.isUnresolved[i] = true
	case isApplied:
		c.confirmPending(s.time(), s.rowVersion)
	case isRenewal:
		c.stepDown()
	}
	return s
}

// resolve reads the row back after the response to a write of candidate i was lost.
func (s simulation) resolve(i int) simulation {
	s.isUnresolved[i] = false
	c := &s.candidates[i]
	if !s.isRenewal[i] {
		c.resolveAcquisition(s.time(), s.rowVersion, s.row)
		return s
	}
	if errors.Is(c.resolveRenewal(s.time(), s.rowVersion, s.row), server.ErrConflict) {
		c.stepDown()
	}
	return s
}

// successors returns every state that is one step away.
func (s simulation) successors() []simulation {
	var steps []simulation
	if s.clock < 4 {
		afterTick := s
		afterTick.clock++
		steps = append(steps, afterTick)
	}
	for i := range s.candidates {
		steps = append(steps, s.candidateSteps(i)...)
	}
	return steps
}

// candidateSteps returns the states that a step of candidate i leads to.
func (s simulation) candidateSteps(i int) []simulation {
	var steps []simulation
	now := s.time()
	afterRead := s
	if s.delayedWrites[i].record.Nonce != "" {
		steps = append(steps, s.applyDelayed(i))
	}
	if s.isUnresolved[i] {
		return append(steps, s.resolve(i))
	}
	fence, isHeld := s.candidates[i].activeFence(now)
	if !isHeld {
		afterRead.candidates[i].observeRow(now, s.rowVersion, s.row)
		steps = append(steps, afterRead)
	}
	if s.writeCount < 3 && s.delayedWrites[i].record.Nonce == "" {
		if isHeld {
			steps = append(steps, s.write(i, true, outcomeConfirmed), s.write(i, true, outcomeResponseLost), s.write(i, true, outcomeDelayed))
		} else if s.candidates[i].canAcquire(now) {
			steps = append(steps, s.write(i, false, outcomeConfirmed), s.write(i, false, outcomeResponseLost), s.write(i, false, outcomeDelayed))
		}
	}
	if isHeld && s.checkedFences[i] == 0 {
		afterCheck := s
		afterCheck.checkedFences[i] = fence
		steps = append(steps, afterCheck)
	}
	if s.checkedFences[i] != 0 {
		afterSend := s
		afterSend.checkedFences[i] = 0
		if s.checkedFences[i] >= s.engineFence { // the engine rejects lower numbers
			afterSend.engineFence = s.checkedFences[i]
			afterSend.lastFence = s.checkedFences[i]
		}
		steps = append(steps, afterSend)
	}
	return steps
}

// TestTwoCandidatesNeverHoldTheLeaseTogether explores every interleaving of reads,
// writes, lost responses, pauses between checking and using the lease, and time
// steps, up to the bounds in successors and candidateSteps.
func TestTwoCandidatesNeverHoldTheLeaseTogether(t *testing.T) {
	is := is.New(t)
	timing := Timing{TTL: 2 * time.Second, SafetyMargin: time.Second, RenewInterval: time.Second}
	start := simulation{candidates: [2]candidate{{id: "a", timing: timing}, {id: "b", timing: timing}}}
	visited := map[simulation]bool{start: true}
	queue := []simulation{start}
	holderChanges := 0
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		a, aHeld := s.candidates[0].activeFence(s.time())
		b, bHeld := s.candidates[1].activeFence(s.time())
		if aHeld && bHeld {
			t.Fatalf("two holders at once: %d and %d in %+v", a, b, s)
		}
		if s.checkedFences[0] != 0 && s.checkedFences[0] == s.checkedFences[1] {
			t.Fatalf("two candidates act with fencing number %d in %+v", s.checkedFences[0], s)
		}
		for _, successor := range s.successors() {
			if successor.lastFence < s.lastFence {
				t.Fatalf("engine accepted fencing number %d after %d", successor.lastFence, s.lastFence)
			}
			if successor.row.Fence < s.row.Fence {
				t.Fatalf("fencing number of the row decreased from %d to %d", s.row.Fence, successor.row.Fence)
			}
			if successor.row.Holder != s.row.Holder && s.row.Holder != "" {
				holderChanges++
			}
			if !visited[successor] {
				visited[successor] = true
				queue = append(queue, successor)
			}
		}
	}
	is.True(holderChanges > 0) // the exploration covers changes of holder
	t.Logf("%d states, %d changes of holder", len(visited), holderChanges)
}
