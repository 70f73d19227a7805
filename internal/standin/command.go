package standin

import (
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/messenger"
)

// Actions and roles of engine commands.
const (
	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "role"
	roleBoth     = "both"
)

// Commands returns the commands that the engine executed, in order.
func (e *Engine) Commands() []messenger.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.commands)
}

// handleCommand executes one command. It rejects old fencing numbers and invalid
// tokens where the engine checks them.
func (e *Engine) handleCommand(w http.ResponseWriter, r *http.Request) {
	var command messenger.Command
	if !readJSON(w, r, &command) {
		return
	}
	if e.checkToken.rejectIfInvalid(w, command.Token) {
		return
	}
	if !e.acceptFence(command.Fence) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if command.Action == actionLoad && !e.isLoaded(command.Model) {
		if err := e.fetchWeights(r.Context(), command.Model); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	if !e.execute(command) {
		http.Error(w, "unknown action", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// acceptFence records the highest fencing number received. It reports false for a
// lower number when the engine checks fences.
func (e *Engine) acceptFence(fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFence && fence < e.highestFence {
		return false
	}
	e.highestFence = max(e.highestFence, fence)
	return true
}

// execute applies a command and records it; false means an unknown action.
func (e *Engine) execute(command messenger.Command) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch command.Action {
	case actionLoad:
		if !slices.Contains(e.models, command.Model) {
			e.models = append(e.models, command.Model)
		}
	case actionUnload:
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == command.Model })
	case actionRole:
		e.role = command.Role
	default:
		return false
	}
	e.commands = append(e.commands, command)
	return true
}

// fetchWeights downloads a model's weights from the weight store. It does nothing
// when the engine has no weight store.
func (e *Engine) fetchWeights(ctx context.Context, model string) error {
	if e.weightStore == "" {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.weightStore+messenger.PathWeights+model, nil)
	if err != nil {
		return merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Prepend(err, "fetching the weights")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return merry.Errorf("fetching the weights: status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return merry.Prepend(err, "fetching the weights")
}

// exportBlocks returns the cached leading blocks of a prompt; without a prompt it
// returns the most recently used blocks.
func (e *Engine) exportBlocks(request messenger.CacheRequest) []uint64 {
	if request.Prompt == "" {
		return e.cache.recentBlocks(request.MaxBlocks)
	}
	return e.cache.cachedPrefix(messenger.AppendBlockHashes(nil, request.CacheSalt, request.Prompt))
}

// handleCache exports or imports cached blocks.
func (e *Engine) handleCache(w http.ResponseWriter, r *http.Request) {
	var request messenger.CacheRequest
	if !readJSON(w, r, &request) {
		return
	}
	switch request.Action {
	case "export":
		writeJSON(w, http.StatusOK, messenger.CacheAnswer{BlockHashes: e.exportBlocks(request)})
	case "import":
		e.cache.lookupAndStore(request.BlockHashes)
		writeJSON(w, http.StatusOK, messenger.CacheAnswer{ImportedBlocks: len(request.BlockHashes)})
	default:
		http.Error(w, "unknown action", http.StatusBadRequest)
	}
}
