package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// Event types of a stream.
const (
	eventToken = "token"
	eventEnd   = "end"
	eventError = "error"
)

// Stream sends a request to a pipeline and calls handleToken for each token, in
// order, as it is received. The returned answer is the end event of the stream; its
// total equals the number of tokens handled.
//
// The error is a *Problem, ErrIncompleteStream, ErrStreamGap, the error of handleToken or
// one of the connection. Tokens handled before an error are valid, but the answer is
// incomplete.
func (c *Client) Stream(ctx context.Context, request Request, handleToken func(Token) error) (*Answer, error) {
	response, err := c.postRequest(ctx, request, "text/event-stream")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, readProblem(response)
	}
	reader, err := newEventReader(response.Header.Get("Content-Type"), response.Body)
	if err != nil {
		return nil, err
	}
	s := &streamChecker{handleToken: handleToken}
	err = reader.ForEach(ctx, s.checkEvent)
	switch {
	case s.problem != nil:
		return nil, s.problem
	case err != nil:
		return nil, merry.Wrap(err)
	case s.end == nil:
		return nil, merry.Prependf(ErrIncompleteStream, "no end event after %d tokens", s.nextOffset)
	default:
		return s.end, nil
	}
}

// newEventReader returns a reader of server-sent events over a response body.
func newEventReader(contentType string, body io.Reader) (*sse.Reader, error) {
	message := &protocol.Response{}
	message.Header.SetContentType(contentType)
	message.SetBodyStream(body, -1)
	reader, err := sse.NewReader(message)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	reader.SetMaxBufferSize(maxEventBytes)
	return reader, nil
}

// streamChecker checks the events of a stream and keeps its end or problem.
type streamChecker struct {
	handleToken func(Token) error
	nextOffset  int
	end         *Answer
	problem     *Problem
}

// checkEvent checks one event, which must not follow the end event or an error
// event. Events of unknown types are ignored.
func (s *streamChecker) checkEvent(event *sse.Event) error {
	if s.end != nil || s.problem != nil {
		return merry.Prependf(ErrIncompleteStream, "%s event after the end or error event", event.Type)
	}
	switch event.Type {
	case eventToken:
		return s.checkToken(event.Data)
	case eventEnd:
		return s.checkEnd(event.Data)
	case eventError:
		s.problem = &Problem{}
		return merry.Wrap(json.Unmarshal(event.Data, s.problem))
	default:
		return nil
	}
}

// checkToken passes a token with the expected offset to handleToken.
func (s *streamChecker) checkToken(data []byte) error {
	var token Token
	if err := json.Unmarshal(data, &token); err != nil {
		return merry.Prepend(err, eventToken)
	}
	if token.Offset != s.nextOffset {
		return merry.Prependf(ErrStreamGap, "got offset %d, expected %d", token.Offset, s.nextOffset)
	}
	s.nextOffset++
	return s.handleToken(token)
}

// checkEnd checks that the total of the end event equals the number of tokens.
func (s *streamChecker) checkEnd(data []byte) error {
	end := &Answer{}
	if err := json.Unmarshal(data, end); err != nil {
		return merry.Prepend(err, eventEnd)
	}
	if end.TotalTokens != s.nextOffset {
		return merry.Prependf(ErrIncompleteStream, "end event reports %d tokens, received %d", end.TotalTokens, s.nextOffset)
	}
	s.end = end
	return nil
}
