package meter

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// RelayMeter holds the metrics of relayed requests. It implements relayer.Meter and is
// safe for concurrent use.
type RelayMeter struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	returning      *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	attemptSeconds *prometheus.HistogramVec
	stagesSeconds  *prometheus.HistogramVec
	timerDelay     prometheus.Histogram
}

// durationBuckets returns the upper bounds of histogram buckets from 1 ms to 16 s.
func durationBuckets() []float64 { return prometheus.ExponentialBuckets(0.001, 2, 15) }

// NewRelayMeter returns a RelayMeter with its own registry.
func NewRelayMeter() *RelayMeter {
	m := &RelayMeter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_relayed_total", Help: "Relayed requests by route, outcome and status.",
		}, []string{"route", "outcome", "status"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oriolemill_relayed_seconds", Help: "Time of a relayed request, to its end.", Buckets: durationBuckets(),
		}, []string{"route", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_relay_attempts_total", Help: "Attempts at replicas by service, what they showed and the framing of the response.",
		}, []string{"service", "fate", "framing"}),
		attemptSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oriolemill_relay_attempt_seconds", Help: "Time of an attempt at a replica.", Buckets: durationBuckets(),
		}, []string{"service"}),
		stagesSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oriolemill_relay_staged_seconds", Help: "Time until a request's stages were made.", Buckets: durationBuckets(),
		}, []string{"route"}),
		timerDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oriolemill_timer_delay_seconds", Help: "Time by which timers fire late.", Buckets: durationBuckets(),
		}),
	}
	m.returning = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "oriolemill_relay_returning_total", Help: "Requests of clients that were refused before, by route and outcome.",
	}, []string{"route", "outcome"})
	m.registry.MustRegister(m.requests, m.returning, m.requestSeconds, m.attempts, m.attemptSeconds, m.stagesSeconds, m.timerDelay, collectors.NewGoCollector())
	return m
}

// Registry returns the registry of the metrics.
func (m *RelayMeter) Registry() *prometheus.Registry { return m.registry }

// Register registers a collector whose values are read when metrics are collected. It panics
// if the collector is registered already.
func (m *RelayMeter) Register(collector prometheus.Collector) { m.registry.MustRegister(collector) }

// RecordRequest implements relayer.Meter.
func (m *RelayMeter) RecordRequest(route, outcome string, status int, duration time.Duration) {
	m.requests.WithLabelValues(route, outcome, strconv.Itoa(status)).Inc()
	m.requestSeconds.WithLabelValues(route, outcome).Observe(duration.Seconds())
}

// RecordAttempt implements relayer.Meter.
func (m *RelayMeter) RecordAttempt(service, outcome, framing string, duration time.Duration) {
	m.attempts.WithLabelValues(service, outcome, framing).Inc()
	m.attemptSeconds.WithLabelValues(service).Observe(duration.Seconds())
}

// RecordTimerDelay records by how much a timer fired late.
func (m *RelayMeter) RecordTimerDelay(delay time.Duration) { m.timerDelay.Observe(delay.Seconds()) }

// RecordStages implements relayer.Meter.
func (m *RelayMeter) RecordStages(route string, duration time.Duration) {
	m.stagesSeconds.WithLabelValues(route).Observe(duration.Seconds())
}

// RecordReturning implements relayer.Meter.
func (m *RelayMeter) RecordReturning(route, outcome string) {
	m.returning.WithLabelValues(route, outcome).Inc()
}
