package server

import "time"

// SharedInterval returns the interval at which each instance must read so that all
// instances together make at most perSecond reads per second. It is at least
// base.
func SharedInterval(base time.Duration, instances int, perSecond float64) time.Duration {
	return max(base, time.Duration(float64(instances)/perSecond*float64(time.Second)))
}

// InstanceCount returns the number of instances that are reachable or listed as live,
// including this one.
func (s *Snapshot) InstanceCount() int {
	live := 1
	for _, member := range s.members {
		if member.IsReachable || member.Listing.Presence == PresenceLive {
			live++
		}
	}
	return live
}
