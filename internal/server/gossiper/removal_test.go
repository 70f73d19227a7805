package gossiper_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// maxRemovalDelay is how long after the deletion of its row a replica may receive
	// requests on large deployments of the platform.
	maxRemovalDelay = 3 * time.Second
	// leavingReplicas is the number of replicas that leave in these tests.
	leavingReplicas = 4
)

// newFleetWithRefusedLeader returns a fleet of 20 instances that know leavingReplicas
// replicas. The store refuses the calls of i-0, one of three leaders,
// while it serves the other instances. Then the rows of all replicas are deleted.
func newFleetWithRefusedLeader() *fleet {
	f := newFleet(20, "i-0", "i-1", "i-2")
	s := newFakeStore()
	f.watchStore(s)
	for i := range leavingReplicas {
		s.write(fmt.Sprint("r-", i), replicaValue, false)
	}
	time.Sleep(30 * time.Second)
	s.setRefused("i-0", true)
	time.Sleep(300 * time.Millisecond)
	for _, m := range f.members {
		m.viewCount.Store(0)
	}
	for i := range leavingReplicas {
		s.write(fmt.Sprint("r-", i), "", true)
	}
	return f
}

// TestReplicasAreRemovedWhileStoreRefusesOneLeader guards against requests to replicas
// that have left: failed calls of one instance kept them in use on all instances.
func TestReplicasAreRemovedWhileStoreRefusesOneLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleetWithRefusedLeader()
		defer f.stop()
		time.Sleep(maxRemovalDelay)
		for _, m := range f.members {
			is.Equal(len(m.View().Replicas(replicaService)), 0)
		}
	})
}

// TestRepeatedStoreFailuresPublishNoViews guards against instances that use up their
// processor time: each failed call multiplied the timers of kept replicas, and each of
// these timers published a view.
func TestRepeatedStoreFailuresPublishNoViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleetWithRefusedLeader()
		defer f.stop()
		time.Sleep(10 * time.Second)
		for _, m := range f.members {
			// At most one view for the deletion and one for the removal of each replica.
			is.True(m.viewCount.Load() <= 2*leavingReplicas)
		}
	})
}
