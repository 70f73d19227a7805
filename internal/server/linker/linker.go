// Package linker carries calls between the instances that package composer builds. A link
// is a yamux session, and each call is a stream of its own.
//
// In small deployments all instances keep links to each other. In larger ones each keeps
// links to the leaders, which forward broadcasts to all, and to the owners that it has asked
// for; other links are opened for calls and closed when they are idle.
//
// The store has a row for each member. A member that does not respond is down until it
// responds on a new link.
package linker

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// Handler returns the response to a frame of another instance, or nil if there is
// none. It is called by several goroutines at once.
type Handler func(ctx context.Context, from string, frame *encoder.Frame) *encoder.Frame

// Linker keeps the links of one instance. It is safe for concurrent use.
type Linker struct {
	log      logr.Logger
	timer    server.Timer
	self     server.Instance
	listener net.Listener
	dial     func(ctx context.Context, address string) (net.Conn, error)
	handler  Handler
	// connHandlers handle, by their first byte, the accepted connections that are no links.
	connHandlers map[byte]func(net.Conn)
	// onUnreachable is called in its own goroutine after each failed attempt to
	// reconnect to a member.
	onUnreachable func(id string, since time.Time)
	// mu guards members and their fields, openLinks and isLeaving.
	mu      sync.Mutex
	members map[string]*member
	// openLinks holds all open links, also those that no member uses any more.
	openLinks map[*link]bool
	// isLeaving is set when this instance announces that it is leaving. From then on other
	// instances own what it owned.
	isLeaving  bool
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	stopChecks func()
	// ownedNames are the names whose owner was asked for.
	ownedNames map[string]bool
	// ranking is nil after a change of the members; see currentRanking.
	ranking *ranking
}

// member is another instance. The linker's mu guards it.
type member struct {
	server.Instance
	// link is the link that calls use, or nil.
	link *link
	// downSince is when it was found not to respond. It is zero while it responds, and
	// before the first dial ended.
	downSince time.Time
	// isLeaving is set once the member has announced that it is leaving.
	isLeaving bool
	// isReconnecting is set while a goroutine dials it.
	isReconnecting bool
}

// Option sets a property of a Linker.
type Option func(*Linker)

// WithDial replaces the function that opens connections.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(l *Linker) { l.dial = dial }
}

// WithConnHandler has accepted connections that begin with a byte handled by a function, which gets
// the connection without that byte in a goroutine of its own. No link begins with a byte above 0.
func WithConnHandler(first byte, handle func(net.Conn)) Option {
	return func(l *Linker) { l.connHandlers[first] = handle }
}

// WithUnreachableHandler sets a function that is called after each failed attempt to
// reconnect to a member, with the time from which it was unreachable.
func WithUnreachableHandler(onUnreachable func(id string, since time.Time)) Option {
	return func(l *Linker) { l.onUnreachable = onUnreachable }
}

// New returns a Linker that accepts links on listener after Start.
func New(log logr.Logger, timer server.Timer, self server.Instance, listener net.Listener, options ...Option) *Linker {
	ctx, cancel := context.WithCancel(context.Background())
	dialer := &net.Dialer{Timeout: dialTimeout}
	l := &Linker{
		log: log, timer: timer, self: self, listener: listener, members: make(map[string]*member), openLinks: make(map[*link]bool), ownedNames: make(map[string]bool),
		connHandlers: make(map[byte]func(net.Conn)),
		ctx:          ctx, cancel: cancel, onUnreachable: func(string, time.Time) {},
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Start begins to accept links and to pass their frames to handler.
func (l *Linker) Start(handler Handler) {
	l.handler = handler
	l.goroutines.Go(l.acceptLinks)
	l.stopChecks = l.timer.Every(probeInterval, l.checkLinks)
}

// Stop closes the listener and all links and waits for the linker's goroutines, but not
// for calls of the handler that are in progress.
func (l *Linker) Stop() {
	l.cancel()
	l.stopChecks()
	_ = l.listener.Close()
	l.mu.Lock()
	for link := range l.openLinks {
		go link.close()
	}
	l.mu.Unlock()
	l.goroutines.Wait()
}

// Self returns this instance.
func (l *Linker) Self() server.Instance { return l.self }

// UpdateMembers updates the members to the instances that have rows in the store.
func (l *Linker) UpdateMembers(instances []server.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ranking = nil
	isListed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		isListed[instance.ID] = true
		if instance.ID == l.self.ID {
			continue
		}
		m := l.members[instance.ID]
		if m == nil || m.StartMillis != instance.StartMillis || m.Address != instance.Address {
			l.addMember(m, instance)
		}
	}
	for id, m := range l.members {
		if !isListed[id] {
			l.log.Info("instance left", "instance", id)
			l.closeLink(m)
			delete(l.members, id)
		}
	}
	l.openPlannedLinks()
}

// addMember adds a member or replaces it by its new incarnation. The caller holds mu.
func (l *Linker) addMember(old *member, instance server.Instance) {
	if old != nil {
		l.closeLink(old)
	}
	m := &member{Instance: instance}
	l.members[instance.ID] = m
	l.log.Info("instance joined", "instance", instance.ID, "address", instance.Address, "datacentre", instance.Datacentre, "born", instance.StartMillis)
}

// closeLink closes a member's link, if there is one. The caller holds mu.
func (l *Linker) closeLink(m *member) {
	if m.link != nil {
		go m.link.close()
		m.link = nil
	}
}

// AvailableInstances returns the instances that respond and are not leaving, in order of their
// IDs. This instance is included unless it is leaving and there is another. The caller must
// not change the slice.
func (l *Linker) AvailableInstances() []server.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentRanking().available
}

