package pauser

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the metrics of the pauser.
func (p *Pauser) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "oriolemill_pauses_requested_total", Help: "Refusals in which a replica requested a pause.",
		}, func() float64 { return float64(p.requestedCount.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "oriolemill_pauses_breached_total", Help: "Responses to requests that were sent in a pause that their replica had requested.",
		}, func() float64 { return float64(p.breachedCount.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriolemill_replicas_paused", Help: "Replicas that want no requests from this instance now.",
		}, func() float64 { return float64(p.PausedReplicas()) }),
	}
}
