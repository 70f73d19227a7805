package tunneler

import (
	"context"
	"encoding/binary"
	"errors"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/tuner"
	"oriolemill.example/oriolemill/internal/validator"
)

const (
	// requestTimeout bounds the wait for a request, and connectTimeout that for the replica.
	requestTimeout = time.Second
	connectTimeout = 300 * time.Millisecond
	// writeTimeout bounds a write to an instance that does not read.
	writeTimeout = 5 * time.Second
	// requestWriteTimeout bounds a write to a replica that does not read. Clients' requests end within it.
	requestWriteTimeout = time.Minute
	// endTimeout bounds the wait for a write in progress once the replica has ended its data.
	endTimeout = time.Second
	// MaxConnections bounds the connections that a helper passes on at once unless WithMaxConnections sets another bound.
	MaxConnections = 256
)

// Dialer opens connections for other instances. It must be safe for concurrent use.
type Dialer interface {
	// DialFor opens a connection to a replica. It returns ErrPathLost if this instance has lost its
	// path, ErrReplicaUnreachable if it has one and the replica does not respond, and ErrUnavailable if
	// it does not know.
	DialFor(ctx context.Context, replica *server.Replica) (net.Conn, error)
}

// Helper passes on connections of other instances to replicas. It is safe for concurrent use.
type Helper struct {
	log    logr.Logger
	dialer Dialer
	// find returns the replica of any service with an ID.
	find func(id string) (server.Replica, bool)
	// pauses keeps the pauses that replicas request; nil without one.
	pauses       server.PauseKeeper
	maxConns     int64
	active       atomic.Int64
	isStopping   atomic.Bool
	servedCount  atomic.Uint64
	refusedCount atomic.Uint64
}

// HelperOption sets a property of a Helper.
type HelperOption func(*Helper)

// WithPauses has no connections passed on to replicas in their pauses.
func WithPauses(pauses server.PauseKeeper) HelperOption {
	return func(h *Helper) { h.pauses = pauses }
}

// WithMaxConnections sets the bound of the connections that are passed on at once, each of which needs two descriptors.
func WithMaxConnections(count int) HelperOption {
	return func(h *Helper) { h.maxConns = int64(count) }
}

// NewHelper returns a Helper for the replicas that find returns by ID.
func NewHelper(log logr.Logger, dialer Dialer, find func(id string) (server.Replica, bool), options ...HelperOption) *Helper {
	h := &Helper{log: log, dialer: dialer, find: find, maxConns: MaxConnections}
	for _, option := range options {
		option(h)
	}
	return h
}

// BeginStop has further connections refused.
func (h *Helper) BeginStop() { h.isStopping.Store(true) }

// ActiveConnections returns the number of connections that are being passed on.
func (h *Helper) ActiveConnections() int64 { return h.active.Load() }

// Counts returns the numbers of connections that were passed on and of those that were not.
func (h *Helper) Counts() (served, refused uint64) {
	return h.servedCount.Load(), h.refusedCount.Load()
}

// Serve handles a connection of another instance whose FirstByte was read, until its end.
func (h *Helper) Serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	h.active.Add(1)
	defer h.active.Add(-1)
	if tuner.Tune(conn) != nil || conn.SetDeadline(time.Now().Add(requestTimeout)) != nil {
		return
	}
	r, err := readRequest(conn)
	if err != nil {
		return
	}
	upstream, response, pause := h.connect(r)
	answer := []byte{byte(response)}
	if response == statusPaused {
		answer = binary.BigEndian.AppendUint32(answer, uint32(min(pause.Milliseconds(), math.MaxUint32)))
	}
	if _, err := conn.Write(answer); err != nil || upstream == nil {
		h.refusedCount.Add(1)
		if upstream != nil {
			_ = upstream.Close()
		}
		return
	}
	h.servedCount.Add(1)
	if conn.SetDeadline(time.Time{}) == nil {
		pass(conn, upstream, r.IsCounted)
	}
	_ = upstream.Close()
}

