package peerer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"oriolemill.example/oriolemill/internal/charter"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// Triggers that the actions return. The state chart defines the state that each
// leads to.
const (
	triggerOpened  = "opened"
	triggerFailed  = "failed"
	triggerGreeted = "greeted"
	triggerRefused = "refused"
	triggerBroken  = "broken"
	triggerRetry   = "again"
	triggerStopped = "stopped"
)

// session keeps a link to one instance open, or serves a link that another
// instance opened.
type session struct {
	peerer *Peerer
	// target is the instance to dial; it is empty for a link that was accepted.
	target server.Listing
	conn   Conn
	// hello is what the other side sent.
	hello   *encoder.Hello
	retries int
	cancel  context.CancelFunc
}

// link is an open connection on which hellos were exchanged.
type link struct {
	// id, incarnation and datacentre are the other instance's.
	id          string
	incarnation string
	datacentre  string
	// isOutbound is set if this instance dialed.
	isOutbound bool
	conn       Conn
	queue      *queue
	// lastReceived is when the last frame came in, in Unix nanoseconds.
	lastReceived atomic.Int64
	// sentSummaries identifies the summaries last sent over this link, by data centre.
	// It belongs to the control goroutine.
	sentSummaries map[string]sentSummary
	// writerDone is closed when writeFrames returns.
	writerDone chan struct{}
}

// actions returns the actions of the state chart.
func actions() map[string]charter.Action[*session] {
	return map[string]charter.Action[*session]{
		"dial":  {Run: dial, Triggers: []string{triggerOpened, triggerFailed, triggerStopped}},
		"greet": {Run: exchangeHellos, Triggers: []string{triggerGreeted, triggerRefused}},
		"serve": {Run: serveLink, Triggers: []string{triggerBroken, triggerStopped}},
		"wait":  {Run: backOff, Triggers: []string{triggerRetry, triggerStopped}},
	}
}

// dial opens a connection to the target unless there is a link to it already.
func dial(ctx context.Context, s *session) string {
	if ctx.Err() != nil {
		return triggerStopped
	}
	if s.peerer.state.Load().links[s.target.ID] != nil {
		return triggerFailed
	}
	conn, err := s.peerer.transport.Dial(ctx, s.target.Address)
	if err != nil {
		s.reportFailure(ctx)
		return triggerFailed
	}
	s.conn = conn
	return triggerOpened
}

// exchangeHellos sends and receives a hello; the side that dialed sends first. It
// closes the connection unless the other side is another instance of the same
// deployment and, if this side dialed, the target.
func exchangeHellos(ctx context.Context, s *session) string {
	p := s.peerer
	conn := s.conn
	stopTimeout := p.control.Timer().After(helloTimeout, func(time.Time) { go func() { _ = conn.Close() }() })
	defer stopTimeout()
	detach := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer detach()
	hello := &encoder.Frame{Body: &encoder.Frame_Hello{Hello: &encoder.Hello{
		Deployment: p.self.Deployment, Instance: p.self.ID, Incarnation: p.incarnation, Datacentre: p.self.Datacentre, Version: p.version.Load(),
	}}}
	isOutbound := s.target.ID != ""
	if isOutbound && s.conn.Write(hello) != nil {
		return s.reject(ctx)
	}
	frame, err := s.conn.Read()
	if err != nil {
		return s.reject(ctx)
	}
	s.hello = frame.GetHello()
	if s.hello.GetDeployment() != p.self.Deployment || s.hello.GetInstance() == "" || s.hello.GetInstance() == p.self.ID {
		return s.reject(ctx)
	}
	if isOutbound && s.hello.GetInstance() != s.target.ID {
		return s.reject(ctx)
	}
	if !isOutbound && s.conn.Write(hello) != nil {
		return s.reject(ctx)
	}
	s.retries = 0
	return triggerGreeted
}

// reject closes the connection and marks a dialed target as unreachable.
func (s *session) reject(ctx context.Context) string {
	_ = s.conn.Close()
	if s.target.ID != "" {
		s.reportFailure(ctx)
	}
	return triggerRefused
}

// reportFailure marks the target as unreachable, unless the session was cancelled
// because the link is not planned any more.
func (s *session) reportFailure(ctx context.Context) {
	if ctx.Err() == nil {
		s.peerer.control.Post(controller.EventFunc(func() { s.peerer.markUnreachable(s.target.ID) }))
	}
}

// linkEnd is why a link ended.
type linkEnd int

const (
	linkClosedByPeer linkEnd = iota
	// linkClosedHere is the end of a link that is not planned any more.
	linkClosedHere
	linkSilent
)

