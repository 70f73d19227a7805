package standin

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/messenger"
)

// maxCacheEvents is the number of cache events that an engine retains.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt blocks that records its changes as
// events. It is safe for concurrent use.
type prefixCache struct {
	mu sync.Mutex
	// capacity is the maximum number of cached blocks.
	capacity int
	// recency lists the hashes of the cached blocks, the most recently used first.
	recency *list.List
	// blocks maps each hash to its element of recency.
	blocks map[uint64]*list.Element
	events []timedEvent
	// sequence is the number of the last event.
	sequence uint64
}

// timedEvent is a cache event with the time at which it was recorded.
type timedEvent struct {
	event      messenger.CacheEvent
	recordedAt time.Time
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookupAndStore returns how many leading blocks were cached, and stores all
// blocks as the most recently used.
func (c *prefixCache) lookupAndStore(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := c.countCached(blocks)
	for _, block := range blocks {
		c.store(block)
	}
	return hits
}

// countCached returns how many leading blocks are cached. The caller holds mu.
func (c *prefixCache) countCached(blocks []uint64) int {
	for i, block := range blocks {
		if c.blocks[block] == nil {
			return i
		}
	}
	return len(blocks)
}

// cachedPrefix returns the leading blocks that are cached.
func (c *prefixCache) cachedPrefix(blocks []uint64) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return blocks[:c.countCached(blocks)]
}

// recentBlocks returns up to limit of the most recently used blocks, the least
// recently used of them first, so that storing them elsewhere in this order keeps
// their recency.
func (c *prefixCache) recentBlocks(limit int) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var blocks []uint64
	for element := c.recency.Front(); element != nil && len(blocks) < limit; element = element.Next() {
		blocks = append(blocks, element.Value.(uint64))
	}
	slices.Reverse(blocks)
	return blocks
}

// store stores one block as the most recently used and evicts the blocks over the
// capacity. The caller holds mu.
func (c *prefixCache) store(block uint64) {
	if element := c.blocks[block]; element != nil {
		c.recency.MoveToFront(element)
		return
	}
	c.blocks[block] = c.recency.PushFront(block)
	c.recordEvent(block, true)
	for len(c.blocks) > c.capacity {
		oldest := c.recency.Back()
		evicted := c.recency.Remove(oldest).(uint64)
		delete(c.blocks, evicted)
		c.recordEvent(evicted, false)
	}
}

// recordEvent records that a block was stored or evicted. The caller holds mu.
func (c *prefixCache) recordEvent(block uint64, stored bool) {
	c.sequence++
	event := messenger.CacheEvent{Sequence: c.sequence, BlockHash: block, IsStored: stored}
	c.events = append(c.events, timedEvent{event: event, recordedAt: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsSince returns the events after a sequence number that were recorded at least lag
// ago. It leaves out the events whose sequence numbers are multiples of gap; a gap of
// zero leaves out none.
func (c *prefixCache) eventsSince(sequence uint64, lag time.Duration, gap int) messenger.CacheEventsAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := messenger.CacheEventsAnswer{FirstSequence: c.sequence + 1, LastSequence: sequence}
	if len(c.events) > 0 {
		response.FirstSequence = c.events[0].event.Sequence
	}
	cutoff := time.Now().Add(-lag)
	for _, entry := range c.events {
		if entry.recordedAt.After(cutoff) {
			break
		}
		if entry.event.Sequence <= sequence {
			continue
		}
		response.LastSequence = entry.event.Sequence
		if gap > 0 && entry.event.Sequence%uint64(gap) == 0 {
			continue
		}
		response.Events = append(response.Events, entry.event)
	}
	return response
}
