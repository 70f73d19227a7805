package rater

import (
	"math"
	"time"
)

const (
	// minUsualSamples is the number of samples of a size class from which its usual time is used.
	minUsualSamples = 4
	// medianStep is the smallest relative step by which a usual time follows a sample.
	medianStep = 0.02
	// maxSizeClasses bounds the size classes of a service.
	maxSizeClasses = 64
)

// usualTime follows the median time to the response headers of one size class, by a step towards each
// sample, so that rare long times have no more weight than others.
type usualTime struct {
	logSeconds float64
	count      int
}

// observe returns the ratio of a time to the usual one, and adds the time. ok is false as long as
// the usual time is not known.
func (u *usualTime) observe(elapsed time.Duration) (ratio float64, ok bool) {
	ratio, ok = u.ratio(elapsed)
	log := math.Log(max(elapsed, time.Microsecond).Seconds())
	u.count++
	step := max(1/float64(u.count), medianStep)
	switch {
	case u.count == 1:
		u.logSeconds = log
	case log > u.logSeconds:
		u.logSeconds += min(step, log-u.logSeconds)
	default:
		u.logSeconds -= min(step, u.logSeconds-log)
	}
	return ratio, ok
}

// ratio returns the ratio of a time to the usual one.
func (u *usualTime) ratio(elapsed time.Duration) (ratio float64, ok bool) {
	return max(elapsed, time.Microsecond).Seconds() / math.Exp(u.logSeconds), u.count >= minUsualSamples
}
