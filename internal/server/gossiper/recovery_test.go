package gossiper_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// outageLength is the length of the outages of these tests, in which rows of replicas expire.
const outageLength = 5200 * time.Millisecond

// TestReplicaThatLeavesAfterAnOutageIsRemovedInTime guards against requests to replicas that have
// left: long after an outage of the store an instance took the first response to one of its
// watches for the store's recovery, and kept replicas whose rows were deleted.
func TestReplicaThatLeavesAfterAnOutageIsRemovedInTime(t *testing.T) {
	for _, count := range []int{1, 3, 7, 9, 16, 20, 85} {
		for _, isSilent := range []bool{false, true} {
			for _, isHistoryDropped := range []bool{false, true} {
				for phase := range 8 {
					t.Run(fmt.Sprint(count, isSilent, isHistoryDropped, phase), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							runLeaveAfterOutage(t, count, isSilent, isHistoryDropped, time.Duration(phase)*900*time.Millisecond)
						})
					})
				}
			}
		}
	}
}

func runLeaveAfterOutage(t *testing.T, count int, isSilent, isHistoryDropped bool, phase time.Duration) {
	is := is.New(t)
	maxDelay, settle, leaders := maxSmallPlanDelay, settleTime, []string(nil)
	if count > 16 {
		maxDelay, settle, leaders = maxRemovalDelay, settleTime+time.Second, []string{"i-0", "i-1", "i-2", "i-3", "i-4"}
	}
	f := newFleet(count, leaders...)
	defer f.stop()
	s := newFakeStore()
	f.watchStore(s)
	writeReplicas(s, replicaValue, false)
	time.Sleep(30*time.Second + phase)
	runOutage(f, s, isSilent)
	time.Sleep(settle + 100*time.Millisecond)
	if isHistoryDropped {
		s.dropHistory()
	}
	writeReplicas(s, "", true)
	time.Sleep(maxDelay)
	for _, m := range f.members {
		is.Equal(len(m.View().Replicas(replicaService)), 0)
	}
}

// runOutage lets all calls to the store hang or fail for outageLength.
func runOutage(f *fleet, s *fakeStore, isSilent bool) {
	var ids []string
	for _, m := range f.members {
		ids = append(ids, m.id)
	}
	if !isSilent {
		s.setRefused(true, ids...)
		time.Sleep(outageLength)
		s.setRefused(false, ids...)
		return
	}
	s.interrupt(true)
	s.setUnavailable(ids, true)
	time.Sleep(outageLength)
	s.interrupt(true)
	s.setUnavailable(ids, false)
}
