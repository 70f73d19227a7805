package watcher

import "time"

// maxHistorySamples is the number of samples kept, one each loadPollInterval: 8 s.
const maxHistorySamples = 16

// inflightHistory holds the recent numbers of own attempts in progress at an upstream,
// so that a delayed load report is compared with the number at the time of the report.
type inflightHistory struct {
	// samples is a ring buffer and count the number of samples ever added.
	samples [maxHistorySamples]sample
	count   int
}

// sample is the number of own attempts in progress at a time.
type sample struct {
	at       time.Time
	inflight int64
}

// add adds a sample in place of the oldest.
func (h *inflightHistory) add(at time.Time, inflight int64) {
	h.samples[h.count%maxHistorySamples] = sample{at: at, inflight: inflight}
	h.count++
}

// at returns the number of attempts in the sample nearest to a time, or zero if there
// are no samples.
func (h *inflightHistory) at(when time.Time) int64 {
	var nearest sample
	for i, s := range h.samples[:min(h.count, maxHistorySamples)] {
		if i == 0 || s.at.Sub(when).Abs() < nearest.at.Sub(when).Abs() {
			nearest = s
		}
	}
	return nearest.inflight
}
