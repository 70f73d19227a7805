// Package linker carries calls between the instances of a deployment: one yamux
// session for each pair that has something to say, one stream for each call.
//
// Members are named by rows of the store. One that does not answer is down until
// it answers a dial again.
package linker

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// Handler answers the frames of other instances; nil is no answer.
type Handler func(ctx context.Context, from string, frame *encoder.Frame) *encoder.Frame

// Linker keeps the links of one instance.
type Linker struct {
	log     logr.Logger
	timer   server.Timer
	self    server.Instance
	socket  net.Listener
	dial    func(ctx context.Context, address string) (net.Conn, error)
	handler Handler
	lost    func(id string, since time.Time)
	mu      sync.Mutex
	members map[string]*member
	// open are all links, those too that no member uses any more.
	open map[*link]bool
	// stopping is set once this instance stops: others own what it owned.
	stopping bool
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup
}

// member is another instance.
type member struct {
	server.Instance
	link *link
	// down is when it stopped to answer; zero while it answers.
	down time.Time
	// leaving is set when it said that it stops.
	leaving  bool
	reviving bool
}

// Option sets a property of a Linker.
type Option func(*Linker)

// WithDial replaces the network.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(l *Linker) { l.dial = dial }
}

// WithLost sets what is called, again and again, while a member does not answer.
func WithLost(lost func(id string, since time.Time)) Option {
	return func(l *Linker) { l.lost = lost }
}

// New returns a Linker that accepts links on socket once it is started.
func New(log logr.Logger, timer server.Timer, self server.Instance, socket net.Listener, options ...Option) *Linker {
	ctx, cancel := context.WithCancel(context.Background())
	network := &net.Dialer{Timeout: dialTimeout}
	l := &Linker{
		log: log, timer: timer, self: self, socket: socket, members: make(map[string]*member), open: make(map[*link]bool),
		ctx: ctx, cancel: cancel, lost: func(string, time.Time) {},
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return network.DialContext(ctx, "tcp", address)
		},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Start accepts links and answers their frames with handler.
func (l *Linker) Start(handler Handler) {
	l.handler = handler
	l.work.Go(l.accept)
}

// Stop ends all links.
func (l *Linker) Stop() {
	l.cancel()
	_ = l.socket.Close()
	l.mu.Lock()
	for link := range l.open {
		_ = link.session.Close()
	}
	l.mu.Unlock()
	l.work.Wait()
}

// Self returns this instance.
func (l *Linker) Self() server.Instance { return l.self }

// Follow takes the instances that have rows.
func (l *Linker) Follow(instances []server.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = true
		if instance.ID == l.self.ID {
			continue
		}
		m := l.members[instance.ID]
		if m == nil || m.Born != instance.Born || m.Address != instance.Address {
			l.join(m, instance)
		}
	}
	for id, m := range l.members {
		if !listed[id] {
			l.log.Info("instance left", "instance", id)
			l.drop(m)
			delete(l.members, id)
		}
	}
}

// join takes a new incarnation of a member; mu is held.
func (l *Linker) join(old *member, instance server.Instance) {
	if old != nil {
		l.drop(old)
	}
	m := &member{Instance: instance}
	l.members[instance.ID] = m
	l.log.Info("instance joined", "instance", instance.ID, "address", instance.Address, "datacentre", instance.Datacentre, "born", instance.Born)
	l.revive(m, 0)
}

func (l *Linker) drop(m *member) {
	if m.link != nil {
		_ = m.link.session.Close()
		m.link = nil
	}
}

// Leave tells all linked members that this instance stops.
func (l *Linker) Leave() {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	l.Broadcast(&encoder.Frame{Body: &encoder.Frame_Leaving{Leaving: &encoder.Leaving{}}})
}

// Up returns the instances that answer and do not stop, by ID: this one too,
// unless it stops and there is another.
func (l *Linker) Up() []server.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []server.Instance
	for _, m := range l.members {
		if m.down.IsZero() && !m.leaving {
			list = append(list, m.Instance)
		}
	}
	if !l.stopping || len(list) == 0 {
		list = append(list, l.self)
	}
	slices.SortFunc(list, func(a, b server.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Count returns how many instances may be alive, this one included.
func (l *Linker) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.members) + 1
}

// strongShare is the part of the greatest strength that owners have at least.
const strongShare = 0.6

// Owner returns the instance that answers for a name: the same on every
// instance that sees the same members. Weak ones own nothing.
func (l *Linker) Owner(name string) string { return choose(name, l.strong(l.Up()), 1)[0] }

const (
	// leaderCount is the number of instances that follow the store for all.
	leaderCount = 5
	// leaderFrom is the number of instances above which not all follow the store.
	leaderFrom = 16
)

// Leaders returns the instances that follow the store for all, or none where
// everyone does.
func (l *Linker) Leaders() []string {
	up := l.Up()
	if len(up) <= leaderFrom {
		return nil
	}
	return choose("leaders", l.strong(up), leaderCount)
}

