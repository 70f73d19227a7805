// Package pinner records which service and software version began each stream, so that no
// retry of a client joins events of two versions. The records are replicated, since a retry
// may reach any instance.
package pinner

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// Retention is how long an origin is kept at least. Streams and their clients' tries end
	// before.
	Retention = time.Minute
	// maxOrigins bounds the origins that arrive in one retention time; beyond it the oldest
	// are dropped sooner.
	maxOrigins = 1 << 16
	// maxAttemptBytes bounds the bytes of an attempt's ID that are kept; clients choose it, up to the limit of their headers.
	maxAttemptBytes = 64
	// copies is the number of other instances to which a record is replicated.
	copies = 3
	// sendTimeout bounds the sending of an origin to another instance.
	sendTimeout = time.Second
	// askTimeout bounds the wait for the responses of other instances.
	askTimeout = 150 * time.Millisecond
	// maxSearches and searchBurst limit the rate, a second, and the burst of queries to all
	// instances, since a client may name any attempt.
	maxSearches = 20
	searchBurst = 40
)

// Links carries messages to other instances.
type Links interface {
	// HolderIDs returns the IDs of up to count other instances that respond. All instances
	// prefer the same ones for a name.
	HolderIDs(name string, count int) []string
	// Send sends a frame that has no response.
	Send(ctx context.Context, id string, frame *encoder.Frame) error
	// Ask sends a frame and returns the response.
	Ask(ctx context.Context, id string, frame *encoder.Frame) (*encoder.Frame, error)
}

// Pinner holds the origins of streams. It implements server.StreamOrigins and is safe for
// concurrent use.
type Pinner struct {
	links    Links
	searches *rate.Limiter
	ctx      context.Context
	cancel   context.CancelFunc
	// messages are the goroutines that send and wait for messages.
	messages sync.WaitGroup
	// stopRotation stops the timer that calls rotate.
	stopRotation   func()
	found, unknown atomic.Uint64
	timer          server.Timer
	// archive is nil if origins are not kept in the store.
	archive *archive
	// mu guards newer and older, the origins by attempt. Those of older are dropped when
	// newer takes their place.
	mu           sync.Mutex
	newer, older map[string]server.StreamOrigin
}

// conflicting is stored for an attempt with which different origins were received.
var conflicting = server.StreamOrigin{}

// New returns a Pinner. Close must be called once.
func New(timer server.Timer, links Links, options ...Option) *Pinner {
	p := &Pinner{timer: timer, links: links, searches: rate.NewLimiter(maxSearches, searchBurst), newer: make(map[string]server.StreamOrigin)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(p)
	}
	p.stopRotation = timer.Every(Retention, func(time.Time) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.rotate()
	})
	return p
}

// Close ends the messages in progress.
func (p *Pinner) Close() {
	p.stopRotation()
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	p.messages.Wait()
}

// start calls send in its own goroutine and returns true, or returns false after Close.
func (p *Pinner) start(send func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.messages.Go(send)
	return true
}

// ArchiveWrites returns how often origins were written to the store.
func (p *Pinner) ArchiveWrites() uint64 {
	if p.archive == nil {
		return 0
	}
	return p.archive.writes.Load()
}

// Counts returns how many origins were found and how many were not.
func (p *Pinner) Counts() (found, unknown uint64) { return p.found.Load(), p.unknown.Load() }

// attemptKey returns the name under which an attempt is kept and sent: its ID, or the hash of a longer one. That of a name is
// the name itself.
func attemptKey(attempt string) string {
	if len(attempt) <= maxAttemptBytes {
		return attempt
	}
	hash := sha256.Sum256([]byte(attempt))
	return base64.RawURLEncoding.EncodeToString(hash[:])
}

// Record implements server.StreamOrigins. It does not wait for the replication.
func (p *Pinner) Record(attempt string, origin server.StreamOrigin) {
	attempt = attemptKey(attempt)
	p.store(attempt, origin)
	if p.archive != nil && p.archive.record(attempt, origin) {
		p.timer.After(p.archiveInterval(), func(time.Time) { p.start(func() { p.archive.save(p.ctx) }) })
	}
	for _, id := range p.links.HolderIDs(attempt, copies) {
		p.start(func() {
			// Sending changes a frame, so each message has its own.
			frame := &encoder.Frame{Body: &encoder.Frame_StreamOrigin{StreamOrigin: encodeOrigin(attempt, origin)}}
			ctx, cancel := context.WithTimeout(p.ctx, sendTimeout)
			defer cancel()
			// Without this copy the origin may be unknown later, and the stream is then not
			// resumed.
			_ = p.links.Send(ctx, id, frame)
		})
	}
}

