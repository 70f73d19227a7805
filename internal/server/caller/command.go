package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
)

// SendCommand sends a command with a fencing number to an engine. The error is
// ErrConflict if the engine has seen a higher number, and ErrForbidden if it
// rejected the token.
func (c *Caller) SendCommand(ctx context.Context, upstream *server.Upstream, command messenger.Command) error {
	command.Token = c.token(upstream.Service())
	response, err := c.post(ctx, upstream, messenger.PathCommands, "", command)
	if err != nil {
		return server.NewFault(command.Action, upstream.ID(), transportError(ctx, err))
	}
	defer discardBody(response.Body)
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return server.NewFault(command.Action, upstream.ID(), server.ErrConflict)
	case http.StatusForbidden:
		return server.NewFault(command.Action, upstream.ID(), server.ErrForbidden)
	default:
		return server.NewFault(command.Action, upstream.ID(), statusError(response))
	}
}

// CopyCache exports up to limit blocks from the prompt cache of one engine and imports
// them into that of another. It returns how many blocks were imported.
func (c *Caller) CopyCache(ctx context.Context, from, to *server.Upstream, limit int) (int, error) {
	exported, err := c.postCache(ctx, from, messenger.CacheRequest{Action: "export", MaxBlocks: limit})
	if err != nil || len(exported.BlockHashes) == 0 {
		return 0, err
	}
	imported, err := c.postCache(ctx, to, messenger.CacheRequest{Action: "import", BlockHashes: exported.BlockHashes})
	return imported.ImportedBlocks, err
}

// postCache sends a cache request to an engine.
func (c *Caller) postCache(ctx context.Context, upstream *server.Upstream, request messenger.CacheRequest) (messenger.CacheAnswer, error) {
	var answer messenger.CacheAnswer
	response, err := c.post(ctx, upstream, messenger.PathCache, "", request)
	if err != nil {
		return answer, server.NewFault(request.Action, upstream.ID(), transportError(ctx, err))
	}
	defer discardBody(response.Body)
	if err := statusError(response); err != nil {
		return answer, server.NewFault(request.Action, upstream.ID(), err)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&answer); err != nil {
		return answer, server.NewFault(request.Action, upstream.ID(), merry.Prepend(server.ErrMismatch, err.Error()))
	}
	return answer, nil
}
