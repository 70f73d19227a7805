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
	i.gossiper.Changed()
	i.rejoin(view)
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
		return i.gossiper.Answer(body.Rows.GetTable())
	case *encoder.Frame_News:
		i.gossiper.Hear(from, body.News)
	case *encoder.Frame_Leaving:
		i.linker.Leaving(from)
	}
	return nil
}
