package batcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server/router"
)

const (
	// laneHalf is the time in which what a lane asked for and got counts half.
	laneHalf = 2 * time.Second
	// favourStep is the part of its share that a rank has of the rank before it
	// within one priority, when not all can be served: the users allow a less urgent
	// kind 5 in 100 more than a more urgent one, and count the worst-served kind.
	favourStep = 0.93
)

// lane is what one rank asked for and got of a service lately, in pieces.
type lane struct {
	asked, made float64
	at          time.Time
}

// fade lets old pieces count less.
func (l *lane) fade(now time.Time) {
	if l.at.IsZero() {
		l.at = now
	}
	if past := now.Sub(l.at); past > 0 {
		part := math.Exp2(-float64(past) / float64(laneHalf))
		l.asked, l.made, l.at = l.asked*part, l.made*part, now
	}
}

func (l *lane) ask(pieces int, now time.Time) {
	l.fade(now)
	l.asked += float64(pieces)
}

func (l *lane) make(now time.Time) {
	l.fade(now)
	l.made++
}

func (q *queue) lane(rank int) *lane { return &q.lanes[min(max(rank, 0), len(q.lanes)-1)] }

// weight is a rank's part of its priority's flow before it is scaled.
func (q *queue) weight(rank int) float64 {
	return max(q.lanes[rank].asked, 1) * math.Pow(favourStep, float64(rank%router.PerPriority))
}

// order returns the tasks in the order in which they are served: those that can be
// on time, by priority, then in turns by rank so that each gets its part of what it
// asks for, then by what is due first; then those that are late anyway, first
// what work was done for.
func (q *queue) order(now time.Time) []*task {
	var onTime [router.Ranks][]*task
	var late []*task
	soon := now.Add(q.ahead())
	for _, t := range q.tasks {
		if soon.After(t.Goal) {
			late = append(late, t)
			continue
		}
		rank := min(max(t.Rank, 0), router.Ranks-1)
		onTime[rank] = append(onTime[rank], t)
	}
	ordered := make([]*task, 0, len(q.tasks))
	for first := 0; first < router.Ranks; first += router.PerPriority {
		ordered = q.merge(ordered, onTime[first:first+router.PerPriority], first, now)
	}
	slices.SortFunc(late, func(a, b *task) int {
		return cmp.Or(-cmp.Compare(progress(a), progress(b)), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.number, b.number))
	})
	return append(ordered, late...)
}

// progress is 1 for a task of a request that work was done for.
func progress(t *task) int {
	if t.followsUp() {
		return 1
	}
	return 0
}

// merge appends the tasks of one priority, each time from the rank that got the
// least of its part; first is the first of its ranks.
func (q *queue) merge(ordered []*task, lanes [][]*task, first int, now time.Time) []*task {
	var got, part [router.PerPriority]float64
	for n := range lanes {
		slices.SortFunc(lanes[n], func(a, b *task) int { return cmp.Or(a.Goal.Compare(b.Goal), cmp.Compare(a.number, b.number)) })
		q.lanes[first+n].fade(now)
		got[n], part[n] = q.lanes[first+n].made, q.weight(first+n)
	}
	for {
		best := -1
		for n := range lanes {
			if len(lanes[n]) > 0 && (best < 0 || got[n]/part[n] < got[best]/part[best]) {
				best = n
			}
		}
		if best < 0 {
			return ordered
		}
		t := lanes[best][0]
		lanes[best] = lanes[best][1:]
		got[best] += float64(len(t.waiting))
		ordered = append(ordered, t)
	}
}
