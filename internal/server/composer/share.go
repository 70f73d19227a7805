package composer

import (
	"context"
	"encoding/json"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/registrar"
)

const (
	// newsWait is how long the store has to tell what another instance told.
	newsWait = 600 * time.Millisecond
	// announceWait gathers changes into one word to the other instances.
	announceWait = 100 * time.Millisecond
	// rowsTimeout bounds the answer of another instance with a table.
	rowsTimeout = 2 * time.Second
	// pruneAfter is how long an instance must not answer until its row is
	// removed.
	pruneAfter = 20 * time.Second
	// joinRetry is the wait after a failed write of the own row.
	joinRetry = 500 * time.Millisecond
	// leaveTimeout bounds the removal of the own row.
	leaveTimeout = 2 * time.Second
)

// changed takes a new view to the parts that follow it.
func (i *Instance) changed(view *registrar.View) {
	i.following.Lock()
	defer i.following.Unlock()
	i.linker.Follow(view.Instances())
	if view.Ready() {
		plan := view.Router().Plan()
		i.fronter.SetLimits(plan.Limits)
		i.owner.Follow(plan.Backends, view.Replicas)
		if !i.ready.Swap(true) {
			i.log.Info("ready", "plan", plan.Version, "after_ms", i.timer.Now().UnixMilli()-i.self.Born)
		}
	}
	if !i.announcing.Swap(true) {
		i.timer.After(announceWait, func(time.Time) { go i.announce() })
	}
	i.rejoin(view)
}

// announce tells the other instances which versions are known here.
func (i *Instance) announce() {
	i.announcing.Store(false)
	view := i.registrar.View()
	news := &encoder.News{}
	for _, name := range i.registrar.Names() {
		news.Tables = append(news.Tables, &encoder.TableVersion{Table: name, Version: view.Version(name)})
	}
	i.linker.Broadcast(&encoder.Frame{Body: &encoder.Frame_News{News: news}})
}

// rejoin writes the own row again when it is missing from a table that was read.
func (i *Instance) rejoin(view *registrar.View) {
	if i.stopping.Load() || view.Version(registrar.TableInstances) == 0 {
		return
	}
	for _, instance := range view.Instances() {
		if instance.ID == i.self.ID && instance.Born == i.self.Born {
			return
		}
	}
	i.work.Go(i.join)
}

// join writes the own row, until that succeeds.
func (i *Instance) join() {
	if i.putting.Swap(true) {
		return
	}
	defer i.putting.Store(false)
	value, err := json.Marshal(i.self)
	if err != nil {
		i.log.Error(err, "own row cannot be written")
		return
	}
	for !i.stopping.Load() {
		err := i.feed.Put(i.ctx, registrar.TableInstances, i.self.ID, value)
		if err == nil {
			i.log.Info("own row written", "address", i.self.Address, "born", i.self.Born)
			return
		}
		i.log.Info("own row not written", "cause", err.Error())
		if server.Sleep(i.ctx, i.timer, joinRetry) != nil {
			return
		}
	}
}

// prune removes the row of an instance that has not answered for long. One
// instance does so for all.
func (i *Instance) prune(id string, since time.Time) {
	if away := i.timer.Now().Sub(since); away < pruneAfter || i.linker.Owner("prune") != i.self.ID {
		return
	}
	if err := i.feed.Drop(i.ctx, registrar.TableInstances, id); err != nil {
		i.log.Info("row of a lost instance not removed", "lost", id, "cause", err.Error())
		return
	}
	i.log.Info("row of a lost instance removed", "lost", id, "away_ms", i.timer.Now().Sub(since).Milliseconds())
}

// handle answers a frame of another instance.
func (i *Instance) handle(ctx context.Context, from string, frame *encoder.Frame) *encoder.Frame {
	switch body := frame.GetBody().(type) {
	case *encoder.Frame_Pieces:
		return i.sharer.Serve(ctx, body.Pieces)
	case *encoder.Frame_Withdraw:
		i.owner.Withdraw(body.Withdraw.GetService(), body.Withdraw.GetRequest())
	case *encoder.Frame_Release:
		i.owner.Release(body.Release.GetService(), body.Release.GetHandles())
	case *encoder.Frame_Holdings:
		i.owner.TakeOver(body.Holdings)
	case *encoder.Frame_Coming:
		i.sharer.Hear(body.Coming)
	case *encoder.Frame_Rows:
		return i.table(body.Rows.GetTable())
	case *encoder.Frame_News:
		i.hear(from, body.News)
	case *encoder.Frame_Leaving:
		i.linker.Leaving(from)
	}
	return nil
}

// table answers with a table as this instance knows it.
func (i *Instance) table(name string) *encoder.Frame {
	rows, version, known := i.registrar.Rows(name)
	answer := &encoder.RowsAnswer{Version: version, Known: known}
	for _, row := range rows {
		answer.Rows = append(answer.Rows, &encoder.StoreRow{Name: row.Name, Value: row.Value, Version: row.Version})
	}
	return &encoder.Frame{Body: &encoder.Frame_Table{Table: answer}}
}

// hear takes another instance's word that tables have changed. What the store
// has not told by itself after a while is asked for.
func (i *Instance) hear(from string, news *encoder.News) {
	for _, table := range news.GetTables() {
		if i.registrar.View().Version(table.GetTable()) >= table.GetVersion() {
			continue
		}
		i.timer.After(newsWait, func(time.Time) {
			if i.registrar.View().Version(table.GetTable()) < table.GetVersion() {
				i.work.Go(func() { i.fetch(from, table.GetTable()) })
			}
		})
	}
}

// fetch takes a table from another instance.
func (i *Instance) fetch(from, name string) {
	ctx, cancel := context.WithTimeout(i.ctx, rowsTimeout)
	defer cancel()
	answer, err := i.linker.Call(ctx, from, &encoder.Frame{Body: &encoder.Frame_Rows{Rows: &encoder.RowsAsk{Table: name}}})
	if err != nil {
		i.log.Info("table not had from another instance", "table", name, "from", from, "cause", err.Error())
		return
	}
	table := answer.GetTable()
	if !table.GetKnown() {
		return
	}
	rows := make([]server.StoredRow, 0, len(table.GetRows()))
	for _, row := range table.GetRows() {
		rows = append(rows, server.StoredRow{Name: row.GetName(), Value: row.GetValue(), Version: row.GetVersion()})
	}
	i.log.Info("table had from another instance", "table", name, "from", from, "version", table.GetVersion(), "rows", len(rows))
	i.registrar.Replace(name, rows, table.GetVersion())
}
