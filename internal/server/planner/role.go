package planner

import "math"

// Roles of engines.
const (
	rolePrefill = "prefill"
	roleBoth    = "both"
)

// Limits of role changes.
const (
	// minReplicasForRoles is the number of replicas in a data centre from which some
	// are dedicated to prompt work.
	minReplicasForRoles = 8
	// roleSlack is the difference in replicas from the target that is tolerated.
	roleSlack = 1
)

// setRoles changes the role of at most one engine in each data centre, towards the
// share of prompt work. In small data centres every engine does both kinds of work,
// so that neither lacks engines.
func (p *planState) setRoles() {
	if !p.in.CanChangeRoles {
		return
	}
	byDatacentre := make(map[string][]*replica)
	var datacentres []string
	for _, r := range p.replicas {
		if r.IsLeaving {
			continue
		}
		if byDatacentre[r.Datacentre] == nil {
			datacentres = append(datacentres, r.Datacentre)
		}
		byDatacentre[r.Datacentre] = append(byDatacentre[r.Datacentre], r)
	}
	for _, datacentre := range datacentres {
		p.setDatacentreRoles(byDatacentre[datacentre])
	}
}

// setDatacentreRoles changes the role of at most one of the engines of a data centre.
func (p *planState) setDatacentreRoles(replicas []*replica) {
	target := 0
	if len(replicas) >= minReplicasForRoles {
		target = int(math.Round(p.in.PromptShare * float64(len(replicas))))
	}
	current := 0
	for _, r := range replicas {
		if r.Role == rolePrefill {
			current++
		}
	}
	switch {
	case current > target+roleSlack || (target == 0 && current > 0):
		p.changeRole(replicas, rolePrefill, roleBoth)
	case current+roleSlack < target:
		p.changeRole(replicas, roleBoth, rolePrefill)
	}
}

// changeRole instructs the least busy engine that has one role to change to another.
func (p *planState) changeRole(replicas []*replica, from, to string) {
	var best *replica
	for _, r := range replicas {
		role := r.Role
		if role == "" {
			role = roleBoth
		}
		if role == from && (best == nil || r.requestCount() < best.requestCount()) {
			best = r
		}
	}
	if best != nil {
		p.addInstruction(Instruction{Replica: best.ID, Action: ActionRole, Role: to})
	}
}
