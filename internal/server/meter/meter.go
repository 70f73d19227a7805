// Package meter provides the Prometheus metrics of an instance.
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oriolemill.example/oriolemill/internal/server"
)

// Meter holds the metrics of requests and their stages. It implements server.Observer and is
// safe for concurrent use.
type Meter struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	busySeconds    *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	attemptSeconds *prometheus.HistogramVec
}

// New returns a Meter with its own registry.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_requests_total", Help: "Requests by kind and outcome.",
		}, []string{"kind", "outcome"}),
		busySeconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_stage_busy_seconds_total", Help: "Upstream time by stage.",
		}, []string{"stage"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_attempts_total", Help: "Stage attempts by service and whether the answer was whole.",
		}, []string{"service", "whole"}),
		attemptSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oriolemill_stage_seconds", Help: "Time of a stage attempt.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"service"}),
	}
	m.registry.MustRegister(m.requests, m.busySeconds, m.attempts, m.attemptSeconds)
	return m
}

// Registry returns the registry of the metrics.
func (m *Meter) Registry() *prometheus.Registry { return m.registry }

// Observe records an attempt at an upstream. It implements server.Observer.
func (m *Meter) Observe(o server.Observation) {
	complete := "no"
	if o.OK {
		complete = "yes"
	}
	m.attempts.WithLabelValues(o.Service, complete).Inc()
	m.attemptSeconds.WithLabelValues(o.Service).Observe(o.Duration.Seconds())
}

// RecordRequest records a finished request: its kind, its outcome and the upstream time
// of its stages.
func (m *Meter) RecordRequest(kind string, outcome server.Outcome, _ time.Duration, costs map[string]server.Cost) {
	m.requests.WithLabelValues(kind, string(outcome)).Inc()
	for stage, cost := range costs {
		m.busySeconds.WithLabelValues(stage).Add(cost.BusyTime.Seconds())
	}
}
