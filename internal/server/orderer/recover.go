package orderer

import (
	"context"
	"errors"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Intervals and limits of the background tasks.
const (
	// flushInterval is the interval between attempts to write unconfirmed records.
	flushInterval = 250 * time.Millisecond
	// minSweepInterval is the shortest interval between two pages of a sweep.
	minSweepInterval = time.Second
	// maxSweepPagesPerSecond bounds the pages that all instances together read per
	// second.
	maxSweepPagesPerSecond = 50
	// sweepPageRows is the number of rows in a page.
	sweepPageRows = 200
	// sweepTimeout bounds one page including its status requests.
	sweepTimeout = 5 * time.Second
	// maxRecoveryRequests bounds the unconfirmed records that are written
	// concurrently, and the status requests about unknown orders in one page of a
	// sweep.
	maxRecoveryRequests = 16
)

// sweepState is the position of the sweep over all rows.
type sweepState struct {
	// after is the row key after which the next page starts.
	after string
	// isRunning reports that sweepPage is running. In the result of sweepNextPage it
	// reports that the page could not be read.
	isRunning bool
	// lastPageAt is when the last page was started.
	lastPageAt time.Time
	// fullPassDone reports that every row has been read once since the start.
	fullPassDone bool
}

// Start subscribes the background tasks to the timer. They run in goroutines of
// their own, since the timer's goroutine must never wait for the table.
func (o *Orderer) Start() {
	o.unsubscribe = append(o.unsubscribe,
		o.dependencies.Timer.Every(flushInterval, func(time.Time) { go o.flushIntents() }),
		o.dependencies.Timer.Every(minSweepInterval, func(time.Time) { go o.sweepPage() }),
	)
}

// Stop unsubscribes the background tasks. It does not wait for running ones.
func (o *Orderer) Stop() {
	for _, stop := range o.unsubscribe {
		stop()
	}
}

// retainIntent stores a final record until its write is confirmed.
func (o *Orderer) retainIntent(i intent) {
	o.mu.Lock()
	o.unconfirmed[i.record.Nonce] = i
	o.mu.Unlock()
}

// flushIntents tries once to write each unconfirmed record. It returns at once
// if it is already running.
func (o *Orderer) flushIntents() {
	o.mu.Lock()
	if o.isFlushing || len(o.unconfirmed) == 0 {
		o.mu.Unlock()
		return
	}
	o.isFlushing = true
	intents := make([]intent, 0, len(o.unconfirmed))
	for _, i := range o.unconfirmed {
		intents = append(intents, i)
	}
	o.mu.Unlock()
	done := make(chan struct{}, len(intents))
	slots := make(chan struct{}, maxRecoveryRequests)
	for _, i := range intents {
		slots <- struct{}{}
		go func() {
			if o.flushIntent(i) {
				o.removeIntent(i.record.Nonce)
			}
			<-slots
			done <- struct{}{}
		}()
	}
	for range intents {
		<-done
	}
	o.mu.Lock()
	o.isFlushing = false
	o.mu.Unlock()
}

// removeIntent removes a final record whose write was confirmed or is not needed.
func (o *Orderer) removeIntent(nonce string) {
	o.mu.Lock()
	delete(o.unconfirmed, nonce)
	o.mu.Unlock()
}

// flushIntent tries to write an unconfirmed record. It returns true if nothing is
// left to write.
func (o *Orderer) flushIntent(i intent) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*commitTimeout)
	defer cancel()
	row, err := o.dependencies.Table.Get(ctx, i.key)
	found := record{}
	if err == nil {
		found, err = decodeRecord(row.Value)
	}
	if err != nil && !errors.Is(err, server.ErrNotFound) {
		return false
	}
	decision := i.decide(found, row.Version, err)
	if !decision.shouldWrite {
		return true
	}
	write, err := decision.record.write(i.key, decision.expectedVersion)
	if err != nil {
		return false
	}
	_, err = o.committer.commit(ctx, write)
	return err == nil
}

// statusUpstream returns the named replica of a service unless it is leaving.
// Otherwise it returns another replica, a leaving one only if all are leaving,
// or nil if the service has none.
func (o *Orderer) statusUpstream(service, id string) *server.Upstream {
	var fallback *server.Upstream
	for _, upstream := range o.dependencies.Snapshot().Upstreams(service) {
		if upstream.ID() == id && !upstream.IsLeaving() {
			return upstream
		}
		if fallback == nil || !upstream.IsLeaving() {
			fallback = upstream
		}
	}
	return fallback
}

