package rater

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// speedCollector collects the speeds of the replicas that differ from usual.
type speedCollector struct {
	rater *Rater
	// mu serializes collections, since each replaces the values of the gauges.
	mu          sync.Mutex
	pace, limit *prometheus.GaugeVec
}

// Collectors returns the metrics of the rater.
func (r *Rater) Collectors() []prometheus.Collector {
	labels := []string{"service", "replica"}
	return []prometheus.Collector{&speedCollector{
		rater: r,
		pace: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oriolemill_replica_pace", Help: "How long work takes at a replica relative to usual, if it differs by more than a quarter.",
		}, labels),
		limit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oriolemill_replica_load_limit", Help: "Requests in progress above which a replica slows down, if known.",
		}, labels),
	}}
}

// Describe implements prometheus.Collector.
func (c *speedCollector) Describe(descriptions chan<- *prometheus.Desc) {
	c.pace.Describe(descriptions)
	c.limit.Describe(descriptions)
}

// Collect implements prometheus.Collector.
func (c *speedCollector) Collect(metrics chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pace.Reset()
	c.limit.Reset()
	c.rater.setGauges(c.pace, c.limit)
	c.pace.Collect(metrics)
	c.limit.Collect(metrics)
}

// setGauges sets the values of the replicas that differ from usual.
func (r *Rater) setGauges(pace, limit *prometheus.GaugeVec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	for _, s := range r.services {
		for id, p := range s.replicas {
			speed := s.speed(p, now)
			if differs(speed.Pace, 1) {
				pace.WithLabelValues(s.name, id).Set(speed.Pace)
			}
			if speed.Limit > 0 {
				limit.WithLabelValues(s.name, id).Set(float64(speed.Limit))
			}
		}
	}
}
