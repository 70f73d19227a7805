// Package gossiper passes what the store says from instance to instance: each
// tells the others of changes, and takes from them what the store has not told it.
package gossiper

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// announceWait gathers changes into one word to the other instances.
	announceWait = 100 * time.Millisecond
	// newsWait is how long the store has to tell what another instance told.
	newsWait = 600 * time.Millisecond
	// againWait is the wait before the next instance is asked for a table.
	againWait = 200 * time.Millisecond
	// rowsTimeout bounds the answer of another instance with a table.
	rowsTimeout = 2 * time.Second
	// maxChanges bounds the rows in bytes that are told with a change; larger ones
	// are asked for, so that a link carries them once.
	maxChanges = 8 << 10
	// spreadWait spreads the questions of all instances after one word.
	spreadWait = 100 * time.Millisecond
	// failureFresh is how long a failed call to the store is told of.
	failureFresh = 3 * time.Second
	// enoughTellers is the number of instances that have told of a version from
	// which one more says nothing new.
	enoughTellers = 3
)

// Tables are what this instance knows of the store.
type Tables interface {
	Names() []string
	// Version returns the version that a table is known up to; zero before it was read.
	Version(table string) uint64
	// Rows returns a whole table; ok is false until it was read.
	Rows(table string) (rows []server.StoredRow, version uint64, ok bool)
	// Since returns the changes of a table after a version.
	Since(table string, after uint64) []server.StoredRow
	// Follow takes changes of a table up to version.
	Follow(table string, rows []server.StoredRow, version uint64)
	// Replace takes a whole table as of version.
	Replace(table string, rows []server.StoredRow, version uint64)
	// Answered returns when the store last answered a call for a table.
	Answered(table string) time.Time
	// LastFailure returns when a call to the store last failed, and Failed notes one.
	LastFailure() time.Time
	Failed(at time.Time)
}

// Links reach the other instances.
type Links interface {
	Self() server.Instance
	// Leaders returns the instances that follow the store for all; none where
	// everyone does.
	Leaders() []string
	Broadcast(frame *encoder.Frame)
	Call(ctx context.Context, id string, frame *encoder.Frame) (*encoder.Frame, error)
}

// Gossiper tells and hears of changes.
type Gossiper struct {
	log    logr.Logger
	timer  server.Timer
	tables Tables
	links  Links
	mu     sync.Mutex
	armed  bool
	topics map[string]*topic
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	stop   func()
}

// topic is what was told and heard of one table.
type topic struct {
	// told is the version that was told last.
	told uint64
	// heard is the newest version that others told, tellers are those who did.
	heard   uint64
	tellers []string
	// led is when each leader last said that it follows the table.
	led map[string]time.Time
	// asking is set while a table is waited for or fetched.
	asking bool
}

// New returns a Gossiper.
func New(log logr.Logger, timer server.Timer, tables Tables, links Links) *Gossiper {
	g := &Gossiper{log: log, timer: timer, tables: tables, links: links, topics: make(map[string]*topic)}
	for _, name := range tables.Names() {
		g.topics[name] = &topic{led: make(map[string]time.Time)}
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.stop = timer.Every(leadPeriod, func(now time.Time) { g.lead(now) })
	return g
}

// Stop ends all questions.
func (g *Gossiper) Stop() {
	g.stop()
	g.mu.Lock()
	g.cancel()
	g.mu.Unlock()
	g.work.Wait()
}

// spawn runs what Stop waits for; after Stop it runs nothing.
func (g *Gossiper) spawn(work func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() == nil {
		g.work.Go(work)
	}
}

// Changed notes that tables may have changed here.
func (g *Gossiper) Changed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.armed {
		g.armed = true
		g.timer.After(announceWait, func(time.Time) { go g.announce() })
	}
}

// announce tells the other instances what has changed, unless enough others did.
func (g *Gossiper) announce() {
	g.mu.Lock()
	g.armed = false
	news := &encoder.News{}
	for _, name := range g.tables.Names() {
		if told := g.change(name, g.topics[name]); told != nil {
			news.Tables = append(news.Tables, told)
		}
	}
	g.mu.Unlock()
	g.tell(news)
}

// tell sends news with what the store's troubles are, if there is any.
func (g *Gossiper) tell(news *encoder.News) {
	if len(news.GetTables()) == 0 {
		return
	}
	if age := g.timer.Now().Sub(g.tables.LastFailure()); age < failureFresh {
		news.FailedMs = uint32(age.Milliseconds()) + 1
	}
	g.links.Broadcast(&encoder.Frame{Body: &encoder.Frame_News{News: news}})
}

