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
	batchFraction       = 0.01
	tableTimeout        = 2 * time.Second
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
	// total is the day's budget and remaining what is reserved and not spent, in
	// seconds by stage; remaining is negative after overspending.
	total     map[string]float64
	remaining map[string]float64
	// version is the version of the table row when it was last read, row its content
	// with the reservations made since.
	version uint64
	row     budgetRow
	// reserving means that a worker reads or writes the row.
	reserving bool
	// loaded means that the row has been read.
	loaded bool
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
		entry = &budget{key: key, date: today, remaining: make(map[string]float64)}
		b.byKey[key] = entry
	}
	entry.total = total
	for stage, micros := range cost {
		entry.remaining[stage] -= float64(micros) / microsPerSecond
	}
	if entry.isLow() && !entry.reserving && now.Sub(entry.lastFailure) >= budgetRetryInterval {
		entry.reserving = true
		b.workers.Go(func() { b.reserve(entry) })
	}
	if !entry.loaded {
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
	for stage, total := range o.total {
		if o.remaining[stage] < total*batchFraction/2 {
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
	for stage, total := range o.total {
		if o.remaining[stage] > 0 {
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
	additional := make(map[string]float64)
	for stage, total := range o.total {
		if need := min(total*batchFraction-o.remaining[stage], total-o.row.Reserved[stage]); need > 0 {
			additional[stage] = need
		}
	}
	return additional
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
		additional := entry.nextReservation()
		b.mu.Unlock()
		if len(additional) > 0 {
			err = b.addReserved(ctx, key, version, row, additional)
		}
		if err == nil {
			b.completeReservation(entry, additional)
			return
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	entry.reserving = false
	if !errors.Is(err, server.ErrConflict) {
		entry.lastFailure = b.timer.Now()
	}
}

// completeReservation makes reserved time available.
func (b *budgets) completeReservation(entry *budget, additional map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for stage, seconds := range additional {
		entry.remaining[stage] += seconds
	}
	entry.row.Reserved = sumByStage(entry.row.Reserved, additional)
	entry.reserving = false
	entry.loaded = true
	entry.lastFailure = time.Time{}
	if len(additional) == 0 {
		entry.lastFailure = b.timer.Now()
	}
}

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
func (b *budgets) addReserved(ctx context.Context, key server.Key, version uint64, row budgetRow, additional map[string]float64) error {
	next := budgetRow{Nonce: server.NewID().String(), Reserved: sumByStage(row.Reserved, additional)}
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
func (b *budgets) releaseUnowned(now time.Time, owned func(key string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, entry := range b.byKey {
		if entry.date != now.UTC().Format(dateFormat) && !entry.reserving {
			delete(b.byKey, key)
			continue
		}
		if !owned(key) && !entry.reserving {
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
		refund := make(map[string]float64, len(entry.remaining))
		for stage, seconds := range entry.remaining {
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
