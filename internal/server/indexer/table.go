// Package indexer indexes the contents of the engines' prompt caches.
//
// The index is one cuckoo hash table. Each slot holds 16 bits of a block's hash
// and the 16-bit number of an engine. A wrong hit only causes a worse pick, so
// readers need no lock, and one false positive in about 8,000 lookups is
// acceptable.
package indexer

import (
	"math/bits"
	"sync/atomic"
)

// Sizes of the table.
const (
	// bucketSlots is the number of slots in a bucket.
	bucketSlots = 4
	// maxRelocations bounds the entries that one insertion relocates.
	maxRelocations = 64
	// slotBytes is the size of a slot.
	slotBytes = 4
	// digestMask selects the block's digest in a slot.
	digestMask = 0xffff
	// engineShift is the position of the engine's number in a slot.
	engineShift = 16
)

// table is a cuckoo hash table of block digests and engine numbers. One goroutine
// may write; reads are safe for concurrent use.
type table struct {
	slots       []atomic.Uint32
	bucketCount uint64
	// entryCount is the number of entries.
	entryCount int
	// droppedEntries counts the entries lost because no free slot was found.
	droppedEntries int
	// nextSlot selects, modulo bucketSlots, the slot of a bucket to relocate next.
	nextSlot uint32
}

// newTable returns a table that uses the given number of bytes.
func newTable(bytes int) *table {
	buckets := max(bytes/slotBytes/bucketSlots, 2)
	return &table{slots: make([]atomic.Uint32, buckets*bucketSlots), bucketCount: uint64(buckets)}
}

// digest returns the 16-bit digest of a block's hash. It is never zero, since zero
// marks a free slot.
func digest(block uint64) uint32 {
	return uint32(block>>48)&digestMask | 1
}

// firstBucket returns the index of a block's first bucket.
func (t *table) firstBucket(block uint64) uint64 {
	high, _ := bits.Mul64(block<<16|block>>48, t.bucketCount)
	return high
}

// otherBucket returns the index of a digest's other bucket. Applied twice, it
// returns the original bucket, even if the number of buckets is not a power of two.
func (t *table) otherBucket(bucket uint64, digest uint32) uint64 {
	sum, _ := bits.Mul64(uint64(digest)*0x9e3779b97f4a7c15, t.bucketCount)
	return (sum + t.bucketCount - bucket) % t.bucketCount
}

// bucket returns the slots of a bucket.
func (t *table) bucket(i uint64) []atomic.Uint32 {
	return t.slots[i*bucketSlots : (i+1)*bucketSlots]
}

// put adds a block of an engine. If the table is full, another entry is dropped.
func (t *table) put(block uint64, engine uint16) {
	blockDigest := digest(block)
	value := uint32(engine)<<engineShift | blockDigest
	first := t.firstBucket(block)
	second := t.otherBucket(first, blockDigest)
	if t.bucketContains(first, value) || t.bucketContains(second, value) {
		return
	}
	t.entryCount++
	if t.insert(first, value) || t.insert(second, value) {
		return
	}
	t.relocate(second, value)
}

// relocate inserts an entry into a full bucket by moving entries to their other
// buckets. After maxRelocations it drops the last entry that was moved.
func (t *table) relocate(bucket uint64, value uint32) {
	for range maxRelocations {
		t.nextSlot++
		slot := &t.bucket(bucket)[t.nextSlot%bucketSlots]
		value = slot.Swap(value)
		bucket = t.otherBucket(bucket, value&digestMask)
		if t.insert(bucket, value) {
			return
		}
	}
	t.entryCount--
	t.droppedEntries++
}

// insert stores an entry in a free slot of a bucket. It returns false if there is
// none.
func (t *table) insert(index uint64, value uint32) bool {
	bucket := t.bucket(index)
	for i := range bucket {
		if bucket[i].Load() == 0 {
			bucket[i].Store(value)
			return true
		}
	}
	return false
}

// bucketContains reports whether a bucket contains an entry.
func (t *table) bucketContains(index uint64, value uint32) bool {
	bucket := t.bucket(index)
	for i := range bucket {
		if bucket[i].Load() == value {
			return true
		}
	}
	return false
}

// contains reports whether an engine probably holds a block.
func (t *table) contains(block uint64, engine uint16) bool {
	blockDigest := digest(block)
	value := uint32(engine)<<engineShift | blockDigest
	first := t.firstBucket(block)
	return t.bucketContains(first, value) || t.bucketContains(t.otherBucket(first, blockDigest), value)
}

// remove removes a block of an engine.
func (t *table) remove(block uint64, engine uint16) {
	blockDigest := digest(block)
	value := uint32(engine)<<engineShift | blockDigest
	first := t.firstBucket(block)
	for _, index := range [...]uint64{first, t.otherBucket(first, blockDigest)} {
		bucket := t.bucket(index)
		for i := range bucket {
			if bucket[i].Load() == value {
				bucket[i].Store(0)
				t.entryCount--
				return
			}
		}
	}
}

// holders writes the numbers of the engines that probably hold a block into the
// array, and returns how many there are.
func (t *table) holders(block uint64, into *[maxHolders]uint16) int {
	blockDigest := digest(block)
	first := t.firstBucket(block)
	n := 0
	for _, index := range [...]uint64{first, t.otherBucket(first, blockDigest)} {
		bucket := t.bucket(index)
		for i := range bucket {
			value := bucket[i].Load()
			if value&digestMask == blockDigest && n < maxHolders {
				into[n] = uint16(value >> engineShift)
				n++
			}
		}
	}
	return n
}

// removeEngine removes all entries of an engine.
func (t *table) removeEngine(engine uint16) {
	for i := range t.slots {
		value := t.slots[i].Load()
		if value != 0 && uint16(value>>engineShift) == engine {
			t.slots[i].Store(0)
			t.entryCount--
		}
	}
}

// maxHolders is the number of slots in two buckets.
const maxHolders = 2 * bucketSlots
