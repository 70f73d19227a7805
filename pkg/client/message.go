package client

import (
	"encoding/json"
	"net/url"
	"time"
)

// Request is a request of a caller. Either Pipeline, or Service and Operation must
// be set.
type Request struct {
	// Pipeline is the pipeline that serves the kind.
	Pipeline string
	// Service and Operation name the operation of a plain service to call.
	Service   string
	Operation string
	// Kind names a kind of the contract of the workspace.
	Kind string
	// Input is the input; it is encoded as JSON.
	Input any
	// MaxTokens lowers the maximum number of tokens to generate; zero keeps that of the
	// contract.
	MaxTokens int
	// IdempotencyKey is the idempotency key; it is required for requests that must run at
	// most once.
	IdempotencyKey string
	// Deadline is the time within which the answer must be complete; zero keeps that
	// of the contract.
	Deadline time.Duration
	// RequestID is a request ID that the caller chooses; it may be empty.
	RequestID string
}

// path returns the URL path of the pipeline or the operation.
func (r Request) path() string {
	if r.Pipeline != "" {
		return "/v1/pipelines/" + url.PathEscape(r.Pipeline)
	}
	return "/v1/services/" + url.PathEscape(r.Service) + "/" + url.PathEscape(r.Operation)
}

// requestBody is the JSON form of a Request.
type requestBody struct {
	Kind    string         `json:"kind"`
	Input   any            `json:"input"`
	Options requestOptions `json:"options"`
}

type requestOptions struct {
	Tokens int `json:"tokens,omitempty"`
}

// Answer is a complete answer, or the end event of a complete stream.
type Answer struct {
	// RequestID is the ID of the request.
	RequestID string `json:"request"`
	// Outcome is always "done".
	Outcome string `json:"outcome"`
	// Output is the output as JSON; it is absent at the end of a stream.
	Output json.RawMessage `json:"output,omitempty"`
	// TotalTokens is the number of tokens generated.
	TotalTokens int `json:"total,omitempty"`
	// Costs holds the cost of each stage, summed over all attempts.
	Costs map[string]Cost `json:"costs"`
	// StageMillis holds the duration of each stage in milliseconds, from when it was
	// scheduled to its response, with all attempts.
	StageMillis map[string]float64 `json:"times_ms"`
}

// Text returns the output: the value of a JSON string, or any other JSON as it is.
func (a *Answer) Text() string {
	var text string
	if json.Unmarshal(a.Output, &text) == nil {
		return text
	}
	return string(a.Output)
}

// Cost is the cost of one stage.
type Cost struct {
	// Calls is the number of attempts.
	Calls int `json:"calls"`
	// BusyMillis is the processing time that the upstreams reported, in milliseconds.
	BusyMillis float64 `json:"busy_ms"`
	// PrefillTokens is the number of prompt tokens processed.
	PrefillTokens int `json:"prefill_tokens"`
	// DecodeTokens is the number of tokens generated.
	DecodeTokens int `json:"decode_tokens"`
}

// Token is one token of a stream.
type Token struct {
	// Offset is the index of the token in the stream, from 0.
	Offset int `json:"offset"`
	// Text is the token's text.
	Text string `json:"text"`
}

// Order is the state of an order: a request that must run at most once.
type Order struct {
	// Key is the idempotency key.
	Key string `json:"key"`
	// State is "claimed", "done", "not-run" or "unknown".
	State string `json:"state"`
	// RequestID is the ID of the request that claimed the order.
	RequestID string `json:"request"`
	// Output is the recorded output of an order that is done.
	Output json.RawMessage `json:"output,omitempty"`
	// RecordedAt is the time at which the state was recorded.
	RecordedAt time.Time `json:"at"`
}
