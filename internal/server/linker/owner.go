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

// ranking is what follows from the members until one of them changes: owners and leaders
// are asked for several times in each request.
type ranking struct {
	// available are the instances that respond and are not leaving, in order of their IDs,
	// and candidates the IDs of those whose capacity weight is high enough for owners.
	available  []server.Instance
	candidates []string
	leaders    []string
	// owners are those of the names asked for so far. heirs are these owners and the instances
	// that would own their names next.
	owners map[string]string
	heirs  map[string]bool
}

// isMesh reports whether all instances keep links to each other.
func (r *ranking) isMesh() bool {
	return len(r.available) <= maxMeshInstances || len(r.leaders) == 0
}

// isLeader reports whether an instance is a leader.
func (r *ranking) isLeader(id string) bool { return slices.Contains(r.leaders, id) }

// maxOwnedNames bounds the names whose owners are kept: those of services and duties.
const maxOwnedNames = 64

// currentRanking returns the ranking of the present members. The caller holds mu.
func (l *Linker) currentRanking() *ranking {
	if l.ranking == nil {
		r := &ranking{owners: make(map[string]string), heirs: make(map[string]bool)}
		for _, m := range l.members {
			if m.downSince.IsZero() && !m.isLeaving {
				r.available = append(r.available, m.Instance)
			}
		}
		if !l.isLeaving || len(r.available) == 0 {
			r.available = append(r.available, l.self)
		}
		slices.SortFunc(r.available, func(a, b server.Instance) int { return cmp.Compare(a.ID, b.ID) })
		r.candidates = ownerCandidates(r.available)
		if len(r.available) > maxInstancesWithoutLeaders {
			r.leaders = topByRendezvous("leaders", r.candidates, leaderCount)
		}
		for name := range l.ownedNames {
			r.addOwner(name)
		}
		l.ranking = r
	}
	return l.ranking
}

// addOwner finds the owner of a name and its successor.
func (r *ranking) addOwner(name string) {
	top := topByRendezvous(name, r.candidates, 2)
	r.owners[name] = top[0]
	for _, id := range top {
		r.heirs[id] = true
	}
}

// OwnerID returns the ID of the instance that owns a name by rendezvous hashing. All
// instances that see the same members return the same owner. Instances with a low
// capacity weight own nothing.
func (l *Linker) OwnerID(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.currentRanking()
	if owner, ok := r.owners[name]; ok {
		return owner
	}
	if len(l.ownedNames) >= maxOwnedNames {
		return topByRendezvous(name, r.candidates, 1)[0]
	}
	l.ownedNames[name] = true
	r.addOwner(name)
	return r.owners[name]
}

// LeaderIDs returns the IDs of the instances that watch the store on behalf of all
// instances. It returns none if every instance watches the store itself. The caller must
// not change the slice.
func (l *Linker) LeaderIDs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentRanking().leaders
}

// ownerCandidates returns the IDs of the instances whose capacity weight is high
// enough for owners.
func ownerCandidates(available []server.Instance) []string {
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

// rankedID is an ID with its rendezvous hash for a name.
type rankedID struct {
	id   string
	hash uint64
}

// compare orders IDs by descending hash.
func (a rankedID) compare(b rankedID) int {
	return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
}

// topByRendezvous returns up to count of the IDs: those with the highest rendezvous
// hashes for a name.
func topByRendezvous(name string, ids []string, count int) []string {
	var top []rankedID
	for _, id := range ids {
		ranked := rankedID{id: id, hash: xxhash.Sum64String(name + "\x00" + id)}
		if position, _ := slices.BinarySearchFunc(top, ranked, rankedID.compare); position < count {
			top = slices.Insert(top, position, ranked)
			top = top[:min(len(top), count)]
		}
	}
	result := make([]string, len(top))
	for i := range top {
		result[i] = top[i].id
	}
	return result
}
