package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
)

// maxLineBytes bounds a line of an engine's stream.
const maxLineBytes = 64 << 10

// Generate implements server.Engine. call.Input is the prompt as a JSON string.
func (c *Caller) Generate(ctx context.Context, upstream *server.Upstream, call server.Call, handleToken server.TokenHandler) (server.Answer, error) {
	var prompt string
	if err := json.Unmarshal(call.Input, &prompt); err != nil {
		return server.Answer{}, server.NewFault(call.Stage, "", merry.Prepend(server.ErrInvalid, err.Error()))
	}
	check := &sendCheck{check: call.BeforeSend}
	response, err := c.post(withSendCheck(ctx, check), upstream, messenger.PathGenerate, call.Traceparent, c.generateRequest(call, prompt))
	if err != nil {
		return server.Answer{}, server.NewFault(call.Stage, upstream.ID(), check.responseError(ctx, err))
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response); err != nil {
		return server.Answer{}, server.NewFault(call.Stage, upstream.ID(), err)
	}
	reader := newChunkReader(call)
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	for scanner.Scan() {
		done, err := reader.readLine(scanner.Bytes(), handleToken)
		if err != nil {
			return reader.answer(), server.NewFault(call.Stage, upstream.ID(), err)
		}
		if done {
			return reader.answer(), nil
		}
	}
	if err := scanner.Err(); err != nil {
		return reader.answer(), server.NewFault(call.Stage, upstream.ID(), connectionLost(ctx, transportError(ctx, err)))
	}
	err = merry.Prepend(server.ErrMismatch, "stream ended without an end mark")
	return reader.answer(), server.NewFault(call.Stage, upstream.ID(), connectionLost(ctx, err))
}

// connectionLost adds server.ErrConnectionLost to the error of a call, unless this side has
// ended the call.
func connectionLost(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}
	return errors.Join(err, server.ErrConnectionLost)
}

// generateRequest returns the message of a call to an engine.
func (c *Caller) generateRequest(call server.Call, prompt string) messenger.GenerateRequest {
	return messenger.GenerateRequest{
		AttemptID:       call.AttemptID.String(),
		Workspace:       call.Workspace,
		CacheSalt:       call.CacheSalt,
		Priority:        call.Priority.String(),
		RemainingMillis: c.remainingMillis(call.Deadline),
		Model:           call.Model,
		Prompt:          prompt,
		MaxTokens:       call.MaxTokens,
		ResumePrefix:    call.ResumePrefix,
	}
}

// chunkReader validates the lines of a stream and accumulates its text.
type chunkReader struct {
	attemptID string
	workspace string
	// nextOffset is the expected offset of the next token, maxTokens the number of tokens
	// that were asked for; zero means no bound.
	nextOffset, maxTokens int
	text                  strings.Builder
	cost                  server.Cost
}

// newChunkReader returns a reader of the stream that continues after the call's
// prefix.
func newChunkReader(call server.Call) *chunkReader {
	r := &chunkReader{
		attemptID:  call.AttemptID.String(),
		workspace:  call.Workspace,
		nextOffset: len(call.ResumePrefix),
		maxTokens:  call.MaxTokens,
		cost:       server.Cost{Calls: 1},
	}
	for _, token := range call.ResumePrefix {
		r.text.WriteString(token)
	}
	return r
}

// readLine processes one line. done reports that it was a valid end mark.
func (r *chunkReader) readLine(line []byte, handleToken server.TokenHandler) (done bool, err error) {
	var chunk messenger.Chunk
	if err := json.Unmarshal(line, &chunk); err != nil {
		return false, merry.Prepend(server.ErrMismatch, err.Error())
	}
	if chunk.AttemptID != r.attemptID || chunk.Workspace != r.workspace {
		return false, merry.Prepend(server.ErrMismatch, "line belongs to another attempt or workspace")
	}
	if chunk.Error != "" {
		return false, merry.Prepend(server.ErrUnavailable, chunk.Error)
	}
	if chunk.IsLast {
		return r.readEnd(chunk)
	}
	if chunk.Offset != r.nextOffset {
		return false, merry.Prependf(server.ErrMismatch, "received token offset %d, expected %d", chunk.Offset, r.nextOffset)
	}
	if r.maxTokens > 0 && chunk.Offset >= r.maxTokens {
		return false, merry.Prependf(server.ErrMismatch, "received more than the %d tokens asked for", r.maxTokens)
	}
	r.nextOffset++
	r.cost.DecodeTokens++
	r.text.WriteString(chunk.Text)
	return false, handleToken(server.Token{Offset: chunk.Offset, Text: chunk.Text})
}

// readEnd processes an end mark. The error is ErrMismatch if tokens are missing.
func (r *chunkReader) readEnd(chunk messenger.Chunk) (bool, error) {
	if chunk.TotalTokens != r.nextOffset {
		return false, merry.Prependf(server.ErrMismatch, "received %d tokens, but the end mark states %d", r.nextOffset, chunk.TotalTokens)
	}
	r.cost.PrefillTokens = chunk.PrefillTokens
	r.cost.BusyTime = time.Duration(chunk.BusyMicros) * time.Microsecond
	return true, nil
}

// answer returns what has been read so far.
func (r *chunkReader) answer() server.Answer {
	// Marshalling a string never fails.
	output, _ := json.Marshal(r.text.String())
	return server.Answer{Output: output, Cost: r.cost, TotalTokens: r.nextOffset}
}
