package linker

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// dialTimeout bounds a dial and the sending of the hello together.
	dialTimeout = 600 * time.Millisecond
	// writeTimeout bounds a write and the response to a heartbeat.
	writeTimeout = time.Second
	// probeInterval is how often a link with calls in progress is probed.
	probeInterval = 350 * time.Millisecond
	// maxFrameBytes bounds a frame. It is above encoder.MaxFrameBytes, as the largest
	// frames here carry whole tables of the store.
	maxFrameBytes = 8 << 20
	// minReconnectDelay and maxReconnectDelay bound the wait between dials of a
	// member that is down.
	minReconnectDelay = 250 * time.Millisecond
	maxReconnectDelay = 3 * time.Second
	// secondDialDelay is how long the instance with the higher ID waits for the other one to
	// dial, twice if need be, before it dials itself. If both dial at once, both links stay.
	secondDialDelay = 2*dialTimeout + minReconnectDelay + 500*time.Millisecond
	// helloTimeout bounds the wait for the hello of an accepted link, and for the
	// frame of an accepted call.
	helloTimeout = 2 * time.Second
	// replacedLinkGrace is how long a link that was replaced stays open, for calls that begin on it.
	replacedLinkGrace = time.Second
	// acceptBacklog is the number of calls on a link that may wait to be accepted.
	acceptBacklog = 256
)

// link is an open session with one member. Each call is a stream of its own.
type link struct {
	// id is the member's ID.
	id      string
	session *yamux.Session
	conn    *trackedConn
	// ctx ends with the session.
	ctx             context.Context
	callsInProgress atomic.Int64
	isProbing       atomic.Bool
	// isOnDemand is set if the link was opened for a call and is closed when it is idle.
	// usedAt is when it was last used for a call or a message. The linker's mu guards both.
	isOnDemand bool
	usedAt     time.Time
	// isDialed is set if this instance opened the link. replacedAt is when another link to the same
	// member began to be used instead; zero before. The linker's mu guards replacedAt.
	isDialed   bool
	replacedAt time.Time
	// mu guards the fields from isClosing to isSending. streams are those on which a read or write
	// may wait. drained is closed once the link is closing and none is left.
	mu        sync.Mutex
	isClosing bool
	streams   map[*yamux.Stream]bool
	drained   chan struct{}
	// outbox holds the broadcast frames that wait to be sent; isSending is set while a goroutine
	// sends them.
	outbox    [][]byte
	isSending bool
}

func newLink(id string, session *yamux.Session, conn *trackedConn) *link {
	return &link{id: id, session: session, conn: conn, streams: make(map[*yamux.Stream]bool), drained: make(chan struct{})}
}

// track adds a stream on which a read or write may wait. It returns false if the link is closing.
func (k *link) track(stream *yamux.Stream) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isClosing {
		k.streams[stream] = true
	}
	return !k.isClosing
}

// untrack removes a stream.
func (k *link) untrack(stream *yamux.Stream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.streams, stream)
	if k.isClosing && len(k.streams) == 0 {
		close(k.drained)
	}
}

// close ends the calls in progress and then the session. While a yamux session is closed,
// each read that waits on a stream is a busy loop until the session's own reader has ended.
func (k *link) close() {
	k.mu.Lock()
	if k.isClosing {
		k.mu.Unlock()
		return
	}
	k.isClosing = true
	if len(k.streams) == 0 {
		close(k.drained)
	}
	for stream := range k.streams {
		_ = stream.SetDeadline(time.Unix(1, 0))
	}
	k.mu.Unlock()
	<-k.drained
	_ = k.session.Close()
}

func yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // serveLink probes links with calls in progress instead
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = 0
	config.AcceptBacklog = acceptBacklog
	config.LogOutput = io.Discard // the linker logs members that go down itself
	return config
}

// connect dials a member, sends it a hello and begins to serve the link.
func (l *Linker) connect(ctx context.Context, instance server.Instance) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.dial(ctx, instance.Address)
	if err != nil {
		return nil, server.NewFault("dial", instance.ID, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	tracked := newTrackedConn(conn, l.timer)
	session, err := yamux.Client(tracked, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, merry.Wrap(err)
	}
	opened := newLink(instance.ID, session, tracked)
	opened.isDialed = true
	hello := &encoder.Frame{Body: &encoder.Frame_Hello{Hello: &encoder.Hello{Instance: l.self.ID, Datacentre: l.self.Datacentre}}}
	if err := opened.send(hello); err != nil {
		_ = session.Close()
		return nil, err
	}
	l.serveLink(opened)
	return opened, nil
}

// acceptLinks serves the links that other instances open.
func (l *Linker) acceptLinks() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			if l.ctx.Err() == nil {
				l.log.Error(err, "listener failed; no more links are accepted")
			}
			return
		}
		l.goroutines.Go(func() { l.acceptConn(conn) })
	}
}

