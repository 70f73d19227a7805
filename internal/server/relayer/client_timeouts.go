package relayer

import (
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// Clients wait for the next event of a stream, and so for the first one, for the longest
	// of minFirstEventTimeout, firstEventGoals times the goal and firstEventGaps times the gap
	// of the route, as the platform's page on requests states.
	minFirstEventTimeout = 2 * time.Second
	firstEventGoals      = 4
	firstEventGaps       = 8
	// firstAttemptShare is the shortest timeout that a client states in its first attempt,
	// as a fraction of the longest one of the route: first attempts state 0.85 to 1 of it.
	firstAttemptShare = 0.85
	// maxWaitShare is the part of its time left for which a client waits at most before it returns.
	maxWaitShare = 1.0 / 3
	// returnMargin is added to the wait after which a client is recognized as returning. Clients state whole milliseconds,
	// and Retry-After has two decimals.
	returnMargin = 50 * time.Millisecond
)

// clientTimeouts tracks the longest timeout that clients of each route state. A client that
// states much less has waited in earlier attempts. It is safe for concurrent use.
type clientTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// effectiveTimeout returns the timeout that a client states, or that of the route if it is shorter: requests end with the
// latter, and one client that states a day would make all others look as if they had waited.
func effectiveTimeout(route *server.Route, timeout time.Duration) time.Duration {
	if route.Timeout > 0 {
		return min(timeout, route.Timeout)
	}
	return min(timeout, defaultClientTimeout)
}

// waitedBefore returns a lower bound of the time that a client has waited in earlier
// attempts, derived from the timeout that it states for this one; 0 if it states none. It
// updates the longest timeout of the route.
func (c *clientTimeouts) waitedBefore(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := max(c.longest[route], timeout)
	c.longest[route] = longest
	return max(time.Duration(firstAttemptShare*float64(longest))-timeout, 0)
}

// isReturning reports whether a client was refused in an earlier attempt and has waited as the refusal asked, derived
// from the timeout that it states. A client waits for overloadRetryAfter or a third of its time, and states that
// much less than in its first attempt. waitedBefore has recorded the timeout before.
func (c *clientTimeouts) isReturning(route string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := c.longest[route]
	shortestWait := min(overloadRetryAfter, time.Duration(maxWaitShare*float64(longest)))
	return timeout <= longest-shortestWait && timeout < time.Duration(firstAttemptShare*float64(longest))
}

// isRepeated is isReturning for routes whose refusals state when there is capacity, at the earliest after minReturnWait: a
// client that states less than any first attempt has waited.
func (c *clientTimeouts) isRepeated(route string, timeout time.Duration) bool {
	return timeout > 0 && c.minReturnWait(route, timeout) == 0
}

// minReturnWait returns how long a client that states a timeout must wait so that its next attempt is recognized as
// repeated. It is zero for a client that is recognized now.
func (c *clientTimeouts) minReturnWait(route string, timeout time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	firstAttempt := time.Duration(firstAttemptShare * float64(c.longest[route]))
	if timeout < firstAttempt {
		return 0
	}
	return timeout - firstAttempt + returnMargin
}

// timeToGoal returns the time from the arrival of a request until its response is due, for a client
// that has waited in earlier attempts. One that resumes a stream has had the first event; the rest is
// due as after a break within a response.
func timeToGoal(goal, waited time.Duration, isResumed bool) time.Duration {
	if isResumed {
		return goal
	}
	return goal - waited
}

// firstEventTimeout returns how long clients of a route wait for a stream's first event.
func firstEventTimeout(route *server.Route) time.Duration {
	return max(minFirstEventTimeout, firstEventGoals*route.Goal, firstEventGaps*route.EventGap)
}
