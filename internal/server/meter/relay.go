package meter

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Relay counts relayed requests. It implements relayer.Meter.
type Relay struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	attemptSeconds *prometheus.HistogramVec
	stagesSeconds  *prometheus.HistogramVec
}

// durationBuckets are from 1 ms to 16 s.
func durationBuckets() []float64 { return prometheus.ExponentialBuckets(0.001, 2, 15) }

// NewRelay returns a Relay with its own registry.
func NewRelay() *Relay {
	m := &Relay{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_relayed_total", Help: "Relayed requests by route, outcome and status.",
		}, []string{"route", "outcome", "status"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oriolemill_relayed_seconds", Help: "Time of a relayed request, to its end.", Buckets: durationBuckets(),
		}, []string{"route", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_relay_attempts_total", Help: "Attempts at replicas by service and what they showed.",
		}, []string{"service", "fate"}),
		attemptSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oriolemill_relay_attempt_seconds", Help: "Time of an attempt at a replica.", Buckets: durationBuckets(),
		}, []string{"service"}),
		stagesSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oriolemill_relay_staged_seconds", Help: "Time until a request's stages were made.", Buckets: durationBuckets(),
		}, []string{"route"}),
	}
	m.registry.MustRegister(m.requests, m.requestSeconds, m.attempts, m.attemptSeconds, m.stagesSeconds, collectors.NewGoCollector())
	return m
}

// Registry returns the registry that holds all counters.
func (m *Relay) Registry() *prometheus.Registry { return m.registry }

// Gauge adds a counter that is read when it is asked for.
func (m *Relay) Gauge(collector prometheus.Collector) { m.registry.MustRegister(collector) }

// Ended implements relayer.Meter.
func (m *Relay) RecordRequest(route, outcome string, status int, took time.Duration) {
	m.requests.WithLabelValues(route, outcome, strconv.Itoa(status)).Inc()
	m.requestSeconds.WithLabelValues(route, outcome).Observe(took.Seconds())
}

// Attempted implements relayer.Meter.
func (m *Relay) RecordAttempt(service, fate string, took time.Duration) {
	m.attempts.WithLabelValues(service, fate).Inc()
	m.attemptSeconds.WithLabelValues(service).Observe(took.Seconds())
}

// Staged implements relayer.Meter.
func (m *Relay) RecordStages(route string, took time.Duration) {
	m.stagesSeconds.WithLabelValues(route).Observe(took.Seconds())
}
