package batcher

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server/router"
)

// SharePolicy states between whom the throughput of a priority is shared in a backlog.
type SharePolicy string

// The share policies: SharesOfRanks shares between ranks only, SharesOfWorkspaces also between the
// workspaces of a rank. The zero value counts as SharesOfRanks.
const (
	SharesOfRanks      SharePolicy = "ranks"
	SharesOfWorkspaces SharePolicy = "workspaces"
)

// ParseSharePolicy returns the policy of a name.
func ParseSharePolicy(name string) (SharePolicy, error) {
	if policy := SharePolicy(name); policy == SharesOfRanks || policy == SharesOfWorkspaces {
		return policy, nil
	}
	return "", fmt.Errorf("shares: %q is not allowed; use %s or %s", name, SharesOfRanks, SharesOfWorkspaces)
}

// sharesTTL is how long after a backlog the shares received in it still count. A backlog in a
// burst ends and begins again within a call, about 0.3 s.
const sharesTTL = 2 * time.Second

// minRequested is the recently requested work below which a workspace is forgotten.
const minRequested = 0.01

// workspaceKey identifies the tasks of a workspace in a rank. Requests without a workspace
// count as one workspace.
type workspaceKey struct {
	rank      int
	workspace string
}

// workspaceShares shares the computed work of each rank between its workspaces by start-time
// fair queueing: a task starts at the virtual time at which the workspace's task before it
// ends, but not before the current virtual time, and ends later by its work, in pieces of the planned time. Tasks with the
// earliest start go first. So workspaces with a backlog get the same work, those
// that ask for less get all of it, and no workspace saves up what it did not ask for. Starts
// instead of ends are compared so that a task with many pieces does not wait longer than a small one.
type workspaceShares struct {
	// ends is the virtual time at which the last started task of a workspace ends.
	ends map[workspaceKey]float64
	// virtualTimes is the latest start of a task, by rank.
	virtualTimes [router.RankCount]float64
	// requested sums the recently requested work of a workspace.
	requested map[workspaceKey]*rankUsage
	// backlog is the last sum of the queued work, or nil.
	backlog *workBacklog
	// isBacklogged is set while the queue is backlogged; backloggedAt is when it last was.
	isBacklogged bool
	backloggedAt time.Time
}

func newWorkspaceShares() *workspaceShares {
	return &workspaceShares{ends: make(map[workspaceKey]float64), requested: make(map[workspaceKey]*rankUsage)}
}

// recordRequested adds requested work to that of a workspace.
func (s *workspaceShares) recordRequested(t *task, work float64, now time.Time) {
	key := keyOf(t)
	if s.requested[key] == nil {
		s.requested[key] = &rankUsage{}
	}
	s.requested[key].decay(now)
	s.requested[key].requested += work
}

// requestRates returns the recently requested work per second of the workspaces of a rank. It
// forgets the workspaces that request hardly anything.
func (s *workspaceShares) requestRates(rank int, now time.Time) map[workspaceKey]float64 {
	rates := make(map[workspaceKey]float64)
	for key, usage := range s.requested {
		usage.decay(now)
		if usage.requested < minRequested {
			delete(s.requested, key)
		} else if key.rank == rank {
			rates[key] = usage.requested * math.Ln2 / rankHalfLife.Seconds()
		}
	}
	return rates
}

// keyOf returns the workspace of a task. A rank out of range counts as the nearest.
func keyOf(t *task) workspaceKey {
	return workspaceKey{rank: min(max(t.Rank, 0), router.RankCount-1), workspace: t.Workspace}
}

// nextStart returns the virtual time at which the next task of a workspace starts.
func (s *workspaceShares) nextStart(key workspaceKey) float64 {
	return max(s.ends[key], s.virtualTimes[key.rank])
}

// lead returns by how much the virtual time at which a workspace's next task starts is ahead of the current one.
func (s *workspaceShares) lead(key workspaceKey) float64 {
	return max(s.ends[key]-s.virtualTimes[key.rank], 0)
}

// updateShares records whether the queue is backlogged. sharesTTL after a backlog it forgets the
// shares received in it.
func (q *queue) updateShares(now time.Time) {
	s := q.shares
	if s == nil {
		return
	}
	if s.isBacklogged = q.isBacklogged(); s.isBacklogged {
		s.backloggedAt = now
	} else if len(s.ends) > 0 && now.Sub(s.backloggedAt) > sharesTTL {
		clear(s.ends)
		clear(s.virtualTimes[:])
	}
}

// recordStart charges a workspace for the work of a task when the first of them becomes part
// of a call. Without a recent backlog nothing is charged.
func (s *workspaceShares) recordStart(t *task, work float64, now time.Time) {
	if s.backloggedAt.IsZero() || now.Sub(s.backloggedAt) > sharesTTL {
		return
	}
	key := keyOf(t)
	start := s.nextStart(key)
	s.ends[key] = start + work
	s.virtualTimes[key.rank] = max(s.virtualTimes[key.rank], start)
}

// sortByShare orders the tasks of one rank that are on time. Started tasks come first, since the work on them would be
// wasted if they failed. Others follow by their start; see workspaceShares. Within a
// workspace, those of returning clients come first, then those that are due first.
func (q *queue) sortByShare(tasks []*task) {
	for _, t := range tasks {
		t.due = q.dueAt(t)
	}
	byDue := func(a, b *task) int {
		return cmp.Or(compareBool(q.prefersReturning(b), q.prefersReturning(a)), a.due.Compare(b.due), cmp.Compare(a.sequence, b.sequence))
	}
	slices.SortFunc(tasks, byDue)
	next := make(map[workspaceKey]float64)
	for _, t := range tasks {
		if t.start = 0; t.isStarted {
			continue
		}
		key := keyOf(t)
		start, isKnown := next[key]
		if !isKnown {
			start = q.shares.nextStart(key)
		}
		t.start, next[key] = start, start+q.taskWork(t)
	}
	slices.SortStableFunc(tasks, func(a, b *task) int {
		return cmp.Or(compareBool(b.isStarted, a.isStarted), cmp.Compare(a.start, b.start), a.due.Compare(b.due), cmp.Compare(a.sequence, b.sequence))
	})
}

// prefersReturning reports whether a task goes first in its workspace as that of a returning client. Where returning clients
// use left-over capacity, none does.
func (q *queue) prefersReturning(t *task) bool { return t.IsReturning && !q.hasLeftoverRule }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// dueAt returns the time by which a call with pieces of a task must end so that it counts as on
// time: its soft deadline, or with shares of workspaces its hard deadline for a returning client and in a backlog for a
// started task. A returning client has usually missed the goal of its
// route already, and the work on a started task would be wasted. In a backlog a task that
// needs several calls is due earlier by the time that the calls begin after each other.
func (q *queue) dueAt(t *task) time.Time {
	switch {
	case q.shares == nil, !q.prefersReturning(t) && !q.shares.isBacklogged:
		return t.SoftDeadline
	case q.prefersReturning(t) || t.isStarted:
		return t.HardDeadline
	default:
		return t.SoftDeadline.Add(-q.callSpread(len(t.queued)))
	}
}

// callSpread returns the time between the starts of the first and the last of the calls that
// a number of pieces needs, if all replicas are busy with full calls.
func (q *queue) callSpread(pieces int) time.Duration {
	if pieces <= q.batch.MaxPieces || q.batch.MaxPieces == 0 {
		return 0
	}
	calls := (pieces - 1) / q.batch.MaxPieces
	return time.Duration(calls) * q.callDuration(q.batch.MaxPieces) / time.Duration(max(len(q.replicas)*q.batch.Slots, 1))
}
