package server

import (
	"context"
	"encoding/json"
	"time"
)

// Cost is what a stage or a request used at upstreams.
type Cost struct {
	// Calls is the number of attempts that were sent.
	Calls int `json:"calls"`
	// BusyTime is the processing time reported by upstreams.
	BusyTime time.Duration `json:"busy"`
	// PrefillTokens is the number of prompt tokens computed, excluding cached tokens.
	PrefillTokens int `json:"prefill"`
	// DecodeTokens is the number of tokens generated.
	DecodeTokens int `json:"decode"`
}

// Add returns the sum of two costs.
func (c Cost) Add(other Cost) Cost {
	return Cost{
		Calls:         c.Calls + other.Calls,
		BusyTime:      c.BusyTime + other.BusyTime,
		PrefillTokens: c.PrefillTokens + other.PrefillTokens,
		DecodeTokens:  c.DecodeTokens + other.DecodeTokens,
	}
}

// Call is a single attempt of a stage, or one operation of a plain service.
type Call struct {
	// AttemptID is the attempt's ID; the upstream must echo it in its response.
	AttemptID ID
	// Workspace is the workspace of the request; the upstream must echo it in
	// its response.
	Workspace string
	// Stage is the stage's name, or the operation of a plain service.
	Stage string
	// IdempotencyKey is the order's idempotency key; empty for stages.
	IdempotencyKey string
	// Fence is the fencing token of the order's claim; zero for stages.
	Fence uint64
	// Priority is the priority that the contract gives to the request's kind.
	Priority Priority
	// Deadline is the time after which the response is useless.
	Deadline time.Time
	// BeforeSend, if not nil, is called immediately before the first byte is sent. If
	// it returns an error, nothing is sent and the attempt ends with that error.
	BeforeSend func() error
	// CacheSalt separates the prompt caches of workspaces.
	CacheSalt string
	// Input is the stage's input as JSON.
	Input json.RawMessage
	// Model is the model or adapter that the engine must use; may be empty.
	Model string
	// MaxTokens is the maximum number of tokens to generate; engines only.
	MaxTokens int
	// Traceparent is the caller's W3C traceparent, forwarded to the upstream; may be empty.
	Traceparent string
	// ResumePrefix holds the tokens already emitted when a stream is resumed.
	ResumePrefix []string
}

// Answer is the complete and verified response to one attempt.
type Answer struct {
	// Output is the result as JSON; for engines, a JSON string with the full text.
	Output json.RawMessage
	// Cost is the usage reported by the upstream.
	Cost Cost
	// TotalTokens is the number of tokens including the resumed prefix; engines only.
	TotalTokens int
}

// Token is one token of a generated stream.
type Token struct {
	// Offset is the zero-based index of the token in the stream.
	Offset int
	// Text is the token's text.
	Text string
}

// TokenHandler is called with each token of a stream; an error ends the attempt.
type TokenHandler func(Token) error

// Pool runs attempts of stages other than generation, at encoders, retrievers
// and rerankers.
type Pool interface {
	// Run runs one attempt of a stage at the upstream. It returns errors of type *Fault,
	// with the cause ErrMismatch, ErrUnavailable, ErrOverload, ErrLeaving or the context's
	// error.
	Run(ctx context.Context, upstream *Upstream, call Call) (Answer, error)
}

// Engine generates tokens.
type Engine interface {
	// Generate runs one attempt of the generate stage at the upstream. Cancelling ctx also
	// cancels the work at the upstream. Tokens are passed to handleToken in order, without
	// gaps or duplicates, starting at offset len(call.ResumePrefix). On error, the tokens
	// emitted so far remain valid.
	Generate(ctx context.Context, upstream *Upstream, call Call, handleToken TokenHandler) (Answer, error)
}

// Service runs operations of plain services, which may have side effects.
type Service interface {
	// Operate sends the call at most once and never retries. On error, the
	// SendState states whether the upstream may have received any of it.
	Operate(ctx context.Context, upstream *Upstream, call Call) (Answer, SendState, error)
	// OrderStatus returns the result of an order. If fence is above zero, the service
	// first starts to reject lower fencing tokens. It returns ErrNotFound if the
	// order never ran.
	OrderStatus(ctx context.Context, upstream *Upstream, workspace, key string, fence uint64) (Answer, error)
}
