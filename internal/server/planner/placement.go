package planner

import (
	"cmp"
	"slices"
	"strings"
)

// room lists the engines that could load one more model, by data centre.
type room struct {
	places []string
	free   map[string][]*replica
	count  map[string]int
}

// findRoom lists the engines that could load a model.
func (p *planning) findRoom(model string) *room {
	found := &room{free: make(map[string][]*replica), count: make(map[string]int)}
	for _, r := range p.replicas {
		switch {
		case r.Leaving:
		case r.has(model):
			found.count[r.Datacentre]++
		case len(r.Models)+len(r.loading) < p.in.Hold:
			found.free[r.Datacentre] = append(found.free[r.Datacentre], r)
		}
	}
	for place, replicas := range found.free {
		found.places = append(found.places, place)
		slices.SortStableFunc(replicas, lessLoaded)
	}
	slices.Sort(found.places)
	return found
}

// lessLoaded puts the engine with the most room first, then the least busy.
func lessLoaded(a, b *replica) int {
	return cmp.Or(
		cmp.Compare(len(a.Models)+len(a.loading), len(b.Models)+len(b.loading)),
		cmp.Compare(a.busy(), b.busy()),
		strings.Compare(a.ID, b.ID),
	)
}

// next returns the first engine of the data centre that has the fewest of the
// model, or nil.
func (f *room) next() *replica {
	best := ""
	for _, place := range f.places {
		if len(f.free[place]) > 0 && (best == "" || f.count[place] < f.count[best]) {
			best = place
		}
	}
	if best == "" {
		return nil
	}
	r := f.free[best][0]
	f.free[best] = f.free[best][1:]
	f.count[best]++
	return r
}