// Position returns the position of this instance in the order of AvailableInstances, and their
// number.
func (l *Linker) Position() (index, count int) {
	available := l.AvailableInstances()
	index = slices.IndexFunc(available, func(instance server.Instance) bool { return instance.ID == l.self.ID })
	return max(index, 0), len(available)
}

// MemberCount returns the number of instances that have rows in the store, this one
// included, whether or not they respond.
func (l *Linker) MemberCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.members) + 1
}

// Availability returns the number of instances that respond, this one included, and of those that
// have rows in the store.
func (l *Linker) Availability() (available, known int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.members {
		if m.downSince.IsZero() {
			available++
		}
	}
	return available + 1, len(l.members) + 1
}

// Call sends a frame to a member and returns the response. If it fails before ctx
// ends, the member is unreachable or does not respond and is marked as down.
func (l *Linker) Call(ctx context.Context, id string, frame *encoder.Frame) (*encoder.Frame, error) {
	link, err := l.linkTo(ctx, id)
	if err != nil {
		return nil, err
	}
	response, err := link.call(ctx, frame)
	if err != nil && ctx.Err() == nil {
		l.markDown(id, link, err)
	}
	return response, err
}

// Ask sends a frame to a member and returns the response. Unlike Call, it may be used for
// frames that members of another build do not answer: a failure does not mark the member as
// down.
func (l *Linker) Ask(ctx context.Context, id string, frame *encoder.Frame) (*encoder.Frame, error) {
	link, err := l.linkTo(ctx, id)
	if err != nil {
		return nil, err
	}
	return link.call(ctx, frame)
}

// Send sends a frame that has no response to a member, after dialing it if there is
// no link.
func (l *Linker) Send(ctx context.Context, id string, frame *encoder.Frame) error {
	link, err := l.linkTo(ctx, id)
	if err != nil {
		return err
	}
	return link.send(frame)
}

// HandleLeaving records that a member announced that it is leaving.
func (l *Linker) HandleLeaving(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.members[id]; m != nil && !m.isLeaving {
		m.isLeaving, l.ranking = true, nil
		l.log.Info("instance is leaving", "instance", id)
		l.openPlannedLinks()
	}
}

// linkTo returns the open link to a member, or dials it if there is none. It returns
// ErrUnavailable at once for an unknown member and one that is down.
func (l *Linker) linkTo(ctx context.Context, id string) (*link, error) {
	l.mu.Lock()
	m := l.members[id]
	if m == nil || !m.downSince.IsZero() {
		l.mu.Unlock()
		return nil, server.NewFault("link", id, server.ErrUnavailable)
	}
	current, instance := m.link, m.Instance
	if current != nil {
		current.usedAt = l.timer.Now()
	}
	l.mu.Unlock()
	if current != nil && !current.session.IsClosed() {
		return current, nil
	}
	newLink, err := l.connect(ctx, instance)
	if err != nil {
		if ctx.Err() == nil {
			l.markDown(id, current, err)
		}
		return nil, err
	}
	return l.installLink(instance, newLink)
}

// installLink makes a newly opened link the one that calls use and returns it. If the
// member has another open link by now, it returns that one and closes the new one.
func (l *Linker) installLink(instance server.Instance, newLink *link) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[instance.ID]
	if m == nil || m.StartMillis != instance.StartMillis {
		go newLink.close()
		return nil, server.NewFault("link", instance.ID, merry.Prepend(server.ErrUnavailable, "instance was removed or restarted"))
	}
	if m.link != nil && !m.link.session.IsClosed() && !l.replaces(newLink, m.link) {
		go newLink.close()
		return m.link, nil
	}
	newLink.isOnDemand, newLink.usedAt = !l.isPlanned(m.ID), l.timer.Now()
	m.link = newLink
	return newLink, nil
}

// replaces reports whether a link that this instance has dialed is used instead of the open one that
// the member has dialed at the same time. The member closes its own then.
func (l *Linker) replaces(dialed, open *link) bool { return !open.isDialed && l.isPreferred(dialed) }

// markDown marks a member as down and begins to reconnect to it, unless it has
// another link than brokenLink by now. brokenLink is nil if there was no link; then
// any link that it has by now is closed.
func (l *Linker) markDown(id string, brokenLink *link, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[id]
	if m == nil || m.link != brokenLink && brokenLink != nil {
		return
	}
	l.closeLink(m)
	if !m.downSince.IsZero() {
		return
	}
	m.downSince, l.ranking = l.timer.Now(), nil
	l.log.Info("instance is unreachable", "instance", id, "cause", cause.Error())
	l.startReconnecting(m, minReconnectDelay)
	l.openPlannedLinks()
}
