// Package exchanger sends HTTP requests to replicas. If a request fails it reports
// whether the replica may have received it.
package exchanger

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/dialer"
)

// maxStageResponseBytes bounds the response to a stage call.
const maxStageResponseBytes = 512 << 10

// sendTimeout bounds the wait for the end of a send whose response is complete.
const sendTimeout = 20 * time.Millisecond

// Exchanger sends requests over pooled connections. It is safe for concurrent use.
type Exchanger struct {
	dialer *dialer.Dialer
	codec  server.Codec
	// isServing reports whether a replica may get new work.
	isServing func(*server.Replica) bool
	// isEvacuated reports whether the data centre of a replica is evacuated.
	isEvacuated func(*server.Replica) bool
	// onLeaving is called when a replica states in a response that it is leaving.
	onLeaving func(*server.Replica)
	// limits keeps the limits that replicas state, and pauses the pauses that they request, unless they
	// are nil; timer is set with each of them.
	limits server.LimitKeeper
	pauses server.PauseKeeper
	timer  server.Timer
}

// Option sets a property of an Exchanger.
type Option func(*Exchanger)

// WithServing sets a function that reports whether a replica may get new work by the newest
// view. Calls that compute pieces are withheld from other replicas.
func WithServing(isServing func(*server.Replica) bool) Option {
	return func(x *Exchanger) { x.isServing = isServing }
}

// WithLeavingHandler sets a function that is called for each response in which a replica
// states that it is leaving. It may be called by several goroutines at once.
func WithLeavingHandler(onLeaving func(*server.Replica)) Option {
	return func(x *Exchanger) { x.onLeaving = onLeaving }
}

// WithLimits has the limits that replicas state in responses recorded, and takes calls that compute
// pieces and release results from them.
func WithLimits(timer server.Timer, limits server.LimitKeeper) Option {
	return func(x *Exchanger) { x.timer, x.limits = timer, limits }
}

// WithPauses has the pauses that replicas request in responses recorded, and everything withheld from a replica
// in its pause.
func WithPauses(timer server.Timer, pauses server.PauseKeeper) Option {
	return func(x *Exchanger) { x.timer, x.pauses = timer, pauses }
}

// New returns an Exchanger.
func New(d *dialer.Dialer, codec server.Codec, options ...Option) *Exchanger {
	x := &Exchanger{dialer: d, codec: codec, isServing: func(*server.Replica) bool { return true }, isEvacuated: func(*server.Replica) bool { return false }, onLeaving: func(*server.Replica) {}}
	for _, option := range options {
		option(x)
	}
	return x
}

// Request is a request to a replica.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// ID is the ID that the response must have. With "" nothing in a response shows to which request it
	// belongs, so the request has a connection of its own: a replica may write a response twice, and late.
	ID string
	// AcceptsAny is set if the response to another request does no harm, so that a request without an ID may
	// use a kept connection.
	AcceptsAny bool
	// AtMostOnce is set for requests that must run at most once.
	AtMostOnce bool
	// IsDoubtful, unless it is nil, reports whether the replica must state its start before the request is sent
	// on the same connection. Verify is then called with what it states. If it returns an error, the request is
	// withheld.
	IsDoubtful func() bool
	Verify     func(statement server.Statement) error
	// OnUnverified is called before the request is sent on a connection on which the replica was not asked,
	// unless it is nil. openedAt is when the connection was opened.
	OnUnverified func(openedAt time.Time)
	// Check is called right before the request is sent, unless it is nil. If it returns an
	// error, the request is withheld and Do returns server.ErrWithheld.
	Check func() error
}

// isSingleUse reports whether the request needs a connection of its own.
func (r *Request) isSingleUse() bool { return r.ID == "" && !r.AcceptsAny }

