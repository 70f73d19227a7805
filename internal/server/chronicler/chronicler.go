// Package chronicler keeps in the platform's store since when the replicas of each service have had one software
// version. After a loss of all instances the next ones read it, so that streams can go on whose origin
// nobody knows any more.
package chronicler

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/registrar"
)

const (
	// table and rowName name the row. No other row is in the table.
	table   = "versions"
	rowName = "periods"
	// saveInterval is the time between two writes. What has changed since the last one is read from the
	// store's history, which reaches back 20 s on the users' platform.
	saveInterval = 8 * time.Second
	// minRestoreInterval is the time between two reads. Clients may name any attempt.
	minRestoreInterval = time.Second
	// storeTimeout bounds a call to the store.
	storeTimeout = time.Second
)

// Periods is the part of a registrar that a Chronicler needs. It must be safe for concurrent use.
type Periods interface {
	// View returns the current view.
	View() *registrar.View
	// AdoptPeriod records that a service has had its only version for longer than the registrar has read.
	AdoptPeriod(service, version string, since time.Time)
}

// Chronicler writes and reads the row. It is safe for concurrent use.
type Chronicler struct {
	log     logr.Logger
	timer   server.Timer
	store   server.Store
	decoder server.RowDecoder
	periods Periods
	// replicas is the name of the replicas' table.
	replicas string
	// isWriter reports whether this instance writes the row on behalf of all.
	isWriter func() bool
	// isFirstStart is set if the deployment starts for the first time, so that no stream is older.
	isFirstStart bool
	writes       atomic.Uint64
	stop         func()
	ctx          context.Context
	cancel       context.CancelFunc
	work         sync.WaitGroup
	// turn holds a token while the row is read or written. Its holder uses the fields below.
	turn       chan struct{}
	restoredAt time.Time
	isRestored bool
}

// Option sets a property of a Chronicler.
type Option func(*Chronicler)

// WithFirstStart states that the deployment starts for the first time.
func WithFirstStart(isFirst bool) Option {
	return func(c *Chronicler) { c.isFirstStart = isFirst }
}

// chronicle is the content of the row.
type chronicle struct {
	// Version is the store's version as of which the rest is true.
	Version uint64 `json:"version"`
	// Replicas are the IDs of all replicas.
	Replicas []string `json:"replicas"`
	Periods  []period `json:"periods"`
}

// period is a time since which all replicas of a service have had one software version.
type period struct {
	Service string `json:"service"`
	Only    string `json:"only"`
	// Since is in Unix milliseconds; 0 is the first start of the deployment.
	Since int64 `json:"since"`
}

// New returns a Chronicler. Close must be called once.
func New(log logr.Logger, timer server.Timer, store server.Store, decoder server.RowDecoder, periods Periods, replicas string, isWriter func() bool, options ...Option) *Chronicler {
	c := &Chronicler{
		log: log, timer: timer, store: store, decoder: decoder, periods: periods, replicas: replicas, isWriter: isWriter, turn: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(c)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.stop = timer.Every(saveInterval, func(time.Time) { c.Save() })
	return c
}

// Close ends the work in progress.
func (c *Chronicler) Close() {
	c.stop()
	c.cancel()
	c.work.Wait()
}

// Writes returns how often the row was written.
func (c *Chronicler) Writes() uint64 { return c.writes.Load() }

// Save writes the row in the background, if this instance is the one that does so.
func (c *Chronicler) Save() {
	if c.ctx.Err() != nil || !c.periods.View().IsReady() || !c.isWriter() {
		return
	}
	c.work.Go(func() {
		if err := c.save(); err != nil && c.ctx.Err() == nil {
			c.log.Info("versions of services could not be written to the store", "cause", err.Error())
		}
	})
}

// save writes the row. It first reads the one that is there, so that periods go on.
func (c *Chronicler) save() error {
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
	defer cancel()
	if !c.begin(ctx) {
		return context.Cause(ctx)
	}
	defer c.end()
	if !c.isRestored {
		if err := c.restore(ctx); err != nil {
			return err
		}
	}
	value, err := json.Marshal(c.chronicle(c.periods.View()))
	if err != nil {
		return merry.Wrap(err)
	}
	c.writes.Add(1)
	return c.store.Put(ctx, table, rowName, value)
}

// chronicle returns what a view says of the services whose streams may be resumed.
func (c *Chronicler) chronicle(view *registrar.View) chronicle {
	result := chronicle{Version: view.Version(c.replicas), Replicas: view.AllReplicaIDs()}
	plan := view.Router().Plan()
	services := make(map[string]bool)
	for i := range plan.Routes {
		for _, target := range plan.Routes[i].Targets {
			services[target.Service] = services[target.Service] || plan.Routes[i].IsResumable
		}
	}
	for service, isResumable := range services {
		if version, since, ok := view.VersionPeriod(service); isResumable && ok {
			p := period{Service: service, Only: version}
			if !since.IsZero() {
				p.Since = since.UnixMilli()
			}
			result.Periods = append(result.Periods, p)
		}
	}
	slices.SortFunc(result.Periods, func(a, b period) int { return cmp.Compare(a.Service, b.Service) })
	return result
}

// Restore reads the row, unless that was done less than minRestoreInterval ago, and passes the periods to the
// registrar that the store's history since then confirms.
func (c *Chronicler) Restore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !c.begin(ctx) {
		return
	}
	defer c.end()
	if now := c.timer.Now(); c.isRestored || !c.restoredAt.IsZero() && now.Sub(c.restoredAt) < minRestoreInterval {
		return
	}
	if err := c.restore(ctx); err != nil {
		c.log.Info("versions of services could not be read from the store", "cause", err.Error())
	}
}

