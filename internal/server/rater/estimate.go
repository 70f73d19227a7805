package rater

import (
	"math"
	"slices"
	"time"
)

const (
	// statementLifetime is the time in which a stated pace loses its weight. Phases in which a
	// replica is slow last about 600 ms.
	statementLifetime = 600 * time.Millisecond
	// averageTime is the time constant of the average of stated paces. maxAverageWeight bounds the
	// weight of one statement, since a single one may be from a short slow phase.
	averageTime      = 5 * time.Second
	maxAverageWeight = 0.2
	// averageHalfLife is the time in which the average returns halfway to usual without statements.
	averageHalfLife = 20 * time.Second
	// ratioCount is the number of latency ratios whose median is the inferred pace, minRatios the
	// least number. With three, one long request does not change the median much.
	ratioCount = 5
	minRatios  = 3
	// ratioHalfLife is the time in which an inferred pace returns halfway to usual without samples.
	ratioHalfLife = 3 * time.Second
	// earlierHalfLife is the time in which an earlier ratio returns halfway to usual in the median with later
	// ones. With 3 s, lasting differences were underestimated: replicas of speeds 1, 0.7 and 0.4 had a 95th
	// percentile of 202 instead of 184 ms at 8 instances, and an instance forgot that its own path is slow.
	earlierHalfLife = 15 * time.Second
	// minPace and maxPace bound paces, so that no replica is starved and none attracts all requests.
	minPace = 0.25
	maxPace = 3
)

// statedPace estimates the pace of a replica that states it.
type statedPace struct {
	// average is the average of statements as of at.
	average, last float64
	at            time.Time
}

// observe adds a statement. Statements older than the last one are ignored.
func (s *statedPace) observe(pace float64, at time.Time) {
	pace = bound(pace)
	weight := maxAverageWeight
	if s.at.IsZero() {
		s.average = 1
	} else {
		age := at.Sub(s.at)
		if age < 0 {
			return
		}
		s.average = s.averageAt(at)
		weight = min(1-math.Exp(-age.Seconds()/averageTime.Seconds()), maxAverageWeight)
	}
	s.average += weight * (pace - s.average)
	s.last, s.at = pace, at
}

// isKnown reports whether a pace was stated.
func (s *statedPace) isKnown() bool { return !s.at.IsZero() }

// averageAt returns the average at a time.
func (s *statedPace) averageAt(now time.Time) float64 {
	return 1 + (s.average-1)*halvings(now.Sub(s.at), averageHalfLife)
}

// paceAt returns the expected pace at a time.
func (s *statedPace) paceAt(now time.Time) float64 {
	if !s.isKnown() {
		return 1
	}
	average := s.averageAt(now)
	weight := max(1-now.Sub(s.at).Seconds()/statementLifetime.Seconds(), 0)
	return average + min(weight, 1)*(s.last-average)
}

// inferredPace estimates the pace of a replica from latencies relative to those of its service.
type inferredPace struct {
	// ratios are the last ones, as of at: they return to usual with earlierHalfLife.
	ratios [ratioCount]float64
	count  int
	// median is that of the ratios.
	median float64
	at     time.Time
}

// observe adds the ratio of a latency to the usual one. Were the earlier ratios kept unchanged, each sample of a
// replica that has recovered would renew what was seen of it long before.
func (p *inferredPace) observe(ratio float64, at time.Time) {
	factor := halvings(at.Sub(p.at), earlierHalfLife)
	for n := range min(p.count, ratioCount) {
		p.ratios[n] = 1 + (p.ratios[n]-1)*factor
	}
	p.ratios[p.count%ratioCount] = bound(ratio)
	p.count++
	p.median = median(p.ratios[:min(p.count, ratioCount)])
	p.at = at
}

// isKnown reports whether there are enough ratios.
func (p *inferredPace) isKnown() bool { return p.count >= minRatios }

// last returns the latest ratio.
func (p *inferredPace) last() float64 { return p.ratios[(p.count+ratioCount-1)%ratioCount] }

// paceAt returns the expected pace at a time.
func (p *inferredPace) paceAt(now time.Time) float64 {
	if !p.isKnown() {
		return 1
	}
	return 1 + (p.median-1)*halvings(now.Sub(p.at), ratioHalfLife)
}

// halvings returns the factor by which a value decays in a time.
func halvings(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(elapsed, 0).Seconds() / halfLife.Seconds())
}

// bound returns a pace within the bounds of paces.
func bound(pace float64) float64 { return min(max(pace, minPace), maxPace) }

// median returns the median of values, which are not empty.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