// Answer is a response whose headers were read and whose body was not. Close must be
// called exactly once.
type Answer struct {
	*http.Response
	body   *endTracker
	info   server.ResponseInfo
	conn   *dialer.Conn
	dialer *dialer.Dialer
	// sendResult receives one value once the request is sent: nil, or the error.
	sendResult <-chan error
	// detach stops the context from closing the connection and reports whether it did
	// so in time.
	detach func() bool
	// isSingleUse is set if the connection must not be used again.
	isSingleUse bool
}

// Framing is how a response states where its body ends. Its values are those in log lines
// and metrics.
type Framing string

const (
	// FramingLength means that the headers state the length of the body.
	FramingLength Framing = "length"
	// FramingChunked means that the body is sent in chunks, of which the last one is marked.
	FramingChunked Framing = "chunked"
	// FramingNone means that the body ends with the connection, so that a body that was cut off may
	// look complete.
	FramingNone Framing = "none"
)

// Framing returns how the response states where its body ends.
func (a *Answer) Framing() Framing {
	switch {
	case a.ContentLength >= 0, a.body.ReadCloser == http.NoBody:
		return FramingLength
	case len(a.TransferEncoding) > 0:
		return FramingChunked
	default:
		return FramingNone
	}
}

// ResponseInfo returns the properties that the response's headers state.
func (a *Answer) ResponseInfo() server.ResponseInfo { return a.info }

// Close ends the exchange. The connection returns to the pool only if the body was read to
// its end and the whole request was sent.
func (a *Answer) Close() {
	// If detach comes too late, the context is closing the connection.
	isDetached := a.detach()
	if !a.isSingleUse && a.body.hasEnded && isDetached && a.conn.IsReusable(a.Response) && a.isSent() {
		a.dialer.Put(a.conn, a.info.IdleTimeout)
		return
	}
	_ = a.conn.Close()
}

// isSent reports whether the whole request was sent. A response may be read before the goroutine that sends
// the request has returned, so this waits for it, but not for a replica that responds without reading.
func (a *Answer) isSent() bool {
	_ = a.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	return <-a.sendResult == nil
}

// endTracker is the body of a response. It notices its end, which a reader with a limit may not
// have reached.
type endTracker struct {
	io.ReadCloser
	hasEnded bool
}

// Read implements io.Reader.
func (b *endTracker) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	b.hasEnded = b.hasEnded || errors.Is(err, io.EOF)
	return n, err
}

// Do sends a request and returns once the response's headers are read. If it returns
// an error, sendState says whether the replica may have received the request. The
// connection is closed when ctx ends.
func (x *Exchanger) Do(ctx context.Context, replica *server.Replica, request *Request) (answer *Answer, sendState server.SendState, err error) {
	for {
		answer, sendState, err = x.exchange(ctx, replica, request)
		// Ends with a new connection, which is never stale.
		if !errors.Is(err, errStale) {
			return answer, sendState, err
		}
	}
}

// errStale means that a reused connection was closed before the request was written on it.
var errStale = merry.New("reused connection was closed before the request was sent")

// exchange sends a request on one connection; see Do. It returns errStale if nothing was
// sent since the connection cannot be reused.
func (x *Exchanger) exchange(ctx context.Context, replica *server.Replica, request *Request) (answer *Answer, sendState server.SendState, err error) {
	if err := x.checkPause(replica); err != nil {
		return nil, server.SendStateUnsent, err
	}
	conn, err := x.connect(ctx, replica, request)
	if err != nil {
		x.recordRelayedPause(replica, err)
		return nil, server.SendStateUnsent, err
	}
	var sentAt time.Time
	if x.timer != nil {
		sentAt = x.timer.Now()
	}
	detach := context.AfterFunc(ctx, func() { _ = conn.Close() })
	sendResult := make(chan error, 1)
	go func() { sendResult <- x.send(conn, replica, request) }()
	response, err := conn.ReadResponse(request.Method, request.ID, func(r *http.Response) string { return x.codec.ParseResponse(r.StatusCode, r.Header).ID })
	if err != nil {
		detach()
		_ = conn.Close() // ends WriteRequest
		if sendErr := <-sendResult; errors.Is(sendErr, server.ErrWithheld) || errors.Is(sendErr, errStale) {
			return nil, server.SendStateUnsent, sendErr
		}
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, server.SendStateUnknown, server.NewFault("exchange", replica.ID, err)
	}
	info := x.codec.ParseResponse(response.StatusCode, response.Header)
	x.recordResponse(replica, info, sentAt)
	if info.Pause > 0 && !info.IsMisdirected {
		conn.ReportPause(info.Pause)
	}
	body := &endTracker{ReadCloser: response.Body}
	response.Body = body
	return &Answer{
		Response: response, body: body, info: info, conn: conn, dialer: x.dialer, sendResult: sendResult, detach: detach, isSingleUse: request.isSingleUse(),
	}, server.SendStateAnswered, nil
}

