package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
)

// Run implements server.Pool.
func (c *Caller) Run(ctx context.Context, upstream *server.Upstream, call server.Call) (server.Answer, error) {
	check := &sendCheck{check: call.BeforeSend}
	response, err := c.post(withSendCheck(ctx, check), upstream, messenger.PathRun, call.Traceparent, c.runRequest(upstream, call))
	if err != nil {
		return server.Answer{}, server.NewFault(call.Stage, upstream.ID(), check.responseError(ctx, err))
	}
	defer discardBody(response.Body)
	answer, err := readAnswer(ctx, response, call)
	if err != nil {
		return server.Answer{}, server.NewFault(call.Stage, upstream.ID(), err)
	}
	return answer, nil
}

// runRequest returns the message of a call to a pool or plain service.
func (c *Caller) runRequest(upstream *server.Upstream, call server.Call) messenger.RunRequest {
	return messenger.RunRequest{
		AttemptID:       call.AttemptID.String(),
		Workspace:       call.Workspace,
		Stage:           call.Stage,
		IdempotencyKey:  call.IdempotencyKey,
		Fence:           call.Fence,
		Priority:        call.Priority.String(),
		RemainingMillis: c.remainingMillis(call.Deadline),
		Token:           c.token(upstream.Service()),
		Input:           call.Input,
	}
}

// transportError returns the context's cause if ctx has ended, and otherwise
// ErrUnavailable with the text of err.
func transportError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return merry.Wrap(cause)
	}
	return merry.Prepend(server.ErrUnavailable, err.Error())
}

// readAnswer reads a response. The error is ErrMismatch if the response is
// incomplete or belongs to another call.
func readAnswer(ctx context.Context, response *http.Response, call server.Call) (server.Answer, error) {
	if err := statusError(response); err != nil {
		return server.Answer{}, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return server.Answer{}, connectionLost(ctx, transportError(ctx, err))
	}
	var message messenger.RunAnswer
	if err := json.Unmarshal(body, &message); err != nil {
		return server.Answer{}, merry.Prepend(server.ErrMismatch, err.Error())
	}
	if err := checkAnswer(message, call); err != nil {
		return server.Answer{}, err
	}
	cost := server.Cost{Calls: 1, BusyTime: time.Duration(message.BusyMicros) * time.Microsecond}
	return server.Answer{Output: message.Output, Cost: cost}, nil
}

// checkAnswer returns ErrMismatch unless a response is complete and belongs to the call.
func checkAnswer(message messenger.RunAnswer, call server.Call) error {
	switch {
	case message.AttemptID != call.AttemptID.String():
		return merry.Prepend(server.ErrMismatch, "response belongs to another attempt")
	case message.Workspace != call.Workspace:
		return merry.Prepend(server.ErrMismatch, "response belongs to another workspace")
	case message.OutputLength != len(message.Output):
		return merry.Prependf(server.ErrMismatch, "output has %d bytes, but the response states %d", len(message.Output), message.OutputLength)
	case !message.IsComplete:
		return merry.Prepend(server.ErrMismatch, "response has no end mark")
	}
	return nil
}

// readStatus reads the recorded response of an order. It does not check the attempt,
// since any attempt may have run the order.
func readStatus(response *http.Response, workspace string) (server.Answer, error) {
	if err := statusError(response); err != nil {
		return server.Answer{}, err
	}
	var message messenger.RunAnswer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&message); err != nil {
		return server.Answer{}, merry.Prepend(server.ErrMismatch, err.Error())
	}
	if message.Workspace != workspace || message.OutputLength != len(message.Output) || !message.IsComplete {
		return server.Answer{}, merry.Prepend(server.ErrMismatch, "status response is incomplete or belongs to another workspace")
	}
	return server.Answer{Output: message.Output, Cost: server.Cost{Calls: 1}}, nil
}
