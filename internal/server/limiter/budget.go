package limiter

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Budgets are reserved in the table before use, one batch at a time.
const (
	budgetsTable = "budgets"
	// batchFraction is the fraction of a day's budget that one batch reserves.
	batchFraction = 0.01
	// tableTimeout bounds all calls of the table for one reservation or refund.
	tableTimeout = 2 * time.Second
	// budgetRetryInterval is the time until the next reservation after the table failed
	// or had nothing left to reserve.
	budgetRetryInterval = 2 * time.Second
	microsPerSecond     = 1e6
	dateFormat          = "2006-01-02"
)

// budgetRow is the table row of one budget and day. Reserved time counts as spent
// for every instance except the owner that reserved it.
type budgetRow struct {
	// Nonce differs with each write, so that a write whose response was lost can
	// be recognised.
	Nonce string `json:"nonce"`
	// Reserved is the reserved time in seconds by stage.
	Reserved map[string]float64 `json:"reserved"`
}

// budget is the owner's state of one budget.
type budget struct {
	key  string
	date string
	// totalSeconds is the day's budget and remainingSeconds what is reserved and not
	// spent, by stage; the latter is negative after overspending.
	totalSeconds     map[string]float64
	remainingSeconds map[string]float64
	// version is the version of the table row when it was last read, row its content
	// with the reservations made since.
	version uint64
	row     budgetRow
	// isReserving means that a worker reads or writes the row.
	isReserving bool
	// isLoaded means that the row has been read.
	isLoaded bool
	// lastFailure is when the table last failed or had nothing left to reserve;
	// zero after a successful reservation.
	lastFailure time.Time
}

// budgets holds the budgets that this instance owns.
type budgets struct {
	table   server.Table
	timer   server.Timer
	self    string
	mu      sync.Mutex
	byKey   map[string]*budget
	workers sync.WaitGroup
}

func newBudgets(table server.Table, timer server.Timer, self string) *budgets {
	return &budgets{table: table, timer: timer, self: self, byKey: make(map[string]*budget)}
}

// charge deducts a cost in microseconds by stage from a budget. It returns for how
// long no further request may use the budget; zero if requests may use it now.
func (b *budgets) charge(key string, total map[string]float64, cost map[string]uint64, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	today := now.UTC().Format(dateFormat)
	entry := b.byKey[key]
	if entry == nil || entry.date != today {
		entry = &budget{key: key, date: today, remainingSeconds: make(map[string]float64)}
		b.byKey[key] = entry
	}
	entry.totalSeconds = total
	for stage, micros := range cost {
		entry.remainingSeconds[stage] -= float64(micros) / microsPerSecond
	}
	if entry.isLow() && !entry.isReserving && now.Sub(entry.lastFailure) >= budgetRetryInterval {
		entry.isReserving = true
		b.workers.Go(func() { b.reserve(entry) })
	}
	if !entry.isLoaded {
		// The first read of the row takes milliseconds. Requests run meanwhile;
		// they are refused only if the table is unavailable.
		if entry.lastFailure.IsZero() {
			return 0
		}
		return budgetRetryInterval
	}
	return entry.blockedFor(now)
}

// isLow reports whether a stage has less than half a batch left.
func (o *budget) isLow() bool {
	for stage, total := range o.totalSeconds {
		if o.remainingSeconds[stage] < total*batchFraction/2 {
			return true
		}
	}
	return false
}

// blockedFor returns how long requests are refused: until the next day (UTC) if a
// stage's total is reserved and spent, for a short time if only the next batch is
// outstanding.
func (o *budget) blockedFor(now time.Time) time.Duration {
	var wait time.Duration
	for stage, total := range o.totalSeconds {
		if o.remainingSeconds[stage] > 0 {
			continue
		}
		wait = max(wait, prefetchTime)
		if o.row.Reserved[stage] >= total {
			return now.UTC().Truncate(budgetPeriod).Add(budgetPeriod).Sub(now)
		}
	}
	return wait
}

// budgetPeriod is the time after which a budget is renewed.
const budgetPeriod = 24 * time.Hour

// nextReservation returns what to reserve, in seconds by stage, so that one batch
// remains, within the totals.
func (o *budget) nextReservation() map[string]float64 {
	additionalSeconds := make(map[string]float64)
	for stage, total := range o.totalSeconds {
		if missingSeconds := min(total*batchFraction-o.remainingSeconds[stage], total-o.row.Reserved[stage]); missingSeconds > 0 {
			additionalSeconds[stage] = missingSeconds
		}
	}
	return additionalSeconds
}

