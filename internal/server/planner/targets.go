package planner

import (
	"math"
)

// setTargets sets the target number of replicas of each model. If the engines lack
// capacity for all of them, the least important models get fewer.
func (p *planState) setTargets() {
	datacentreCount := p.datacentreCount()
	capacity := 0
	slots := 0
	for _, r := range p.replicas {
		if !r.IsLeaving {
			capacity += p.in.MaxModels
			slots += r.Slots
		}
	}
	if capacity == 0 {
		return
	}
	perReplica := max(float64(slots)*float64(p.in.MaxModels)/float64(capacity), 1)
	minimum := p.in.MinReplicasPerDatacentre * datacentreCount
	capacity -= min(capacity, minimum*len(p.in.Models))
	for _, model := range p.in.Models {
		need := int(math.Ceil(p.in.Demand[model] / (perReplica * targetUtilization)))
		extra := min(max(need-minimum, 0), capacity)
		capacity -= extra
		p.out.TargetReplicas[model] = minimum + extra
	}
}

// datacentreCount counts the data centres with engines.
func (p *planState) datacentreCount() int {
	seen := make(map[string]bool)
	for _, r := range p.replicas {
		if !r.IsLeaving {
			seen[r.Datacentre] = true
		}
	}
	return len(seen)
}
