package server

import (
	"context"
	"time"
)

// Kind states how often a relayed request may run.
type Kind uint8

// The kinds of relayed requests.
const (
	// KindOnce runs at most once per attempt of the client.
	KindOnce Kind = iota
	// KindRepeatable may run more than once.
	KindRepeatable
	// KindStream has a stream of events as its response. It runs at most once
	// unless its route is resumable.
	KindStream
)

// Plan is one version of the routes, services and workspaces of the relay.
type Plan struct {
	Version    uint64
	Routes     []Route
	Backends   map[string]Backend
	Workspaces []Workspace
	Limits     Limits
}

// Route states how requests for one host and path prefix are relayed.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Shares are the services that receive the route's requests, with weights.
	Shares []Share
	Kind   Kind
	// Timeout is the maximum time that a request waits for its response.
	Timeout time.Duration
	// Goal is the target latency of the response, or of the first event of a stream.
	Goal time.Duration
	// Gap is the maximum time between two events of a stream that is on time.
	Gap time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of replicas that a request is sent to.
	Attempts  int
	Public    bool
	Sticky    bool
	Resumable bool
	Stages    []StageSpec
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// Share is one service of a route with its weight.
type Share struct {
	Service string
	Weight  int
}

// StageSpec is one stage of a route.
type StageSpec struct {
	Service string
	// After holds the indices of the stages whose results this stage needs.
	After []int
	// Bytes is the approximate size of a result in bytes.
	Bytes int64
}

// Backend is a service that receives requests or stage calls.
type Backend struct {
	Name string
	// Connections is the maximum number of connections to one replica, summed
	// over all callers.
	Connections int
	// Batch is set for services that compute pieces of stages.
	Batch *Batch
	// Engine is set for services that run models.
	Engine bool
}

// Batch describes the capacity, speed and memory of one replica of a stage
// service.
type Batch struct {
	// Slots is the maximum number of calls in progress, QueueLength that of calls
	// that wait at the replica.
	Slots, Queue int
	// Size is the maximum number of pieces in a call.
	Size int
	// CallOverhead is the fixed time of a call, TimePerPiece the additional time
	// for each piece.
	Call, Item time.Duration
	// Room is the memory of the replica for results in bytes.
	Room int64
	// Keep is the time after which the replica drops a result that was not released.
	Keep time.Duration
}

// Span returns the expected duration of a call with n pieces.
func (b *Batch) Span(n int) time.Duration { return b.Call + time.Duration(n)*b.Item }

// Workspace is a tenant with its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the route's priority unless it is nil.
	Priority *int
}

// Limits bounds the requests and connections of clients. Zero means that the
// plan sets no limit; the defaults of package fronter then bound the headers and
// the idle time.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout, Idle    time.Duration
}

// Replica is one registered replica of a service.
type Replica struct {
	ID, Service, Address, Datacentre string
	// Born is the start time in Unix milliseconds. It distinguishes incarnations
	// of one ID.
	Born int64
	// Seq is the sequence number of the registration within one incarnation.
	Seq      uint64
	Slots    int
	Draining bool
	// Warm is when the replica reaches its full speed.
	Warm time.Time
}

// Instance is a process of the deployment, as its row in the store describes it.
type Instance struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Datacentre string `json:"datacentre"`
	// Born is the start time in Unix milliseconds.
	Born int64 `json:"born"`
	// Strength is the relative capacity of the instance for work that it does for
	// the whole deployment, in addition to its own requests.
	Strength float64 `json:"strength"`
}

// Traits holds the properties of a request that the client states in headers.
type Traits struct {
	// ID identifies the client's attempt.
	ID string
	// Patience is the client's timeout; zero if it states none.
	Patience time.Duration
	// Key is the API key of the client's workspace.
	Key string
	// Parts are the parts of the prompt that other requests may share, in order.
	Parts []Part
	// PromptTokens is the number of prompt tokens, MaxOutputTokens the maximum
	// number of tokens to generate.
	Prompt, Output int
	// Expected is the client's estimate of the number of tokens to generate; zero
	// if it states none.
	Expected int
	// Pieces holds the number of pieces of each stage, PieceKey their key.
	Pieces   []int
	PieceKey string
	// Resumes is the ID of the last event that the client received, or "".
	Resumes string
}

