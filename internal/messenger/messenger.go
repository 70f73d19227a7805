// Package messenger defines the JSON messages that instances exchange with upstreams and
// the platform, and the hashes of cached prompt blocks that upstreams report.
package messenger

import (
	"encoding/json"

	"oriolemill.example/oriolemill/internal/server"
)

// Paths of the HTTP interface of upstreams and of the weight store.
const (
	// PathRun accepts a RunRequest at encoders, retrievers and rerankers.
	PathRun = "/v1/run"
	// PathGenerate accepts a GenerateRequest at engines, which respond with a stream of
	// Chunks, one a line.
	PathGenerate = "/v1/generate"
	// PathOperations, followed by the name of an operation, accepts a RunRequest at plain
	// services.
	PathOperations = "/v1/operations/"
	// PathOrders, followed by WORKSPACE/KEY, returns the status of an order at plain
	// services.
	PathOrders = "/v1/orders/"
	// PathLoad returns a Load.
	PathLoad = "/v1/load"
	// PathEvents returns the Events after the sequence number in the query parameter
	// "since" at engines.
	PathEvents = "/v1/events"
	// PathCommands accepts a Command at engines.
	PathCommands = "/v1/commands"
	// PathCache accepts a CacheRequest at engines.
	PathCache = "/v1/cache"
	// PathWeights is followed by the name of a model at the weight store.
	PathWeights = "/v1/weights/"
)

// Paths of the platform's HTTP interface.
const (
	// PathCommit accepts a CommitRequest.
	PathCommit = "/v1/commit"
	// PathRows is followed by TABLE to scan a table, or by TABLE/ROW to read a row.
	PathRows = "/v1/rows/"
	// PathObjects is followed by the name of an object.
	PathObjects = "/v1/objects/"
	// PathInstances returns the Instances.
	PathInstances = "/v1/instances"
)

// RunRequest requests one attempt at a stage from a pool, or one operation from a plain
// service.
type RunRequest struct {
	// Attempt is the ID of the attempt, which the response repeats.
	Attempt   string `json:"attempt"`
	Workspace string `json:"workspace"`
	// Stage is the name of the stage or of the operation.
	Stage string `json:"stage"`
	// Key is the idempotency key of an order; empty for other requests.
	Key string `json:"key,omitempty"`
	// Fence is the fencing number of an order. A service that checks fencing refuses a
	// number that is lower than one it has accepted for the order.
	Fence    uint64 `json:"fence,omitempty"`
	Priority string `json:"priority"`
	// Remaining is the time until the deadline in milliseconds; zero if there is none.
	Remaining int64 `json:"remaining_ms"`
	// Token authenticates the instance to the upstream; empty if it needs no token.
	Token string          `json:"token,omitempty"`
	Input json.RawMessage `json:"input"`
}

// RunAnswer is the response to a RunRequest and to a request for an order's status.
type RunAnswer struct {
	// Attempt is the ID of the attempt that produced the output.
	Attempt   string `json:"attempt"`
	Workspace string `json:"workspace"`
	// Length is the length of Output in bytes.
	Length int             `json:"length"`
	Output json.RawMessage `json:"output"`
	// Busy is the duration of the attempt at the upstream, in microseconds.
	Busy int64 `json:"busy_us"`
	// End is true in a complete response.
	End bool `json:"end"`
}

// GenerateRequest requests a stream of tokens from an engine.
type GenerateRequest struct {
	// Attempt is the ID of the attempt, which each Chunk repeats.
	Attempt   string `json:"attempt"`
	Workspace string `json:"workspace"`
	// Salt keeps the prompt caches of workspaces apart.
	Salt     string `json:"salt"`
	Priority string `json:"priority"`
	// Remaining is the time until the deadline in milliseconds; zero if there is none.
	Remaining int64  `json:"remaining_ms"`
	Model     string `json:"model,omitempty"`
	Prompt    string `json:"prompt"`
	// Tokens is the maximum number of tokens, including those of Prefix.
	Tokens int `json:"tokens"`
	// Prefix has the tokens that an earlier attempt generated. The engine continues
	// after them.
	Prefix []string `json:"prefix,omitempty"`
}

