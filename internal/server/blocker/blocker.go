// Package blocker finds the requests, and the parts of prompts, that crash replicas and blocks
// them on all instances. Crashes are reported to a few instances, which compare them; before one of
// these blocks a request or part, it asks all others whether they have completed it.
//
// A request that comes again has the same keys, which are digests. Keys and the IDs of parts are treated
// alike where nothing else is said, and called parts.
package blocker

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// holderName is the name whose holders crashes are reported to; all instances prefer the
	// same ones. holderCount is their number.
	holderName  = "prompt parts"
	holderCount = 3
	// settleDelay is the wait between a suspicion and the query, in which the reports of other
	// instances about the same crashes arrive.
	settleDelay = 200 * time.Millisecond
	// queryDelay is the time in which the responses to a query arrive.
	queryDelay = 400 * time.Millisecond
	// sendTimeout bounds the sending of a message to another instance.
	sendTimeout = time.Second
	// spreadInterval is how often an instance sends its blocks to spreadCount others, chosen
	// at random, for those that were restarted or cut off.
	spreadInterval = time.Second
	spreadCount    = 2
)

// Links carries messages to other instances. It is safe for concurrent use.
type Links interface {
	// HolderIDs returns the IDs of up to count other instances that respond. All instances
	// prefer the same ones for a name.
	HolderIDs(name string, count int) []string
	// Send sends a frame that has no response.
	Send(ctx context.Context, id string, frame *encoder.Frame) error
}

// Blocker implements server.RequestBlocker. It is safe for concurrent use.
type Blocker struct {
	log    logr.Logger
	timer  server.Timer
	links  Links
	ctx    context.Context
	cancel context.CancelFunc
	// messages are the goroutines that send and wait for messages.
	messages   sync.WaitGroup
	stopSpread func()
	crashCount atomic.Uint64
	// refutedCount is the number of incarnations that were suspected to have crashed and had not.
	refutedCount atomic.Uint64
	// endingCount is the number of evidence.endings, so that responses need no lock while there are none.
	endingCount atomic.Int64
	// blockedCount is the number of requests that were found to be blocked.
	blockedCount atomic.Uint64
	// blockCount is the number of entries of blocks, so that requests need no lock while
	// nothing is blocked.
	blockCount atomic.Int64
	// store is nil if blocks are not kept in one; isRestored is set once they were read from it.
	store      server.Store
	isRestored atomic.Bool
	// isServing is nil if replicas cannot be asked whether an incarnation still serves.
	isServing func(ctx context.Context, incarnation string) bool
	// mu guards the fields below.
	mu       sync.Mutex
	evidence *evidence
	blocks   blocks
	// isInquiring is set while a query is scheduled or in progress.
	isInquiring bool
}

// Option sets a property of a Blocker.
type Option func(*Blocker)

// WithRestartTime is for replicas that are known by their IDs only: a crash that follows the
// last one of its replica by more than this is one of its next incarnation.
func WithRestartTime(least time.Duration) Option {
	return func(b *Blocker) { b.evidence.restartTime = least }
}

// WithServingCheck sets a function that asks a replica whether an incarnation still serves. An attempt that
// such a one has ended was no crash: its connection broke for another reason.
func WithServingCheck(isServing func(ctx context.Context, incarnation string) bool) Option {
	return func(b *Blocker) { b.isServing = isServing }
}

