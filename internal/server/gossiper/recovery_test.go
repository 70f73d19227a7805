package gossiper_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// outageLength is the length of the outages of these tests, in which rows of replicas expire.
	outageLength = 5200 * time.Millisecond
	// phaseLength is the time between two moments of a watch at which these tests begin.
	phaseLength = 900 * time.Millisecond
)

var fleetSizes = []int{1, 3, 7, 9, 16, 20, 85}

// TestReplicaThatLeavesAfterAnOutageIsRemovedInTime guards against requests to replicas that have
// left: long after an outage of the store an instance took the first response to one of its
// watches for the store's recovery, and kept replicas whose rows were deleted.
func TestReplicaThatLeavesAfterAnOutageIsRemovedInTime(t *testing.T) {
	for _, count := range fleetSizes {
		for _, isSilent := range []bool{false, true} {
			for _, isHistoryDropped := range []bool{false, true} {
				for phase := range phases(count) {
					t.Run(fmt.Sprint(count, isSilent, isHistoryDropped, phase), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							runLeaveAfterOutage(t, count, isSilent, isHistoryDropped, time.Duration(phase)*phaseLength)
						})
					})
				}
			}
		}
	}
}

// TestReplicaThatLeavesWhileWatchesAreCutIsRemovedInTime guards against requests to a replica that
// has left: the end of all watches was taken for an outage of the store, in which rows expire.
func TestReplicaThatLeavesWhileWatchesAreCutIsRemovedInTime(t *testing.T) {
	for _, count := range fleetSizes {
		for phase := range phases(count) {
			t.Run(fmt.Sprint(count, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f, maxDelay, _ := newFleetOf(count)
					defer f.stop()
					s := newFakeStore()
					f.watchStore(s)
					const replicas = 24
					for i := range replicas {
						s.write(fmt.Sprint("r-", i), replicaValue, false)
					}
					time.Sleep(30*time.Second + time.Duration(phase)*phaseLength)
					s.dropHistory(true)
					s.write("r-0", "", true)
					time.Sleep(maxDelay)
					for _, m := range f.members {
						is.Equal(len(m.View().Replicas(replicaService)), replicas-1)
					}
				})
			})
		}
	}
}

// newFleetOf returns a fleet, with leaders if it is large, how late it may know that a replica
// leaves, and how long after an outage this holds.
func newFleetOf(count int) (f *fleet, maxDelay, settle time.Duration) {
	if count > 16 {
		return newFleet(count, "i-0", "i-1", "i-2", "i-3", "i-4"), maxRemovalDelay, settleTime + time.Second
	}
	return newFleet(count), maxSmallPlanDelay, settleTime
}

// phases returns how many moments of a watch are tried with a number of instances.
func phases(count int) int {
	if count > 20 {
		return 2
	}
	return 8
}

func runLeaveAfterOutage(t *testing.T, count int, isSilent, isHistoryDropped bool, phase time.Duration) {
	is := is.New(t)
	f, maxDelay, settle := newFleetOf(count)
	defer f.stop()
	s := newFakeStore()
	f.watchStore(s)
	writeReplicas(s, replicaValue, false)
	time.Sleep(30*time.Second + phase)
	runOutage(f, s, isSilent)
	time.Sleep(settle + 100*time.Millisecond)
	if isHistoryDropped {
		s.dropHistory(false)
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
