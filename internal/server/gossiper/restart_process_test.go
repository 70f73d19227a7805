package gossiper_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/gossiper"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/registrar"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

const (
	// Every strongEvery-th instance has a link of strongBytesPerSecond and is a candidate for leaders;
	// the others have one of linkBytesPerSecond.
	strongEvery          = 3
	strongBytesPerSecond = 100e6 / 8
	weakCapacityWeight   = 0.1
	// lingerTime is how long a process that stops as planned still runs.
	lingerTime = 2600 * time.Millisecond
)

// process is one process of an instance, with a real registrar and gossiper.
type process struct {
	*registrar.Registrar
	gossiper *gossiper.Gossiper
	timer    *ticker.Ticker
	id       string
	instance server.Instance
	network  *network
	store    *restartClient
	cancel   context.CancelFunc
	done     sync.WaitGroup
	// bytesPerSecond is the bandwidth of the link.
	bytesPerSecond float64
	// The network's mu guards the fields below. available and leaders are cached; see currentRanking.
	peers              map[string]*peer
	available, leaders []string
	isLeaving, isEnded bool
	// thawed is closed when the process runs again; nil while it runs.
	thawed   chan struct{}
	thawedAt time.Time
	// storeCut is closed when the process reaches the store again; nil while it does.
	storeCut  chan struct{}
	busyUntil time.Time
	sentBytes int
	// planTimes holds when the view of this process had each version of the plan; planMu guards it.
	planMu sync.Mutex
	// viewMu is held while a view is applied, so that none is applied after a newer one.
	viewMu    sync.Mutex
	planTimes map[uint64]time.Time
}

// startProcess starts a process of an instance.
func (n *network) startProcess(store *restartStore, index int) *process {
	p := &process{
		timer: ticker.New(), id: fmt.Sprintf("i-%d", index), network: n, peers: make(map[string]*peer),
		bytesPerSecond: linkBytesPerSecond, planTimes: make(map[uint64]time.Time),
	}
	p.instance = server.Instance{ID: p.id, Address: p.id, StartMillis: time.Now().UnixMilli(), CapacityWeight: weakCapacityWeight}
	if index%strongEvery == 0 {
		p.bytesPerSecond, p.instance.CapacityWeight = strongBytesPerSecond, 1
	}
	p.store = &restartClient{store: store, process: p}
	p.Registrar = registrar.New(logr.Discard(), p.timer, planDecoder{}, registrar.TableNames{Plan: plansTable, PlanRow: "newest", Replicas: replicasTable},
		registrar.WithChangeHandler(func(*registrar.View) { p.applyView() }),
		registrar.WithLeaders(func(table string) bool { return p.gossiper.HasLeader(table) }, func() bool { return p.gossiper.IsLeader() }, gossiper.LeaderWatchTimeout),
		registrar.WithWatchTurns(p.Position),
		registrar.WithOutageHandler(func(outage server.Outage) { p.gossiper.NotifyOutageEnd(outage) }))
	p.gossiper = gossiper.New(logr.Discard(), p.timer, p, p)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	n.mu.Lock()
	// Once it is in current, it may be killed.
	n.current[p.id] = p
	p.done.Go(func() { p.Run(ctx, p.store) })
	p.done.Go(func() { p.checkLinks(ctx) })
	n.mu.Unlock()
	p.store.store.count("put " + registrar.TableInstances)
	p.store.store.writeInstance(p.instance)
	return p
}

// checkLinks opens planned links again that were closed.
func (p *process) checkLinks(ctx context.Context) {
	for server.Sleep(ctx, p.timer, probeInterval) == nil {
		p.network.mu.Lock()
		p.openPlannedLinks()
		p.network.mu.Unlock()
	}
}

// applyView does what package composer does with a new view, as far as it matters here.
func (p *process) applyView() {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	view := p.View()
	p.updateMembers(view.Instances())
	if view.IsReady() {
		p.planMu.Lock()
		if version := view.Router().Plan().Version; p.planTimes[version].IsZero() {
			p.planTimes[version] = time.Now()
		}
		p.planMu.Unlock()
	}
	p.gossiper.NotifyChanged()
}

// handleFrame handles a frame from another process.
func (p *process) handleFrame(from string, frame *encoder.Frame) {
	p.network.mu.Lock()
	isLost := p.isEnded || p.isFrozen()
	if m := p.peers[from]; frame.GetLeaving() != nil && m != nil && !isLost {
		m.isLeaving, p.available = true, nil
		p.openPlannedLinks()
	}
	p.network.mu.Unlock()
	if announcement := frame.GetVersionAnnouncement(); announcement != nil && !isLost {
		p.gossiper.HandleAnnouncement(from, announcement)
	}
}

// isFrozen reports whether the process does not run. The caller holds the network's mu.
func (p *process) isFrozen() bool { return p.thawed != nil }

// waitWhileStopped waits until the process runs and reaches the store, or ctx ends.
func (p *process) waitWhileStopped(ctx context.Context) error {
	for {
		p.network.mu.Lock()
		blocked := p.thawed
		if blocked == nil {
			blocked = p.storeCut
		}
		p.network.mu.Unlock()
		if blocked == nil {
			return nil
		}
		select {
		case <-blocked:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// cutStore makes the calls of the process to the store hang for a time.
func (p *process) cutStore(duration time.Duration) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	reachable := make(chan struct{})
	p.storeCut = reachable
	time.AfterFunc(duration, func() {
		p.network.mu.Lock()
		defer p.network.mu.Unlock()
		p.storeCut = nil
		close(reachable)
	})
}

// freeze stops the process for a time.
func (p *process) freeze(duration time.Duration) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	thawed := make(chan struct{})
	p.thawed = thawed
	time.AfterFunc(duration, func() {
		p.network.mu.Lock()
		defer p.network.mu.Unlock()
		p.thawed, p.thawedAt = nil, time.Now()
		close(thawed)
	})
}

// kill ends the process; its links break.
func (p *process) kill() {
	p.network.mu.Lock()
	p.isEnded = true
	for _, m := range p.peers {
		if m.link != nil {
			m.link.isClosed = true
		}
	}
	for _, other := range p.network.current {
		if m := other.peers[p.id]; m != nil && m.link != nil && (m.link.ends[0] == p || m.link.ends[1] == p) {
			m.link.isClosed = true
		}
	}
	p.network.mu.Unlock()
	p.cancel()
	p.done.Wait()
	p.gossiper.Stop()
	p.timer.Close()
}

// stop ends the process as planned.
func (p *process) stop() {
	p.network.mu.Lock()
	p.isLeaving, p.available = true, nil
	p.network.mu.Unlock()
	p.Broadcast(&encoder.Frame{Body: &encoder.Frame_Leaving{Leaving: &encoder.Leaving{}}})
	_ = p.store.Delete(context.Background(), registrar.TableInstances, p.id)
	time.Sleep(lingerTime)
	p.kill()
}

// planTime returns when the view of the process had a version of the plan, or a later one.
func (p *process) planTime(version uint64) (at time.Time, ok bool) {
	p.planMu.Lock()
	defer p.planMu.Unlock()
	for known, since := range p.planTimes {
		if known >= version && (!ok || since.Before(at)) {
			at, ok = since, true
		}
	}
	return at, ok
}
