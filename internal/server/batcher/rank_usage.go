package batcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server/router"
)

const (
	// rankHalfLife is the half-life of the requested and computed pieces of a rank.
	rankHalfLife = 2 * time.Second
	// rankWeightRatio is the weight of a rank relative to the next more urgent one of the
	// same priority, for equal demand, when not all pieces can be served in time: the
	// users allow a less urgent kind 5 in 100 more misses than a more urgent one, and
	// judge by the worst-served kind.
	rankWeightRatio = 0.93
)

// rankUsage counts the pieces of one rank that were recently requested from a service,
// and those of them that became part of a call in time. Both counts decay with rankHalfLife.
type rankUsage struct {
	requested, computed float64
	updatedAt           time.Time
}

// decay reduces the counts by the time since the last update.
func (u *rankUsage) decay(now time.Time) {
	if u.updatedAt.IsZero() {
		u.updatedAt = now
	}
	if elapsed := now.Sub(u.updatedAt); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(rankHalfLife))
		u.requested, u.computed, u.updatedAt = u.requested*factor, u.computed*factor, now
	}
}

// addRequested counts requested pieces.
func (u *rankUsage) addRequested(pieces int, now time.Time) {
	u.decay(now)
	u.requested += float64(pieces)
}

// addComputed counts a piece that becomes part of a call.
func (u *rankUsage) addComputed(now time.Time) {
	u.decay(now)
	u.computed++
}

// usageOfRank returns the counts of a rank, or for a rank out of range those of the nearest.
func (q *queue) usageOfRank(rank int) *rankUsage { return &q.usage[min(max(rank, 0), len(q.usage)-1)] }

// weight returns the weight of a rank among the ranks that share the throughput of a
// priority.
func (q *queue) weight(rank int) float64 {
	return max(q.usage[rank].requested, 1) * math.Pow(rankWeightRatio, float64(rank%router.RanksPerPriority))
}

// servingOrder returns the tasks in the order in which they are served. First come those
// that can meet their soft deadline: by priority, within a priority by weighted shares of
// its ranks, within a rank by soft deadline, or in a backlog by the shares of workspaces if
// the queue has any. Those that cannot meet it follow: first those of
// returning clients if they are deferred, then the ones for which earlier stages were computed, then by rank and order of arrival.
func (q *queue) servingOrder(now time.Time) []*task {
	var onTime [router.RankCount][]*task
	var late []*task
	nextCallEnd := now.Add(q.nextCallDuration())
	q.inspect(len(q.tasks))
	for _, t := range q.tasks {
		if t.usesLeftover || nextCallEnd.After(q.dueAt(t)) {
			late = append(late, t)
			continue
		}
		rank := min(max(t.Rank, 0), router.RankCount-1)
		onTime[rank] = append(onTime[rank], t)
	}
	ordered := make([]*task, 0, len(q.tasks))
	for first := 0; first < router.RankCount; first += router.RanksPerPriority {
		ordered = q.mergeByShare(ordered, onTime[first:first+router.RanksPerPriority], first, now)
	}
	slices.SortFunc(late, func(a, b *task) int {
		return cmp.Or(compareLeftover(a, b), -cmp.Compare(progress(a), progress(b)), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.sequence, b.sequence))
	})
	return append(ordered, late...)
}

// progress returns 1 for a task that depends on computed stages, else 0.
func progress(t *task) int {
	if t.hasInputs() {
		return 1
	}
	return 0
}

// mergeByShare appends the tasks of one priority to ordered, each time the first task of
// the rank that has received the least for its weight. first is the first of the ranks.
func (q *queue) mergeByShare(ordered []*task, byRank [][]*task, first int, now time.Time) []*task {
	var computed, weights [router.RanksPerPriority]float64
	for n := range byRank {
		if q.shares != nil && q.shares.isBacklogged {
			q.sortByShare(byRank[n])
		} else {
			slices.SortFunc(byRank[n], func(a, b *task) int {
				return cmp.Or(a.SoftDeadline.Compare(b.SoftDeadline), cmp.Compare(a.sequence, b.sequence))
			})
		}
		q.usage[first+n].decay(now)
		computed[n], weights[n] = q.usage[first+n].computed, q.weight(first+n)
	}
	for {
		next := -1
		for n := range byRank {
			if len(byRank[n]) > 0 && (next < 0 || computed[n]/weights[n] < computed[next]/weights[next]) {
				next = n
			}
		}
		if next < 0 {
			return ordered
		}
		t := byRank[next][0]
		byRank[next] = byRank[next][1:]
		computed[next] += float64(len(t.queued))
		ordered = append(ordered, t)
	}
}
