package admitter

import (
	"math"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Parameters of this instance's share of a service's capacity.
const (
	// defaultSlots is assumed for a replica that has not reported its slots.
	defaultSlots = 8
	// windowMargin keeps a short queue before the bottleneck, so that no slot is idle.
	windowMargin = 1.2
	// One additional attempt may wait at the replicas for every queueAheadDivisor
	// slots, so that a slot that becomes free is used at once.
	queueAheadDivisor = 8
	// peerInflightWeight is the weight of a new report in the smoothed peerInflight.
	peerInflightWeight = 0.5
)

// capacityEstimate is the estimate of the slots of a service that this instance may
// use. peerInflight is the smoothed number of attempts of the other instances.
type capacityEstimate struct {
	snapshot     *server.Snapshot
	peerInflight float64
	slots        int
}

// slots returns the number of a service's slots that this instance may use, and
// updates it first if the snapshot is newer than the last one.
func (g *concurrencyLimit) slots(snapshot *server.Snapshot, service string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.capacity.snapshot == nil || snapshot.TakenAt().After(g.capacity.snapshot.TakenAt()) {
		g.capacity.update(snapshot, service)
	}
	return g.capacity.slots
}

// attemptLimit returns the number of attempts that may be in progress or waiting at
// replicas for a number of slots.
func attemptLimit(slots int) int { return slots + slots/queueAheadDivisor }

// update applies a new snapshot. Replicas that are leaving or ejected count as having
// no capacity.
func (c *capacityEstimate) update(snapshot *server.Snapshot, service string) {
	var slots, ownInflight, reportedInflight, announcedInflight int
	for _, upstream := range snapshot.Upstreams(service) {
		if upstream.IsLeaving() || upstream.IsEjected() {
			continue
		}
		load := upstream.Load()
		if load.Slots == 0 {
			slots += defaultSlots
			continue
		}
		slots += load.Slots
		ownInflight += int(upstream.InflightAtReport())
		reportedInflight += load.Running + load.Waiting
		announcedInflight += upstream.PeerInflight()
	}
	// Own attempts that begin or end while a load report is in transit distort the
	// difference for a single replica. They cancel out in the sums over all replicas.
	peerInflight := min(max(reportedInflight-ownInflight, announcedInflight, 0), slots)
	c.peerInflight += (float64(peerInflight) - c.peerInflight) * peerInflightWeight
	c.snapshot = snapshot
	c.slots = slotShare(slots, ownInflight, c.peerInflight, len(snapshot.Members())+1)
}

// slotShare returns the number of slots that this instance may use: what the other
// instances leave, but at least an equal share and at least one. If no other
// instance is listed, their number is estimated from the ratio of their attempts to
// ownInflight, the attempts of this instance.
func slotShare(slots, ownInflight int, peerInflight float64, instances int) int {
	if instances <= 1 && peerInflight >= 1 {
		instances = 1 + int(math.Ceil(peerInflight/float64(max(ownInflight, 1))))
	}
	return max(slots-int(math.Ceil(peerInflight)), slots/max(instances, 1), 1)
}

// admissionWindow bounds the requests in progress, from the first stage to the last.
type admissionWindow struct {
	// maxRequests is the number of requests that may be in progress at a time.
	maxRequests int
	// saturatingRequests is the number of requests in progress that keeps all slots
	// of the bottleneck busy.
	saturatingRequests float64
	// residenceTime is how long a request is in progress when the window is full.
	residenceTime time.Duration
}

// newWindow returns the window of a bottleneck. Its size is the attempt limit of the
// bottleneck times windowMargin and the ratio of the total time to the time at the
// bottleneck, so that its slots stay busy while other requests are at other stages.
// By Little's law the residence time of a full window is the time at the bottleneck
// times maxRequests over slots.
func newWindow(snapshot *server.Snapshot, f *forecast, entryLimit *concurrencyLimit) admissionWindow {
	slots := entryLimit.slots(snapshot, f.bottleneck.Service())
	bottleneckTime := f.typicalDurations[f.bottleneckIndex]
	if bottleneckTime <= 0 {
		return admissionWindow{maxRequests: attemptLimit(slots), saturatingRequests: float64(slots)}
	}
	timeRatio := float64(sumFrom(f.typicalDurations, 0)) / float64(bottleneckTime)
	maxRequests := int(math.Ceil(float64(attemptLimit(slots)) * windowMargin * timeRatio))
	return admissionWindow{
		maxRequests: maxRequests, saturatingRequests: float64(slots) * timeRatio,
		residenceTime: time.Duration(float64(bottleneckTime) * float64(maxRequests) / float64(slots)),
	}
}
