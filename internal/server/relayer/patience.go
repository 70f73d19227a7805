package relayer

import (
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// firstEventLeast, firstEventGoals and firstEventGaps say how long clients
	// wait for a stream's next event: the longest of a time, of so many goals and
	// of so many gaps. The platform's page on requests states them.
	firstEventLeast = 2 * time.Second
	firstEventGoals = 4
	firstEventGaps  = 8
	// firstShare is the part of a route's longest stated time that first attempts
	// state at least; 0.85 to 1 was seen.
	firstShare = 0.85
)

// patience knows the longest time that clients of each route state, so that one
// that comes back with less is seen to have waited before.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// elapsed returns how long a client has waited at least, as far as its stated
// time tells.
func (p *patience) elapsed(route string, stated time.Duration) time.Duration {
	if stated <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := max(p.longest[route], stated)
	p.longest[route] = longest
	return max(time.Duration(firstShare*float64(longest))-stated, 0)
}

// firstEvent returns how long a client waits for a stream's first event.
func firstEvent(route *server.Route) time.Duration {
	return max(firstEventLeast, firstEventGoals*route.Goal, firstEventGaps*route.Gap)
}
