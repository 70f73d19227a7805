package indexer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oriolemill.example/oriolemill/internal/messenger"
)

var startTime = time.Unix(1000, 0)

// storedEvents returns events that store blocks, with consecutive sequence numbers
// from first on.
func storedEvents(first uint64, blocks ...uint64) *messenger.CacheEventsAnswer {
	events := &messenger.CacheEventsAnswer{FirstSequence: 1, LastSequence: first + uint64(len(blocks)) - 1}
	for i, block := range blocks {
		events.Events = append(events.Events, messenger.CacheEvent{Sequence: first + uint64(i), BlockHash: block, IsStored: true})
	}
	return events
}

func TestHoldersFollowEvents(t *testing.T) {
	is := is.New(t)
	x := New(1 << 16)
	blocks := messenger.AppendBlockHashes(nil, "salt", fmt.Sprintf("%01024d", 7))
	x.ApplyEvents("a", storedEvents(1, blocks[:4]...), startTime)
	x.ApplyEvents("b", storedEvents(1, blocks...), startTime)
	var found [MaxHolders]Holder
	is.Equal(x.Holders(blocks, startTime, &found), 2)
	is.Equal(x.ExpectedBlocks("a", blocks, startTime), 4.0)
	is.Equal(x.ExpectedBlocks("b", blocks, startTime), float64(len(blocks)))
	is.Equal(x.ExpectedBlocks("c", blocks, startTime), 0.0)
	is.Equal(x.ExpectedBlocks("b", messenger.AppendBlockHashes(nil, "other", fmt.Sprintf("%01024d", 7)), startTime), 0.0) // salts separate the caches of workspaces
	x.ApplyEvents("a", &messenger.CacheEventsAnswer{FirstSequence: 1, LastSequence: 5, Events: []messenger.CacheEvent{{Sequence: 5, BlockHash: blocks[0]}}}, startTime)
	is.Equal(x.ExpectedBlocks("a", blocks, startTime), 0.0) // the engine evicted the first block
}

func TestConfidenceDecaysAfterSequenceGapUntilResync(t *testing.T) {
	is := is.New(t)
	x := New(1 << 16)
	blocks := []uint64{1 << 50, 2 << 50, 3 << 50}
	x.ApplyEvents("a", storedEvents(1, blocks...), startTime)
	is.True(!x.IsStale("a"))
	x.ApplyEvents("a", &messenger.CacheEventsAnswer{FirstSequence: 9, LastSequence: 9, Events: []messenger.CacheEvent{{Sequence: 9, BlockHash: 4 << 50, IsStored: true}}}, startTime)
	is.True(x.IsStale("a"))
	is.Equal(x.ExpectedBlocks("a", blocks, startTime), 3.0)
	is.Equal(x.ExpectedBlocks("a", blocks, startTime.Add(5*time.Second)), 1.5)
	x.Resync("a", storedEvents(1, blocks[:2]...), startTime)
	is.True(!x.IsStale("a"))
	is.Equal(x.ExpectedBlocks("a", blocks, startTime.Add(time.Hour)), 2.0)
}

// TestTableContainsEveryEntryUntilFull compares the table with a set of the
// entries that were put. The table must contain them all until it drops one.
func TestTableContainsEveryEntryUntilFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(1 << 14)
		model := map[[2]uint64]bool{}
		for range rapid.IntRange(1, 1500).Draw(t, "steps") {
			block := rapid.Uint64().Draw(t, "block")
			engine := uint16(rapid.IntRange(0, 5).Draw(t, "engine"))
			key := [2]uint64{block, uint64(engine)}
			if rapid.Bool().Draw(t, "put") {
				table.put(block, engine)
				model[key] = true
			}
		}
		for key := range model {
			if table.droppedEntries == 0 && !table.contains(key[0], uint16(key[1])) {
				t.Fatalf("table lost block %x of engine %d", key[0], key[1])
			}
		}
	})
}

// TestIndexHoldsAHundredMillionTokens checks that 100 M tokens, which are 6.25 M
// blocks, fit into 32 MB. Under the race detector both are divided by scale, so
// that the load factor is the same; CI also runs the test without it.
func TestIndexHoldsAHundredMillionTokens(t *testing.T) {
	is := is.New(t)
	const blocks = 100_000_000 / messenger.BlockTokens / scale
	is.True(DefaultBytes <= 32_000_000)
	fullTable := newTable(DefaultBytes)
	is.True(len(fullTable.slots)*slotBytes <= DefaultBytes)
	table := newTable(DefaultBytes / scale)
	is.True(len(table.slots) <= len(fullTable.slots)/scale)
	random := rand.New(rand.NewPCG(1, 1))
	for range blocks {
		table.put(random.Uint64(), uint16(random.IntN(2100)))
	}
	is.Equal(table.droppedEntries, 0)
	random = rand.New(rand.NewPCG(1, 1))
	for range blocks {
		block, engine := random.Uint64(), uint16(random.IntN(2100))
		if !table.contains(block, engine) {
			t.Fatalf("table lost block %x of engine %d", block, engine)
		}
	}
	falsePositives := 0
	for range 100_000 {
		if table.contains(random.Uint64(), uint16(random.IntN(2100))) {
			falsePositives++
		}
	}
	is.True(falsePositives < 100) // fewer than one false positive in a thousand lookups
}

// BenchmarkHolders looks up a prompt of 64 blocks in indexes with different numbers
// of blocks.
func BenchmarkHolders(b *testing.B) {
	for _, count := range []int{60_000, 625_000, 6_250_000} {
		b.Run(fmt.Sprintf("blocks=%d", count), func(b *testing.B) {
			x := New(DefaultBytes)
			random := rand.New(rand.NewPCG(1, 1))
			prompt := make([]uint64, 64)
			for i := range prompt {
				prompt[i] = random.Uint64()
			}
			x.ApplyEvents("a", storedEvents(1, prompt...), startTime)
			for range count {
				x.table.put(random.Uint64(), uint16(1+random.IntN(2100)))
			}
			var found [MaxHolders]Holder
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				x.Holders(prompt, startTime, &found)
			}
		})
	}
}
