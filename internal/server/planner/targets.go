package planner

import (
	"math"
)

// setTargets sets the target number of replicas of each model. If the engines lack
// capacity for all of them, the least important models get fewer.
func (p *planState) setTargets() {
	datacentreCount := p.datacentreCount()
	modelCapacity := 0
	slots := 0
	for _, r := range p.replicas {
		if !r.IsLeaving {
			modelCapacity += p.in.MaxModels
			slots += r.Slots
		}
	}
	if modelCapacity == 0 {
		return
	}
	slotsPerReplica := max(float64(slots)*float64(p.in.MaxModels)/float64(modelCapacity), 1)
	minReplicas := p.in.MinReplicasPerDatacentre * datacentreCount
	modelCapacity -= min(modelCapacity, minReplicas*len(p.in.Models))
	for _, model := range p.in.Models {
		neededReplicas := int(math.Ceil(p.in.Demand[model] / (slotsPerReplica * targetUtilization)))
		extraReplicas := min(max(neededReplicas-minReplicas, 0), modelCapacity)
		modelCapacity -= extraReplicas
		p.out.TargetReplicas[model] = minReplicas + extraReplicas
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
