package throttler

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the metrics of the throttler.
func (t *Throttler) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "oriolemill_limited_granted_total", Help: "Requests granted to a replica while replicas stated limits.",
		}, func() float64 { return float64(t.grantedCount.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "oriolemill_limited_denied_total", Help: "Requests that no replica asked for took within the limit that it states.",
		}, func() float64 { return float64(t.deniedCount.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriolemill_replicas_limited", Help: "Replicas that state a limit of requests a second.",
		}, func() float64 { return float64(t.limitedCount.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriolemill_replicas_cold", Help: "Replicas that take a limited number of requests a second since they are cold.",
		}, func() float64 { return float64(t.coldReplicas()) }),
	}
}