// recordRelayedPause records the pause that a replica has requested from the only instances through which this
// one reaches it.
func (x *Exchanger) recordRelayedPause(replica *server.Replica, err error) {
	var fault *server.Fault
	if x.pauses != nil && errors.Is(err, server.ErrWithheld) && errors.As(err, &fault) && fault.RetryAfter() > 0 {
		x.pauses.RecordResponse(replica, server.ResponseInfo{Pause: fault.RetryAfter()}, time.Time{})
	}
}

// connect returns a connection for a request.
func (x *Exchanger) connect(ctx context.Context, replica *server.Replica, request *Request) (*dialer.Conn, error) {
	if request.IsDoubtful != nil && request.IsDoubtful() {
		return x.connectVerified(ctx, replica, request)
	}
	var conn *dialer.Conn
	var err error
	if request.isSingleUse() {
		conn, err = x.dialer.Open(ctx, replica)
	} else {
		conn, err = x.dialer.Acquire(ctx, replica, request.AtMostOnce)
	}
	if err != nil {
		return nil, err
	}
	if request.IsDoubtful != nil && request.IsDoubtful() {
		// A kept connection turned out to be closed.
		_ = conn.Close()
		return x.connectVerified(ctx, replica, request)
	}
	if request.OnUnverified != nil {
		request.OnUnverified(conn.OpenedAt())
	}
	return conn, nil
}

// send writes a request on a connection. It returns ErrWithheld, and closes the connection, if the request must
// not be sent any more, and errStale if the connection was closed.
func (x *Exchanger) send(conn *dialer.Conn, replica *server.Replica, request *Request) error {
	if err := x.checkSend(replica, request); err != nil {
		_ = conn.Close() // ends ReadResponse
		return err
	}
	if conn.IsReused() && conn.IsClosed() {
		_ = conn.Close() // ends ReadResponse
		if request.IsDoubtful != nil {
			return server.NewFault("exchange", replica.ID, merry.Prepend(server.ErrWithheld, "the replica has closed the connection"))
		}
		return server.NewFault("exchange", replica.ID, errStale)
	}
	return conn.WriteRequest(request.Method, request.Target, request.Host, request.Header, request.Body)
}

// checkSend returns ErrWithheld if a request must not be sent now.
func (x *Exchanger) checkSend(replica *server.Replica, request *Request) error {
	if request.Check != nil {
		if err := request.Check(); err != nil {
			return server.NewFault("exchange", replica.ID, merry.Prepend(server.ErrWithheld, err.Error()))
		}
	}
	return x.checkPause(replica)
}

// checkPause returns ErrWithheld, with the rest of the pause, if a replica wants no requests now.
func (x *Exchanger) checkPause(replica *server.Replica) error {
	if x.pauses == nil {
		return nil
	}
	wait := x.pauses.PausedFor(replica)
	if wait == 0 {
		return nil
	}
	return server.NewFault("pause", replica.ID, merry.Prepend(server.ErrWithheld, "the replica has requested a pause"), server.WithRetryAfter(wait))
}

