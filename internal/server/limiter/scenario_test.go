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
	// offered returns the requests per second that all clients send together.
	offered func(at time.Duration) float64
	// weight returns the relative part of them that an instance receives.
	weight func(i int, at time.Duration) float64
	// state returns an instance's condition at a time.
	state func(i, owner int, at time.Duration) condition
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

func healthy(int, int, time.Duration) condition { return condition{} }

func between(at time.Duration, from, to int) bool {
	return at >= time.Duration(from)*time.Second && at < time.Duration(to)*time.Second
}

func scenarios() []scenario {
	return []scenario{
		{name: "even balancer", offered: constantRate(1.5), weight: equalWeight, state: healthy, faultFree: true},
		{name: "uneven balancer", offered: constantRate(1.5), faultFree: true, state: healthy, weight: func(i int, _ time.Duration) float64 {
			if i == 3 {
				return 50
			}
			return 1
		}},
		{name: "burst", weight: equalWeight, state: healthy, offered: func(at time.Duration) float64 {
			if between(at, 20, 25) {
				return 5 * simRate
			}
			return 0.5 * simRate
		}},
		{name: "owner fails", offered: constantRate(1.5), weight: equalWeight, state: func(i, owner int, at time.Duration) condition {
			return condition{down: i == owner && at >= 20*time.Second}
		}},
		{name: "owner paused", offered: constantRate(1.5), weight: equalWeight, state: func(i, owner int, at time.Duration) condition {
			return condition{paused: i == owner && between(at, 20, 35)}
		}},
		{name: "network partition", offered: constantRate(1.5), weight: equalWeight, state: func(i, _ int, at time.Duration) condition {
			if between(at, 20, 40) && i < 4 {
				return condition{partition: 1}
			}
			return condition{}
		}},
		{name: "rolling replacement", offered: constantRate(1.5), weight: equalWeight, state: func(i, _ int, at time.Duration) condition {
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
