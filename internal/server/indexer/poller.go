package indexer

import (
	"context"
	"slices"
	"strings"
	"time"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/pkg/parser"
)

// Intervals and limits of the poller.
const (
	// pollInterval is the interval between polls.
	pollInterval = 250 * time.Millisecond
	// minResyncInterval is the shortest interval between two resyncs of an engine.
	minResyncInterval = 5 * time.Second
	// readTimeout bounds the reads of one poll.
	readTimeout = time.Second
	// maxConcurrentReads bounds the engines that are read concurrently.
	maxConcurrentReads = 32
	// resyncSince is the sequence number that requests all events of an engine.
	resyncSince = 0
	// maxEnginesPerPoll bounds the engines read in one poll. If there are more,
	// polls read them in rotation.
	maxEnginesPerPoll = 16
	// localOnlyThreshold is the number of engines above which only those in the own
	// data centre are polled.
	localOnlyThreshold = 64
)

// EventSource fetches cache events of engines.
type EventSource interface {
	// FetchEvents returns an engine's cache events with sequence numbers above since.
	FetchEvents(ctx context.Context, upstream *server.Upstream, since uint64) (*messenger.CacheEventsAnswer, error)
}

// EventPoller polls the cache events of engines and applies them to an Indexer. Its
// state is accessed only on the control goroutine.
type EventPoller struct {
	control    *controller.Controller
	index      *Indexer
	source     EventSource
	isFetching bool
	// lastResync is the time of the last resync by engine.
	lastResync map[string]time.Time
	// nextEngine is the index, modulo their number, of the engine to read next.
	nextEngine int
	stop       func()
}

// NewEventPoller returns an EventPoller. Start starts polling.
func NewEventPoller(control *controller.Controller, index *Indexer, source EventSource) *EventPoller {
	return &EventPoller{control: control, index: index, source: source, lastResync: make(map[string]time.Time), stop: func() {}}
}

// Start starts to poll at every pollInterval.
func (p *EventPoller) Start() {
	p.stop = p.control.Timer().Every(pollInterval, func(time.Time) { p.control.Post(controller.EventFunc(p.poll)) })
}

// Stop stops polling. It does not wait for a poll that is running.
func (p *EventPoller) Stop() { p.stop() }

// query is a read of one engine's events.
type query struct {
	upstream *server.Upstream
	since    uint64
	isResync bool
}

// response is an engine's response to a query.
type response struct {
	query
	events *messenger.CacheEventsAnswer
}

// poll fetches events in the background and applies them. While the previous poll is
// still fetching it fetches nothing, but nextQueries advances the rotation and counts
// resyncs as made all the same.
func (p *EventPoller) poll() {
	queries := p.nextQueries(p.control.Timer().Now())
	if p.isFetching || len(queries) == 0 {
		return
	}
	p.isFetching = true
	p.control.Go(func(ctx context.Context) controller.Event {
		responses := p.fetch(ctx, queries)
		return controller.EventFunc(func() { p.apply(responses) })
	})
}

// nextQueries returns the queries of the next poll and advances the rotation. A
// stale engine is read from the start, but at most once per minResyncInterval.
func (p *EventPoller) nextQueries(now time.Time) []query {
	engines := p.polledEngines()
	var queries []query
	for i := range min(maxEnginesPerPoll, len(engines)) {
		upstream := engines[(p.nextEngine+i)%len(engines)]
		q := query{upstream: upstream, since: p.index.LastSequence(upstream.ID())}
		if p.index.IsStale(upstream.ID()) && now.Sub(p.lastResync[upstream.ID()]) >= minResyncInterval {
			q.since, q.isResync = resyncSince, true
			p.lastResync[upstream.ID()] = now
		}
		queries = append(queries, q)
	}
	p.nextEngine += len(queries)
	return queries
}

// polledEngines returns the engines to poll, sorted by ID: all of them in a
// small deployment, otherwise those in the own data centre.
func (p *EventPoller) polledEngines() []*server.Upstream {
	snapshot := p.control.Snapshot()
	if snapshot.Deployment() == nil {
		return nil
	}
	var engines, local []*server.Upstream
	for name, upstreams := range snapshot.Services() {
		service := snapshot.Deployment().Service(name)
		if service == nil || service.Role() != parser.RoleEngine {
			continue
		}
		for _, upstream := range upstreams {
			engines = append(engines, upstream)
			if upstream.Datacentre() == snapshot.Datacentre() {
				local = append(local, upstream)
			}
		}
	}
	if len(engines) > localOnlyThreshold {
		engines = local
	}
	slices.SortFunc(engines, func(a, b *server.Upstream) int { return strings.Compare(a.ID(), b.ID()) })
	return engines
}

// fetch runs queries concurrently and returns the responses. Failed queries are
// left out.
func (p *EventPoller) fetch(ctx context.Context, queries []query) []response {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentReads)
	results := make(chan response, len(queries))
	for _, q := range queries {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			events, err := p.source.FetchEvents(ctx, q.upstream, q.since)
			if err != nil {
				events = nil
			}
			results <- response{query: q, events: events}
		}()
	}
	var responses []response
	for range queries {
		if r := <-results; r.events != nil {
			responses = append(responses, r)
		}
	}
	return responses
}

// apply applies the responses of a poll to the index.
func (p *EventPoller) apply(responses []response) {
	p.isFetching = false
	now := p.control.Timer().Now()
	for _, r := range responses {
		if r.isResync {
			p.index.Resync(r.upstream.ID(), r.events, now)
			continue
		}
		p.index.ApplyEvents(r.upstream.ID(), r.events, now)
	}
}