// archiveInterval returns the time between two writes of the archive.
func (p *Pinner) archiveInterval() time.Duration {
	instances := len(p.links.HolderIDs(archiveTable, maxOrigins)) + 1
	return max(minArchiveInterval, time.Second*time.Duration(instances)/maxArchiveWrites)
}

// HandleOrigin stores an origin that another instance replicates.
func (p *Pinner) HandleOrigin(message *encoder.StreamOrigin) {
	p.store(message.GetAttempt(), server.StreamOrigin{Service: message.GetService(), Version: message.GetVersion()})
}

// HandleRequest returns the response to a query of another instance.
func (p *Pinner) HandleRequest(request *encoder.OriginRequest) *encoder.Frame {
	response := &encoder.OriginResponse{}
	if origin, ok := p.load(attemptKey(request.GetAttempt())); ok {
		response.Origin = encodeOrigin(request.GetAttempt(), origin)
	}
	return &encoder.Frame{Body: &encoder.Frame_OriginResponse{OriginResponse: response}}
}

// encodeOrigin returns the message with the origin of an attempt.
func encodeOrigin(attempt string, origin server.StreamOrigin) *encoder.StreamOrigin {
	return &encoder.StreamOrigin{Attempt: attempt, Service: origin.Service, Version: origin.Version}
}

// Find implements server.StreamOrigins. It queries the holders of the record, and then all
// other instances. If none knows it, as after a loss of all, it is read from the store.
func (p *Pinner) Find(ctx context.Context, attempt string) (server.StreamOrigin, bool) {
	attempt = attemptKey(attempt)
	origin, ok := p.load(attempt)
	if !ok {
		// The instance that began the stream may take the place of one of the copies in the
		// order of this instance.
		holders := p.links.HolderIDs(attempt, copies+1)
		if origin, ok = p.ask(ctx, holders, attempt); !ok && p.searches.Allow() {
			others := slices.DeleteFunc(p.links.HolderIDs(attempt, maxOrigins), func(id string) bool { return slices.Contains(holders, id) })
			origin, ok = p.ask(ctx, others, attempt)
		}
	}
	if !ok && p.archive != nil {
		p.archive.load(ctx, p.store)
		origin, ok = p.load(attempt)
	}
	if !ok || origin == conflicting {
		p.unknown.Add(1)
		return server.StreamOrigin{}, false
	}
	p.found.Add(1)
	return origin, true
}

// ask queries instances for an origin and returns the first one found.
func (p *Pinner) ask(ctx context.Context, ids []string, attempt string) (server.StreamOrigin, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan *encoder.StreamOrigin, len(ids))
	for _, id := range ids {
		isStarted := p.start(func() {
			frame := &encoder.Frame{Body: &encoder.Frame_OriginRequest{OriginRequest: &encoder.OriginRequest{Attempt: attempt}}}
			// An error counts as a response without an origin.
			response, _ := p.links.Ask(ctx, id, frame)
			answers <- response.GetOriginResponse().GetOrigin()
		})
		if !isStarted {
			return server.StreamOrigin{}, false
		}
	}
	for range ids {
		select {
		case answer := <-answers:
			if answer == nil {
				continue
			}
			origin := server.StreamOrigin{Service: answer.GetService(), Version: answer.GetVersion()}
			p.store(attempt, origin)
			return origin, true
		case <-ctx.Done():
			return server.StreamOrigin{}, false
		}
	}
	return server.StreamOrigin{}, false
}

// store keeps the origin of an attempt.
func (p *Pinner) store(attempt string, origin server.StreamOrigin) {
	// Messages and archives of earlier builds hold the ID itself.
	attempt = attemptKey(attempt)
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.lookup(attempt); ok && known != origin {
		origin = conflicting
	}
	if len(p.newer) >= maxOrigins {
		p.rotate()
	}
	p.newer[attempt] = origin
}

// load returns the origin of an attempt that this instance has recorded.
func (p *Pinner) load(attempt string) (server.StreamOrigin, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lookup(attempt)
}

// lookup returns the origin of an attempt. mu must be held.
func (p *Pinner) lookup(attempt string) (server.StreamOrigin, bool) {
	if origin, ok := p.newer[attempt]; ok {
		return origin, true
	}
	origin, ok := p.older[attempt]
	return origin, ok
}

// rotate drops the older origins. mu must be held.
func (p *Pinner) rotate() {
	p.older, p.newer = p.newer, make(map[string]server.StreamOrigin)
}