// serveLink sends and receives frames until the link breaks or ctx ends.
func serveLink(ctx context.Context, s *session) string {
	p := s.peerer
	l := &link{
		id: s.hello.GetInstance(), incarnation: s.hello.GetIncarnation(), datacentre: s.hello.GetDatacentre(),
		isOutbound: s.target.ID != "", conn: s.conn, queue: newQueue(), sentSummaries: make(map[string]sentSummary),
		writerDone: make(chan struct{}),
	}
	version := s.hello.GetVersion()
	l.lastReceived.Store(p.control.Timer().Now().UnixNano())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	detach := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer detach()
	p.control.Post(controller.EventFunc(func() { p.addLink(l, version) }))
	p.spawn(func() { l.conn.Serve(p.documentsAfter) })
	p.spawn(func() { p.writeFrames(ctx, l) })
	for {
		frame, err := s.conn.Read()
		if err != nil {
			break
		}
		l.lastReceived.Store(p.control.Timer().Now().UnixNano())
		p.handleFrame(l, frame)
	}
	end := linkClosedByPeer
	if ctx.Err() != nil {
		end = linkClosedHere
	}
	_ = s.conn.Close()
	p.control.Post(controller.EventFunc(func() { p.removeLink(l, end) }))
	if p.ctx.Err() != nil {
		return triggerStopped
	}
	return triggerBroken
}

// backOff waits before the next dial, with exponential backoff and jitter. The wait
// is at least half of baseRetryDelay.
func backOff(ctx context.Context, s *session) string {
	limit := min(baseRetryDelay<<min(s.retries, 10), maxRetryDelay)
	s.retries++
	fired := make(chan struct{})
	delay := baseRetryDelay/2 + time.Duration(rand.Int64N(int64(limit)))
	stop := s.peerer.control.Timer().After(delay, func(time.Time) { close(fired) })
	defer stop()
	select {
	case <-fired:
		return triggerRetry
	case <-ctx.Done():
		return triggerStopped
	}
}

// writeFrames sends the queued frames until ctx ends or the link breaks.
func (p *Peerer) writeFrames(ctx context.Context, l *link) {
	defer close(l.writerDone)
	for {
		frame := l.queue.pop()
		if frame == nil {
			select {
			case <-l.queue.ready:
				continue
			case <-ctx.Done():
				return
			}
		}
		if l.conn.Write(frame) != nil {
			_ = l.conn.Close()
			return
		}
		p.sentFrames.Add(1)
		p.sentBytes.Add(uint64(encoder.LengthPrefixBytes + proto.Size(frame)))
	}
}

// handleFrame forwards a frame that is for another instance and passes others to
// their handlers. It runs on the link's goroutine.
func (p *Peerer) handleFrame(l *link, frame *encoder.Frame) {
	if frame.GetTo() != "" && frame.GetTo() != p.self.ID {
		p.forward(frame)
		return
	}
	from := l.id
	if frame.GetFrom() != "" {
		from = frame.GetFrom()
	}
	switch body := frame.Body.(type) {
	case *encoder.Frame_CreditRequest:
		if p.creditHandler != nil {
			if grant := p.creditHandler.HandleCreditRequest(from, body.CreditRequest); grant != nil {
				p.Send(from, &encoder.Frame{Body: &encoder.Frame_CreditGrant{CreditGrant: grant}})
			}
		}
	case *encoder.Frame_CreditGrant:
		if p.creditHandler != nil {
			p.creditHandler.HandleCreditGrant(from, body.CreditGrant)
		}
	case *encoder.Frame_PromptParts:
		if p.promptHandler != nil {
			p.promptHandler.HandleMessage(from, body.PromptParts)
		}
	case *encoder.Frame_ConfigVersion:
		p.control.Post(controller.EventFunc(func() { p.recordVersion(l, body.ConfigVersion.GetVersion()) }))
	case *encoder.Frame_Digest:
		p.control.Post(controller.EventFunc(func() { p.handleDigest(l, body.Digest) }))
	case *encoder.Frame_Leaving:
		p.control.Post(controller.EventFunc(func() { p.handleLeaving(l) }))
	}
}

// forward queues a relayed frame on the link to its next hop. It drops the frame
// if there is none or maxHops is reached.
func (p *Peerer) forward(frame *encoder.Frame) {
	if frame.GetHops() >= maxHops {
		return
	}
	frame.Hops++
	state := p.state.Load()
	if l := state.links[state.topology.nextHop(frame.GetTo())]; l != nil {
		l.queue.push(frame)
	}
}

// Send queues a frame for an instance, which relays forward if there is no direct
// link. It reports whether there was a link to queue it on; delivery is not
// acknowledged. It is safe for concurrent use.
func (p *Peerer) Send(to string, frame *encoder.Frame) bool {
	state := p.state.Load()
	if l := state.links[to]; l != nil {
		l.queue.push(frame)
		return true
	}
	l := state.links[state.topology.nextHop(to)]
	if l == nil {
		return false
	}
	frame.From = p.self.ID
	frame.To = to
	l.queue.push(frame)
	return true
}
