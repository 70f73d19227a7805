package batcher

import (
	"time"

	"oriolemill.example/oriolemill/internal/server/router"
)

// waitIterations is the number of steps in which the wait of a task is found. Each step adds the pieces
// that others request in the wait found before; after eight steps the rest is below a tenth at usual loads.
const waitIterations = 8

// shareEstimate explains when a workspace's new task would be computed.
type shareEstimate struct {
	// wait is the time until all pieces of the task are computed.
	wait time.Duration
	// queuedWork is the work of the pieces of the workspace in the rank that are computed before; see pieceWork.
	queuedWork float64
	// workspaces is the number of workspaces with queued pieces in the rank, the task's included.
	workspaces int
	// perSecond is the equal share of the workspaces in work per second.
	perSecond float64
}

// refusal reports whether a new task is refused at once since its workspace's share does
// not suffice to compute it on time, and why. It is called before the task is queued. Nothing is refused without a backlog,
// nor a task for which earlier stages were computed.
func (q *queue) refusal(t *task, now time.Time) (shareEstimate, bool) {
	if q.shares == nil || t.hasInputs() || q.hasLeftoverRule && t.IsReturning || !q.isBacklogged() {
		return shareEstimate{}, false
	}
	estimate, ok := q.estimateShare(t, now)
	return estimate, ok && now.Add(estimate.wait).After(q.dueOnArrival(t))
}

// dueOnArrival is dueAt for a task whose pieces are not queued yet.
func (q *queue) dueOnArrival(t *task) time.Time {
	if q.prefersReturning(t) {
		return t.HardDeadline
	}
	return t.SoftDeadline.Add(-q.callSpread(len(t.Pieces)))
}

// estimateShare estimates when a task is computed by the shares of its rank: it starts when the virtual time reaches the
// end of its workspace's tasks before it. Until then every other workspace gets what it asks for, at most up to the
// same virtual time. What others ask for meanwhile follows from what they requested lately, so the wait is found
// by iteration. A started task is completed first, so its size matters only for those after it.
// ok is false if no replica takes calls.
func (q *queue) estimateShare(t *task, now time.Time) (estimate shareEstimate, ok bool) {
	untilNextCall, perSecond := q.throughput(now)
	if untilNextCall < 0 || perSecond == 0 {
		return shareEstimate{}, false
	}
	own, backlog := keyOf(t), q.workBacklog(now)
	perSecond *= q.averageWork()
	perSecondOfRank := perSecond * q.rankShare(own.rank, backlog, now)
	estimate.queuedWork = backlog.pending[own]
	if q.prefersReturning(t) {
		estimate.queuedWork = backlog.returning[own]
	}
	others := q.shares.competitors(own, backlog, now)
	estimate.workspaces = 1
	for _, other := range others {
		if other.pending > 0 {
			estimate.workspaces++
		}
	}
	estimate.perSecond = perSecondOfRank / float64(estimate.workspaces)
	urgent, queueing := 0.0, 0.0
	for rank := range own.rank - own.rank%router.RanksPerPriority {
		urgent += backlog.started[rank] + backlog.unstarted[rank]
	}
	ownWork := backlog.started[own.rank] + estimate.queuedWork + q.taskWork(t)
	ownStart := q.shares.lead(own) + estimate.queuedWork
	for range waitIterations {
		work := ownWork
		for _, other := range others {
			work += min(other.pending+other.rate*queueing, max(ownStart-other.lead, 0))
		}
		queueing = urgent/perSecond + work/perSecondOfRank
	}
	estimate.wait = untilNextCall + time.Duration(queueing*float64(time.Second)) + q.typicalDuration()
	return estimate, true
}

// competitor is another workspace of the rank of a task: its queued and its recently requested work per second, and how
// far its next task starts after the current virtual time.
type competitor struct {
	pending, rate, lead float64
}

// competitors returns the other workspaces of a rank.
func (s *workspaceShares) competitors(own workspaceKey, backlog *workBacklog, now time.Time) []competitor {
	rates := s.requestRates(own.rank, now)
	others := make([]competitor, 0, len(rates))
	for key, rate := range rates {
		if key != own {
			others = append(others, competitor{pending: backlog.pending[key], rate: rate, lead: s.lead(key)})
		}
	}
	return others
}

// workBacklogTTL is how long a sum of the queued work is used. About 7 of several hundred pieces become part
// of calls in this time, and the sum takes 0.1 ms of a processor.
const workBacklogTTL = 10 * time.Millisecond

// workBacklog sums the queued work that can be computed on time: of tasks of which no piece is in a call by workspace, the
// part of returning clients, and by rank; and that of started tasks by rank.
type workBacklog struct {
	pending, returning map[workspaceKey]float64
	started, unstarted [router.RankCount]float64
	// pieces counts the queued pieces of a workspace, also those of started tasks.
	pieces   map[workspaceKey]int
	summedAt time.Time
}

// workBacklog returns a sum of the queued work that is not older than workBacklogTTL, except for tasks added since.
func (q *queue) workBacklog(now time.Time) *workBacklog {
	if b := q.shares.backlog; b != nil && now.Sub(b.summedAt) < workBacklogTTL {
		return b
	}
	b := &workBacklog{pending: make(map[workspaceKey]float64), returning: make(map[workspaceKey]float64), pieces: make(map[workspaceKey]int), summedAt: now}
	nextCallEnd := now.Add(q.nextCallDuration())
	for _, t := range q.tasks {
		if !t.isFinished && !t.usesLeftover && !nextCallEnd.After(q.dueAt(t)) {
			b.add(t, q.pieceWork(t))
		}
	}
	q.shares.backlog = b
	return b
}

// add adds the queued pieces of a task.
func (b *workBacklog) add(t *task, pieceWork float64) {
	key, work := keyOf(t), pieceWork*float64(len(t.queued))
	b.pieces[key] += len(t.queued)
	if t.isStarted {
		b.started[key.rank] += work
		return
	}
	b.unstarted[key.rank] += work
	b.pending[key] += work
	if t.IsReturning {
		b.returning[key] += work
	}
}

// rankShare returns the part of the throughput of its priority that a rank gets while the ranks
// of the backlog have queued pieces.
func (q *queue) rankShare(rank int, backlog *workBacklog, now time.Time) float64 {
	first, weights := rank-rank%router.RanksPerPriority, 0.0
	for other := first; other < first+router.RanksPerPriority; other++ {
		q.usage[other].decay(now)
		if other == rank || backlog.started[other]+backlog.unstarted[other] > 0 {
			weights += q.weight(other)
		}
	}
	return q.weight(rank) / weights
}

// limitToShares lowers the number of pieces of each rank that are computed before a new
// one, to those before one of a workspace that has no queued pieces: at most a call's worth
// of each other workspace. Which workspace a request belongs to is not known to the sender of the
// estimate, so that the owner refuses those of workspaces with a longer queue; see refusal.
func (q *queue) limitToShares(onTime *[router.RankCount]int, now time.Time) {
	var limits [router.RankCount]int
	for key, pieces := range q.workBacklog(now).pieces {
		limits[key.rank] += min(pieces, q.batch.MaxPieces)
	}
	for rank := range onTime {
		onTime[rank] = min(onTime[rank], max(limits[rank], q.batch.MaxPieces))
	}
}
