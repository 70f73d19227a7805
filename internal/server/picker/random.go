package picker

import (
	"math/rand/v2"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Random picks a random allowed replica, regardless of load and cache. It implements
// server.Picker and is the baseline of measurements of shared prefixes.
type Random struct{}

// NewRandom returns a Random picker.
func NewRandom() Random { return Random{} }

// Pick implements server.Picker, with the same conditions as Picker.
func (Random) Pick(snapshot *server.Snapshot, request *server.PickRequest, now time.Time, random *rand.Rand) *server.Upstream {
	for level := strict; level < strictnessCount; level++ {
		c := selection{snapshot: snapshot, request: request, now: now, level: level}
		var picked *server.Upstream
		for _, u := range snapshot.Upstreams(request.Service) {
			if !c.isAllowed(u) {
				continue
			}
			c.candidateCount++
			if random.IntN(c.candidateCount) == 0 {
				picked = u
			}
		}
		if picked != nil {
			return picked
		}
	}
	return nil
}