// connect opens the connection to the replica that a request names. pause is the rest of the replica's
// pause if that is the reason why it does not.
func (h *Helper) connect(r request) (conn net.Conn, response status, pause time.Duration) {
	replica, ok := h.find(r.Replica)
	if ok && replica.Address == r.Address && h.pauses != nil {
		if r.PauseMillis > 0 {
			h.pauses.RecordResponse(&replica, server.ResponseInfo{Pause: time.Duration(min(r.PauseMillis, math.MaxUint32)) * time.Millisecond}, time.Time{})
		}
		if pause := h.pauses.PausedFor(&replica); pause > 0 {
			return nil, statusPaused, pause
		}
	}
	switch {
	case h.isStopping.Load() || h.active.Load() > h.maxConns:
		return nil, statusFull, 0
	case !ok || replica.Address != r.Address:
		return nil, statusUnknown, 0
	}
	conn, response = h.dial(&replica)
	return conn, response, 0
}

// dial opens a connection to a replica.
func (h *Helper) dial(replica *server.Replica) (net.Conn, status) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	upstream, err := h.dialer.DialFor(ctx, replica)
	switch {
	case err == nil:
		return upstream, statusConnected
	case errors.Is(err, server.ErrReplicaUnreachable):
		return nil, statusUnreachable
	case errors.Is(err, server.ErrPathLost):
		return nil, statusLost
	default:
		h.log.V(1).Info("no connection for another instance", "replica", replica.ID, "cause", err.Error())
		return nil, statusFailed
	}
}

// pass copies bytes between an instance and a replica until one of them ends its connection. The end
// of the replica's data is passed on if it is an orderly one; an instance that closes its connection
// needs no response. isCounted is that of the request.
func pass(conn, upstream net.Conn, isCounted bool) {
	sender := &requestSender{upstream: upstream, writing: make(chan struct{}, 1)}
	go sender.copyFrom(conn)
	_ = copyFrames(deadlineWriter{conn}, upstream, func() ([]byte, error) {
		received, err := sender.checkEnd()
		return endFrame(isCounted, received), err
	})
	_ = conn.Close()
}

// requestSender sends the bytes of an instance to a replica.
type requestSender struct {
	upstream net.Conn
	// writing has one element while upstream is written to, or the fields below are read.
	writing chan struct{}
	sent    uint64
	// err is why a write failed.
	err error
}

// copyFrom copies the bytes to the replica, and closes its connection when the instance has closed
// its own. A replica may end a connection whose request it has not read, and its response still
// counts if it states its length, so a failed write closes nothing.
func (s *requestSender) copyFrom(conn net.Conn) {
	defer func() { _ = s.upstream.Close() }()
	buffer := make([]byte, frameBytes)
	hasFailed := false
	for {
		n, err := conn.Read(buffer)
		if n > 0 && !hasFailed {
			hasFailed = s.write(buffer[:n]) != nil
		}
		if err != nil {
			return
		}
	}
}

// write writes to the replica. The end of the instance's connection is not noticed during the write.
func (s *requestSender) write(data []byte) error {
	s.writing <- struct{}{}
	defer func() { <-s.writing }()
	_ = s.upstream.SetWriteDeadline(time.Now().Add(requestWriteTimeout))
	n, err := s.upstream.Write(data)
	s.sent, s.err = s.sent+uint64(n), err
	return err
}

// checkEnd returns the number of bytes that the replica has received, or an error if the end of its data
// is not an orderly one.
func (s *requestSender) checkEnd() (received uint64, err error) {
	received, err = s.awaitWrite()
	if err != nil {
		return 0, err
	}
	return received, validator.AwaitAcknowledgement(s.upstream)
}

// awaitWrite waits for a write in progress, which may have got the error of a reset, and returns the number
// of bytes that were sent.
func (s *requestSender) awaitWrite() (sent uint64, err error) {
	select {
	case s.writing <- struct{}{}:
		defer func() { <-s.writing }()
		return s.sent, s.err
	case <-time.After(endTimeout):
		return 0, merry.New("the replica has ended the connection and does not read")
	}
}

// deadlineWriter bounds each write to a connection by writeTimeout.
type deadlineWriter struct{ net.Conn }

// Write implements io.Writer.
func (w deadlineWriter) Write(data []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return w.Conn.Write(data)
}
