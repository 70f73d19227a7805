package planner

import (
	"cmp"
	"slices"
	"strings"
)

// freeReplicas holds, by data centre, the engines that can load one more model and the
// number of engines that already have or load the model that is to be placed.
type freeReplicas struct {
	datacentres  []string
	byDatacentre map[string][]*replica
	loadedCount  map[string]int
}

// findFreeReplicas finds the engines that have capacity to load a model.
func (p *planState) findFreeReplicas(model string) *freeReplicas {
	free := &freeReplicas{byDatacentre: make(map[string][]*replica), loadedCount: make(map[string]int)}
	for _, r := range p.replicas {
		switch {
		case r.IsLeaving:
		case r.hasModel(model):
			free.loadedCount[r.Datacentre]++
		case len(r.Models)+len(r.loading) < p.in.MaxModels:
			free.byDatacentre[r.Datacentre] = append(free.byDatacentre[r.Datacentre], r)
		}
	}
	for datacentre, replicas := range free.byDatacentre {
		free.datacentres = append(free.datacentres, datacentre)
		slices.SortStableFunc(replicas, compareLoad)
	}
	slices.Sort(free.datacentres)
	return free
}

// compareLoad orders engines by number of models, then by number of requests.
func compareLoad(a, b *replica) int {
	return cmp.Or(
		cmp.Compare(len(a.Models)+len(a.loading), len(b.Models)+len(b.loading)),
		cmp.Compare(a.requestCount(), b.requestCount()),
		strings.Compare(a.ID, b.ID),
	)
}

// takeNext removes and returns the first engine of the data centre with the fewest
// replicas of the model, or nil.
func (f *freeReplicas) takeNext() *replica {
	best := ""
	for _, datacentre := range f.datacentres {
		if len(f.byDatacentre[datacentre]) > 0 && (best == "" || f.loadedCount[datacentre] < f.loadedCount[best]) {
			best = datacentre
		}
	}
	if best == "" {
		return nil
	}
	r := f.byDatacentre[best][0]
	f.byDatacentre[best] = f.byDatacentre[best][1:]
	f.loadedCount[best]++
	return r
}
