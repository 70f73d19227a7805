package blocker

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the metrics of the blocker.
func (b *Blocker) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "oriolemill_prompt_crashes_total", Help: "Attempts that replicas ended without a complete response.",
		}, func() float64 { return float64(b.crashCount.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "oriolemill_prompt_crashes_refuted_total", Help: "Replicas that were suspected to have crashed and still served.",
		}, func() float64 { return float64(b.refutedCount.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "oriolemill_prompt_blocked_total", Help: "Times a request was withheld since it, or a part of its prompt, crashes replicas.",
		}, func() float64 { return float64(b.blockedCount.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriolemill_prompt_parts_blocked", Help: "Requests and parts of prompts that are blocked since they crash replicas.",
		}, func() float64 { return float64(b.blockedParts()) }),
	}
}
