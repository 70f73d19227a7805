package batcher

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// loadLogInterval is the least time between two log lines about the load of a service.
const loadLogInterval = time.Second

// serviceLoad sums what the decisions about one service have cost since the last log line, and the load that they
// were made under.
type serviceLoad struct {
	since           time.Time
	jobs, calls     int
	decisions       int
	decisionTime    time.Duration
	longestDecision time.Duration
	// mostQueued is the greatest number of queued pieces, mostIdle the greatest number of replicas that could take a call
	// and got none while pieces were queued.
	mostQueued, mostIdle int
}

// decisionMetrics are the metrics of the cost of decisions.
type decisionMetrics struct {
	decisions, seconds prometheus.Counter
	queued             prometheus.Gauge
}

func newDecisionMetrics() decisionMetrics {
	return decisionMetrics{
		decisions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriolemill_batch_decisions_total", Help: "Decisions about calls and estimates of waits, as an owner.",
		}),
		seconds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriolemill_batch_decision_seconds_total", Help: "Time that these decisions took.",
		}),
		queued: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oriolemill_batch_queued_pieces", Help: "Pieces that were queued after the last decision.",
		}),
	}
}

// recordDecision adds the cost of a decision that began at a time, and writes the log line about the load when it is due.
// The caller holds mu.
func (o *Owner) recordDecision(s *ownedService, begunAt time.Time) {
	now := o.timer.Now()
	took := now.Sub(begunAt)
	o.decisionMetrics.decisions.Inc()
	o.decisionMetrics.seconds.Add(took.Seconds())
	o.decisionMetrics.queued.Set(float64(s.queue.length))
	load := &s.load
	load.decisions++
	load.decisionTime += took
	load.longestDecision = max(load.longestDecision, took)
	load.mostQueued = max(load.mostQueued, s.queue.length)
	if now.Sub(load.since) < loadLogInterval {
		return
	}
	if load.jobs > 0 {
		o.log.Info("load of a stage service", "service", s.name, "ms", now.Sub(load.since).Milliseconds(), "jobs", load.jobs, "calls", load.calls, "decisions", load.decisions,
			"decisions_ms", load.decisionTime.Milliseconds(), "longest_us", load.longestDecision.Microseconds(), "queued", load.mostQueued, "idle_replicas", load.mostIdle)
	}
	*load = serviceLoad{since: now}
}

// recordIdle records the replicas that could take a call after a decision and got none though pieces are queued.
func (s *ownedService) recordIdle(now time.Time) {
	if s.queue.length == 0 {
		return
	}
	idle := 0
	for _, b := range s.queue.replicas {
		if !b.isUnregistered && b.activeCalls < s.queue.batch.Slots && !b.isBlocked(now) {
			idle++
		}
	}
	s.load.mostIdle = max(s.load.mostIdle, idle)
}
