package planner

import (
	"math"
	"slices"

	"oriolemill.example/oriolemill/internal/server"
)

// unloadDrained unloads retired models whose requests have ended, according to a
// report made at least DrainTime after the retirement.
func (p *planState) unloadDrained() {
	for _, retirement := range p.in.Retirements {
		r := p.byID[retirement.Replica]
		if r == nil || !slices.Contains(r.Models, retirement.Model) {
			continue
		}
		isReportAfterDrain := r.ReportedAt.Sub(retirement.Since) >= p.in.DrainTime
		if isReportAfterDrain && r.RequestsByModel[retirement.Model] == 0 {
			p.addInstruction(Instruction{Replica: r.ID, Action: ActionUnload, Model: retirement.Model})
		}
	}
}

// keepRetirements keeps the entries that are still needed: the replica has the model,
// its last report is too old to show whether it has, or it has yet to load the
// next version. Once the old version is unloaded, it plans that load.
func (p *planState) keepRetirements() {
	for _, retirement := range p.in.Retirements {
		r := p.byID[retirement.Replica]
		if r == nil {
			continue
		}
		isUnloaded := !slices.Contains(r.Models, retirement.Model) && r.ReportedAt.Sub(retirement.Since) >= p.in.DrainTime
		if isUnloaded && !p.awaitsNextVersion(r, retirement) {
			continue
		}
		p.out.Retirements = append(p.out.Retirements, retirement)
		p.changeCount++
		if isUnloaded && !r.hasModel(retirement.NextVersion) {
			p.loadModel(r, retirement.NextVersion)
		}
	}
}

// awaitsNextVersion reports whether a replica still has to load the version that
// replaces the retired one.
func (p *planState) awaitsNextVersion(r *replica, retirement Retirement) bool {
	return retirement.NextVersion != "" && !r.IsLeaving &&
		slices.Contains(p.in.Models, retirement.NextVersion) && !slices.Contains(r.Models, retirement.NextVersion)
}

// cancelRetirement cancels one retirement of a wanted model, which is cheaper than a
// load. It requires engines that refuse old fencing numbers: see Input.EnginesCheckFence.
func (p *planState) cancelRetirement(model string) bool {
	if !p.in.EnginesCheckFence {
		return false
	}
	for i, retirement := range p.out.Retirements {
		r := p.byID[retirement.Replica]
		if retirement.Model != model || r.IsLeaving || p.hasInstruction(r.ID, model) {
			continue
		}
		p.out.Retirements = slices.Delete(p.out.Retirements, i, i+1)
		r.retiring = slices.DeleteFunc(r.retiring, func(m string) bool { return m == model })
		p.servingCount[model]++
		p.servingByBase[server.ModelBase(model)]++
		return true
	}
	return false
}

// freeCapacity retires as many models as missingModel lacks replicas, within
// maxChanges, so that a later plan finds free capacity for it.
func (p *planState) freeCapacity(missingModel string) {
	missingReplicas := p.out.TargetReplicas[missingModel] - p.servingCount[missingModel]
	for range missingReplicas {
		if p.changeCount >= p.maxChanges || !p.retireSpare(missingModel) {
			return
		}
	}
}

// retireSpare retires the model with the highest spareScore: an unwanted one first,
// then one with the most replicas above its target. It returns false if there is none.
func (p *planState) retireSpare(missingModel string) bool {
	var candidate *replica
	candidateModel := ""
	bestScore := 0
	for _, r := range p.replicas {
		if r.IsLeaving || r.hasModel(missingModel) {
			continue
		}
		for _, model := range r.Models {
			spareScore := p.spareScore(r, model)
			if spareScore > bestScore {
				candidate, candidateModel, bestScore = r, model, spareScore
			}
		}
	}
	if candidate == nil {
		return false
	}
	p.retire(candidate, candidateModel)
	if slices.Contains(p.in.Models, candidateModel) {
		p.markChanged(candidateModel)
	}
	return true
}

// spareScore rates how well a replica can do without a model; 0 means that it cannot.
func (p *planState) spareScore(r *replica, model string) int {
	if !r.serves(model) {
		return 0
	}
	if !slices.Contains(p.in.Models, model) {
		if p.isReplaceable(model) {
			return math.MaxInt
		}
		return 0
	}
	if p.servingByBase[server.ModelBase(model)] <= 1 || p.in.Now.Sub(p.in.ChangedAt[model]) < retirementCooldown {
		return 0
	}
	return max(p.servingCount[model]-p.out.TargetReplicas[model], 0)
}

// isReplaceable reports whether one replica of an unwanted model may be retired to
// free capacity: either no version of its name is wanted, or the versions of its name
// together keep at least one replica and fall below their target by at most
// maxChangeFraction of it, or by one.
func (p *planState) isReplaceable(model string) bool {
	wantedVersion := p.wantedVersion(server.ModelBase(model))
	if wantedVersion == "" {
		return true
	}
	target := p.out.TargetReplicas[wantedVersion]
	slack := max(1, int(maxChangeFraction*float64(target)))
	return p.servingByBase[server.ModelBase(model)]-1 >= max(1, target-slack)
}

// isCovered reports whether an unwanted model is no longer needed: no version of its
// name is wanted, or the wanted version already serves on its target number of
// replicas.
func (p *planState) isCovered(model string) bool {
	wantedVersion := p.wantedVersion(server.ModelBase(model))
	return wantedVersion == "" || p.countLoaded(wantedVersion) >= max(p.out.TargetReplicas[wantedVersion], 1)
}

// retireUnwanted retires old versions and unwanted models.
func (p *planState) retireUnwanted() {
	for _, r := range p.replicas {
		for _, model := range r.Models {
			if p.changeCount >= p.maxChanges {
				return
			}
			isUnwanted := !slices.Contains(p.in.Models, model)
			if isUnwanted && r.serves(model) && p.isCovered(model) && p.canLoseReplica(model) {
				p.retire(r, model)
			}
		}
	}
}

// canLoseReplica reports whether a replica of the model may be retired. The last
// replica of a name that is wanted in any version may not.
func (p *planState) canLoseReplica(model string) bool {
	return p.wantedVersion(server.ModelBase(model)) == "" || p.servingByBase[server.ModelBase(model)] > 1
}

// retire plans that a replica gets no new requests for a model.
func (p *planState) retire(r *replica, model string) {
	r.retiring = append(r.retiring, model)
	p.servingCount[model]--
	p.servingByBase[server.ModelBase(model)]--
	p.changeCount++
	retirement := Retirement{Replica: r.ID, Model: model, Since: p.in.Now}
	if !slices.Contains(p.in.Models, model) {
		retirement.NextVersion = p.wantedVersion(server.ModelBase(model))
	}
	p.out.Retirements = append(p.out.Retirements, retirement)
}