// Chunk is one line of an engine's stream: a token or, if End is set, the end of the
// stream.
type Chunk struct {
	Attempt   string `json:"attempt"`
	Workspace string `json:"workspace"`
	// Offset is the index of the token in the whole text, including the tokens of the
	// request's Prefix.
	Offset int    `json:"offset"`
	Text   string `json:"text,omitempty"`
	// End marks the last line, which has no token. Total, Prefill and Busy are set on
	// this line only.
	End bool `json:"end,omitempty"`
	// Total is the number of tokens of the whole text, including the request's Prefix.
	Total int `json:"total,omitempty"`
	// Prefill is the number of prompt tokens that the engine computed.
	Prefill int `json:"prefill,omitempty"`
	// Busy is the duration of the attempt at the engine, in microseconds.
	Busy int64 `json:"busy_us,omitempty"`
	// Error, if not empty, says why the engine ended the stream early.
	Error string `json:"error,omitempty"`
}

// Load is an upstream's report of its load.
type Load struct {
	// Running and Waiting are numbers of requests; Slots is how many the upstream can
	// run at a time.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Prefill and Decode are the engine's rates in tokens a second.
	Prefill float64 `json:"prefill_tokens_s,omitempty"`
	Decode  float64 `json:"decode_tokens_s,omitempty"`
	// Models are the loaded models.
	Models []string `json:"models,omitempty"`
	Role   string   `json:"role,omitempty"`
	// Shares is the number of running and waiting requests by model.
	Shares map[string]int `json:"shares,omitempty"`
	// Fence is the highest fencing number of a Command that the engine has accepted.
	Fence uint64 `json:"fence,omitempty"`
	// Leaving reports whether the upstream is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Age is the time since the load was measured, in milliseconds.
	Age int64 `json:"age_ms,omitempty"`
}

// Event reports that a block of prompt tokens was stored in an engine's cache or evicted
// from it.
type Event struct {
	Sequence uint64 `json:"sequence"`
	// Block is the hash of the salt and of all prompt text up to the end of the block;
	// see AppendBlocks.
	Block uint64 `json:"block"`
	// Stored is true if the block was stored and false if it was evicted.
	Stored bool `json:"stored"`
}

// Events is the response with an engine's cache events after a requested sequence
// number.
type Events struct {
	// First is the lowest sequence number that the engine still has. If it is above the
	// requested number plus one, events in between are lost.
	First uint64 `json:"first"`
	// Last is the highest sequence number that the response covers; it equals the
	// requested one if there are no events after it.
	Last   uint64  `json:"last"`
	Events []Event `json:"events"`
}

// Command instructs an engine to load or unload a model, or to change its role.
type Command struct {
	// Fence is the fencing number of the sender. An engine that checks fencing refuses a
	// number that is lower than one it has accepted.
	Fence uint64 `json:"fence"`
	// Token authenticates the instance to the engine; empty if it needs no token.
	Token string `json:"token,omitempty"`
	// Action is "load", "unload" or "role".
	Action string `json:"action"`
	// Model is the model, adapter or version to load or unload.
	Model string `json:"model,omitempty"`
	// Role is "prefill", "decode" or "both".
	Role string `json:"role,omitempty"`
}

// CacheRequest exports or imports cached prompt blocks. An export returns the cached
// blocks of a prompt or, without a prompt, the most recently used blocks.
type CacheRequest struct {
	// Action is "export" or "import".
	Action string `json:"action"`
	// Salt and Prompt select the blocks to export.
	Salt   string `json:"salt,omitempty"`
	Prompt string `json:"prompt,omitempty"`
	// Limit is the maximum number of blocks to export without a prompt.
	Limit int `json:"limit,omitempty"`
	// Blocks has the hashes of the blocks to import, in this order.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// CacheAnswer is the response to a CacheRequest.
type CacheAnswer struct {
	// Blocks has the hashes of the exported blocks.
	Blocks []uint64 `json:"blocks,omitempty"`
	// Taken is the number of imported blocks.
	Taken int `json:"taken,omitempty"`
}

// CommitRequest is one transaction on the platform's table.
type CommitRequest struct {
	Writes []server.Write `json:"writes"`
}

// CommitAnswer is the response to a CommitRequest.
type CommitAnswer struct {
	// Versions are the new versions of the rows, in the order of the writes; zero for a
	// deleted row.
	Versions []uint64 `json:"versions,omitempty"`
	// Conflict is the key of a row whose precondition failed; nothing was written then.
	Conflict *server.Key `json:"conflict,omitempty"`
}

// Rows is the response to a scan of a table.
type Rows struct {
	Rows []server.Row `json:"rows"`
}

// Instances is the platform's list of instances and upstream replicas.
type Instances struct {
	Instances []server.Listing `json:"instances"`
}
