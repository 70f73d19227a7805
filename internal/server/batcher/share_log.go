package batcher

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// maxShedLines bounds the log lines about refused jobs per second.
	maxShedLines = 20
	// minShedWait is the least Retry-After of a refusal after its job was shed, as
	// overloadRetryAfter of the relayer states.
	minShedWait = 4 * time.Second
)

// shedCause is the reason for which a job was refused or shed; it is a label of a metric.
type shedCause string

// The causes: shedByDeadline if no call can end before the hard deadline, shedByLateWait if the job waited too
// long after it could no longer be on time, shedByBacklog if it cannot be on time in a backlog, shedByShare if
// the share of its workspace does not suffice.
const (
	shedByDeadline shedCause = "deadline"
	shedByLateWait shedCause = "late_wait"
	shedByBacklog  shedCause = "backlog"
	shedByShare    shedCause = "share"
)

// The values of the label client of the served pieces.
const (
	clientFirst     = "first"
	clientReturning = "returning"
)

// pieceCounters are the metrics of served and shed pieces.
type pieceCounters struct {
	served, shed, returning *prometheus.CounterVec
}

func newPieceCounters() pieceCounters {
	c := pieceCounters{
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_batch_served_pieces_total", Help: "Pieces of completed jobs, by whether the client is returning.",
		}, []string{"client"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_batch_shed_pieces_total", Help: "Pieces of jobs that were refused or shed, by cause.",
		}, []string{"cause"}),
		returning: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_batch_returning_jobs_total", Help: "Jobs of returning clients where these use left-over capacity, by what became of them.",
		}, []string{"state"}),
	}
	for _, state := range [...]returningState{returningAdmitted, returningServed, returningShed} {
		c.returning.WithLabelValues(string(state))
	}
	for _, client := range [...]string{clientFirst, clientReturning} {
		c.served.WithLabelValues(client)
	}
	for _, cause := range [...]shedCause{shedByDeadline, shedByLateWait, shedByBacklog, shedByShare} {
		c.shed.WithLabelValues(string(cause))
	}
	return c
}

// recordServed counts the pieces of a completed job.
func (c *pieceCounters) recordServed(t *task) {
	client := clientFirst
	if t.IsReturning {
		client = clientReturning
	}
	c.served.WithLabelValues(client).Add(float64(len(t.Pieces)))
}

// Collectors returns the metrics of served and shed pieces and of decisions.
func (o *Owner) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		o.pieceCounters.served, o.pieceCounters.shed, o.pieceCounters.returning,
		o.decisionMetrics.decisions, o.decisionMetrics.seconds, o.decisionMetrics.queued,
	}
}

// shedLimiter bounds the log lines about refused jobs.
type shedLimiter struct {
	windowStart time.Time
	lines       int
	// omitted counts the lines left out since the last one.
	omitted int
}

// allow reports whether a line may be written now, and how many were left out before it.
func (l *shedLimiter) allow(now time.Time) (omitted int, ok bool) {
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.lines = now, 0
	}
	if l.lines >= maxShedLines {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// shed ends a job that is refused or shed for a cause, counts and logs it. The caller holds mu.
func (o *Owner) shed(s *ownedService, t *task, cause shedCause, now time.Time) {
	o.counts.ShedJobs++
	o.pieceCounters.shed.WithLabelValues(string(cause)).Add(float64(len(t.Pieces)))
	o.recordReturning(s, t, returningShed)
	if s.queue.shares != nil {
		o.logShed(s, t, cause, now)
	} else if s.queue.hasLeftoverRule && t.IsReturning {
		o.logReturningShed(s, t, cause, now)
	}
	// Where returning clients use left-over capacity, the instance that refuses a request remembers the Retry-After that
	// it has stated, which may be shorter than what is recorded here.
	if s.queue.shares != nil && !s.queue.hasLeftoverRule {
		if _, perSecond := s.queue.throughput(now); perSecond > 0 {
			backlog := time.Duration(float64(s.queue.length) / perSecond * float64(time.Second))
			o.refusals.Record(t.Content, max(backlog, minShedWait), t.HardDeadline.Sub(now), now)
		}
	}
	o.finishTask(s, t, server.PieceFailureDeadline)
}

// logShed writes a line that explains why a job was refused or shed, at most maxShedLines per
// second. The caller holds mu.
func (o *Owner) logShed(s *ownedService, t *task, cause shedCause, now time.Time) {
	omitted, ok := o.shedLimiter.allow(now)
	if !ok {
		return
	}
	estimate, _ := s.queue.estimateShare(t, now)
	o.log.Info("pieces refused", "request", t.RequestID, "service", s.name, "stage", t.Stage, "pieces", len(t.Pieces), "cause", string(cause),
		"rank", t.Rank, "workspace", t.Workspace, "returning", t.IsReturning, "share_per_s", int(estimate.perSecond), "workspaces", estimate.workspaces,
		"workspace_queued", int(estimate.queuedWork), "wait_ms", estimate.wait.Milliseconds(), "waited_ms", now.Sub(t.enqueuedAt).Milliseconds(),
		"due_ms", s.queue.dueOnArrival(t).Sub(now).Milliseconds(), "queued", s.queue.length, "omitted", omitted)
}