func (c *Chronicler) begin(ctx context.Context) bool {
	select {
	case c.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Chronicler) end() { <-c.turn }

// restore is Restore for the holder of turn. The row is read once: what it says of the time before this
// instance does not change.
func (c *Chronicler) restore(ctx context.Context) error {
	c.restoredAt = c.timer.Now()
	rows, version, err := c.store.Load(ctx, table)
	if err != nil {
		return err
	}
	index := slices.IndexFunc(rows, func(row server.StoredRow) bool { return row.Name == rowName })
	if index < 0 {
		c.isRestored = true
		c.adoptFirstStart()
		return nil
	}
	var known chronicle
	if err := json.Unmarshal(rows[index].Value, &known); err != nil {
		c.isRestored = true
		return merry.Prepend(server.ErrInvalid, err.Error())
	}
	if server.IsEarlierEra(known.Version, version) || known.Version > version {
		c.isRestored = true
		return merry.Prepend(server.ErrUnavailable, "the store was restored from a copy since")
	}
	changes, _, err := c.store.Watch(ctx, c.replicas, known.Version, 0)
	if errors.Is(err, server.ErrNotFound) {
		c.isRestored = true
		c.log.Info("the store's history does not reach back to the versions of services", "version", known.Version)
		return nil
	}
	if err != nil {
		return err
	}
	c.isRestored = true
	for _, p := range known.Periods {
		if c.isConfirmed(p, &known, changes) {
			since := time.Time{}
			if p.Since > 0 {
				since = time.UnixMilli(p.Since)
			}
			c.periods.AdoptPeriod(p.Service, p.Only, since)
		}
	}
	c.log.Info("versions of services read from the store", "services", len(known.Periods), "changes", len(changes))
	return nil
}

// adoptFirstStart records that no stream is older than what this instance has read.
func (c *Chronicler) adoptFirstStart() {
	if !c.isFirstStart {
		return
	}
	view := c.periods.View()
	for _, p := range c.chronicle(view).Periods {
		c.periods.AdoptPeriod(p.Service, p.Only, time.Time{})
	}
}

// isConfirmed reports whether no change of the replicas since the row was written brought another version into
// a service. A replica of which only the end is known may have had another one.
func (c *Chronicler) isConfirmed(p period, known *chronicle, changes []server.StoredRow) bool {
	var seen []string
	for _, change := range changes {
		if change.IsDeleted {
			if !slices.Contains(known.Replicas, change.Name) && !slices.Contains(seen, change.Name) {
				return false
			}
			continue
		}
		replica, err := c.decoder.DecodeReplica(change.Name, change.Value, c.timer.Now())
		if err == nil && replica.Service == p.Service && replica.Version != p.Only {
			return false
		}
		seen = append(seen, change.Name)
	}
	return true
}
