// Package watcher keeps the replicas of the upstream services up to date: it reads the
// platform's list, polls load reports and publishes both in the snapshot.
package watcher

import (
	"context"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
)

const (
	listInterval = 500 * time.Millisecond
	// loadPollInterval is the interval at which the loads of the replicas are read.
	loadPollInterval = 500 * time.Millisecond
	// readTimeout bounds a reading of the list, and the polling of all upstreams.
	readTimeout = time.Second
	// ownService is the service under which the platform lists this project's
	// instances, which are no upstreams.
	ownService         = "oriolemill"
	maxConcurrentPolls = 32
	// publishDelayPerReplica times the number of replicas is the shortest time between
	// two publications, since each publication copies all replicas.
	publishDelayPerReplica = 150 * time.Microsecond
)

// LoadFetcher polls upstreams for their load. It is safe for concurrent use.
type LoadFetcher interface {
	// FetchLoad returns the report and whether the upstream says that it is leaving.
	FetchLoad(ctx context.Context, upstream *server.Upstream) (load server.Load, leaving bool, err error)
}

// Watcher keeps the replicas of all upstream services. Its state belongs to the
// control goroutine.
type Watcher struct {
	control *controller.Controller
	lister  server.Lister
	fetcher LoadFetcher
	// upstreams holds what is known of each upstream by ID.
	upstreams map[string]*upstreamState
	// isReadingList and isReadingLoads are set while a worker reads.
	isReadingList  bool
	isReadingLoads bool
	stopTimers     []func()
	outliers       OutlierDetector
	assigner       PollAssigner
	// retiringModels holds the models that get no new work, by service and replica.
	retiringModels map[string]map[string][]string
	// publishedAt is when the upstreams were last published.
	publishedAt time.Time
	// isPublishScheduled is set while a delayed publication is scheduled.
	isPublishScheduled bool
}

// OutlierDetector decides which replicas are ejected: they get no regular requests. Its
// methods are called on the control goroutine.
type OutlierDetector interface {
	// IsEjected reports whether a replica is ejected.
	IsEjected(id string, now time.Time) bool
	// Remove drops what is known of a replica that was removed.
	Remove(id string)
}

// noOutliers is an OutlierDetector that ejects no replica.
type noOutliers struct{}

// IsEjected implements OutlierDetector.
func (noOutliers) IsEjected(string, time.Time) bool { return false }

// Remove implements OutlierDetector.
func (noOutliers) Remove(string) {}

// SetOutlierDetector sets the OutlierDetector; without one, no replica is ejected. It
// must be called before Start.
func (w *Watcher) SetOutlierDetector(outliers OutlierDetector) { w.outliers = outliers }

// SetRetiringModels sets the models of a service that get no new work, by replica. It
// must be called on the control goroutine.
func (w *Watcher) SetRetiringModels(service string, models map[string][]string) {
	w.retiringModels[service] = models
	w.schedulePublish()
}

// PublishUpstreams publishes the upstreams again: at once or, if they were published a
// short time ago, after a delay. It is called after an ejection, for example. It must be
// called on the control goroutine.
func (w *Watcher) PublishUpstreams() { w.schedulePublish() }

// upstreamState is what is known of one upstream.
type upstreamState struct {
	listing server.Listing
	// unlistedSince is when a reading of the list first lacked the upstream; zero while it
	// is listed.
	unlistedSince time.Time
	// isLeaving is set if the last load report said that the upstream is leaving.
	isLeaving bool
	gauge     *server.Gauge
	load      server.Load
	// inflightAtReport is the number of own attempts in progress at the time of load.
	inflightAtReport int64
	// peerInflight is the number of attempts that other instances have in progress at
	// the upstream.
	peerInflight int
	history      inflightHistory
}

// New returns a Watcher that posts its events to control.
func New(control *controller.Controller, lister server.Lister, fetcher LoadFetcher) *Watcher {
	return &Watcher{
		control:        control,
		lister:         lister,
		fetcher:        fetcher,
		upstreams:      make(map[string]*upstreamState),
		outliers:       noOutliers{},
		assigner:       standalone{},
		retiringModels: make(map[string]map[string][]string),
	}
}

// Start reads the list at once and starts the periodic readings.
func (w *Watcher) Start() {
	w.control.Post(controller.EventFunc(w.readList))
	w.stopTimers = append(w.stopTimers,
		w.control.Timer().Every(listInterval, func(time.Time) { w.control.Post(controller.EventFunc(w.readList)) }),
		w.control.Timer().Every(loadPollInterval, func(time.Time) { w.control.Post(controller.EventFunc(w.readLoads)) }),
	)
}

// Stop ends the periodic readings.
func (w *Watcher) Stop() {
	for _, stop := range w.stopTimers {
		stop()
	}
}

// readList starts a worker that reads the platform's list, unless one is running.
func (w *Watcher) readList() {
	if w.isReadingList {
		return
	}
	w.isReadingList = true
	w.control.Go(func(ctx context.Context) controller.Event {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		listings, err := w.lister.List(ctx)
		return controller.EventFunc(func() { w.applyList(listings, err) })
	})
}

