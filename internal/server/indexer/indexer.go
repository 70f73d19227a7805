package indexer

import (
	"math"
	"sort"
	"sync/atomic"
	"time"

	"oriolemill.example/oriolemill/internal/messenger"
)

// DefaultBytes and the other constants are the parameters of the index.
const (
	// DefaultBytes is the default size of the index in bytes.
	DefaultBytes = 32_000_000
	// staleHalfLife is the time in which the confidence in a stale engine halves.
	staleHalfLife = 5 * time.Second
	// maxEngines is the number of engines that 16-bit numbers can distinguish.
	maxEngines = math.MaxUint16
)

// Holder is an engine that probably has the first blocks of a prompt in its cache.
type Holder struct {
	// EngineID is the upstream's ID.
	EngineID string
	// BlockCount is the number of leading blocks that it holds.
	BlockCount int
	// Confidence is the confidence in Blocks, from 0 to 1.
	Confidence float64
}

// engineSet assigns numbers to engines. Only the values of staleSince change.
type engineSet struct {
	// ids are the engines' IDs by number.
	ids     []string
	numbers map[string]uint16
	// staleSince is, by number, the time since which an engine's entries may be
	// incomplete or outdated, in nanoseconds since the Unix epoch; zero if they are
	// current.
	staleSince []*atomic.Int64
}

// Indexer is the cache index. Apply, Resync and LastSequence must be called from
// one goroutine; the other methods are safe for concurrent use.
type Indexer struct {
	table   *table
	engines atomic.Pointer[engineSet]
	// lastSequences is the sequence number of the last applied event by engine.
	lastSequences map[string]uint64
}

// New returns an empty index that uses the given number of bytes.
func New(bytes int) *Indexer {
	x := &Indexer{table: newTable(bytes), lastSequences: make(map[string]uint64)}
	x.engines.Store(&engineSet{numbers: make(map[string]uint16)})
	return x
}

// LastSequence returns the sequence number of an engine's last applied event.
func (x *Indexer) LastSequence(engine string) uint64 { return x.lastSequences[engine] }

// ApplyEvents applies an engine's events. After a gap in the sequence, the engine is
// stale until the next Resync.
func (x *Indexer) ApplyEvents(engine string, events *messenger.CacheEventsAnswer, now time.Time) {
	number, ok := x.engineNumber(engine)
	if !ok {
		return
	}
	last := x.lastSequences[engine]
	if events.FirstSequence > last+1 || events.LastSequence < last {
		x.markStale(number, now)
	}
	for _, event := range events.Events {
		if event.Sequence <= last {
			continue
		}
		if event.Sequence != last+1 {
			x.markStale(number, now)
		}
		last = event.Sequence
		x.applyEvent(number, event)
	}
	if events.LastSequence > last {
		x.markStale(number, now)
	}
	x.lastSequences[engine] = max(events.LastSequence, last)
}

// Resync replaces all entries of an engine by its events from the start.
func (x *Indexer) Resync(engine string, events *messenger.CacheEventsAnswer, now time.Time) {
	number, ok := x.engineNumber(engine)
	if !ok {
		return
	}
	x.table.removeEngine(number)
	x.engines.Load().staleSince[number].Store(0)
	x.lastSequences[engine] = max(events.FirstSequence, 1) - 1
	x.ApplyEvents(engine, events, now)
}

// IsStale reports whether an engine's entries need a resync.
func (x *Indexer) IsStale(engine string) bool {
	engines := x.engines.Load()
	number, ok := engines.numbers[engine]
	return ok && engines.staleSince[number].Load() != 0
}

// applyEvent adds or removes one block of an engine.
func (x *Indexer) applyEvent(number uint16, event messenger.CacheEvent) {
	if event.IsStored {
		x.table.put(event.BlockHash, number)
		return
	}
	x.table.remove(event.BlockHash, number)
}

// markStale marks an engine as stale since now, unless it is stale already.
func (x *Indexer) markStale(number uint16, now time.Time) {
	x.engines.Load().staleSince[number].CompareAndSwap(0, now.UnixNano())
}

// engineNumber returns the number of an engine, and assigns one to a new engine. It
// returns false if no number is left.
func (x *Indexer) engineNumber(engine string) (uint16, bool) {
	engines := x.engines.Load()
	if number, ok := engines.numbers[engine]; ok {
		return number, true
	}
	if len(engines.ids) >= maxEngines {
		return 0, false
	}
	next := &engineSet{numbers: make(map[string]uint16, len(engines.ids)+1)}
	next.ids = append(append(next.ids, engines.ids...), engine)
	next.staleSince = append(append(next.staleSince, engines.staleSince...), &atomic.Int64{})
	for i, id := range next.ids {
		next.numbers[id] = uint16(i)
	}
	x.engines.Store(next)
	return next.numbers[engine], true
}

// Holders writes the engines that probably hold the first block into the array, each
// with the number of leading blocks that it holds. It returns the number of engines.
func (x *Indexer) Holders(blocks []uint64, now time.Time, into *[MaxHolders]Holder) int {
	if len(blocks) == 0 {
		return 0
	}
	var numbers [maxHolders]uint16
	engines := x.engines.Load()
	n := 0
	for _, number := range numbers[:x.table.holders(blocks[0], &numbers)] {
		if int(number) < len(engines.ids) {
			into[n] = x.holderOf(engines, number, blocks, now)
			n++
		}
	}
	return n
}

// MaxHolders is the largest number of engines that Holders returns.
const MaxHolders = maxHolders

// ExpectedBlocks returns the number of leading blocks that an engine probably holds,
// multiplied by the confidence.
func (x *Indexer) ExpectedBlocks(engine string, blocks []uint64, now time.Time) float64 {
	engines := x.engines.Load()
	number, ok := engines.numbers[engine]
	if !ok || len(blocks) == 0 || !x.table.contains(blocks[0], number) {
		return 0
	}
	h := x.holderOf(engines, number, blocks, now)
	return float64(h.BlockCount) * h.Confidence
}

// holderOf returns how many leading blocks an engine holds, and the confidence in
// that. It uses binary search, since an engine that holds a block usually holds all
// blocks before it.
func (x *Indexer) holderOf(engines *engineSet, number uint16, blocks []uint64, now time.Time) Holder {
	blockCount := sort.Search(len(blocks), func(i int) bool { return !x.table.contains(blocks[i], number) })
	return Holder{EngineID: engines.ids[number], BlockCount: blockCount, Confidence: confidence(engines.staleSince[number].Load(), now)}
}

// confidence returns the confidence in an engine's entries: 1 if they are current,
// and otherwise halved with each staleHalfLife since the given time in
// nanoseconds.
func confidence(staleSince int64, now time.Time) float64 {
	if staleSince == 0 {
		return 1
	}
	age := now.Sub(time.Unix(0, staleSince))
	return math.Exp2(-max(age.Seconds(), 0) / staleHalfLife.Seconds())
}
