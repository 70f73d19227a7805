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

// newFleetWithReplicas returns a fleet of 20 instances, three of them leaders, that know
// leavingReplicas replicas, and its store.
func newFleetWithReplicas() (*fleet, *fakeStore) {
	f := newFleet(20, "i-0", "i-1", "i-2")
	s := newFakeStore()
	f.watchStore(s)
	writeReplicas(s, replicaValue, false)
	time.Sleep(30 * time.Second)
	return f, s
}

// writeReplicas writes or deletes the rows of all replicas.
func writeReplicas(s *fakeStore, value string, deleted bool) {
	for i := range leavingReplicas {
		s.write(fmt.Sprint("r-", i), value, deleted)
	}
}

// newFleetWithRefusedLeader returns such a fleet after the store has refused the calls of
// one leader, while it serves the other instances, and the rows of all replicas were
// deleted.
func newFleetWithRefusedLeader() *fleet {
	f, s := newFleetWithReplicas()
	s.setRefused(true, "i-0")
	time.Sleep(300 * time.Millisecond)
	for _, m := range f.members {
		m.viewCount.Store(0)
	}
	writeReplicas(s, "", true)
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

// TestReplicasStayInUseWhenTheirRowsExpireInAnOutage guards against a deployment without
// replicas after an outage of the store: rows that have expired are back 1.2 s after it.
func TestReplicasStayInUseWhenTheirRowsExpireInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, s := newFleetWithReplicas()
		defer f.stop()
		var ids []string
		for _, m := range f.members {
			ids = append(ids, m.id)
		}
		s.setRefused(true, ids...)
		time.Sleep(4 * time.Second)
		writeReplicas(s, "", true)
		s.setRefused(false, ids...)
		for i := range 100 {
			time.Sleep(50 * time.Millisecond)
			if i == 24 {
				writeReplicas(s, replicaValue, false)
			}
			for _, m := range f.members {
				is.Equal(len(m.View().Replicas(replicaService)), leavingReplicas)
			}
		}
		writeReplicas(s, "", true)
		time.Sleep(maxRemovalDelay)
		for _, m := range f.members {
			is.Equal(len(m.View().Replicas(replicaService)), 0)
		}
	})
}
