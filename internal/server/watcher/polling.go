package watcher

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer"
)

// reportMaxAge is the age of a load report from which an instance polls an upstream of
// its data centre itself, although the upstream is assigned to another instance.
const reportMaxAge = 3 * time.Second

// PollAssigner divides the polling of load reports among the instances. Its methods
// are called on the control goroutine.
type PollAssigner interface {
	// ApplyListings applies a reading of the platform's list.
	ApplyListings(listings []server.Listing)
	// ShouldPoll reports whether this instance polls an upstream's load.
	ShouldPoll(upstream, datacentre string) bool
	// PeerInflight returns the number of attempts in progress at an upstream that
	// other instances reported.
	PeerInflight(upstream string) int
	// PublishLoads sends the reports polled here and this instance's own attempts in
	// progress to the other instances.
	PublishLoads(reports []peerer.LoadReport, counts []peerer.InflightCount)
}

// standalone is the PollAssigner of an instance without peers: it polls every upstream.
type standalone struct{}

// ApplyListings implements PollAssigner.
func (standalone) ApplyListings([]server.Listing) {}

// ShouldPoll implements PollAssigner.
func (standalone) ShouldPoll(string, string) bool { return true }

// PeerInflight implements PollAssigner.
func (standalone) PeerInflight(string) int { return 0 }

// PublishLoads implements PollAssigner.
func (standalone) PublishLoads([]peerer.LoadReport, []peerer.InflightCount) {}

// SetPollAssigner sets the PollAssigner; without one, this instance polls every
// upstream. It must be called before Start.
func (w *Watcher) SetPollAssigner(assigner PollAssigner) { w.assigner = assigner }

// shouldPoll reports whether to poll an upstream now: it is assigned to this instance,
// or it is in the same data centre and its last report is older than reportMaxAge.
func (w *Watcher) shouldPoll(state *upstreamState, now time.Time) bool {
	if w.assigner.ShouldPoll(state.listing.ID, state.listing.Datacentre) {
		return true
	}
	return state.listing.Datacentre == w.control.Snapshot().Datacentre() && now.Sub(state.load.ReportedAt) > reportMaxAge
}

// publishLoads sends the reports that were polled and the own attempts in progress to
// the other instances.
func (w *Watcher) publishLoads(polled []loadReport) {
	reports := make([]peerer.LoadReport, 0, len(polled))
	for _, r := range polled {
		reports = append(reports, peerer.LoadReport{UpstreamHash: peerer.HashID(r.id), Load: r.load, IsLeaving: r.isLeaving})
	}
	counts := make([]peerer.InflightCount, 0, len(w.upstreams))
	for id, state := range w.upstreams {
		counts = append(counts, peerer.InflightCount{UpstreamID: id, Datacentre: state.listing.Datacentre, Inflight: int(state.gauge.Inflight())})
	}
	w.assigner.PublishLoads(reports, counts)
}

// ApplyLoadReports applies load reports that another instance polled, unless newer ones
// are known. It must be called on the control goroutine.
func (w *Watcher) ApplyLoadReports(reports []peerer.LoadReport) {
	byHash := make(map[uint32]peerer.LoadReport, len(reports))
	for _, r := range reports {
		byHash[r.UpstreamHash] = r
	}
	now := w.control.Timer().Now()
	changed := false
	for id, state := range w.upstreams {
		r, ok := byHash[peerer.HashID(id)]
		if !ok || !r.Load.ReportedAt.After(state.load.ReportedAt) {
			continue
		}
		state.load = r.Load
		state.isLeaving = r.IsLeaving
		state.history.add(now, state.gauge.Inflight())
		state.inflightAtReport = state.history.at(r.Load.ReportedAt)
		state.peerInflight = max(0, r.Inflight-int(state.inflightAtReport))
		changed = true
	}
	if changed {
		w.schedulePublish()
	}
}
