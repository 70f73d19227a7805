package server

import (
	"context"
	"encoding/json"
	"math/bits"
	"math/rand/v2"
	"time"

	"oriolemill.example/oriolemill/pkg/parser"
)

// Request is a caller's request whose credentials have been verified.
type Request struct {
	// ID identifies the request in responses, logs and upstream calls.
	ID ID
	// Workspace is the workspace that the request belongs to.
	Workspace string
	// Kind is the contract's section for the kind of the request.
	Kind *parser.Kind
	// Contract is the workspace's contract.
	Contract *parser.Contract
	// Priority is the priority of the kind.
	Priority Priority
	// ArrivalTime is when the request was received, with a monotonic clock reading.
	ArrivalTime time.Time
	// Deadline is the earlier one of the contract's and the caller's deadline.
	Deadline time.Time
	// Input is the caller's input as JSON.
	Input json.RawMessage
	// IdempotencyKey is the caller's idempotency key, or "".
	IdempotencyKey string
	// Traceparent is the caller's W3C traceparent, or "".
	Traceparent string
	// MaxTokens is the maximum number of tokens to generate; zero if neither the
	// contract nor the caller sets one, so that the runner decides.
	MaxTokens int
}

// inputBytesPerToken is the number of input bytes that add as much to the size of
// a request as one generated token.
const inputBytesPerToken = 16

// SizeClass returns the size class of the request. It is the binary logarithm of a
// weighted sum of input bytes and tokens, so that requests of one class take
// about the same time.
func (r *Request) SizeClass() int {
	return bits.Len(uint(len(r.Input)/inputBytesPerToken + r.MaxTokens))
}

// PickRequest describes the work that an upstream is picked for.
type PickRequest struct {
	// Stage is the stage's name.
	Stage string
	// Service is the upstream service.
	Service string
	// Workspace is the workspace that the request belongs to.
	Workspace string
	// CacheSalt separates the prompt caches of workspaces.
	CacheSalt string
	// Prompt is the text of which a prefix may be cached; engines only.
	Prompt string
	// BlockHashes are the chained hashes of the complete blocks of Prompt; engines only.
	BlockHashes []uint64
	// Content is what calls with this input are recognized by if they crash upstreams.
	Content RequestContent
	// Model is the model or adapter that the engine must have loaded; may be empty.
	Model string
	// Version is the software version that the replica must have, unless it is nil: that of
	// the replica that generated the tokens to go on from.
	Version *string
	// ExpectedTokens is the estimated number of tokens to generate.
	ExpectedTokens int
	// AttemptedUpstreams holds the IDs of the upstreams that already received an attempt of
	// this stage.
	AttemptedUpstreams []string
	// Deadline is when the stage must be complete.
	Deadline time.Time
}

// Picker chooses the replica for an attempt.
type Picker interface {
	// Pick returns nil if no replica is eligible.
	Pick(snapshot *Snapshot, request *PickRequest, now time.Time, random *rand.Rand) *Upstream
}

// Observation is the measured result of an attempt.
type Observation struct {
	// Stage is the stage's name.
	Stage string
	// Service and Upstream identify where the attempt ran.
	Service  string
	Upstream string
	// InputBytes is the length of the input in bytes.
	InputBytes int
	// SizeClass is the size class of the request.
	SizeClass int
	// Duration is the time from sending the attempt until the complete response or the
	// error.
	Duration time.Duration
	// FirstTokenDelay is the time to the first token; zero if there was none.
	FirstTokenDelay time.Duration
	// Tokens is the number of tokens generated.
	Tokens int
	// OK reports whether a complete response was received.
	OK bool
	// Err is the cause if OK is false. It is ErrAttemptAbandoned if the attempt was
	// abandoned, because another one finished first or because it took too long.
	Err error
	// EndTime is when the attempt ended.
	EndTime time.Time
}

// Observer records the results of attempts.
type Observer interface {
	// Observe records the result of an attempt. It never blocks.
	Observe(Observation)
}

// Grant is the permission to run an admitted request.
type Grant interface {
	// AcquireStage waits for a slot for stage i and holds it until release is called.
	// Waiting stages are ordered by priority, fair share and deadline. It returns
	// ErrDeadline if the remaining stages can no longer finish before the
	// deadline, or the context's error.
	AcquireStage(ctx context.Context, i int) (release func(), err error)
	// StageDeadline returns the latest time at which stage i must be complete for the
	// later stages to meet the deadline.
	StageDeadline(i int, now time.Time) time.Time
	// Close releases the capacity that the request holds.
	Close()
}

// Admitter decides which requests may run, and in what order.
type Admitter interface {
	// Admit immediately rejects a request that cannot finish before its deadline.
	// The error is a *Fault with OutcomeNotRun and a RetryAfter, caused by ErrDeadline
	// or ErrOverload.
	Admit(ctx context.Context, snapshot *Snapshot, request *Request) (Grant, error)
}

// Limiter enforces the limits of contracts across all instances.
type Limiter interface {
	// Acquire counts a request towards the limits that apply to it. If a limit is
	// reached, it returns a *Fault with OutcomeNotRun and a RetryAfter, caused by
	// ErrLimited. Otherwise release must be called exactly once, with the cost of the
	// request by stage.
	Acquire(snapshot *Snapshot, request *Request) (release func(cost map[string]Cost), err error)
}

// AttemptHistory describes the attempts made so far for one stage of a request.
type AttemptHistory struct {
	// Service is the upstream service.
	Service string
	// Count is the number of attempts made.
	Count int
	// SendState states whether the upstream may have received the last attempt.
	SendState SendState
	// IsRepeatable reports whether the stage may safely run more than once.
	IsRepeatable bool
	// LastErr is the error of the last attempt.
	LastErr error
	// Deadline is when the stage must be complete.
	Deadline time.Time
}

// Retrier decides whether and when another attempt is made.
type Retrier interface {
	// Retry returns the delay before the next attempt; ok is false if there must
	// be none.
	Retry(history *AttemptHistory, now time.Time, random *rand.Rand) (delay time.Duration, ok bool)
	// Hedge returns the delay after which a second attempt is sent while the first
	// is still running; ok is false if there must be none.
	Hedge(stage, service string, sizeClass int, now time.Time) (delay time.Duration, ok bool)
	// AcquireRetry takes one attempt from the retry budget of the service, for a hedge
	// or for moving a slow stream to another engine, and reports whether the
	// budget allowed it.
	AcquireRetry(service string, now time.Time) bool
}

// Orderer runs requests with side effects at most once.
type Orderer interface {
	// Order claims the order, sends it and records the result. The error is a
	// *Fault whose outcome is OutcomeNotRun only if it is proven that the order
	// did not run.
	Order(ctx context.Context, snapshot *Snapshot, request *Request) (Answer, error)
	// OrderState returns the recorded state of an order, or ErrNotFound.
	OrderState(ctx context.Context, workspace, key string) (OrderState, error)
}

// OrderState is the state of an order as its caller may see it.
type OrderState struct {
	// Key is the caller's idempotency key.
	Key string `json:"key"`
	// State is claimed, done, not-run or unknown.
	State string `json:"state"`
	// RequestID is the ID of the request that claimed the order.
	RequestID string `json:"request"`
	// Output is the result of the service if the state is done.
	Output json.RawMessage `json:"output,omitempty"`
	// RecordedAt is the time at which the state was recorded.
	RecordedAt time.Time `json:"at"`
}