// strong returns the IDs of the instances that are strong enough to own.
func (l *Linker) strong(up []server.Instance) []string {
	strongest := 0.0
	for _, instance := range up {
		strongest = max(strongest, instance.Strength)
	}
	var ids []string
	for _, instance := range up {
		if instance.Strength >= strongShare*strongest {
			ids = append(ids, instance.ID)
		}
	}
	return ids
}

// choose returns the IDs with the highest rendezvous hashes for a name.
func choose(name string, ids []string, count int) []string {
	weights := make(map[string]uint64, len(ids))
	for _, id := range ids {
		weights[id] = xxhash.Sum64String(name + "\x00" + id)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b)) })
	return ids[:min(count, len(ids))]
}

// Call sends a frame and returns the answer. An error means that the member
// is not reached or does not answer, unless ctx ended.
func (l *Linker) Call(ctx context.Context, id string, frame *encoder.Frame) (*encoder.Frame, error) {
	link, err := l.link(ctx, id)
	if err != nil {
		return nil, err
	}
	answer, err := link.call(ctx, frame)
	if err != nil && ctx.Err() == nil {
		l.fail(id, link, err)
	}
	return answer, err
}

// Tell sends a frame that has no answer to a member that is linked or can be.
func (l *Linker) Tell(ctx context.Context, id string, frame *encoder.Frame) error {
	link, err := l.link(ctx, id)
	if err != nil {
		return err
	}
	return link.tell(frame)
}

// Broadcast sends a frame to all members that are linked now.
func (l *Linker) Broadcast(frame *encoder.Frame) {
	l.mu.Lock()
	var links []*link
	for _, m := range l.members {
		if m.link != nil {
			links = append(links, m.link)
		}
	}
	l.mu.Unlock()
	for _, link := range links {
		// A link that breaks is noticed by the calls on it.
		_ = link.tell(frame)
	}
}

// Leaving notes that a member stops.
func (l *Linker) Leaving(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.members[id]; m != nil && !m.leaving {
		m.leaving = true
		l.log.Info("instance is stopping", "instance", id)
	}
}

// link returns the link to a member, dialing one if there is none.
func (l *Linker) link(ctx context.Context, id string) (*link, error) {
	l.mu.Lock()
	m := l.members[id]
	if m == nil || !m.down.IsZero() {
		l.mu.Unlock()
		return nil, server.NewFault("link", id, server.ErrUnavailable)
	}
	known, instance := m.link, m.Instance
	l.mu.Unlock()
	if known != nil && !known.session.IsClosed() {
		return known, nil
	}
	fresh, err := l.connect(ctx, instance)
	if err != nil {
		if ctx.Err() == nil {
			l.fail(id, known, err)
		}
		return nil, err
	}
	return l.adopt(instance, fresh)
}

// adopt keeps a fresh link, or drops it when there is one already.
func (l *Linker) adopt(instance server.Instance, fresh *link) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[instance.ID]
	if m == nil || m.Born != instance.Born {
		_ = fresh.session.Close()
		return nil, server.NewFault("link", instance.ID, merry.Prepend(server.ErrUnavailable, "instance was replaced"))
	}
	if m.link != nil && !m.link.session.IsClosed() {
		_ = fresh.session.Close()
		return m.link, nil
	}
	m.link = fresh
	return fresh, nil
}

// fail takes a member as down and begins to look for its return.
func (l *Linker) fail(id string, broken *link, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[id]
	if m == nil || m.link != broken && broken != nil {
		return
	}
	l.drop(m)
	if !m.down.IsZero() {
		return
	}
	m.down = l.timer.Now()
	l.log.Info("instance lost", "instance", id, "cause", cause.Error())
	l.revive(m, firstRevive)
}

// revive dials a member until it answers or is replaced; mu is held.
func (l *Linker) revive(m *member, wait time.Duration) {
	if m.reviving || l.ctx.Err() != nil {
		return
	}
	m.reviving = true
	l.work.Go(func() {
		for wait := wait; server.Sleep(l.ctx, l.timer, wait) == nil; wait = min(max(2*wait, firstRevive), lastRevive) {
			if l.revived(m) {
				return
			}
		}
	})
}

// revived makes one dial and reports whether the search is over.
func (l *Linker) revived(m *member) bool {
	fresh, err := l.connect(l.ctx, m.Instance)
	if err == nil {
		_, err = fresh.session.Ping()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members[m.ID] != m {
		if fresh != nil {
			_ = fresh.session.Close()
		}
		return true
	}
	if err != nil {
		if m.down.IsZero() {
			m.down = l.timer.Now()
			l.log.Info("instance lost", "instance", m.ID, "cause", err.Error())
		}
		go l.lost(m.ID, m.down)
		return false
	}
	m.reviving = false
	if m.link != nil && !m.link.session.IsClosed() {
		// Calls are on the link that came first.
		_ = fresh.session.Close()
	} else {
		m.link = fresh
	}
	if !m.down.IsZero() {
		l.log.Info("instance regained", "instance", m.ID, "away_ms", l.timer.Now().Sub(m.down).Milliseconds())
		m.down = time.Time{}
	}
	return true
}
