package rater

import "time"

const (
	// loadBins is the number of ranges of load, each an equal part of the replica's slots, for which
	// the average pace is kept.
	loadBins = 8
	// binWeight is the weight of the newest pace in the average of its range.
	binWeight = 0.05
	// minBinSamples is the number of paces from which a range counts. Fewer samples mistake a short
	// slow phase for an effect of the load.
	minBinSamples = 20
	// slowdownRatio is the ratio of the average pace in a range to that in the ranges below from
	// which the load counts as too high.
	slowdownRatio = 1.33
	// binRetention is how long a range without samples counts.
	binRetention = 30 * time.Second
)

// loadBin is the average pace of a replica in one range of load.
type loadBin struct {
	pace  float64
	count int
	at    time.Time
}

// loadLimit learns up to which load a replica does not slow down.
type loadLimit struct {
	bins  [loadBins]loadBin
	slots int
}

// observe adds the pace at a load.
func (l *loadLimit) observe(pace float64, load, slots int, now time.Time) {
	if slots <= 0 || load <= 0 {
		return
	}
	if slots != l.slots {
		*l = loadLimit{slots: slots}
	}
	b := &l.bins[min((load-1)*loadBins/slots, loadBins-1)]
	if now.Sub(b.at) > binRetention {
		*b = loadBin{}
	}
	b.count++
	b.pace += max(binWeight, 1/float64(b.count)) * (bound(pace) - b.pace)
	b.at = now
}

// value returns the limit, or zero if the replica is not known to slow down with its load.
func (l *loadLimit) value(now time.Time) int {
	below, samples := 0.0, 0
	for i := range l.bins {
		b := &l.bins[i]
		if b.count < minBinSamples || now.Sub(b.at) > binRetention {
			continue
		}
		if samples > 0 && b.pace > slowdownRatio*below {
			return max(i*l.slots/loadBins, 1)
		}
		below = (below*float64(samples) + b.pace*float64(b.count)) / float64(samples+b.count)
		samples += b.count
	}
	return 0
}
