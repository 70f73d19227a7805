package linker

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// dialTimeout bounds a dial and the greeting.
	dialTimeout = 600 * time.Millisecond
	// writeTimeout bounds a write and the answer to a heartbeat.
	writeTimeout = time.Second
	// watchPeriod is how often a link with calls in progress is probed.
	watchPeriod = 350 * time.Millisecond
	// frameLimit bounds a frame in bytes; tables of rows are the largest.
	frameLimit = 8 << 20
	// firstRevive and lastRevive bound the wait between dials of a lost member.
	firstRevive = 250 * time.Millisecond
	lastRevive  = 3 * time.Second
	// acceptWait bounds the greeting of who dialed.
	acceptWait = 2 * time.Second
	// backlog is the number of calls that may wait to be accepted.
	backlog = 256
)

// link is an open session with one member.
type link struct {
	id      string
	session *yamux.Session
	calls   atomic.Int64
}

func settings() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // watch probes links that have calls
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = 0
	config.AcceptBacklog = backlog
	config.LogOutput = io.Discard // the linker tells of lost members itself
	return config
}

// connect dials a member and greets it.
func (l *Linker) connect(ctx context.Context, instance server.Instance) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := l.dial(ctx, instance.Address)
	if err != nil {
		return nil, server.NewFault("dial", instance.ID, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	session, err := yamux.Client(raw, settings())
	if err != nil {
		_ = raw.Close()
		return nil, merry.Wrap(err)
	}
	fresh := &link{id: instance.ID, session: session}
	hello := &encoder.Frame{Body: &encoder.Frame_Hello{Hello: &encoder.Hello{Instance: l.self.ID, Datacentre: l.self.Datacentre}}}
	if err := fresh.tell(hello); err != nil {
		_ = session.Close()
		return nil, err
	}
	l.run(fresh)
	return fresh, nil
}

// accept serves the links that other instances open.
func (l *Linker) accept() {
	for {
		raw, err := l.socket.Accept()
		if err != nil {
			if l.ctx.Err() == nil {
				l.log.Error(err, "links are not accepted any more")
			}
			return
		}
		session, err := yamux.Server(raw, settings())
		if err != nil {
			_ = raw.Close()
			continue
		}
		l.work.Go(func() { l.greet(session) })
	}
}

// greet reads who dialed and serves the link.
func (l *Linker) greet(session *yamux.Session) {
	timeout := l.timer.After(acceptWait, func(time.Time) { go func() { _ = session.Close() }() })
	stream, err := session.AcceptStream()
	if err != nil {
		timeout()
		_ = session.Close()
		return
	}
	frame, err := encoder.Read(stream, frameLimit)
	timeout()
	_ = stream.Close()
	if err != nil || frame.GetHello().GetInstance() == "" {
		_ = session.Close()
		return
	}
	accepted := &link{id: frame.GetHello().GetInstance(), session: session}
	l.mu.Lock()
	if m := l.members[accepted.id]; m != nil && (m.link == nil || m.link.session.IsClosed()) {
		m.link = accepted
	}
	l.mu.Unlock()
	l.run(accepted)
}

// run serves a link's streams and watches it until it ends.
func (l *Linker) run(link *link) {
	l.mu.Lock()
	l.open[link] = true
	if l.ctx.Err() != nil {
		_ = link.session.Close()
	}
	l.mu.Unlock()
	l.work.Go(func() {
		for {
			stream, err := link.session.AcceptStream()
			if err != nil {
				return
			}
			go l.serve(link, stream)
		}
	})
	stop := l.timer.Every(watchPeriod, func(time.Time) {
		if link.calls.Load() > 0 {
			go link.probe()
		}
	})
	go func() {
		<-link.session.CloseChan()
		stop()
		l.mu.Lock()
		delete(l.open, link)
		l.mu.Unlock()
	}()
}

// serve answers one frame.
func (l *Linker) serve(link *link, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	if stream.SetReadDeadline(time.Now().Add(acceptWait)) != nil {
		return
	}
	frame, err := encoder.Read(stream, frameLimit)
	if err != nil {
		return
	}
	answer := l.handler(l.ctx, link.id, frame)
	if answer == nil {
		return
	}
	if err := encoder.Write(stream, answer, frameLimit); err != nil {
		l.log.V(1).Info("answer to an instance was lost", "instance", link.id, "cause", err.Error())
	}
}

// probe ends a link whose other side does not answer a heartbeat.
func (k *link) probe() {
	if _, err := k.session.Ping(); err != nil {
		_ = k.session.Close()
	}
}

func (k *link) call(ctx context.Context, frame *encoder.Frame) (*encoder.Frame, error) {
	k.calls.Add(1)
	defer k.calls.Add(-1)
	stream, err := k.session.OpenStream()
	if err != nil {
		return nil, server.NewFault("call", k.id, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	defer func() { _ = stream.Close() }()
	ended := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer ended()
	if err := encoder.Write(stream, frame, frameLimit); err != nil {
		return nil, server.NewFault("call", k.id, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	answer, err := encoder.Read(stream, frameLimit)
	if err != nil {
		return nil, server.NewFault("call", k.id, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	return answer, nil
}

func (k *link) tell(frame *encoder.Frame) error {
	stream, err := k.session.OpenStream()
	if err != nil {
		return server.NewFault("tell", k.id, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	defer func() { _ = stream.Close() }()
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return merry.Wrap(err)
	}
	if err := encoder.Write(stream, frame, frameLimit); err != nil {
		return server.NewFault("tell", k.id, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	return nil
}
