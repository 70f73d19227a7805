package limiter

import (
	"math"
	"time"
)

// strategy is a way of enforcing a limit across all instances.
type strategy struct {
	name string
	// hasOwner is false if each instance uses an equal share of the limit.
	hasOwner bool
	// hops is the number of messages it takes to reach the owner.
	hops int
	// copies is the number of successors that receive a copy of each grant, one of
	// which becomes the owner after a failure.
	copies int
}

func strategies() []strategy {
	return []strategy{
		{name: "equal split"},
		{name: "owner with credits", hasOwner: true, hops: 1},
		{name: "ring with successors", hasOwner: true, hops: int(math.Ceil(math.Log2(simInstances))) / 2, copies: 2},
	}
}

// scenario is the load and the faults of one run.
type scenario struct {
	name string
	// offeredRate returns the requests per second that all clients send together.
	offeredRate func(at time.Duration) float64
	// weight returns the relative part of them that an instance receives.
	weight func(i int, at time.Duration) float64
	// condition returns an instance's condition at a time.
	condition func(i, owner int, at time.Duration) condition
	// faultFree marks scenarios in which nothing fails.
	faultFree bool
}

// condition is the state of an instance: whether it runs, its side of a network
// partition, and how often it was replaced.
type condition struct {
	down        bool
	paused      bool
	partition   int
	incarnation int
}

func constantRate(times float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return simRate * times }
}

func equalWeight(int, time.Duration) float64 { return 1 }

func alwaysHealthy(int, int, time.Duration) condition { return condition{} }

func isBetween(at time.Duration, from, to int) bool {
	return at >= time.Duration(from)*time.Second && at < time.Duration(to)*time.Second
}

func scenarios() []scenario {
	return []scenario{
		{name: "even balancer", offeredRate: constantRate(1.5), weight: equalWeight, condition: alwaysHealthy, faultFree: true},
		{name: "uneven balancer", offeredRate: constantRate(1.5), faultFree: true, condition: alwaysHealthy, weight: func(i int, _ time.Duration) float64 {
			if i == 3 {
				return 50
			}
			return 1
		}},
		{name: "burst", weight: equalWeight, condition: alwaysHealthy, offeredRate: func(at time.Duration) float64 {
			if isBetween(at, 20, 25) {
				return 5 * simRate
			}
			return 0.5 * simRate
		}},
		{name: "owner fails", offeredRate: constantRate(1.5), weight: equalWeight, condition: func(i, owner int, at time.Duration) condition {
			return condition{down: i == owner && at >= 20*time.Second}
		}},
		{name: "owner paused", offeredRate: constantRate(1.5), weight: equalWeight, condition: func(i, owner int, at time.Duration) condition {
			return condition{paused: i == owner && isBetween(at, 20, 35)}
		}},
		{name: "network partition", offeredRate: constantRate(1.5), weight: equalWeight, condition: func(i, _ int, at time.Duration) condition {
			if isBetween(at, 20, 40) && i < 4 {
				return condition{partition: 1}
			}
			return condition{}
		}},
		{name: "rolling replacement", offeredRate: constantRate(1.5), weight: equalWeight, condition: func(i, _ int, at time.Duration) condition {
			begin := time.Duration(10+4*i) * time.Second
			return condition{down: at >= begin && at < begin+time.Second, incarnation: boolInt(at >= begin)}
		}},
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
