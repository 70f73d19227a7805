package picker

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// RoundRobin picks replicas in round-robin order, regardless of load, state and model.
// It implements server.Picker and is the baseline of measurements.
type RoundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns a RoundRobin picker.
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Pick implements server.Picker.
func (r *RoundRobin) Pick(snapshot *server.Snapshot, request *server.PickRequest, _ time.Time, _ *rand.Rand) *server.Upstream {
	upstreams := snapshot.Upstreams(request.Service)
	if len(upstreams) == 0 {
		return nil
	}
	return upstreams[r.next.Add(1)%uint64(len(upstreams))]
}
