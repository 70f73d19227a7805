package watcher

import "time"

// pastSamples is how many samples are kept: eight seconds of load periods.
const pastSamples = 16

// past remembers the own attempts at an upstream, so that a late report is
// compared with what they were when it was taken.
type past struct {
	samples [pastSamples]sample
	count   int
}

// sample is the number of own attempts at a time.
type sample struct {
	at       time.Time
	inflight int64
}

func (p *past) add(at time.Time, inflight int64) {
	p.samples[p.count%pastSamples] = sample{at: at, inflight: inflight}
	p.count++
}

// at returns the sample nearest to a time.
func (p *past) at(when time.Time) int64 {
	var best sample
	for i, s := range p.samples[:min(p.count, pastSamples)] {
		if i == 0 || s.at.Sub(when).Abs() < best.at.Sub(when).Abs() {
			best = s
		}
	}
	return best.inflight
}
