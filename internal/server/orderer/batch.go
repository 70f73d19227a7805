package orderer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// Limits of transactions.
const (
	// maxBatchRows is the largest number of rows in one transaction.
	maxBatchRows = 128
	// minCommitInterval separates two transactions of an instance, so that three
	// instances stay within a table limit of 300 writes per second.
	minCommitInterval = 10 * time.Millisecond
	// commitTimeout bounds one transaction.
	commitTimeout = 500 * time.Millisecond
)

// queuedWrite is a row write that is waiting for its transaction. version and
// err are set before done is closed.
type queuedWrite struct {
	ctx     context.Context
	write   server.Write
	version uint64
	err     error
	done    chan struct{}
}

// committer combines queued writes into transactions. It runs one transaction at
// a time, with each row at most once. It is safe for concurrent use.
type committer struct {
	table server.Table
	timer server.Timer

	mu           sync.Mutex
	queue        []*queuedWrite
	isRunning    bool
	lastCommitAt time.Time
	commitCount  int
}

// commit queues a write of one row and waits for its transaction. It returns
// the row's new version or the table's error. If ctx ends first, the error is
// ErrUnavailable if the write has been dropped from the queue, and otherwise
// ErrUncertain, since its transaction may be in progress.
func (c *committer) commit(ctx context.Context, write server.Write) (uint64, error) {
	queued := &queuedWrite{ctx: ctx, write: write, done: make(chan struct{})}
	c.mu.Lock()
	c.queue = append(c.queue, queued)
	if !c.isRunning {
		c.isRunning = true
		go c.commitQueued()
	}
	c.mu.Unlock()
	select {
	case <-queued.done:
		return queued.version, queued.err
	case <-ctx.Done():
		return 0, server.NewFault("commit", "table", merry.Prepend(server.ErrUncertain, ctx.Err().Error()))
	}
}

// commitQueued commits the queued writes in batches until the queue is empty.
func (c *committer) commitQueued() {
	for c.hasQueued() {
		c.waitInterval()
		if batch := c.nextBatch(); len(batch) > 0 {
			c.commitBatch(batch)
		}
	}
}

// hasQueued reports whether a write is queued. Otherwise it clears isRunning,
// so that the next commit starts a new goroutine.
func (c *committer) hasQueued() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isRunning = len(c.queue) > 0
	return c.isRunning
}

// waitInterval waits until minCommitInterval has passed since the last
// transaction.
func (c *committer) waitInterval() {
	c.mu.Lock()
	wait := c.lastCommitAt.Add(minCommitInterval).Sub(c.timer.Now())
	c.mu.Unlock()
	_ = server.Sleep(context.Background(), c.timer, wait)
}

// nextBatch removes up to maxBatchRows writes from the queue. A second write of
// the same row stays queued. Writes whose context has ended are dropped with
// ErrUnavailable.
func (c *committer) nextBatch() []*queuedWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make(map[server.Key]bool)
	var batch, remaining []*queuedWrite
	for _, queued := range c.queue {
		if queued.ctx.Err() != nil {
			queued.err = server.ErrUnavailable
			close(queued.done)
			continue
		}
		if rows[queued.write.Key] || len(batch) == maxBatchRows {
			remaining = append(remaining, queued)
			continue
		}
		rows[queued.write.Key] = true
		batch = append(batch, queued)
	}
	c.queue = remaining
	return batch
}

// commitBatch commits a batch as one transaction. A conflict means that nothing
// was written, so the batch is split in half and both halves are retried until
// the conflicting row is on its own.
func (c *committer) commitBatch(batch []*queuedWrite) {
	writes := make([]server.Write, 0, len(batch))
	for _, queued := range batch {
		writes = append(writes, queued.write)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	versions, err := c.table.Commit(ctx, writes)
	cancel()
	c.mu.Lock()
	c.commitCount++
	c.lastCommitAt = c.timer.Now()
	c.mu.Unlock()
	if errors.Is(err, server.ErrConflict) && len(batch) > 1 {
		half := len(batch) / 2
		c.waitInterval()
		c.commitBatch(batch[:half])
		c.waitInterval()
		c.commitBatch(batch[half:])
		return
	}
	if err == nil && len(versions) != len(batch) {
		err = server.ErrUncertain
	}
	for i, queued := range batch {
		queued.err = err
		if err == nil {
			queued.version = versions[i]
		}
		close(queued.done)
	}
}
