package rater

import "time"

const (
	// A replica is classified as slow from slowPace on, and no longer below normalPace. These
	// compare lasting paces: replicas that are slow for 600 ms at times average 1.2.
	slowPace   = 1.6
	normalPace = 1.3
	// maxLines is the number of log lines about slow replicas in each lineWindow.
	maxLines   = 10
	lineWindow = time.Minute
)

// lineBudget bounds the number of log lines.
type lineBudget struct {
	windowStart time.Time
	count       int
	// omitted is the number of lines that were not written since the last one.
	omitted int
}

// take reports whether a line may be written.
func (b *lineBudget) take(now time.Time) bool {
	if now.Sub(b.windowStart) >= lineWindow {
		b.windowStart, b.count = now, 0
	}
	if b.count >= maxLines {
		b.omitted++
		return false
	}
	b.count++
	return true
}

// lastingPace returns the pace of a replica without its short phases.
func (p *replica) lastingPace(now time.Time) float64 {
	if p.stated.isKnown() {
		return p.stated.averageAt(now)
	}
	return p.inferred.paceAt(now)
}

// classify updates whether a replica counts as slow, and logs changes. mu must be held.
func (r *Rater) classify(s *service, p *replica, now time.Time) {
	pace := p.lastingPace(now)
	isSlow := pace >= slowPace || p.isSlow && pace >= normalPace
	if isSlow == p.isSlow {
		return
	}
	p.isSlow = isSlow
	if !r.lines.take(now) {
		return
	}
	message := "replica is no longer slow"
	if isSlow {
		message = "replica is slow"
	}
	r.log.Info(message, "service", s.name, "replica", p.id, "pace_percent", percent(pace), "limit", p.limit.value(now), "omitted_lines", r.lines.omitted)
	r.lines.omitted = 0
}