// New returns a Blocker. Close must be called once.
func New(log logr.Logger, timer server.Timer, links Links, options ...Option) *Blocker {
	b := &Blocker{log: log, timer: timer, links: links, evidence: newEvidence(), blocks: make(blocks)}
	for _, option := range options {
		option(b)
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.stopSpread = timer.Every(spreadInterval, func(now time.Time) { b.spread(now) })
	return b
}

// Close ends the messages in progress.
func (b *Blocker) Close() {
	b.stopSpread()
	b.mu.Lock()
	b.cancel()
	b.mu.Unlock()
	b.messages.Wait()
}

// blockedParts returns the number of parts that are blocked now.
func (b *Blocker) blockedParts() (count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	for part := range b.blocks {
		if _, ok := b.blocks.isBlocked(part, now); ok {
			count++
		}
	}
	return count
}

// start calls work in its own goroutine, unless Close was called. The caller must not hold mu.
func (b *Blocker) start(work func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() == nil {
		b.messages.Go(work)
	}
}

// BlockedFor implements server.RequestBlocker.
func (b *Blocker) BlockedFor(content server.RequestContent) (wait time.Duration, part string) {
	if b.blockCount.Load() == 0 {
		return 0, ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	for _, key := range allKeys(content) {
		if until, ok := b.blocks.isBlocked(key, now); ok && until.Sub(now) > wait {
			wait, part = until.Sub(now), key
		}
	}
	if wait > 0 {
		b.blockedCount.Add(1)
	}
	return wait, part
}

// RecordCompletion implements server.RequestBlocker.
func (b *Blocker) RecordCompletion(service string, content server.RequestContent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	b.evidence.addCompletion(serviceKey(service), now)
	for _, key := range allKeys(content) {
		b.evidence.addCompletion(key, now)
		if b.unblock(key, now) {
			b.publishCompletion(key, now, now)
		}
	}
}

// RecordCrash implements server.RequestBlocker. It does not wait for the reports to other
// instances.
func (b *Blocker) RecordCrash(service, incarnation string, content server.RequestContent, beganAt time.Time) {
	b.crashCount.Add(1)
	parts := partKeys(content.Parts)
	if !b.addCrash(service, incarnation, content.Keys, parts, beganAt) {
		return
	}
	for _, id := range b.links.HolderIDs(holderName, holderCount) {
		b.send(id, &encoder.PromptParts{Service: service, Incarnation: incarnation, CrashedParts: parts, CrashedRequests: content.Keys})
	}
}

// RecordServing implements server.RequestBlocker.
func (b *Blocker) RecordServing(incarnation string, beganAt time.Time) {
	if b.endingCount.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evidence.endings.recordServing(incarnation, beganAt)
	b.endingCount.Store(int64(len(b.evidence.endings)))
}

// HandleMessage handles the message of another instance.
func (b *Blocker) HandleMessage(from string, message *encoder.PromptParts) {
	now := b.timer.Now()
	if incarnation := message.GetIncarnation(); incarnation != "" {
		b.addCrash(message.GetService(), incarnation, requestKeys(message.GetCrashedRequests()), partKeys(message.GetCrashedParts()), time.Time{})
	}
	b.addCompletions(message.GetCompletions(), now)
	b.addBlocks(message.GetBlocks(), now)
	if completions := b.completionsOf(message.GetQueriedParts(), now); len(completions) > 0 {
		b.send(from, &encoder.PromptParts{Completions: completions})
	}
}

// completionsOf returns when requests with the parts, or of the services, that the keys name were
// last completed here.
func (b *Blocker) completionsOf(keys []string, now time.Time) []*encoder.PartCompletion {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*encoder.PartCompletion
	for _, key := range keys {
		if at, ok := b.evidence.completedAt(key); ok {
			list = append(list, &encoder.PartCompletion{Part: key, AgeMs: uint32(max(now.Sub(at).Milliseconds(), 0))})
		}
	}
	return list
}

// addCrash adds a crash to the evidence, and schedules a query if a part is suspected now. It reports whether
// the attempt may have run when the incarnation crashed.
func (b *Blocker) addCrash(service, incarnation string, requests, parts []string, beganAt time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	mayHaveRun := b.evidence.recordEnding(incarnation, beganAt, now)
	b.endingCount.Store(int64(len(b.evidence.endings)))
	if mayHaveRun {
		b.addPossibleCrash(service, incarnation, requests, parts, now)
	}
	return mayHaveRun
}

// addPossibleCrash is addCrash for an attempt that may have run when the incarnation crashed. The caller
// holds mu.
func (b *Blocker) addPossibleCrash(service, incarnation string, requests, parts []string, now time.Time) {
	for _, part := range parts {
		if _, ok := b.blocks.isBlocked(part, now); ok {
			// Sent before the part was blocked.
			b.evidence.explained.add(b.evidence.nameIncarnation(incarnation, now), now)
			return
		}
	}
	b.evidence.addCrash(service, incarnation, requests, parts, now)
	if b.evidence.crashCount(slices.Concat(parts, requests), now) >= minRestoreCrashes {
		b.restoreOnce()
	}
	for _, request := range requests {
		if _, ok := b.blocks.isBlocked(request, now); ok {
			// Sent before the request was blocked.
			b.evidence.explain(request)
		}
	}
	for _, key := range slices.Concat(parts, requests) {
		if counted := b.evidence.counted(key, now); b.ctx.Err() == nil && b.blocks.isOnProbation(key, now) && len(counted) > 0 {
			b.evidence.explain(key)
			b.beginBlock(conviction{part: key, since: counted[0].at}, now)
			return
		}
	}
	if b.isInquiring || b.ctx.Err() != nil || len(b.evidence.suspects(now)) == 0 {
		return
	}
	b.isInquiring = true
	b.messages.Go(b.inquire)
}

// inquire asks all other instances whether they have completed requests with the suspected
// parts, and any at all, and the replicas whether they have crashed, and blocks the parts that remain
// suspected although other requests are completed. It ends when no part is suspected.
func (b *Blocker) inquire() {
	for server.Sleep(b.ctx, b.timer, settleDelay) == nil {
		b.mu.Lock()
		queriedAt := b.timer.Now()
		parts, keys := b.evidence.queries(queriedAt)
		incarnations := b.evidence.suspectedIncarnations(parts, queriedAt)
		b.isInquiring = len(parts) > 0
		b.mu.Unlock()
		if len(parts) == 0 {
			return
		}
		for _, id := range b.otherIDs() {
			b.send(id, &encoder.PromptParts{QueriedParts: keys})
		}
		for _, incarnation := range incarnations {
			b.start(func() { b.checkCrash(incarnation, queriedAt) })
		}
		// An instance that does not respond is not waited for longer: the part must be
		// blocked though instances are down.
		if server.Sleep(b.ctx, b.timer, queryDelay) != nil {
			return
		}
		b.mu.Lock()
		now := b.timer.Now()
		for _, c := range b.evidence.convict(parts, queriedAt, now) {
			b.beginBlock(c, now)
		}
		b.mu.Unlock()
	}
}

// checkCrash asks an incarnation whether it still serves, which refutes its crashes until askedAt.
func (b *Blocker) checkCrash(incarnation string, askedAt time.Time) {
	if b.isServing == nil || !b.isServing(b.ctx, incarnation) {
		return
	}
	b.refutedCount.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evidence.survivals.add(incarnation, askedAt)
}

// addCompletions adds what other instances have completed to the evidence, and ends the blocks
// that it refutes.
func (b *Blocker) addCompletions(list []*encoder.PartCompletion, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range list {
		at := now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
		b.evidence.addCompletion(c.GetPart(), at)
		b.unblock(c.GetPart(), at)
	}
}

// unblock ends the block of a part with which a request was completed at a time, unless that
// was before the crashes that the block is due to. It reports whether there was one. The caller
// holds mu.
func (b *Blocker) unblock(part string, completedAt time.Time) bool {
	current, ok := b.blocks[part]
	if !ok || !completedAt.After(current.since) {
		return false
	}
	delete(b.blocks, part)
	b.unarchive(part)
	b.blockCount.Store(int64(len(b.blocks)))
	b.log.Info(describe(part)+" not blocked any more: a request with it was completed", "part", part)
	return true
}

// publishCompletion tells all other instances when a request with a part was completed, which
// refutes its block. The caller holds mu.
func (b *Blocker) publishCompletion(part string, completedAt, now time.Time) {
	if b.ctx.Err() != nil {
		return
	}
	message := &encoder.PromptParts{Completions: []*encoder.PartCompletion{{Part: part, AgeMs: uint32(max(now.Sub(completedAt).Milliseconds(), 0))}}}
	for _, id := range b.otherIDs() {
		b.messages.Go(func() { b.deliver(id, message) })
	}
}

// beginBlock blocks a part here and on all other instances. The caller holds mu.
func (b *Blocker) beginBlock(c conviction, now time.Time) {
	added := b.blocks.next(c.part, c.since, now)
	if !b.blocks.set(c.part, added) {
		return
	}
	b.blockCount.Store(int64(len(b.blocks)))
	b.log.Info(describe(c.part)+" blocked: replicas crashed under requests with it", "part", c.part, "for_ms", added.until.Sub(now).Milliseconds(), "times", added.times)
	b.archive(c.part, added, now)
	message := &encoder.PromptParts{Blocks: []*encoder.PartBlock{encodeBlock(c.part, added, now)}}
	for _, id := range b.otherIDs() {
		b.messages.Go(func() { b.deliver(id, message) })
	}
}

// addBlocks adds the blocks of another instance. It refutes those of parts with which this
// instance has completed requests since.
func (b *Blocker) addBlocks(list []*encoder.PartBlock, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, message := range list {
		part, added := message.GetPart(), decodeBlock(message, now)
		if completedAt, ok := b.evidence.completedAt(part); ok && completedAt.After(added.since) {
			b.publishCompletion(part, completedAt, now)
			continue
		}
		if b.blocks.set(part, added) {
			b.evidence.explain(part)
			b.log.Info(describe(part)+" blocked by another instance", "part", part, "for_ms", added.until.Sub(now).Milliseconds(), "times", added.times)
		}
	}
	b.blockCount.Store(int64(len(b.blocks)))
}

// spread sends the blocks to some other instances, chosen at random.
func (b *Blocker) spread(now time.Time) {
	if b.blockCount.Load() == 0 {
		return
	}
	b.mu.Lock()
	b.blocks.dropExpired(now)
	b.blockCount.Store(int64(len(b.blocks)))
	message := &encoder.PromptParts{}
	for part, current := range b.blocks {
		message.Blocks = append(message.Blocks, encodeBlock(part, current, now))
	}
	b.mu.Unlock()
	ids := b.otherIDs()
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(len(ids), spreadCount)] {
		b.send(id, message)
	}
}

// send sends a message to another instance in its own goroutine.
func (b *Blocker) send(id string, message *encoder.PromptParts) {
	b.start(func() { b.deliver(id, message) })
}

// otherIDs returns the IDs of all other instances that respond.
func (b *Blocker) otherIDs() []string { return b.links.HolderIDs(holderName, math.MaxInt) }

// deliver sends a message to another instance.
func (b *Blocker) deliver(id string, message *encoder.PromptParts) {
	ctx, cancel := context.WithTimeout(b.ctx, sendTimeout)
	defer cancel()
	// Sending changes a frame, so each message has its own. What is lost is sent again by
	// spread, or reported by other instances.
	_ = b.links.Send(ctx, id, &encoder.Frame{Body: &encoder.Frame_PromptParts{PromptParts: message}})
}

// encodeBlock returns the message with a block. Times are sent as the time left and ages, since
// clocks differ.
func encodeBlock(part string, current block, now time.Time) *encoder.PartBlock {
	return &encoder.PartBlock{
		Part: part, LeftMs: current.until.Sub(now).Milliseconds(), AgeMs: now.Sub(current.since).Milliseconds(), Times: uint32(current.times),
	}
}

func decodeBlock(message *encoder.PartBlock, now time.Time) block {
	return block{
		until: now.Add(min(time.Duration(message.GetLeftMs())*time.Millisecond, maxBlockDuration)),
		since: now.Add(-time.Duration(message.GetAgeMs()) * time.Millisecond), times: int(message.GetTimes()),
	}
}