// reserve reads the row and adds the next reservation to it. It runs in a worker.
func (b *budgets) reserve(entry *budget) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	key := server.Key{Table: budgetsTable, Row: entry.date + "/" + entry.key}
	version, row, err := b.readRow(ctx, key)
	if err == nil {
		b.mu.Lock()
		entry.version = version
		entry.row = row
		additionalSeconds := entry.nextReservation()
		b.mu.Unlock()
		if len(additionalSeconds) > 0 {
			err = b.addReserved(ctx, key, version, row, additionalSeconds)
		}
		if err == nil {
			b.completeReservation(entry, additionalSeconds)
			return
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	entry.isReserving = false
	if !errors.Is(err, server.ErrConflict) {
		entry.lastFailure = b.timer.Now()
	}
}

// completeReservation makes reserved time available.
func (b *budgets) completeReservation(entry *budget, additionalSeconds map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for stage, seconds := range additionalSeconds {
		entry.remainingSeconds[stage] += seconds
	}
	entry.row.Reserved = sumByStage(entry.row.Reserved, additionalSeconds)
	entry.isReserving = false
	entry.isLoaded = true
	entry.lastFailure = time.Time{}
	if len(additionalSeconds) == 0 {
		entry.lastFailure = b.timer.Now()
	}
}

// readRow returns a row and its version; a missing row has version 0.
func (b *budgets) readRow(ctx context.Context, key server.Key) (uint64, budgetRow, error) {
	var row budgetRow
	stored, err := b.table.Get(ctx, key)
	if errors.Is(err, server.ErrNotFound) {
		return 0, row, nil
	}
	if err != nil {
		return 0, row, err
	}
	return stored.Version, row, json.Unmarshal(stored.Value, &row)
}

// addReserved adds to the time reserved in the row. If the response is lost, it
// reads the row to find out whether the write took effect. If that stays unknown,
// it returns the error: time that the row may count as reserved is then spent by
// no instance, so the budget is not exceeded.
func (b *budgets) addReserved(ctx context.Context, key server.Key, version uint64, row budgetRow, additionalSeconds map[string]float64) error {
	next := budgetRow{Nonce: server.NewID().String(), Reserved: sumByStage(row.Reserved, additionalSeconds)}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = b.table.Commit(ctx, []server.Write{{Key: key, ExpectedVersion: version, Value: value}})
	if !errors.Is(err, server.ErrUncertain) {
		return err
	}
	_, stored, readErr := b.readRow(ctx, key)
	if readErr == nil && stored.Nonce == next.Nonce {
		return nil
	}
	return err
}

// sumByStage adds two amounts of time stage by stage.
func sumByStage(a, b map[string]float64) map[string]float64 {
	total := maps.Clone(a)
	if total == nil {
		total = make(map[string]float64, len(b))
	}
	for stage, seconds := range b {
		total[stage] += seconds
	}
	return total
}

// releaseUnowned returns the unspent rest of budgets that this instance no longer
// owns and deletes budgets of earlier days.
func (b *budgets) releaseUnowned(now time.Time, isOwned func(key string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, entry := range b.byKey {
		if entry.date != now.UTC().Format(dateFormat) && !entry.isReserving {
			delete(b.byKey, key)
			continue
		}
		if !isOwned(key) && !entry.isReserving {
			delete(b.byKey, key)
			b.workers.Go(func() { b.returnUnspent(entry) })
		}
	}
}

// returnUnspent subtracts the reserved time that was not spent from the row, or
// adds the time that was spent without a reservation.
func (b *budgets) returnUnspent(entry *budget) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	key := server.Key{Table: budgetsTable, Row: entry.date + "/" + entry.key}
	for {
		version, row, err := b.readRow(ctx, key)
		if err != nil {
			return
		}
		refund := make(map[string]float64, len(entry.remainingSeconds))
		for stage, seconds := range entry.remainingSeconds {
			refund[stage] = -seconds
		}
		if err := b.addReserved(ctx, key, version, row, refund); !errors.Is(err, server.ErrConflict) {
			return
		}
	}
}

// close waits for the running workers, then returns the unspent rest of all budgets
// concurrently. Each worker is bounded by tableTimeout.
func (b *budgets) close() {
	b.workers.Wait()
	b.mu.Lock()
	all := b.byKey
	b.byKey = make(map[string]*budget)
	b.mu.Unlock()
	for _, entry := range all {
		b.workers.Go(func() { b.returnUnspent(entry) })
	}
	b.workers.Wait()
}
