package batcher

import (
	"slices"
	"time"
)

// taskNeeds is what a replica must have for any of a list of tasks: memory in bytes for the smallest result, and a region
// that tasks allow if hasRegions is set.
type taskNeeds struct {
	memory     int64
	hasRegions bool
}

// needsOf returns what a list of tasks, which has at least one, needs.
func (q *queue) needsOf(tasks []*task) taskNeeds {
	q.inspect(len(tasks))
	needs := taskNeeds{memory: tasks[0].ResultBytes}
	for _, t := range tasks {
		needs.memory = min(needs.memory, t.ResultBytes)
		needs.hasRegions = needs.hasRegions || len(t.Regions) > 0
	}
	return needs
}

// slowdownLimit returns the slowdown above which a replica counts as slow: much slower than the fastest one.
func (q *queue) slowdownLimit() float64 { return slowThreshold * q.bestSlowdown() }

// bestSlowdown returns the slowdown of the fastest replica, or 0 without replicas.
func (q *queue) bestSlowdown() float64 {
	best := 0.0
	q.inspect(len(q.replicas))
	for _, b := range q.replicas {
		if !b.isUnregistered && (best == 0 || b.slowdown < best) {
			best = b.slowdown
		}
	}
	return best
}

// tasksFor returns the tasks whose pieces an idle replica may compute: those that are allowed in its region and, if it is
// so slow that pieces are computed sooner if they wait for another one, are not allowed at any of those.
func (q *queue) tasksFor(b *trackedReplica, tasks []*task, slowdownLimit float64, now time.Time) []*task {
	faster := q.fasterReplicas(b, slowdownLimit, now)
	q.inspect(len(tasks))
	var list []*task
	for _, t := range tasks {
		if b.IsAllowed(t.Regions) && !slices.ContainsFunc(faster, func(other *trackedReplica) bool { return other.IsAllowed(t.Regions) }) {
			list = append(list, t)
		}
	}
	return list
}

// fasterReplicas returns, for an idle replica that is slow, the ones that compute pieces sooner though these wait for them.
func (q *queue) fasterReplicas(slow *trackedReplica, slowdownLimit float64, now time.Time) (faster []*trackedReplica) {
	if slow.slowdown <= slowdownLimit {
		return nil
	}
	length := q.regularLength()
	end := now.Add(q.expectedDuration(slow, min(length, q.batch.MaxPieces)))
	q.inspect(len(q.replicas))
	for _, b := range q.replicas {
		if b.isUnregistered || b == slow || b.slowdown > slowdownLimit || b.isBlocked(now) {
			continue
		}
		// If the queue is longer than one call of each replica, other pieces come first,
		// so the replica makes further calls before this one.
		calls := 1 + length/max(q.batch.MaxPieces*len(q.replicas), 1)
		freeAt := b.freeAt
		if freeAt.Before(now) {
			freeAt = now
		}
		if freeAt.Add(time.Duration(calls) * q.expectedDuration(b, q.batch.MaxPieces)).Before(end) {
			faster = append(faster, b)
		}
	}
	return faster
}
