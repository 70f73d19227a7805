package peerer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// designNodes returns the instances of the largest deployment that the design
// allows for: 390 in 20 data centres of 6 regions.
func designNodes() []node {
	nodes := make([]node, 390)
	for i := range nodes {
		datacentre := i % 20
		nodes[i] = node{id: fmt.Sprintf("i-%03d", i), datacentre: fmt.Sprintf("d-%d", datacentre), region: fmt.Sprintf("r-%d", datacentre%6)}
	}
	return nodes
}

func TestTopologyAtDesignSize(t *testing.T) {
	is := is.New(t)
	nodes := designNodes()
	topologies := make(map[string]*topology, len(nodes))
	maxLinks := 0
	for _, n := range nodes {
		topologies[n.id] = newTopology(n, nodes, MaxMeshInstances)
		maxLinks = max(maxLinks, len(topologies[n.id].neighbours()))
	}
	t.Logf("at most %d links an instance", maxLinks)
	is.True(maxLinks <= 19+3+5) // in its data centre, to relays of its region, to the other regions
	maxHopCount := 0
	for _, from := range nodes {
		for _, to := range nodes {
			hops := 0
			for at := from.id; at != to.id; hops++ {
				next := topologies[at].nextHop(to.id)
				if next == "" || hops > maxHops+1 {
					t.Fatalf("no route from %s to %s at %s", from.id, to.id, at)
				}
				at = next
			}
			maxHopCount = max(maxHopCount, hops)
		}
	}
	is.True(maxHopCount <= maxHops+1)
	t.Logf("at most %d hops", maxHopCount)
}

func TestEachUpstreamHasOnePoller(t *testing.T) {
	is := is.New(t)
	nodes := designNodes()
	var upstreams []string
	for i := range 105 {
		upstreams = append(upstreams, fmt.Sprintf("u-%03d", i))
	}
	pollers := newTopology(nodes[0], nodes, MaxMeshInstances).assignPollers(upstreams)
	pollCounts := make(map[string]int)
	for _, n := range nodes {
		if n.datacentre != nodes[0].datacentre {
			continue
		}
		for upstream, poller := range newTopology(n, nodes, MaxMeshInstances).assignPollers(upstreams) {
			is.Equal(pollers[upstream], poller) // all instances agree
			if poller == n.id {
				pollCounts[poller]++
			}
		}
	}
	total := 0
	for _, count := range pollCounts {
		is.True(count <= 6) // 105 upstreams, 20 instances of which 19 poll
		total += count
	}
	is.Equal(total, len(upstreams))
}
