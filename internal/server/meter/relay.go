package meter

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Relay counts relayed requests. It implements relayer.Meter.
type Relay struct {
	registry *prometheus.Registry
	ended    *prometheus.CounterVec
	took     *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	attempt  *prometheus.HistogramVec
	staged   *prometheus.HistogramVec
}

// buckets are from 1 ms to 16 s.
func buckets() []float64 { return prometheus.ExponentialBuckets(0.001, 2, 15) }

// NewRelay returns a Relay with its own registry.
func NewRelay() *Relay {
	m := &Relay{
		registry: prometheus.NewRegistry(),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_relayed_total", Help: "Relayed requests by route, outcome and status.",
		}, []string{"route", "outcome", "status"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oriolemill_relayed_seconds", Help: "Time of a relayed request, to its end.", Buckets: buckets(),
		}, []string{"route", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_relay_attempts_total", Help: "Attempts at replicas by service and what they showed.",
		}, []string{"service", "fate"}),
		attempt: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oriolemill_relay_attempt_seconds", Help: "Time of an attempt at a replica.", Buckets: buckets(),
		}, []string{"service"}),
		staged: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oriolemill_relay_staged_seconds", Help: "Time until a request's stages were made.", Buckets: buckets(),
		}, []string{"route"}),
	}
	m.registry.MustRegister(m.ended, m.took, m.attempts, m.attempt, m.staged, collectors.NewGoCollector())
	return m
}

// Registry returns the registry that holds all counters.
func (m *Relay) Registry() *prometheus.Registry { return m.registry }

// Gauge adds a counter that is read when it is asked for.
func (m *Relay) Gauge(collector prometheus.Collector) { m.registry.MustRegister(collector) }

// Ended implements relayer.Meter.
func (m *Relay) Ended(route, outcome string, status int, took time.Duration) {
	m.ended.WithLabelValues(route, outcome, strconv.Itoa(status)).Inc()
	m.took.WithLabelValues(route, outcome).Observe(took.Seconds())
}

// Attempted implements relayer.Meter.
func (m *Relay) Attempted(service, fate string, took time.Duration) {
	m.attempts.WithLabelValues(service, fate).Inc()
	m.attempt.WithLabelValues(service).Observe(took.Seconds())
}

// Staged implements relayer.Meter.
func (m *Relay) Staged(route string, took time.Duration) {
	m.staged.WithLabelValues(route).Observe(took.Seconds())
}
