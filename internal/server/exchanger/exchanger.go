// Package exchanger makes one exchange with a replica and says what is known
// of it afterwards.
package exchanger

import (
	"context"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/dialer"
)

// maxStageAnswer bounds the answer of a stage call in bytes.
const maxStageAnswer = 4 << 20

// Exchanger sends requests over kept connections.
type Exchanger struct {
	dialer *dialer.Dialer
	wire   server.Wire
}

// New returns an Exchanger.
func New(d *dialer.Dialer, wire server.Wire) *Exchanger { return &Exchanger{dialer: d, wire: wire} }

// Request is what is sent.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// ID must be echoed by the answer; "" takes any.
	ID string
	// Once is set for requests that may run once only.
	Once bool
}

// Answer is the beginning of an answer. Close must be called once.
type Answer struct {
	*http.Response
	head    server.Head
	conn    *dialer.Conn
	dialer  *dialer.Dialer
	written <-chan error
	detach  func() bool
}

// Head returns what the answer says of itself.
func (a *Answer) Head() server.Head { return a.head }

// Close ends the exchange. The connection is kept only after a whole answer.
func (a *Answer) Close(whole bool) {
	sent := false
	select {
	case err := <-a.written:
		sent = err == nil
	default:
	}
	// A context that has ended is closing the connection.
	if detached := a.detach(); whole && sent && detached && a.conn.Clean(a.Response) {
		a.dialer.Keep(a.conn, a.head.Idle)
		return
	}
	_ = a.conn.Close()
}

// Do sends a request and returns when the answer's head is there. The
// connection is closed when ctx ends. With an error, sent says what is known.
func (x *Exchanger) Do(ctx context.Context, replica *server.Replica, request *Request) (answer *Answer, sent server.Sent, err error) {
	conn, err := x.dialer.Take(ctx, replica, request.Once)
	if err != nil {
		return nil, server.SentNo, err
	}
	detach := context.AfterFunc(ctx, func() { _ = conn.Close() })
	written := make(chan error, 1)
	go func() {
		written <- conn.Send(request.Method, request.Target, request.Host, request.Header, request.Body)
	}()
	response, err := conn.Answer(request.Method, request.ID, func(r *http.Response) string { return x.wire.Head(r.StatusCode, r.Header).ID })
	if err != nil {
		detach()
		_ = conn.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, server.SentMaybe, server.NewFault("exchange", replica.ID, err)
	}
	return &Answer{
		Response: response, head: x.wire.Head(response.StatusCode, response.Header), conn: conn, dialer: x.dialer, written: written, detach: detach,
	}, server.SentAnswered, nil
}

// Make implements batcher.Caller.
func (x *Exchanger) Make(ctx context.Context, replica *server.Replica, pieces []server.Piece) ([]server.Made, error) {
	path, body, err := x.wire.PiecesCall(pieces)
	if err != nil {
		return nil, err
	}
	raw, err := x.call(ctx, replica, path, body)
	if err != nil {
		return nil, err
	}
	return x.wire.PiecesAnswer(raw, len(pieces))
}

// Free implements batcher.Caller.
func (x *Exchanger) Free(ctx context.Context, replica *server.Replica, handles []string) error {
	path, body, err := x.wire.FreeCall(handles)
	if err != nil {
		return err
	}
	_, err = x.call(ctx, replica, path, body)
	return err
}

// Keeper implements batcher.Caller.
func (x *Exchanger) Keeper(handle string) string { return x.wire.Owner(handle) }

// call makes a call whose answer is read whole.
func (x *Exchanger) call(ctx context.Context, replica *server.Replica, path string, body []byte) ([]byte, error) {
	request := &Request{Method: http.MethodPost, Target: path, Host: replica.Address, Header: x.wire.CallHeader(replica.ID), Body: body}
	answer, _, err := x.Do(ctx, replica, request)
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(answer.Body, maxStageAnswer))
	answer.Close(err == nil)
	switch {
	case err != nil:
		return nil, server.NewFault("read", replica.ID, merry.Prepend(server.ErrUnavailable, err.Error()))
	case answer.head.Refused:
		return nil, server.NewFault("call", replica.ID, merry.Prependf(server.ErrOverload, "status %d", answer.StatusCode))
	case answer.StatusCode != http.StatusOK:
		return nil, server.NewFault("call", replica.ID, merry.Prependf(server.ErrUnavailable, "status %d", answer.StatusCode))
	}
	return raw, nil
}