// recordResponse records what a replica states of itself in a response to a request that was sent at sentAt
// or later.
func (x *Exchanger) recordResponse(replica *server.Replica, info server.ResponseInfo, sentAt time.Time) {
	if info.IsLeaving && !info.IsMisdirected {
		// A misdirected request was answered by another replica.
		x.onLeaving(replica)
	}
	if x.limits != nil {
		x.limits.RecordResponse(replica, info, sentAt)
	}
	if x.pauses != nil {
		x.pauses.RecordResponse(replica, info, sentAt)
	}
}

// ComputePieces implements batcher.Caller: it has a replica compute pieces.
func (x *Exchanger) ComputePieces(ctx context.Context, replica *server.Replica, pieces []server.Piece) ([]server.PieceResult, error) {
	path, body, err := x.codec.EncodePieces(pieces)
	if err != nil {
		return nil, err
	}
	responseBody, err := x.call(ctx, replica, &Request{Target: path, Body: body, Check: func() error {
		if !x.isServing(replica) {
			return server.ErrLeaving
		}
		return nil
	}})
	if err != nil {
		return nil, err
	}
	return x.codec.DecodePieces(responseBody, len(pieces))
}

// ResultAddress implements batcher.Caller: it returns the address of the replica that
// holds a result.
func (x *Exchanger) ResultAddress(handle string) string { return x.codec.ResultAddress(handle) }

// acquire takes a call from the limit that a replica states. It returns ErrWithheld, with the time
// after which the replica may take one, if it takes none now.
func (x *Exchanger) acquire(ctx context.Context, replica *server.Replica) error {
	if x.limits == nil || !x.limits.HasLimits() {
		return nil
	}
	index, wait := x.limits.Acquire(ctx, []server.Replica{*replica}, 0, false)
	if index >= 0 {
		return nil
	}
	return server.NewFault("limit", replica.ID, merry.Prepend(server.ErrWithheld, "the replica states a limit or is cold"), server.WithRetryAfter(wait))
}

// call sends a POST request, of which the caller sets what differs, and returns the body of the
// response, up to maxStageResponseBytes. It returns ErrOverload if the replica refused the call,
// ErrWithheld if it is beyond a limit that the replica states or in a pause that it has requested, ErrUnavailable for other failures of
// the response, and errors of Do as they are. An error is ErrConnectionLost as well if the replica
// ended the connection after the request was sent.
func (x *Exchanger) call(ctx context.Context, replica *server.Replica, request *Request) ([]byte, error) {
	if err := x.checkPause(replica); err != nil {
		return nil, err
	}
	if err := x.acquire(ctx, replica); err != nil {
		return nil, err
	}
	request.Method, request.Host, request.Header = http.MethodPost, replica.Address, x.codec.CallHeader(replica.ID)
	answer, sendState, err := x.Do(ctx, replica, request)
	if err != nil {
		if sendState != server.SendStateUnsent && ctx.Err() == nil {
			err = errors.Join(err, server.ErrConnectionLost)
		}
		return nil, err
	}
	responseBody, err := io.ReadAll(io.LimitReader(answer.Body, maxStageResponseBytes+1))
	answer.Close()
	if err == nil && len(responseBody) > maxStageResponseBytes {
		err = merry.Errorf("the response is longer than %d bytes", maxStageResponseBytes)
	}
	switch {
	case err != nil && ctx.Err() == nil:
		return nil, server.NewFault("read", replica.ID, errors.Join(merry.Prepend(server.ErrUnavailable, err.Error()), server.ErrConnectionLost))
	case err != nil:
		return nil, server.NewFault("read", replica.ID, merry.Prepend(server.ErrUnavailable, err.Error()))
	case answer.info.IsRefused:
		return nil, server.NewFault("call", replica.ID, merry.Prependf(server.ErrOverload, "status %d", answer.StatusCode), server.WithRetryAfter(answer.info.Pause))
	case answer.StatusCode != http.StatusOK:
		return nil, server.NewFault("call", replica.ID, merry.Prependf(server.ErrUnavailable, "status %d", answer.StatusCode))
	}
	return responseBody, nil
}
