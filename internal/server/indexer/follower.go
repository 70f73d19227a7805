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

// Intervals and limits of the follower.
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
	// data centre are followed.
	localOnlyThreshold = 64
)

// EventSource fetches cache events of engines.
type EventSource interface {
	// FetchEvents returns an engine's cache events with sequence numbers above since.
	FetchEvents(ctx context.Context, upstream *server.Upstream, since uint64) (*messenger.CacheEvents, error)
}

// Follower polls the cache events of engines and applies them to an Indexer. Its
// state is accessed only on the control goroutine.
type Follower struct {
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

// NewFollower returns a Follower. Start starts polling.
func NewFollower(control *controller.Controller, index *Indexer, source EventSource) *Follower {
	return &Follower{control: control, index: index, source: source, lastResync: make(map[string]time.Time), stop: func() {}}
}

// Start starts to poll at every pollInterval.
func (f *Follower) Start() {
	f.stop = f.control.Timer().Every(pollInterval, func(time.Time) { f.control.Post(controller.EventFunc(f.poll)) })
}

// Stop stops polling. It does not wait for a poll that is running.
func (f *Follower) Stop() { f.stop() }

// query is a read of one engine's events.
type query struct {
	upstream *server.Upstream
	since    uint64
	isResync bool
}

// response is an engine's response to a query.
type response struct {
	query
	events *messenger.CacheEvents
}

// poll fetches events in the background and applies them. While the previous poll is
// still fetching it fetches nothing, but nextQueries advances the rotation and counts
// resyncs as made all the same.
func (f *Follower) poll() {
	queries := f.nextQueries(f.control.Timer().Now())
	if f.isFetching || len(queries) == 0 {
		return
	}
	f.isFetching = true
	f.control.Go(func(ctx context.Context) controller.Event {
		responses := f.fetch(ctx, queries)
		return controller.EventFunc(func() { f.apply(responses) })
	})
}

// nextQueries returns the queries of the next poll and advances the rotation. A
// stale engine is read from the start, but at most once per minResyncInterval.
func (f *Follower) nextQueries(now time.Time) []query {
	engines := f.followedEngines()
	var queries []query
	for i := range min(maxEnginesPerPoll, len(engines)) {
		upstream := engines[(f.nextEngine+i)%len(engines)]
		q := query{upstream: upstream, since: f.index.LastSequence(upstream.ID())}
		if f.index.IsStale(upstream.ID()) && now.Sub(f.lastResync[upstream.ID()]) >= minResyncInterval {
			q.since, q.isResync = resyncSince, true
			f.lastResync[upstream.ID()] = now
		}
		queries = append(queries, q)
	}
	f.nextEngine += len(queries)
	return queries
}

// followedEngines returns the engines to follow, sorted by ID: all of them in a
// small deployment, otherwise those in the own data centre.
func (f *Follower) followedEngines() []*server.Upstream {
	snapshot := f.control.Snapshot()
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
func (f *Follower) fetch(ctx context.Context, queries []query) []response {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentReads)
	results := make(chan response, len(queries))
	for _, q := range queries {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			events, err := f.source.FetchEvents(ctx, q.upstream, q.since)
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
func (f *Follower) apply(responses []response) {
	f.isFetching = false
	now := f.control.Timer().Now()
	for _, r := range responses {
		if r.isResync {
			f.index.Resync(r.upstream.ID(), r.events, now)
			continue
		}
		f.index.Apply(r.upstream.ID(), r.events, now)
	}
}