// Part is a part of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Send holds what an instance states in the headers of a request that it
// forwards.
type Send struct {
	Replica   string
	Workspace string
	// Left is the time until the deadline.
	Left time.Duration
	// Inputs holds the handles of the results that the request needs.
	Inputs []string
	// Urgency is the rank for the engine's queue, starting at 0, or -1 for none.
	Urgency int
	// Resume is the ID of the last event that was forwarded, or "".
	Resume string
}

// Head holds what an upstream states in the status and headers of a response.
type Head struct {
	// ID is the ID of the client's attempt, which the upstream echoes.
	ID string
	// Refused means that the request did not run and will not run.
	Refused bool
	// Misdirected means that the address now belongs to another replica.
	Misdirected bool
	// Stamped means that the response carries the signature of a completed run.
	Stamped bool
	// Idle is the time for which the upstream keeps an idle connection open; zero
	// if unknown.
	Idle time.Duration
	// Running, Waiting and Slots are the load of the replica; they are valid only
	// if HasLoad is set.
	Loaded                  bool
	Running, Waiting, Slots int
}

// Piece is a piece of the work of a stage, as it is sent in a call.
type Piece struct {
	Request      string
	Stage, Piece int
	// Left is the time until the deadline.
	Left time.Duration
	// Key is set for stages that need no results of other stages. Inputs, the
	// handles of those results, is set for all other stages.
	Key    string
	Inputs []string
}

// Failing is the reason why a piece was not computed.
type Failing string

// Reasons why a piece was not computed: its deadline has passed, an input no
// longer exists, the replica has no memory for the result, or another error.
const (
	FailingLate  Failing = "late"
	FailingGone  Failing = "gone"
	FailingRoom  Failing = "room"
	FailingError Failing = "error"
)

// Made is the result of a piece: a handle, or the reason why there is none.
type Made struct {
	Handle  string
	Failing Failing
}

// Header holds the headers of a request or response by canonical name. It has the
// type of http.Header without importing it, since decisions import no transport.
type Header = map[string][]string

// Wire translates between these types and the HTTP messages of clients and
// upstreams.
type Wire interface {
	// Read parses the headers of a client's request.
	Read(header Header) (Traits, error)
	// Outgoing returns the headers of the request to an upstream, from those of the
	// client's request.
	Outgoing(header Header, send Send) Header
	// Head parses the status and headers of an upstream's response.
	Head(status int, header Header) Head
	// Incoming returns the headers of the response to the client, from those of the
	// upstream's response.
	Incoming(header Header) Header
	// CallHeader returns the headers of a call to a replica.
	CallHeader(replica string) Header
	// PiecesCall returns the path and body of a call that computes pieces.
	PiecesCall(pieces []Piece) (path string, body []byte, err error)
	// PiecesAnswer parses the response to a call with n pieces.
	PiecesAnswer(body []byte, n int) ([]Made, error)
	// FreeCall returns the path and body of a call that releases results.
	FreeCall(handles []string) (path string, body []byte, err error)
	// Owner returns the address of the replica that holds a result.
	Owner(handle string) string
}

// Budget limits the retries of all instances together.
type Budget interface {
	// Requested records n first attempts of requests or pieces for a service.
	Requested(service string, n int)
	// Spend takes n retries from the budget of a service. If fewer than n are
	// left, it takes none and returns false.
	Spend(service string, n int) bool
}

// StoredRow is a row of a table of the platform's store.
type StoredRow struct {
	Name  string
	Value []byte
	// Version increases with every change of the store.
	Version uint64
	Removed bool
}

// Feed is the part of the platform's store API that instances use.
//
// Methods return ErrUnavailable. Watch also returns ErrNotFound if the history
// does not reach back to after.
type Feed interface {
	// Load returns all rows of a table and the version of the store that they
	// reflect.
	Load(ctx context.Context, table string) ([]StoredRow, uint64, error)
	// Watch waits up to wait for changes of a table after a version and returns
	// them with the version that they lead to.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]StoredRow, uint64, error)
	// Put writes a row.
	Put(ctx context.Context, table, name string, value []byte) error
	// Drop deletes a row.
	Drop(ctx context.Context, table, name string) error
}

// Decoder parses the values of rows.
type Decoder interface {
	Plan(value []byte) (*Plan, error)
	Replica(id string, value []byte, now time.Time) (Replica, error)
}
