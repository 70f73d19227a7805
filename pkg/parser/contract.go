package parser

import (
	"time"
)

// Contract holds the terms agreed with one workspace: its limits, its API keys
// and its kinds of requests. It is immutable and safe for concurrent use.
type Contract struct {
	workspace      string
	rate           float64
	concurrency    int
	share          float64
	orderRetention time.Duration
	keyHashes      []string
	kinds          map[string]*Kind
	raw            *rawContract
	file           string
	positions      map[string]position
}

// Workspace returns the name of the workspace.
func (c *Contract) Workspace() string { return c.workspace }

// RateLimit returns the limit of requests per second over all kinds; zero means no
// limit.
func (c *Contract) RateLimit() float64 { return c.rate }

// ConcurrencyLimit returns the limit of requests in progress over all kinds; zero
// means no limit.
func (c *Contract) ConcurrencyLimit() int { return c.concurrency }

// Share returns the weight of the workspace among others when capacity is
// short; it is above zero.
func (c *Contract) Share() float64 { return c.share }

// OrderRetention returns how long records of orders are retained.
func (c *Contract) OrderRetention() time.Duration { return c.orderRetention }

// KeyHashes returns the hexadecimal SHA-256 hashes of the API keys.
func (c *Contract) KeyHashes() []string { return c.keyHashes }

// Kind returns the terms of a kind, or nil if the contract does not have it.
func (c *Contract) Kind(name string) *Kind { return c.kinds[name] }

// KindNames returns the names of all kinds in alphabetical order.
func (c *Contract) KindNames() []string { return sortedKeys(c.kinds) }

// Kind holds the terms of a contract for one kind of request.
type Kind struct {
	name           string
	pipeline       string
	service        string
	operation      string
	deadline       time.Duration
	weight         float64
	priority       string
	rate           float64
	concurrency    int
	hasSideEffects bool
	maxTokens      int
	model          string
	dailyBudget    map[string]float64
}

// Name returns the name of the kind.
func (k *Kind) Name() string { return k.name }

// Pipeline returns the pipeline that serves the kind, or "" if a plain service
// does.
func (k *Kind) Pipeline() string { return k.pipeline }

// Service returns the plain service that serves the kind, or "" if a pipeline
// does.
func (k *Kind) Service() string { return k.service }

// Operation returns the operation of the plain service, or "" if a pipeline
// serves the kind.
func (k *Kind) Operation() string { return k.operation }

// Deadline returns the time from the arrival of a request within which its
// response must be complete.
func (k *Kind) Deadline() time.Duration { return k.deadline }

// Weight returns the weight of one request in the attainment score.
func (k *Kind) Weight() float64 { return k.weight }

// Priority returns "urgent", "normal" or "patient".
func (k *Kind) Priority() string { return k.priority }

// RateLimit returns the limit of requests per second; zero means that only the limit
// of the contract applies.
func (k *Kind) RateLimit() float64 { return k.rate }

// ConcurrencyLimit returns the limit of requests in progress; zero means that only
// the limit of the contract applies.
func (k *Kind) ConcurrencyLimit() int { return k.concurrency }

// HasSideEffects reports whether a request has side effects.
func (k *Kind) HasSideEffects() bool { return k.hasSideEffects }

// MaxTokens returns the maximum number of tokens to generate.
func (k *Kind) MaxTokens() int { return k.maxTokens }

// Model returns the model or adapter of the generate stage, or "" if the kind
// names none.
func (k *Kind) Model() string { return k.model }

// DailyBudget returns the cost allowed per day, by stage, in seconds of upstream time.
func (k *Kind) DailyBudget() map[string]float64 { return k.dailyBudget }