// change returns what is told of a table, or nil; mu is held.
func (g *Gossiper) change(name string, t *topic) *encoder.TableVersion {
	version := g.tables.Version(name)
	if version <= t.told {
		return nil
	}
	after := t.told
	t.told = version
	if t.heard >= version && len(t.tellers) >= enoughTellers {
		return nil
	}
	change := &encoder.TableVersion{Table: name, Version: version, After: after}
	bytes := 0
	for _, row := range g.tables.Since(name, after) {
		bytes += len(row.Name) + len(row.Value)
		change.Rows = append(change.Rows, encode(row))
	}
	if bytes > maxChanges || after == 0 {
		change.After, change.Rows = version, nil
	}
	return change
}

// Hear takes another instance's word of changes.
func (g *Gossiper) Hear(from string, news *encoder.News) {
	if ago := news.GetFailedMs(); ago > 0 {
		g.tables.Failed(g.timer.Now().Add(-time.Duration(ago-1) * time.Millisecond))
	}
	for _, change := range news.GetTables() {
		if news.GetLeading() {
			g.heardLeader(from, change.GetTable())
		}
		g.hear(from, change)
	}
}

func (g *Gossiper) hear(from string, change *encoder.TableVersion) {
	name, version := change.GetTable(), change.GetVersion()
	t := g.topics[name]
	known := g.tables.Version(name)
	if t == nil || !g.note(t, from, version) || known == 0 || known >= version {
		return
	}
	if change.GetAfter() < version {
		upTo := known
		if change.GetAfter() <= known {
			upTo = version
		}
		g.log.Info("changes had from another instance", "table", name, "from", from, "rows", len(change.GetRows()), "version", upTo)
		g.tables.Follow(name, decode(change.GetRows()), upTo)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.asking && g.tables.Version(name) < t.heard {
		t.asking = true
		wait := newsWait
		if g.led(t) {
			// The store is not asked here, and will not tell.
			wait = rand.N(spreadWait)
		}
		g.timer.After(wait, func(time.Time) { go g.spawn(func() { g.catchUp(name, t) }) })
	}
}

// note remembers who told which version; it reports whether that is the newest.
func (g *Gossiper) note(t *topic, from string, version uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case version < t.heard:
		return false
	case version > t.heard:
		t.heard, t.tellers = version, nil
	}
	if !slices.Contains(t.tellers, from) {
		t.tellers = append(t.tellers, from)
	}
	return true
}

// catchUp asks those who know a newer table, one after the other, until it is here.
func (g *Gossiper) catchUp(name string, t *topic) {
	for {
		teller := g.teller(name, t)
		if teller == "" {
			return
		}
		if !g.fetch(teller, name) {
			g.mu.Lock()
			t.tellers = slices.DeleteFunc(t.tellers, func(id string) bool { return id == teller })
			g.mu.Unlock()
		}
		if server.Sleep(g.ctx, g.timer, againWait) != nil {
			return
		}
	}
}

// teller returns an instance that knows more of a table, or "" when there is
// nothing to ask.
func (g *Gossiper) teller(name string, t *topic) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil || g.tables.Version(name) >= t.heard || len(t.tellers) == 0 {
		t.asking = false
		return ""
	}
	return t.tellers[rand.IntN(len(t.tellers))]
}

// fetch takes a whole table from another instance.
func (g *Gossiper) fetch(from, name string) bool {
	ctx, cancel := context.WithTimeout(g.ctx, rowsTimeout)
	defer cancel()
	answer, err := g.links.Call(ctx, from, &encoder.Frame{Body: &encoder.Frame_Rows{Rows: &encoder.RowsAsk{Table: name}}})
	if err != nil {
		g.log.Info("table not had from another instance", "table", name, "from", from, "cause", err.Error())
		return false
	}
	table := answer.GetTable()
	if !table.GetKnown() {
		return false
	}
	g.log.Info("table had from another instance", "table", name, "from", from, "version", table.GetVersion(), "rows", len(table.GetRows()))
	g.tables.Replace(name, decode(table.GetRows()), table.GetVersion())
	return true
}

// Answer returns a table as this instance knows it.
func (g *Gossiper) Answer(name string) *encoder.Frame {
	rows, version, known := g.tables.Rows(name)
	answer := &encoder.RowsAnswer{Version: version, Known: known}
	for _, row := range rows {
		answer.Rows = append(answer.Rows, encode(row))
	}
	return &encoder.Frame{Body: &encoder.Frame_Table{Table: answer}}
}

func encode(row server.StoredRow) *encoder.StoreRow {
	return &encoder.StoreRow{Name: row.Name, Value: row.Value, Version: row.Version, Removed: row.Removed}
}

func decode(list []*encoder.StoreRow) []server.StoredRow {
	rows := make([]server.StoredRow, 0, len(list))
	for _, row := range list {
		rows = append(rows, server.StoredRow{Name: row.GetName(), Value: row.GetValue(), Version: row.GetVersion(), Removed: row.GetRemoved()})
	}
	return rows
}
