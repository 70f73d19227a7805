package accountant

import (
	"context"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// minProgressTime is the least time that progress is computed over.
const minProgressTime = 100 * time.Millisecond

// Account holds the bytes of one request. Its methods are called by the goroutine of the request.
type Account struct {
	accountant *Accountant
	abort      func()
	held       int64
	// openedAt is when the request began to be received, receivedAt when its last bytes were.
	openedAt, receivedAt time.Time
	// received are the bytes since markedAt, and receivedBefore those between markedBefore and markedAt. A new period
	// begins after progressWindow.
	received, receivedBefore int64
	markedAt, markedBefore   time.Time
	// sendingAt is when the write in progress of the response began.
	sendingAt    time.Time
	isWaiting    bool
	isTerminated bool
}

// Open returns an account without bytes.
func (a *Accountant) Open() *Account { return &Account{accountant: a} }

// BeginReceiving begins to measure the progress of the client. abort ends the request if it is terminated; it is called
// at most once, by another goroutine and not after EndReceiving, and must neither block nor use the account.
func (c *Account) BeginReceiving(abort func()) {
	now := c.accountant.timer.Now()
	c.accountant.mu.Lock()
	defer c.accountant.mu.Unlock()
	c.abort = abort
	c.beginPeriod(now)
	c.accountant.receiving[c] = struct{}{}
}

// EndReceiving ends the measurement and reports whether the request was not terminated.
func (c *Account) EndReceiving() bool {
	c.accountant.mu.Lock()
	defer c.accountant.mu.Unlock()
	delete(c.accountant.receiving, c)
	return !c.isTerminated
}

// BeginSending begins a write of the response, which abort ends if the client does not read while bytes or connections are
// scarce. It is not called after EndSending, and must neither block nor use the account.
func (c *Account) BeginSending(abort func()) {
	now := c.accountant.timer.Now()
	c.accountant.mu.Lock()
	defer c.accountant.mu.Unlock()
	c.abort, c.sendingAt = abort, now
	c.accountant.sending[c] = struct{}{}
}

// EndSending ends a write of the response.
func (c *Account) EndSending() {
	c.accountant.mu.Lock()
	defer c.accountant.mu.Unlock()
	delete(c.accountant.sending, c)
}

// RecordReceived records that n bytes were received.
func (c *Account) RecordReceived(n int) {
	now := c.accountant.timer.Now()
	c.accountant.mu.Lock()
	defer c.accountant.mu.Unlock()
	if now.Sub(c.markedAt) >= progressWindow {
		c.receivedBefore, c.markedBefore = c.received, c.markedAt
		c.received, c.markedAt = 0, now
	}
	c.received += int64(n)
	c.receivedAt = now
}

// progress returns the bytes per second that the client has sent lately. The mutex of the accountant must be held.
func (c *Account) progress(now time.Time) int64 {
	if now.Sub(c.receivedAt) >= progressWindow {
		return 0
	}
	return int64(float64(c.received+c.receivedBefore) / max(now.Sub(c.markedBefore), minProgressTime).Seconds())
}

// beginPeriod begins to measure the progress anew. The mutex of the accountant must be held.
func (c *Account) beginPeriod(now time.Time) {
	c.openedAt, c.receivedAt, c.markedAt, c.markedBefore = now, now, now, now
	c.received, c.receivedBefore = 0, 0
}

// endWait ends a wait. Its time does not count as the client's. The mutex of the accountant must be held.
func (c *Account) endWait() {
	c.isWaiting = false
	c.beginPeriod(c.accountant.timer.Now())
}

// TryReserve reserves bytes and reports whether they were left.
func (c *Account) TryReserve(bytes int64) bool {
	c.accountant.mu.Lock()
	defer c.accountant.mu.Unlock()
	return c.accountant.reserve(c, bytes)
}

// Reserve reserves bytes. It waits if too few are left, and returns server.ErrOverload if they do not become free in
// time, or the cause of the end of ctx.
func (c *Account) Reserve(ctx context.Context, bytes int64) error {
	a := c.accountant
	a.mu.Lock()
	if a.reserve(c, bytes) {
		a.mu.Unlock()
		return nil
	}
	r := &reservation{account: c, bytes: bytes, done: make(chan struct{})}
	a.startWait(r)
	a.mu.Unlock()
	expired := make(chan struct{})
	stop := a.timer.After(a.maxWait, func(time.Time) { close(expired) })
	defer stop()
	var err error
	select {
	case <-r.done:
		return nil
	case <-expired:
		err = server.ErrOverload
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.isGranted {
		return nil
	}
	a.waiting = slices.DeleteFunc(a.waiting, func(other *reservation) bool { return other == r })
	a.stopIdleCheck()
	c.endWait()
	a.refusedCount.Add(1)
	return err
}

// Release gives bytes back.
func (c *Account) Release(bytes int64) {
	c.accountant.mu.Lock()
	defer c.accountant.mu.Unlock()
	c.accountant.release(c, min(bytes, c.held))
}

// ReleaseAllBut gives back what is held beyond bytes.
func (c *Account) ReleaseAllBut(bytes int64) {
	c.accountant.mu.Lock()
	defer c.accountant.mu.Unlock()
	c.accountant.release(c, max(c.held-bytes, 0))
}

// IsTerminated reports whether the request was terminated.
func (c *Account) IsTerminated() bool {
	c.accountant.mu.Lock()
	defer c.accountant.mu.Unlock()
	return c.isTerminated
}

// Close gives all bytes back.
func (c *Account) Close() {
	c.accountant.mu.Lock()
	defer c.accountant.mu.Unlock()
	delete(c.accountant.receiving, c)
	delete(c.accountant.ending, c)
	c.accountant.release(c, c.held)
}
