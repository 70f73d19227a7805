package server

import (
	"context"
	"time"
)

// Kind says how often a relayed request may run.
type Kind uint8

// The kinds of relayed requests.
const (
	// KindOnce runs at most once for each attempt of the client.
	KindOnce Kind = iota
	// KindRepeatable may run more than once.
	KindRepeatable
	// KindStream is answered by events; it runs at most once unless its route
	// may be resumed.
	KindStream
)

// Plan is one version of the relayed routes, services and workspaces.
type Plan struct {
	Version    uint64
	Routes     []Route
	Backends   map[string]Backend
	Workspaces []Workspace
	Limits     Limits
}

// Route says where requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Shares are the services that take the route's requests, by weight.
	Shares []Share
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Goal is the time to the answer, of streams to the first event.
	Goal time.Duration
	// Gap is the longest pause between events for which a stream is on time.
	Gap time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Attempts bounds the replicas that one request is sent to.
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
	// After are the indices of the stages whose results this one needs.
	After []int
	// Bytes is the approximate size of a result.
	Bytes int64
}

// Backend is a service that requests or stage calls go to.
type Backend struct {
	Name string
	// Connections bounds the connections of all callers to one replica.
	Connections int
	// Batch is set for services that make pieces of stages.
	Batch *Batch
	// Engine reports whether the service runs models.
	Engine bool
}

// Batch says what one replica of a stage service does at a time.
type Batch struct {
	// Slots is the number of calls in progress, Queue of calls that may wait.
	Slots, Queue int
	// Size is the number of pieces in a call.
	Size int
	// Call and Item are the times of a call and of each piece in it.
	Call, Item time.Duration
	// Room is the memory for results in bytes.
	Room int64
	// Keep is how long a result is kept when nobody frees it.
	Keep time.Duration
}

// Span returns the time of a call with n pieces.
func (b *Batch) Span(n int) time.Duration { return b.Call + time.Duration(n)*b.Item }

// Workspace is a holder of API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces the route's; nil keeps it.
	Priority *int
}

// Limits bound what clients may send, and how slowly; zero means no bound.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout, Idle    time.Duration
}

// Replica is one registered replica of a service.
type Replica struct {
	ID, Service, Address, Datacentre string
	// Born tells incarnations of one ID apart: Unix milliseconds of its start.
	Born int64
	// Seq counts what one incarnation wrote of itself.
	Seq      uint64
	Slots    int
	Draining bool
	// Warm is when the replica has its full speed.
	Warm time.Time
}

// Instance is another process of the deployment, as its row says.
type Instance struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Datacentre string `json:"datacentre"`
	// Born is the Unix millisecond of its start.
	Born int64 `json:"born"`
	// Strength says how much work for all it can do beside its own.
	Strength float64 `json:"strength"`
}

// Traits are what a client says of its request.
type Traits struct {
	// ID names the client's attempt.
	ID string
	// Patience is how long the client waits; zero when it does not say.
	Patience time.Duration
	Key      string
	Parts    []Part
	// Prompt and Output are tokens: of the prompt, and the most to generate.
	Prompt, Output int
	// Expected is the client's guess of the tokens to generate; zero if none.
	Expected int
	// Pieces are the numbers of pieces by stage, PieceKey their key.
	Pieces   []int
	PieceKey string
	// Resumes is the last event that the client has, or "".
	Resumes string
}

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Send is what an instance says of a request when it passes it on.
type Send struct {
	Replica   string
	Workspace string
	Left      time.Duration
	// Inputs are the handles of the results that the request needs.
	Inputs []string
	// Urgency is the engine's rank from 0, or -1 to leave it out.
	Urgency int
	// Resume is the last event that was passed on, or "".
	Resume string
}

// Head is what an upstream's answer says of itself.
type Head struct {
	// ID echoes the request's.
	ID string
	// Refused means that the request did not run and never will.
	Refused bool
	// Misdirected means that another replica has the address.
	Misdirected bool
	// Stamped means that the answer carries the signature of a run.
	Stamped bool
	// Idle is how long the upstream keeps an idle connection; zero if unknown.
	Idle time.Duration
	// Running, Waiting and Slots are the replica's load; Loaded tells whether it
	// was told.
	Loaded                  bool
	Running, Waiting, Slots int
}

// Piece is one piece of a stage in a call.
type Piece struct {
	Request      string
	Stage, Piece int
	Left         time.Duration
	// Key is set for stages that need no results, Inputs for all others.
	Key    string
	Inputs []string
}

// Failing says why a piece was not made.
type Failing string

// The reasons for a piece that was not made.
const (
	FailingLate  Failing = "late"
	FailingGone  Failing = "gone"
	FailingRoom  Failing = "room"
	FailingError Failing = "error"
)

// Made is a piece's result: a handle, or why there is none.
type Made struct {
	Handle  string
	Failing Failing
}

// Header holds the headers of a request or answer by canonical name, as
// http.Header does: decisions import no transport.
type Header = map[string][]string

// Wire translates between the HTTP of clients and upstreams and these types.
type Wire interface {
	// Read returns what a client's headers say.
	Read(header Header) (Traits, error)
	// Outgoing returns the headers for an upstream.
	Outgoing(header Header, send Send) Header
	// Head reads an upstream's answer.
	Head(status int, header Header) Head
	// Incoming returns the headers for the client.
	Incoming(header Header) Header
	// CallHeader returns the headers of a call to a replica.
	CallHeader(replica string) Header
	// PiecesCall returns path and body of a call that makes pieces.
	PiecesCall(pieces []Piece) (path string, body []byte, err error)
	// PiecesAnswer reads the answer to a call of n pieces.
	PiecesAnswer(body []byte, n int) ([]Made, error)
	// FreeCall returns path and body of a call that frees results.
	FreeCall(handles []string) (path string, body []byte, err error)
	// Owner returns the address of the replica that keeps a result.
	Owner(handle string) string
}

// Budget bounds what is sent more than once, over all instances.
type Budget interface {
	// Requested counts n requests, or pieces, for a service.
	Requested(service string, n int)
	// Spend takes n repeats, or none and returns false.
	Spend(service string, n int) bool
}

// StoredRow is one row of a table of the platform's store.
type StoredRow struct {
	Name  string
	Value []byte
	// Version rises with every change of the store.
	Version uint64
	Removed bool
}

// Feed is the part of the platform's store that instances follow.
//
// Errors: ErrUnavailable, and ErrNotFound from Watch when the history does not
// reach back to after.
type Feed interface {
	// Load returns all rows of a table and the version they are from.
	Load(ctx context.Context, table string) ([]StoredRow, uint64, error)
	// Watch waits for changes after a version.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]StoredRow, uint64, error)
	// Put writes a row, Drop removes one.
	Put(ctx context.Context, table, name string, value []byte) error
	Drop(ctx context.Context, table, name string) error
}

// Decoder reads the values of rows.
type Decoder interface {
	Plan(value []byte) (*Plan, error)
	Replica(id string, value []byte, now time.Time) (Replica, error)
}