// sweepPage recovers orphaned orders in the next page of rows and removes records
// past their retention. The first pass after the start reads all pages without
// pauses and removes nothing, so that recovery is fast and causes few writes.
func (o *Orderer) sweepPage() {
	o.mu.Lock()
	snapshot := o.dependencies.Snapshot()
	now := o.dependencies.Timer.Now()
	interval := server.SharedInterval(minSweepInterval, snapshot.InstanceCount(), maxSweepPagesPerSecond)
	if o.sweep.isRunning || snapshot.Deployment() == nil || now.Sub(o.sweep.lastPageAt) < interval-flushInterval {
		o.mu.Unlock()
		return
	}
	o.sweep.isRunning = true
	o.sweep.lastPageAt = now
	state := o.sweep
	o.mu.Unlock()
	state = o.sweepNextPage(state)
	for !state.fullPassDone && state.after != "" && !state.isRunning {
		state = o.sweepNextPage(state)
	}
	state.isRunning = false
	o.mu.Lock()
	o.sweep = state
	o.mu.Unlock()
}

// sweepNextPage processes one page and returns the position of the next one. If
// the page could not be read, it returns the same position with isRunning set.
func (o *Orderer) sweepNextPage(state sweepState) sweepState {
	ctx, cancel := context.WithTimeout(context.Background(), sweepTimeout)
	defer cancel()
	rows, err := o.dependencies.Table.Scan(ctx, tableOrders, state.after, sweepPageRows)
	if err != nil {
		state.isRunning = true
		return state
	}
	o.sweepRows(ctx, rows, state.fullPassDone)
	if len(rows) == sweepPageRows {
		return sweepState{after: rows[len(rows)-1].Row, fullPassDone: state.fullPassDone}
	}
	return sweepState{fullPassDone: true}
}

// sweepRows recovers the orders of a page that need it, and removes the records
// past their retention if remove is set.
func (o *Orderer) sweepRows(ctx context.Context, rows []server.Row, remove bool) {
	now := o.dependencies.Timer.Now()
	var removals []server.Write
	statusRequests := 0
	for _, row := range rows {
		found, err := decodeRecord(row.Value)
		if err != nil {
			continue
		}
		switch {
		case isPastRetention(found, now):
			removals = append(removals, server.Write{Key: row.Key, ExpectedVersion: row.Version, Delete: true})
		case o.needsRecovery(found, now) && (found.State == StateClaimed || statusRequests < maxRecoveryRequests):
			if found.State == StateUnknown {
				statusRequests++
			}
			o.recoverOrder(ctx, row, found)
		}
	}
	if remove && len(removals) > 0 {
		// On a conflict, because a row has changed since the scan, nothing is removed;
		// the next pass tries again.
		_, _ = o.dependencies.Table.Commit(ctx, removals)
	}
}

// needsRecovery reports whether an order is orphaned, or is unknown although its
// service has a status endpoint, which may know the outcome after the deadline.
// Orders with an unconfirmed record of this process are left to flushIntents.
func (o *Orderer) needsRecovery(r record, now time.Time) bool {
	if _, ok := o.unconfirmedRecord(r.Nonce); ok {
		return false
	}
	if r.State == StateUnknown {
		service := o.dependencies.Snapshot().Deployment().Service(r.Service)
		return service != nil && service.HasOrderStatus() && now.After(r.Deadline)
	}
	return isOrphaned(r, o.dependencies.ID, o.incarnation, o.isListed, now)
}

// isListed reports whether the holder is among the known instances. It returns
// true if no instance is known, since an empty list proves nothing.
func (o *Orderer) isListed(holder string) bool {
	members := o.dependencies.Snapshot().Members()
	if len(members) == 0 {
		return true
	}
	return slices.ContainsFunc(members, func(m server.Member) bool { return m.Listing.ID == holder })
}

// recoverOrder requests the outcome of an orphaned or unknown order from the
// service and records it. Errors are ignored; the next pass tries again.
func (o *Orderer) recoverOrder(ctx context.Context, row server.Row, found record) {
	service := o.dependencies.Snapshot().Deployment().Service(found.Service)
	var info serviceInfo
	if service != nil {
		info = serviceInfo{isFenced: service.IsFenced(), hasStatus: service.HasOrderStatus()}
	}
	upstream := o.statusUpstream(found.Service, found.Upstream)
	statusRequested := info.hasStatus && upstream != nil
	var answer server.Answer
	var err error
	if statusRequested {
		answer, err = o.requestStatus(ctx, upstream, row.Key, found.Fence, info)
	}
	next := recoveredRecord(found, info, statusRequested, answer, err, o.dependencies.Timer.Now().Round(0))
	if next.State == found.State {
		return
	}
	write, err := next.write(row.Key, row.Version)
	if err != nil {
		return
	}
	_, _ = o.committer.commit(ctx, write)
}
