package peerer

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// node is an instance for which links are planned.
type node struct {
	id         string
	datacentre string
	region     string
}

// topology is the plan of which instances are linked, as seen by self. It does not
// change once it is published.
type topology struct {
	self  node
	nodes []node
	byID  map[string]node
	// isMesh is set if all instances are linked to all.
	isMesh bool
	// relays holds the relay of each data centre.
	relays map[string]string
	// regionRelays holds, by region, the relay that is linked to those of the other
	// regions.
	regionRelays map[string]string
}

// newTopology plans the links of the live instances, self included. Up to maxMesh
// instances are all linked to all. If there are more, the instances of a data centre
// are all linked to each other, one relay of each data centre is linked to the other
// relays of its region, and one relay of each region to those of the other regions.
func newTopology(self node, live []node, maxMesh int) *topology {
	t := &topology{self: self, nodes: live, byID: make(map[string]node, len(live)), isMesh: len(live) <= maxMesh}
	byDatacentre := make(map[string][]string)
	for _, n := range live {
		t.byID[n.id] = n
		byDatacentre[n.datacentre] = append(byDatacentre[n.datacentre], n.id)
	}
	t.relays = make(map[string]string, len(byDatacentre))
	regions := make(map[string][]string)
	for datacentre, ids := range byDatacentre {
		relay := highestRendezvous("relay/"+datacentre, ids)
		t.relays[datacentre] = relay
		region := t.byID[relay].region
		regions[region] = append(regions[region], relay)
	}
	t.regionRelays = make(map[string]string, len(regions))
	for region, ids := range regions {
		t.regionRelays[region] = highestRendezvous("region/"+region, ids)
	}
	return t
}

// highestRendezvous returns the ID with the highest rendezvous hash for a key, or
// "" if there are no IDs.
func highestRendezvous(key string, ids []string) string {
	best := ""
	var bestHash uint64
	for _, id := range ids {
		hash := xxhash.Sum64String(key + "\x00" + id)
		if best == "" || hash > bestHash || (hash == bestHash && id < best) {
			best = id
			bestHash = hash
		}
	}
	return best
}

// isRelay reports whether self is the relay of its data centre.
func (t *topology) isRelay() bool { return !t.isMesh && t.relays[t.self.datacentre] == t.self.id }

// neighbours returns the IDs of the instances that self is to be linked to, in order.
func (t *topology) neighbours() []string {
	neighbourSet := make(map[string]bool)
	for _, n := range t.nodes {
		if t.isMesh || n.datacentre == t.self.datacentre {
			neighbourSet[n.id] = true
		}
	}
	if t.isRelay() {
		for datacentre, relay := range t.relays {
			if datacentre != t.self.datacentre && t.byID[relay].region == t.self.region {
				neighbourSet[relay] = true
			}
		}
		if t.regionRelays[t.self.region] == t.self.id {
			for _, relay := range t.regionRelays {
				neighbourSet[relay] = true
			}
		}
	}
	delete(neighbourSet, t.self.id)
	ids := make([]string, 0, len(neighbourSet))
	for id := range neighbourSet {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}

// nextHop returns the neighbour that a frame to an instance is sent to, or "" if the
// instance is unknown or self.
func (t *topology) nextHop(to string) string {
	target, ok := t.byID[to]
	if !ok || to == t.self.id {
		return ""
	}
	if t.isMesh || target.datacentre == t.self.datacentre {
		return to
	}
	if !t.isRelay() {
		return t.relays[t.self.datacentre]
	}
	if target.region == t.self.region {
		return t.relays[target.datacentre]
	}
	if relay := t.regionRelays[t.self.region]; relay != t.self.id {
		return relay
	}
	return t.regionRelays[target.region]
}

// assignPollers returns the instance that polls each upstream of self's data centre:
// the one with the highest rendezvous hash of those that have less than an even share
// of the upstreams so far. A relay sends the most data anyway and polls nothing unless
// it is alone in its data centre. Upstreams must be in order, so that instances with the
// same list agree.
func (t *topology) assignPollers(upstreams []string) map[string]string {
	remaining := make(map[string]int)
	for _, n := range t.nodes {
		if n.datacentre == t.self.datacentre {
			remaining[n.id] = 0
		}
	}
	if !t.isMesh && len(remaining) > 1 {
		delete(remaining, t.relays[t.self.datacentre])
	}
	share := (len(upstreams) + len(remaining) - 1) / len(remaining)
	ids := make([]string, 0, len(remaining))
	for id := range remaining {
		ids = append(ids, id)
		remaining[id] = share
	}
	pollers := make(map[string]string, len(upstreams))
	for _, upstream := range upstreams {
		id := highestRendezvous("load/"+upstream, ids)
		pollers[upstream] = id
		remaining[id]--
		if remaining[id] == 0 {
			ids = slices.DeleteFunc(ids, func(other string) bool { return other == id })
		}
	}
	return pollers
}
