package server

import (
	"sync/atomic"
	"time"
)

// Load is the last load report of an upstream. It lags behind the actual load.
type Load struct {
	// ReportedAt is when the report was taken, by the clock of this instance.
	ReportedAt time.Time
	// Running is the number of requests in progress.
	Running int
	// Waiting is the number of requests queued at the upstream.
	Waiting int
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// PrefillRate is the prefill rate in prompt tokens per second; engines only.
	PrefillRate float64
	// DecodeRate is the decode rate of one request in tokens per second; engines only.
	DecodeRate float64
	// Models lists the loaded models and adapters; engines only.
	Models []string
	// Role is what an engine computes: prefill, decode or both.
	Role string
	// RequestsByModel is the number of requests in progress and waiting by model; engines
	// only.
	RequestsByModel map[string]int
}

// Gauge counts the attempts of this instance at one upstream. It is shared by all
// snapshots and safe for concurrent use.
type Gauge struct {
	inflight atomic.Int64
	sent     atomic.Int64
	failed   atomic.Int64
}

// Begin records the start of an attempt.
func (g *Gauge) Begin() {
	g.inflight.Add(1)
	g.sent.Add(1)
}

// End records the end of an attempt and whether it succeeded.
func (g *Gauge) End(ok bool) {
	g.inflight.Add(-1)
	if !ok {
		g.failed.Add(1)
	}
}

// Inflight returns the number of attempts in progress.
func (g *Gauge) Inflight() int64 { return g.inflight.Load() }

// SentAttempts returns the number of attempts since the gauge was created.
func (g *Gauge) SentAttempts() int64 { return g.sent.Load() }

// FailedAttempts returns the number of failed attempts.
func (g *Gauge) FailedAttempts() int64 { return g.failed.Load() }

// Upstream is the state of one replica of an upstream service in a snapshot. It is
// immutable except for its Gauge.
type Upstream struct {
	listing          Listing
	load             Load
	peerInflight     int
	inflightAtReport int64
	ejected          bool
	retiringModels   []string
	gauge            *Gauge
}

// UpstreamOption sets a property of an Upstream.
type UpstreamOption func(*Upstream)

// WithLoad sets the last load report.
func WithLoad(load Load) UpstreamOption {
	return func(u *Upstream) { u.load = load }
}

// WithPeerInflight sets the number of attempts in progress that peers announced.
func WithPeerInflight(inflight int) UpstreamOption {
	return func(u *Upstream) { u.peerInflight = inflight }
}

// WithInflightAtReport sets the number of this instance's attempts in progress when the
// load was reported.
func WithInflightAtReport(inflight int64) UpstreamOption {
	return func(u *Upstream) { u.inflightAtReport = inflight }
}

// WithEjected sets whether the upstream is ejected as an outlier and therefore
// receives no regular work.
func WithEjected(ejected bool) UpstreamOption {
	return func(u *Upstream) { u.ejected = ejected }
}

// NewUpstream returns the upstream of a listing. All snapshots with this upstream
// share the gauge.
func NewUpstream(listing Listing, gauge *Gauge, options ...UpstreamOption) *Upstream {
	u := &Upstream{listing: listing, gauge: gauge}
	for _, option := range options {
		option(u)
	}
	return u
}

// ID returns the unique ID of the upstream.
func (u *Upstream) ID() string { return u.listing.ID }

// Service returns the name of the upstream service.
func (u *Upstream) Service() string { return u.listing.Service }

// Datacentre returns the data centre of the upstream.
func (u *Upstream) Datacentre() string { return u.listing.Datacentre }

// Version returns the version of the upstream's software, "" if it is not known.
func (u *Upstream) Version() string { return u.listing.Version }

// Address returns the address of the upstream as host:port.
func (u *Upstream) Address() string { return u.listing.Address }

// IsLeaving reports whether the upstream is draining and accepts no new work.
func (u *Upstream) IsLeaving() bool { return u.listing.Presence == PresenceLeaving }

// Load returns the last load report; its ReportedAt is zero if there was none.
func (u *Upstream) Load() Load { return u.load }

// PeerInflight returns the number of attempts in progress that peers announced.
func (u *Upstream) PeerInflight() int { return u.peerInflight }

// InflightAtReport returns the number of this instance's attempts in progress when the
// load was reported.
func (u *Upstream) InflightAtReport() int64 { return u.inflightAtReport }

// IsEjected reports whether the upstream is ejected as an outlier and therefore
// receives no regular work.
func (u *Upstream) IsEjected() bool { return u.ejected }

// Gauge returns the live counters of this instance's attempts.
func (u *Upstream) Gauge() *Gauge { return u.gauge }
