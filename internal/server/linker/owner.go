package linker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// minOwnerWeightShare is the part of the greatest capacity weight that an instance
// must have to be an owner.
const minOwnerWeightShare = 0.6

const (
	// leaderCount is the number of leaders: instances that watch the store for all.
	leaderCount = 5
	// maxInstancesWithoutLeaders is the number of instances up to which each watches
	// the store itself.
	maxInstancesWithoutLeaders = 16
)

// OwnerID returns the ID of the instance that owns a name by rendezvous hashing. All
// instances that see the same members return the same owner. Instances with a low
// capacity weight own nothing.
func (l *Linker) OwnerID(name string) string {
	return topByRendezvous(name, l.ownerCandidates(l.AvailableInstances()), 1)[0]
}

// LeaderIDs returns the IDs of the instances that watch the store on behalf of all
// instances. It returns none if every instance watches the store itself.
func (l *Linker) LeaderIDs() []string {
	available := l.AvailableInstances()
	if len(available) <= maxInstancesWithoutLeaders {
		return nil
	}
	return topByRendezvous("leaders", l.ownerCandidates(available), leaderCount)
}

// ownerCandidates returns the IDs of the instances whose capacity weight is high
// enough for owners.
func (l *Linker) ownerCandidates(available []server.Instance) []string {
	maxWeight := 0.0
	for _, instance := range available {
		maxWeight = max(maxWeight, instance.CapacityWeight)
	}
	var ids []string
	for _, instance := range available {
		if instance.CapacityWeight >= minOwnerWeightShare*maxWeight {
			ids = append(ids, instance.ID)
		}
	}
	return ids
}

// HolderIDs returns the IDs of up to count other instances that respond, in the order of their
// rendezvous hashes for a name. All instances have nearly the same order.
func (l *Linker) HolderIDs(name string, count int) []string {
	var ids []string
	for _, instance := range l.AvailableInstances() {
		if instance.ID != l.self.ID {
			ids = append(ids, instance.ID)
		}
	}
	return topByRendezvous(name, ids, count)
}

// topByRendezvous returns up to count of the IDs: those with the highest rendezvous
// hashes for a name. It sorts ids in place.
func topByRendezvous(name string, ids []string, count int) []string {
	hashes := make(map[string]uint64, len(ids))
	for _, id := range ids {
		hashes[id] = xxhash.Sum64String(name + "\x00" + id)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(hashes[b], hashes[a]), cmp.Compare(a, b)) })
	return ids[:min(count, len(ids))]
}