// acceptConn serves the link that another instance opens with a connection, or passes the connection
// on if it is no link.
func (l *Linker) acceptConn(conn net.Conn) {
	reader := bufio.NewReader(conn)
	first, err := []byte(nil), conn.SetReadDeadline(time.Now().Add(helloTimeout))
	if err == nil {
		first, err = reader.Peek(1)
	}
	if err == nil {
		err = conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		_ = conn.Close()
		return
	}
	if handler := l.connHandlers[first[0]]; handler != nil {
		_, _ = reader.Discard(1)
		go handler(&bufferedConn{Conn: conn, reader: reader})
		return
	}
	tracked := newTrackedConn(&bufferedConn{Conn: conn, reader: reader}, l.timer)
	session, err := yamux.Server(tracked, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	l.receiveHello(session, tracked)
}

// receiveHello reads the hello of the instance that dialed and serves the link. Calls
// to that instance use this link too if it is planned, unless there is another open one.
// Other links are closed by the instance that dialed.
func (l *Linker) receiveHello(session *yamux.Session, conn *trackedConn) {
	stopTimeout := l.timer.After(helloTimeout, func(time.Time) { go func() { _ = session.Close() }() })
	stream, err := session.AcceptStream()
	if err != nil {
		stopTimeout()
		_ = session.Close()
		return
	}
	frame, err := encoder.Read(stream, maxFrameBytes)
	stopTimeout()
	_ = stream.Close()
	if err != nil || frame.GetHello().GetInstance() == "" {
		_ = session.Close()
		return
	}
	accepted := newLink(frame.GetHello().GetInstance(), session, conn)
	l.mu.Lock()
	if m := l.members[accepted.id]; m != nil && l.isPlanned(m.ID) {
		old := m.link
		switch {
		case old == nil || old.session.IsClosed():
			m.link = accepted
		case old.isDialed && l.isPreferred(accepted):
			m.link, old.replacedAt = accepted, l.timer.Now()
		default:
			// The member may have lost the other link without a sign of it here.
			go old.probe()
		}
	}
	l.mu.Unlock()
	l.serveLink(accepted)
}

// isPreferred reports whether a link is the one to keep if two instances have dialed each other at
// once: that of the instance with the lower ID. Both come to the same result.
func (l *Linker) isPreferred(k *link) bool { return k.isDialed == (l.self.ID < k.id) }

// checkLinks probes the links with calls in progress and those on which something was sent and
// nothing has come back, opens planned links again that were closed, and closes idle ones.
func (l *Linker) checkLinks(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for link := range l.openLinks {
		if link.callsInProgress.Load() > 0 || link.conn.isUnanswered(now) {
			go link.probe()
		}
		if !link.replacedAt.IsZero() && now.Sub(link.replacedAt) >= replacedLinkGrace && link.session.NumStreams() == 0 {
			go link.close()
		}
	}
	l.openPlannedLinks()
	l.closeIdleLinks(now)
}

// serveLink starts the goroutines that handle a link's streams. They end with the session.
func (l *Linker) serveLink(link *link) {
	l.mu.Lock()
	l.openLinks[link] = true
	if l.ctx.Err() != nil {
		go link.close()
	}
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(l.ctx)
	link.ctx = ctx
	l.goroutines.Go(func() {
		for {
			stream, err := link.session.AcceptStream()
			if err != nil {
				return
			}
			go l.handleStream(link, stream)
		}
	})
	go func() {
		defer cancel()
		<-link.session.CloseChan()
		l.mu.Lock()
		delete(l.openLinks, link)
		l.mu.Unlock()
	}()
}

// handleStream reads one frame and writes the handler's response, if there is one.
func (l *Linker) handleStream(link *link, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	if !link.track(stream) {
		return
	}
	err := stream.SetReadDeadline(time.Now().Add(helloTimeout))
	var frame *encoder.Frame
	if err == nil {
		frame, err = encoder.Read(stream, maxFrameBytes)
	}
	link.untrack(stream)
	if err != nil {
		return
	}
	response := l.handler(link.ctx, l.receivedFrom(link.id, frame), frame)
	if response == nil {
		return
	}
	if err := encoder.Write(stream, response, maxFrameBytes); err != nil {
		l.log.V(1).Info("response to an instance could not be sent", "instance", link.id, "cause", err.Error())
	}
}

// probe closes the link if the other side does not respond to a heartbeat. Only one probe at a time
// is in progress.
func (k *link) probe() {
	if k.isProbing.Swap(true) {
		return
	}
	defer k.isProbing.Store(false)
	if _, err := k.session.Ping(); err != nil {
		k.close()
	}
}

// call sends a frame and returns the response. It ends early when ctx ends; any error
// is ErrUnavailable.
func (k *link) call(ctx context.Context, frame *encoder.Frame) (*encoder.Frame, error) {
	k.callsInProgress.Add(1)
	defer k.callsInProgress.Add(-1)
	stream, err := k.session.OpenStream()
	if err != nil {
		return nil, server.NewFault("call", k.id, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	defer func() { _ = stream.Close() }()
	if !k.track(stream) {
		return nil, server.NewFault("call", k.id, merry.Prepend(server.ErrUnavailable, "the link is being closed"))
	}
	defer k.untrack(stream)
	detach := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer detach()
	if err := encoder.Write(stream, frame, maxFrameBytes); err != nil {
		return nil, server.NewFault("call", k.id, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	response, err := encoder.Read(stream, maxFrameBytes)
	if err != nil {
		return nil, server.NewFault("call", k.id, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	return response, nil
}

// send sends a frame that has no response.
func (k *link) send(frame *encoder.Frame) error {
	data, err := encoder.Marshal(frame, maxFrameBytes)
	if err != nil {
		return merry.Wrap(err)
	}
	return k.sendBytes(data)
}

// sendBytes sends an encoded frame that has no response.
func (k *link) sendBytes(data []byte) error {
	stream, err := k.session.OpenStream()
	if err != nil {
		return server.NewFault("tell", k.id, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	defer func() { _ = stream.Close() }()
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return merry.Wrap(err)
	}
	if _, err := stream.Write(data); err != nil {
		return server.NewFault("tell", k.id, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	return nil
}