// applyList applies a reading of the platform's list. An upstream that is missing from
// it is kept for unlistedTTL while it still responds to polls of its load; a failed reading
// changes nothing.
func (w *Watcher) applyList(listings []server.Listing, err error) {
	w.isReadingList = false
	if err != nil {
		return
	}
	listed := make(map[string]bool, len(listings))
	for _, listing := range listings {
		if listing.Service == ownService {
			continue
		}
		listed[listing.ID] = true
		w.applyListing(listing)
	}
	w.assigner.ApplyListings(listings)
	now := w.control.Timer().Now()
	for id, state := range w.upstreams {
		if listed[id] {
			continue
		}
		if state.unlistedSince.IsZero() {
			state.unlistedSince = now
		}
		if now.Sub(state.unlistedSince) > unlistedTTL || now.Sub(state.load.ReportedAt) > unlistedTTL {
			delete(w.upstreams, id)
			w.outliers.Remove(id)
		}
	}
	w.schedulePublish()
}

// unlistedTTL is how long an unlisted upstream is kept, from the first reading that lacked it
// or from its last load report.
const unlistedTTL = 3 * time.Second

// applyListing adds or updates an upstream. A new address means a new replica, whose
// counts begin at zero.
func (w *Watcher) applyListing(listing server.Listing) {
	state := w.upstreams[listing.ID]
	if state == nil || state.listing.Address != listing.Address {
		state = &upstreamState{gauge: &server.Gauge{}}
		w.upstreams[listing.ID] = state
	}
	state.listing, state.unlistedSince = listing, time.Time{}
}

// readLoads starts a worker that polls the load of the upstreams assigned to this
// instance, unless one is running.
func (w *Watcher) readLoads() {
	if w.isReadingLoads || len(w.upstreams) == 0 {
		return
	}
	w.isReadingLoads = true
	now := w.control.Timer().Now()
	upstreams := make([]*server.Upstream, 0, len(w.upstreams))
	for _, state := range w.upstreams {
		if w.shouldPoll(state, now) {
			upstreams = append(upstreams, server.NewUpstream(state.listing, state.gauge))
		}
	}
	w.control.Go(func(ctx context.Context) controller.Event {
		reports := w.fetchLoads(ctx, upstreams)
		return controller.EventFunc(func() { w.applyLoads(reports) })
	})
}

// loadReport is the response of one upstream to a poll.
type loadReport struct {
	id        string
	load      server.Load
	isLeaving bool
	// inflight is the number of own attempts in progress when the response came.
	inflight int64
}

// fetchLoads polls upstreams, up to maxConcurrentPolls at a time, and returns the
// reports of those that responded.
func (w *Watcher) fetchLoads(ctx context.Context, upstreams []*server.Upstream) []loadReport {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentPolls)
	results := make(chan loadReport, len(upstreams))
	for _, upstream := range upstreams {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			load, leaving, err := w.fetcher.FetchLoad(ctx, upstream)
			r := loadReport{id: upstream.ID(), load: load, isLeaving: leaving, inflight: upstream.Gauge().Inflight()}
			if err != nil {
				r.id = ""
			}
			results <- r
		}()
	}
	reports := make([]loadReport, 0, len(upstreams))
	for range upstreams {
		if r := <-results; r.id != "" {
			reports = append(reports, r)
		}
	}
	return reports
}

// applyLoads applies the reports that this instance polled and sends them to the other
// instances.
func (w *Watcher) applyLoads(reports []loadReport) {
	w.isReadingLoads = false
	now := w.control.Timer().Now()
	for _, r := range reports {
		state := w.upstreams[r.id]
		if state == nil {
			continue
		}
		state.load = r.load
		state.isLeaving = r.isLeaving
		state.history.add(now, r.inflight)
		state.inflightAtReport = state.history.at(r.load.ReportedAt)
		state.peerInflight = w.assigner.PeerInflight(r.id)
	}
	w.publishLoads(reports)
	w.schedulePublish()
}

// schedulePublish publishes the upstreams at once, unless the last publication was too
// recent. It then delays this one, so that later changes are published with it.
func (w *Watcher) schedulePublish() {
	if w.isPublishScheduled {
		return
	}
	now := w.control.Timer().Now()
	delay := time.Duration(len(w.upstreams))*publishDelayPerReplica - now.Sub(w.publishedAt)
	if delay <= 0 {
		w.publish()
		return
	}
	w.isPublishScheduled = true
	w.control.Timer().After(delay, func(time.Time) {
		w.control.Post(controller.EventFunc(func() {
			w.isPublishScheduled = false
			w.publish()
		}))
	})
}

// publish puts all upstreams into the snapshot.
func (w *Watcher) publish() {
	upstreams := make(map[string][]*server.Upstream)
	now := w.control.Timer().Now()
	w.publishedAt = now
	for _, state := range w.upstreams {
		listing := state.listing
		if state.isLeaving {
			listing.Presence = server.PresenceLeaving
		}
		u := server.NewUpstream(listing, state.gauge, server.WithLoad(state.load), server.WithInflightAtReport(state.inflightAtReport), server.WithPeerInflight(state.peerInflight),
			server.WithEjected(w.outliers.IsEjected(state.listing.ID, now)),
			server.WithRetiringModels(w.retiringModels[listing.Service][listing.ID]))
		upstreams[u.Service()] = append(upstreams[u.Service()], u)
	}
	w.control.Publish(server.WithUpstreams(upstreams))
}
