package peerer

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the metrics of the links.
func (p *Peerer) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "oriolemill_peer_frames_sent_total", Help: "Frames sent to other instances.",
		}, func() float64 { return float64(p.sentFrames.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "oriolemill_peer_bytes_sent_total", Help: "Bytes of frames sent to other instances, without those of yamux and TLS.",
		}, func() float64 { return float64(p.sentBytes.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriolemill_peer_links", Help: "Open links to other instances.",
		}, func() float64 { return float64(len(p.state.Load().links)) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "oriolemill_peer_silent", Help: "Listed instances that do not answer.",
		}, func() float64 {
			state := p.state.Load()
			return float64(len(state.listedIDs) - len(state.liveIDs))
		}),
	}
}
