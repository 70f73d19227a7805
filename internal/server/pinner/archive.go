package pinner

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// archiveTable is the table of the store with a row for each incarnation of an instance that
	// has archived origins.
	archiveTable = "streams"
	// minArchiveInterval is the least time between two writes of the row. What began later than the
	// last one is lost with the instances. It is longer if all instances together would write more
	// than maxArchiveWrites rows a second.
	minArchiveInterval = 250 * time.Millisecond
	maxArchiveWrites   = 50
	// archivedAge is how long an origin stays in the row.
	archivedAge = 20 * time.Second
	// maxArchived bounds the origins in a row, which the platform limits to 64 kB.
	maxArchived = 1500
	// minLoadInterval is the time between two reads of the table. Clients may name any attempt.
	minLoadInterval = time.Second
	// rowLifetime is the age from which a row is deleted, and maxDeletions how many at a time.
	rowLifetime  = 10 * time.Minute
	maxDeletions = 8
	// storeTimeout bounds a call to the store.
	storeTimeout = 2 * time.Second
)

// archive keeps origins in the platform's store while several software versions serve, for the case
// that all instances are lost. It is safe for concurrent use.
type archive struct {
	log   logr.Logger
	timer server.Timer
	store server.Store
	// row is the name of this incarnation's row.
	row string
	// isNeeded reports whether the origins of a service's streams are to be kept.
	isNeeded func(service string) bool
	writes   atomic.Uint64
	// loading holds a token while the table is read. Its holder sets loadedAt.
	loading  chan struct{}
	loadedAt time.Time
	// mu guards the fields below.
	mu sync.Mutex
	// recorded are the origins of the last archivedAge, the oldest first.
	recorded []archivedOrigin
	// isScheduled is set from when an origin is added until the write that keeps it begins.
	isScheduled bool
}

type archivedOrigin struct {
	attempt string
	origin  server.StreamOrigin
	at      time.Time
}

// Option sets a property of a Pinner.
type Option func(*Pinner)

// WithArchive keeps the origins of the services for which isNeeded in a store, in a row of the
// instance's incarnation.
func WithArchive(log logr.Logger, store server.Store, row string, isNeeded func(service string) bool) Option {
	return func(p *Pinner) {
		p.archive = &archive{log: log, timer: p.timer, store: store, row: row, isNeeded: isNeeded, loading: make(chan struct{}, 1)}
	}
}

// record adds an origin to those that the next write keeps. It reports whether the caller must
// schedule one. Origins are recorded before any is needed: streams outlast the moment at which
// another version comes into service.
func (a *archive) record(attempt string, origin server.StreamOrigin) (mustSchedule bool) {
	isNeeded := a.isNeeded(origin.Service)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recorded = append(a.recorded, archivedOrigin{attempt: attempt, origin: origin, at: a.timer.Now()})
	if len(a.recorded) > maxArchived {
		a.recorded = slices.Clone(a.recorded[maxArchived/2:])
	}
	mustSchedule = isNeeded && !a.isScheduled
	a.isScheduled = a.isScheduled || isNeeded
	return mustSchedule
}

// save writes the row. An origin that a failed write loses is kept by the next one, which follows
// with the next stream.
func (a *archive) save(ctx context.Context) {
	value, err := proto.Marshal(a.message())
	if err != nil {
		a.log.Error(err, "origins of streams cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	a.writes.Add(1)
	if err := a.store.Put(ctx, archiveTable, a.row, value); err != nil {
		a.log.Info("origins of streams could not be written to the store", "cause", err.Error())
	}
}

// message returns what the row holds from now on.
func (a *archive) message() *encoder.OriginArchive {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isScheduled = false
	now := a.timer.Now()
	a.recorded = slices.DeleteFunc(a.recorded, func(o archivedOrigin) bool { return now.Sub(o.at) > archivedAge })
	message := &encoder.OriginArchive{UnixMs: now.UnixMilli()}
	groups := make(map[server.StreamOrigin]*encoder.OriginGroup)
	for _, o := range a.recorded {
		group := groups[o.origin]
		if group == nil {
			group = &encoder.OriginGroup{Service: o.origin.Service, Version: o.origin.Version}
			groups[o.origin] = group
			message.Groups = append(message.Groups, group)
		}
		group.Attempts = append(group.Attempts, o.attempt)
	}
	return message
}

// load passes the origins in the store to keep, unless they were read less than minLoadInterval ago.
// A call waits for one in progress.
func (a *archive) load(ctx context.Context, keep func(attempt string, origin server.StreamOrigin)) {
	select {
	case a.loading <- struct{}{}:
		defer func() { <-a.loading }()
	case <-ctx.Done():
		return
	}
	now := a.timer.Now()
	if !a.loadedAt.IsZero() && now.Sub(a.loadedAt) < minLoadInterval {
		return
	}
	a.loadedAt = now
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, _, err := a.store.Load(ctx, archiveTable)
	if err != nil {
		a.log.Info("origins of streams cannot be read from the store", "cause", err.Error())
		return
	}
	count := 0
	var expired []string
	for _, row := range rows {
		var message encoder.OriginArchive
		if err := proto.Unmarshal(row.Value, &message); err != nil || now.Sub(time.UnixMilli(message.GetUnixMs())) > rowLifetime {
			expired = append(expired, row.Name)
			continue
		}
		for _, group := range message.GetGroups() {
			count += len(group.GetAttempts())
			for _, attempt := range group.GetAttempts() {
				keep(attempt, server.StreamOrigin{Service: group.GetService(), Version: group.GetVersion()})
			}
		}
	}
	for _, name := range expired[:min(len(expired), maxDeletions)] {
		// A row that remains is deleted after another load.
		_ = a.store.Delete(ctx, archiveTable, name)
	}
	a.log.Info("origins of streams read from the store", "rows", len(rows), "origins", count)
}

// ArchiveRow returns the name of the row of an instance's incarnation.
func ArchiveRow(instance, incarnation string) string {
	return strings.Join([]string{instance, incarnation}, "/")
}
