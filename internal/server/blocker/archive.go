package blocker

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// archiveTable is the table of the store with a row for each block, for the case that all
	// instances are lost.
	archiveTable = "blocks"
	// minRestoreCrashes is the number of crashes that count against a request or part from which the
	// blocks in the store are read: fewer than a block needs, and more than replicas that end for
	// another reason cause.
	minRestoreCrashes = 2
	// storeTimeout bounds a call to the store.
	storeTimeout = 2 * time.Second
	// maxDeletions bounds the rows that are deleted after a read.
	maxDeletions = 8
)

// WithArchive keeps blocks in a store. An instance reads them once, when replicas have crashed
// under a request more than once.
func WithArchive(store server.Store) Option {
	return func(b *Blocker) { b.store = store }
}

// archive writes a block to the store. The caller holds mu.
func (b *Blocker) archive(part string, current block, now time.Time) {
	if b.store == nil {
		return
	}
	value, err := proto.Marshal(&encoder.ArchivedBlock{Block: encodeBlock(part, current, now), UnixMs: now.UnixMilli()})
	if err != nil {
		b.log.Error(err, "block cannot be encoded")
		return
	}
	b.messages.Go(func() {
		ctx, cancel := context.WithTimeout(b.ctx, storeTimeout)
		defer cancel()
		if err := b.store.Put(ctx, archiveTable, server.ContentKey(part), value); err != nil {
			b.log.Info("block could not be written to the store", "part", part, "cause", err.Error())
		}
	})
}

// unarchive deletes a block that was refuted from the store. The caller holds mu.
func (b *Blocker) unarchive(part string) {
	if b.store == nil || b.ctx.Err() != nil {
		return
	}
	b.messages.Go(func() {
		ctx, cancel := context.WithTimeout(b.ctx, storeTimeout)
		defer cancel()
		// A row that remains is refuted again by the next completed request.
		_ = b.store.Delete(ctx, archiveTable, server.ContentKey(part))
	})
}

// restoreOnce reads the blocks in the store, unless that was done before, and passes them on. The
// caller holds mu.
func (b *Blocker) restoreOnce() {
	if b.store == nil || !b.isRestored.CompareAndSwap(false, true) {
		return
	}
	if b.ctx.Err() != nil {
		return
	}
	b.messages.Go(func() {
		ctx, cancel := context.WithTimeout(b.ctx, storeTimeout)
		defer cancel()
		rows, _, err := b.store.Load(ctx, archiveTable)
		if err != nil {
			b.isRestored.Store(false) // the next crash tries again
			b.log.Info("blocks cannot be read from the store", "cause", err.Error())
			return
		}
		now := b.timer.Now()
		list, expired := decodeArchive(rows, now)
		b.log.Info("blocks read from the store", "rows", len(rows), "blocks", len(list))
		if len(list) > 0 {
			b.addBlocks(list, now)
			for _, id := range b.otherIDs() {
				b.send(id, &encoder.PromptParts{Blocks: list})
			}
		}
		for _, name := range expired[:min(len(expired), maxDeletions)] {
			// A row that remains is deleted after another read.
			_ = b.store.Delete(ctx, archiveTable, name)
		}
	})
}

// decodeArchive returns the blocks of rows, with their times as of now, and the names of the rows
// whose probation is over or that are invalid.
func decodeArchive(rows []server.StoredRow, now time.Time) (list []*encoder.PartBlock, expired []string) {
	for _, row := range rows {
		var message encoder.ArchivedBlock
		if err := proto.Unmarshal(row.Value, &message); err != nil || message.GetBlock() == nil {
			expired = append(expired, row.Name)
			continue
		}
		age := max(now.Sub(time.UnixMilli(message.GetUnixMs())), 0).Milliseconds()
		message.Block.LeftMs -= age
		message.Block.AgeMs += age
		if message.Block.GetLeftMs() < -probation.Milliseconds() {
			expired = append(expired, row.Name)
			continue
		}
		list = append(list, message.GetBlock())
	}
	return list, expired
}
