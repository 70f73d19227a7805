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
	// PathEvents returns the CacheEventsAnswer after the sequence number in the query parameter
	// "since" at engines.
	PathEvents = "/v1/events"
	// PathCommands accepts a Command at engines.
	PathCommands = "/v1/commands"
	// PathCache accepts a CacheRequest at engines.
	PathCache = "/v1/cache"
	// PathWeights, followed by the name of a model, returns the model's weights at the
	// weight store.
	PathWeights = "/v1/weights/"
)

// Paths of the platform's HTTP interface.
const (
	// PathCommit accepts a CommitRequest.
	PathCommit = "/v1/commit"
	// PathRows, followed by TABLE, scans a table; followed by TABLE/ROW, it reads a row.
	PathRows = "/v1/rows/"
	// PathObjects, followed by the name of an object, reads or stores the object.
	PathObjects = "/v1/objects/"
	// PathInstances returns an InstancesAnswer.
	PathInstances = "/v1/instances"
)

// RunRequest requests one attempt at a stage from a pool, or one operation from a plain
// service.
type RunRequest struct {
	// AttemptID is the ID of the attempt, which the response repeats.
	AttemptID string `json:"attempt"`
	Workspace string `json:"workspace"`
	// Stage is the name of the stage or of the operation.
	Stage string `json:"stage"`
	// IdempotencyKey is the idempotency key of an order; empty for other requests.
	IdempotencyKey string `json:"key,omitempty"`
	// Fence is the fencing number of an order. A service that checks fencing refuses a
	// number that is lower than one it has accepted for the order.
	Fence    uint64 `json:"fence,omitempty"`
	Priority string `json:"priority"`
	// RemainingMillis is the time until the deadline in milliseconds; zero if there is none.
	RemainingMillis int64 `json:"remaining_ms"`
	// Token authenticates the instance to the upstream; empty if the upstream needs none.
	Token string          `json:"token,omitempty"`
	Input json.RawMessage `json:"input"`
}

// RunAnswer is the response to a RunRequest and to a request for an order's status.
type RunAnswer struct {
	// AttemptID is the ID of the attempt that produced the output.
	AttemptID string `json:"attempt"`
	Workspace string `json:"workspace"`
	// OutputLength is the length of Output in bytes.
	OutputLength int             `json:"length"`
	Output       json.RawMessage `json:"output"`
	// BusyMicros is the duration of the attempt at the upstream, in microseconds.
	BusyMicros int64 `json:"busy_us"`
	// IsComplete is true in every response that was not cut off.
	IsComplete bool `json:"end"`
}

// GenerateRequest requests a stream of tokens from an engine.
type GenerateRequest struct {
	// AttemptID is the ID of the attempt, which each Chunk repeats.
	AttemptID string `json:"attempt"`
	Workspace string `json:"workspace"`
	// CacheSalt keeps the prompt caches of workspaces apart.
	CacheSalt string `json:"salt"`
	Priority  string `json:"priority"`
	// RemainingMillis is the time until the deadline in milliseconds; zero if there is none.
	RemainingMillis int64  `json:"remaining_ms"`
	Model           string `json:"model,omitempty"`
	Prompt          string `json:"prompt"`
	// MaxTokens is the maximum number of tokens, including those of ResumePrefix.
	MaxTokens int `json:"tokens"`
	// ResumePrefix has the tokens that an earlier attempt generated. The engine continues
	// after them.
	ResumePrefix []string `json:"prefix,omitempty"`
}

// Chunk is one line of an engine's stream: a token or, if IsLast is set, the end of the
// stream.
type Chunk struct {
	AttemptID string `json:"attempt"`
	Workspace string `json:"workspace"`
	// Offset is the index of the token in the whole text, including the tokens of the
	// request's ResumePrefix.
	Offset int    `json:"offset"`
	Text   string `json:"text,omitempty"`
	// IsLast marks the last line, which has no token. TotalTokens, PrefillTokens and
	// BusyMicros are set on this line only.
	IsLast bool `json:"end,omitempty"`
	// TotalTokens is the number of tokens of the whole text, including the request's
	// ResumePrefix.
	TotalTokens int `json:"total,omitempty"`
	// PrefillTokens is the number of prompt tokens that the engine computed.
	PrefillTokens int `json:"prefill,omitempty"`
	// BusyMicros is the duration of the attempt at the engine, in microseconds.
	BusyMicros int64 `json:"busy_us,omitempty"`
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
	// PrefillRate and DecodeRate are the engine's rates in tokens a second.
	PrefillRate float64 `json:"prefill_tokens_s,omitempty"`
	DecodeRate  float64 `json:"decode_tokens_s,omitempty"`
	// Models are the loaded models.
	Models []string `json:"models,omitempty"`
	Role   string   `json:"role,omitempty"`
	// RequestsByModel is the number of running and waiting requests by model.
	RequestsByModel map[string]int `json:"shares,omitempty"`
	// Fence is the highest fencing number of a Command that the engine has accepted.
	Fence uint64 `json:"fence,omitempty"`
	// IsLeaving reports whether the upstream is shutting down.
	IsLeaving bool `json:"leaving,omitempty"`
	// AgeMillis is the time since the load was measured, in milliseconds.
	AgeMillis int64 `json:"age_ms,omitempty"`
}

// CacheEvent reports that a block of prompt tokens was stored in an engine's cache or
// evicted from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// BlockHash is the hash of the salt and of all prompt text up to the end of the block;
	// see AppendBlockHashes.
	BlockHash uint64 `json:"block"`
	// IsStored is true if the block was stored and false if it was evicted.
	IsStored bool `json:"stored"`
}

// CacheEventsAnswer is the response with an engine's cache events after a requested sequence
// number.
type CacheEventsAnswer struct {
	// FirstSequence is the lowest sequence number that the engine still has. If it is
	// above the requested number plus one, events in between are lost.
	FirstSequence uint64 `json:"first"`
	// LastSequence is the highest sequence number that the response covers; it equals the
	// requested one if there are no events after it.
	LastSequence uint64       `json:"last"`
	Events       []CacheEvent `json:"events"`
}

// Command instructs an engine to load or unload a model, or to change its role.
type Command struct {
	// Fence is the fencing number of the sender. An engine that checks fencing refuses a
	// number that is lower than one it has accepted.
	Fence uint64 `json:"fence"`
	// Token authenticates the instance to the engine; empty if the engine needs none.
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
	// CacheSalt and Prompt select the blocks to export.
	CacheSalt string `json:"salt,omitempty"`
	Prompt    string `json:"prompt,omitempty"`
	// MaxBlocks is the maximum number of blocks to export without a prompt.
	MaxBlocks int `json:"limit,omitempty"`
	// BlockHashes has the hashes of the blocks to import, in this order.
	BlockHashes []uint64 `json:"blocks,omitempty"`
}

// CacheAnswer is the response to a CacheRequest.
type CacheAnswer struct {
	// BlockHashes has the hashes of the exported blocks.
	BlockHashes []uint64 `json:"blocks,omitempty"`
	// ImportedBlocks is the number of imported blocks.
	ImportedBlocks int `json:"taken,omitempty"`
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
	// ConflictKey is the key of a row that did not have the expected version. If it is
	// set, nothing was written.
	ConflictKey *server.Key `json:"conflict,omitempty"`
}

// RowsAnswer is the response to a scan of a table.
type RowsAnswer struct {
	Rows []server.Row `json:"rows"`
}

// InstancesAnswer is the platform's list of instances and upstream replicas.
type InstancesAnswer struct {
	Listings []server.Listing `json:"instances"`
}
