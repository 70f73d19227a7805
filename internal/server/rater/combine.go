package rater

import (
	"math"
	"slices"
	"time"
)

const (
	// minReports and minReporters are the least numbers of inferred paces, and of instances they are
	// from, that an owner combines, so that the slow path of one instance changes nothing. combinedReports
	// is the number of latest ones that it combines: more of them outlast the recovery of a replica that
	// gets few requests.
	minReports      = 3
	minReporters    = 2
	combinedReports = 5
	// combinedTime is the time constant of the average of the medians of inferred paces, and combinedLifetime
	// how long that is kept without one. Latencies arrive late: without an average, all instances together
	// leave a replica and return to it, and queues grow. Half of this time still raised the 95th percentile
	// when paces change every 600 ms.
	combinedTime     = 5 * time.Second
	combinedLifetime = 10 * time.Second
	// maxCombinedStep bounds the time for which one median counts.
	maxCombinedStep = 2 * time.Second
	// reportWindow is how long an owner considers inferred paces that were reported: at 90 replicas, the
	// reports allow one of each in 1.4 s.
	reportWindow = 6 * time.Second
	// maxReports bounds the reports kept of one replica.
	maxReports = 32
)

// combinedPace is the average of the inferred paces that instances have reported.
type combinedPace struct {
	pace float64
	at   time.Time
	// newest is the time of the newest report that it includes.
	newest time.Time
}

// observe adds the median of reports, of which the newest is from a time. A median without a new report adds
// nothing: reports from before a recovery would otherwise raise the average for as long as they are kept.
func (c *combinedPace) observe(pace float64, newest, now time.Time) {
	if !newest.After(c.newest) {
		return
	}
	elapsed := now.Sub(c.at)
	if elapsed > combinedLifetime {
		c.pace, elapsed = 1, ShareInterval
	}
	weight := 1 - math.Exp(-min(elapsed, maxCombinedStep).Seconds()/combinedTime.Seconds())
	c.pace *= math.Pow(pace/c.pace, weight)
	c.at, c.newest = now, newest
}

// paceAt returns the expected pace at a time, which returns to usual without reports.
func (c *combinedPace) paceAt(now time.Time) float64 {
	return 1 + (c.pace-1)*halvings(now.Sub(c.newest), ratioHalfLife)
}

// combine returns what an owner knows of a replica from all instances; ok is false if that is too
// little. mu must be held.
func (r *Rater) combine(p *replica, now time.Time) (combined sharedSpeed, ok bool) {
	p.reports = slices.DeleteFunc(p.reports, func(e report) bool { return now.Sub(e.at) > reportWindow })
	combined.limit = p.limit.value(now)
	for _, e := range p.reports {
		if combined.limit == 0 {
			combined.limit = e.limit
		}
	}
	if p.stated.isKnown() {
		// The estimate holds now, whenever it was learned.
		combined.pace, combined.at = p.stated.paceAt(now), now
		return combined, now.Sub(p.stated.at) <= sharedLifetime
	}
	reports := slices.Clone(p.reports)
	if p.inferred.count > 0 && now.Sub(p.inferred.at) <= reportWindow {
		reports = append(reports, report{from: r.self, sharedSpeed: sharedSpeed{pace: p.inferred.last(), at: p.inferred.at}})
	}
	slices.SortStableFunc(reports, func(a, b report) int { return b.at.Compare(a.at) })
	reports = reports[:min(len(reports), combinedReports)]
	paces := medianByReporter(reports)
	if len(reports) < minReports || len(paces) < minReporters {
		return combined, false
	}
	p.combined.observe(paces[(len(paces)-1)/2], reports[0].at, now) // the lower one of two
	// All instances would rush to a replica that is shared as fast.
	combined.pace, combined.at = max(p.combined.paceAt(now), 1), now
	return combined, true
}

// medianByReporter returns the median pace that each instance has reported, in ascending order.
func medianByReporter(reports []report) []float64 {
	byReporter := make(map[string][]float64)
	for _, e := range reports {
		byReporter[e.from] = append(byReporter[e.from], e.pace)
	}
	paces := make([]float64, 0, len(byReporter))
	for _, reported := range byReporter {
		paces = append(paces, median(reported))
	}
	slices.Sort(paces)
	return paces
}
