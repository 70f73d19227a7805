package linker_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/linker"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// largeFleet is the instances of a large deployment with the senders of the announcements
// that each has received.
type largeFleet struct {
	instances []*testInstance
	members   []server.Instance
	mu        sync.Mutex
	received  map[string][]string
}

// newLargeFleet starts count instances that know each other, and waits until all planned links
// are open.
func newLargeFleet(t *testing.T, count int) *largeFleet {
	t.Helper()
	f := &largeFleet{received: make(map[string][]string)}
	for i := range count {
		id := fmt.Sprintf("i-%03d", i)
		f.instances = append(f.instances, newInstance(t, id, func(ctx context.Context, from string, frame *encoder.Frame) *encoder.Frame {
			if frame.GetVersionAnnouncement() != nil {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.received[id] = append(f.received[id], from)
			}
			return echo(ctx, from, frame)
		}))
		f.members = append(f.members, f.instances[i].Self())
	}
	for _, instance := range f.instances {
		instance.UpdateMembers(f.members)
	}
	return f
}

// linkCount returns the number of ends of open links.
func (f *largeFleet) linkCount() (total int) {
	for _, instance := range f.instances {
		total += instance.LinkCount()
	}
	return total
}

// plannedLinkCount returns the number of ends of the links between leaders and all others.
func (f *largeFleet) plannedLinkCount() int {
	leaders, all := len(f.instances[0].LeaderIDs()), len(f.instances)
	return 2 * (leaders*(all-leaders) + leaders*(leaders-1)/2)
}

// followers returns the instances that are not leaders.
func (f *largeFleet) followers() []*testInstance {
	return slices.DeleteFunc(slices.Clone(f.instances), func(instance *testInstance) bool {
		return slices.Contains(instance.LeaderIDs(), instance.Self().ID)
	})
}

// TestLinksGrowLinearlyWithInstances guards against a link between each pair of instances,
// whose number made idle fleets of hundreds of instances too slow.
func TestLinksGrowLinearlyWithInstances(t *testing.T) {
	for _, count := range []int{linker.MaxMeshInstances, 2 * linker.MaxMeshInstances, 3 * linker.MaxMeshInstances} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			f := newLargeFleet(t, count)
			planned := f.plannedLinkCount()
			if count <= linker.MaxMeshInstances {
				planned = count * (count - 1)
			}
			eventually(t, "just the planned links are open", func() bool { return f.linkCount() == planned })
		})
	}
}

// TestBroadcastReachesInstancesWithoutLinks guards against announcements that reach only the
// instances to which the sender has links.
func TestBroadcastReachesInstancesWithoutLinks(t *testing.T) {
	is := is.New(t)
	f := newLargeFleet(t, 2*linker.MaxMeshInstances)
	eventually(t, "the planned links are open", func() bool { return f.linkCount() >= f.plannedLinkCount() })
	sender := f.followers()[0]
	sender.Broadcast(&encoder.Frame{Body: &encoder.Frame_VersionAnnouncement{VersionAnnouncement: &encoder.VersionAnnouncement{}}})
	eventually(t, "all others have received the announcement", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.received) == len(f.instances)-1
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, senders := range f.received {
		is.Equal(senders[0], sender.Self().ID) // not the leader that forwarded it
	}
}

// TestLinksForCallsAreClosedWhenIdle checks that instances without a planned link open one for a
// call, that the one which opened it closes it, and that calls work again after that.
func TestLinksForCallsAreClosedWhenIdle(t *testing.T) {
	is := is.New(t)
	f := newLargeFleet(t, 2*linker.MaxMeshInstances)
	eventually(t, "the planned links are open", func() bool { return f.linkCount() == f.plannedLinkCount() })
	caller, callee := f.followers()[0], f.followers()[1]
	for range 2 {
		response, err := caller.Call(t.Context(), callee.Self().ID, rowsRequest("a"))
		is.NoErr(err)
		is.Equal(response.GetRowsResponse().GetRows()[0].GetName(), caller.Self().ID+" a")
		is.Equal(f.linkCount(), f.plannedLinkCount()+2)
		callee.CheckLinksAt(time.Now().Add(2 * linker.IdleLinkTimeout))
		caller.CheckLinksAt(time.Now())
		is.Equal(f.linkCount(), f.plannedLinkCount()+2)
		caller.CheckLinksAt(time.Now().Add(2 * linker.IdleLinkTimeout))
		eventually(t, "the link is closed", func() bool { return f.linkCount() == f.plannedLinkCount() })
	}
	is.Equal(len(caller.AvailableInstances()), len(f.instances))
}

// TestLostLeadersAreReplaced stops all leaders at once, with no calls to show that. The others
// must choose new ones and link to them.
func TestLostLeadersAreReplaced(t *testing.T) {
	is := is.New(t)
	f := newLargeFleet(t, 2*linker.MaxMeshInstances)
	eventually(t, "the planned links are open", func() bool { return f.linkCount() == f.plannedLinkCount() })
	remaining := f.followers()
	lost := slices.Clone(remaining[0].LeaderIDs())
	for _, instance := range f.instances {
		if slices.Contains(lost, instance.Self().ID) {
			instance.Stop()
		}
	}
	f.instances = remaining
	eventually(t, "all have linked to new leaders", func() bool {
		for _, instance := range remaining {
			if slices.ContainsFunc(instance.LeaderIDs(), func(id string) bool { return slices.Contains(lost, id) }) {
				return false
			}
		}
		return f.linkCount() == f.plannedLinkCount()
	})
	is.Equal(len(remaining[0].AvailableInstances()), len(remaining))
}
