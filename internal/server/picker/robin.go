package picker

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Robin picks replicas in round-robin order, regardless of load. It implements
// server.Picker and is the baseline of measurements.
type Robin struct {
	next atomic.Uint64
}

// NewRobin returns a Robin picker.
func NewRobin() *Robin { return &Robin{} }

// Pick implements server.Picker.
func (r *Robin) Pick(snapshot *server.Snapshot, ask *server.Ask, _ time.Time, _ *rand.Rand) *server.Upstream {
	upstreams := snapshot.Upstreams(ask.Service)
	if len(upstreams) == 0 {
		return nil
	}
	return upstreams[r.next.Add(1)%uint64(len(upstreams))]
}
