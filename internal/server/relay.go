package server

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RouteKind states how often a relayed request may run.
type RouteKind uint8

// The kinds of relayed requests.
const (
	// RouteKindOnce runs at most once per attempt of the client.
	RouteKindOnce RouteKind = iota
	// RouteKindRepeatable may run more than once.
	RouteKindRepeatable
	// RouteKindStream has a stream of events as its response. It runs at most once
	// unless its route is resumable.
	RouteKindStream
)

// Plan is one version of the routes, services and workspaces of the relay.
type Plan struct {
	Version    uint64
	Routes     []Route
	Backends   map[string]Backend
	Workspaces []Workspace
	// RequiresKeys is set if routes that are not public need the key of a workspace, also if there is no
	// workspace. It need not be set with workspaces.
	RequiresKeys bool
	Limits       Limits
}

// Route states how requests for one host and path prefix are relayed.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets are the services that receive the route's requests, with weights.
	Targets []RouteTarget
	Kind    RouteKind
	// Timeout is the maximum time that a request waits for its response.
	Timeout time.Duration
	// Goal is the target latency of the response, or of the first event of a stream.
	Goal time.Duration
	// EventGap is the maximum time between two events of a stream that is on time.
	EventGap time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of replicas that a request is sent to.
	MaxAttempts int
	// IsPublic is set if requests need no API key.
	IsPublic bool
	// IsSticky is set if requests that share a part of their prompt go to the same replica.
	IsSticky bool
	// IsResumable is set if another replica can continue a stream after its last event.
	IsResumable bool
	// Stages are the stages whose results the request needs.
	Stages []StageSpec
	// AllowedRegions are the regions whose replicas may get the route's requests; empty for all.
	AllowedRegions []string
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == RouteKindRepeatable || r.Kind == RouteKindStream && r.IsResumable
}

// IsPatient reports whether the goal of the route is at least half of its timeout. Its requests can wait, and hardly any
// time is left to a client that repeats a refused one.
func (r *Route) IsPatient() bool {
	return r.Goal > 0 && r.Timeout > 0 && 2*r.Goal >= r.Timeout
}

// StageOrder returns the indices of the stages in an order in which each one follows those that it depends on.
// Stages that depend on each other, or on one that does not exist, are left out.
func (r *Route) StageOrder() []int { return StageOrder(r.Stages) }

// StageOrder returns the indices of stages; see Route.StageOrder.
func StageOrder(stages []StageSpec) []int {
	order := make([]int, 0, len(stages))
	for range stages {
		for i, stage := range stages {
			isReady := !slices.Contains(order, i) && !slices.ContainsFunc(stage.Dependencies, func(dependency int) bool { return !slices.Contains(order, dependency) })
			if isReady {
				order = append(order, i)
			}
		}
	}
	return order
}

// RouteTarget is one service of a route with its weight.
type RouteTarget struct {
	Service string
	Weight  int
}

// StageSpec is one stage of a route.
type StageSpec struct {
	Service string
	// Dependencies holds the indices of the stages whose results this stage needs.
	Dependencies []int
	// ResultBytes is the approximate size of a result in bytes.
	ResultBytes int64
}

// Backend is a service that receives requests or stage calls.
type Backend struct {
	Name string
	// MaxConnections is the maximum number of connections to one replica, summed
	// over all callers.
	MaxConnections int
	// Batch is set for services that compute pieces of stages.
	Batch *Batch
	// IsEngine is set for services that run models.
	IsEngine bool
	// ColdPerSecond is the number of requests a second that a cold replica takes from all instances together; zero
	// if replicas of the service are never cold. ColdTime is how long a replica is cold after its start.
	ColdPerSecond float64
	ColdTime      time.Duration
}

// Batch describes the capacity, speed and memory of one replica of a stage
// service.
type Batch struct {
	// Slots is the maximum number of calls in progress, QueueCapacity that of calls
	// that wait at the replica.
	Slots, QueueCapacity int
	// MaxPieces is the maximum number of pieces in a call.
	MaxPieces int
	// CallOverhead is the fixed time of a call, TimePerPiece the additional time
	// for each piece.
	CallOverhead, TimePerPiece time.Duration
	// ResultMemory is the memory of the replica for results in bytes.
	ResultMemory int64
	// ResultTTL is the time after which the replica drops a result that was not released.
	ResultTTL time.Duration
}

// CallDuration returns the expected duration of a call with n pieces.
func (b *Batch) CallDuration(n int) time.Duration {
	return b.CallOverhead + time.Duration(n)*b.TimePerPiece
}

// Workspace is a tenant with its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the route's priority unless it is nil.
	Priority *int
	// AllowedRegions are the regions whose replicas may get the workspace's requests; empty for all.
	AllowedRegions []string
}

// Limits bounds the requests and connections of clients. Zero means that the
// plan sets no limit; the defaults of package fronter then bound the headers and
// the idle time.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Replica is one registered replica of a service.
type Replica struct {
	ID, Service, Address, Datacentre string
	// Version is that of the replica's software. Replicas of several versions may serve side
	// by side; versions have no order.
	Version string
	// StartMillis is the start time in Unix milliseconds. It distinguishes incarnations
	// of one ID.
	StartMillis int64
	// Sequence is the sequence number of the registration within one incarnation.
	Sequence   uint64
	Slots      int
	IsDraining bool
	// WarmAt is when the replica reaches its full speed. Until then it is cold, and takes ColdPerSecond requests a second
	// from all instances together; zero if cold replicas of its service take as many as others.
	WarmAt        time.Time
	ColdPerSecond float64
	// Region is the region of the data centre; "" if it is unknown.
	Region string
	// HelperRegions are the regions whose instances may pass on a connection for a request, besides this instance's own;
	// empty for all. It is set for one request.
	HelperRegions []string
}

// IsAllowed reports whether requests with a list of allowed regions may reach the replica. An empty list allows all.
func (r *Replica) IsAllowed(regions []string) bool {
	return len(regions) == 0 || r.Region != "" && slices.Contains(regions, r.Region)
}

// IsCold reports whether the replica takes a limited number of requests since it is cold.
func (r *Replica) IsCold(now time.Time) bool { return r.ColdPerSecond > 0 && now.Before(r.WarmAt) }

// Incarnation returns what identifies the replica's present start among all starts.
func (r *Replica) Incarnation() string { return r.ID + "/" + strconv.FormatInt(r.StartMillis, 10) }

// IncarnationReplicaID returns the ID of the replica of an incarnation; see Replica.Incarnation.
func IncarnationReplicaID(incarnation string) string {
	return incarnation[:max(strings.LastIndexByte(incarnation, '/'), 0)]
}

// Instance is a process of the deployment, as its row in the store describes it.
type Instance struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Datacentre string `json:"datacentre"`
	// StartMillis is the start time in Unix milliseconds.
	StartMillis int64 `json:"born"`
	// CapacityWeight is the relative capacity of the instance for work that it does for
	// the whole deployment, in addition to its own requests.
	CapacityWeight float64 `json:"strength"`
}

// RequestInfo holds the properties of a request that the client states in headers.
type RequestInfo struct {
	// ID identifies the client's attempt.
	ID string
	// ClientTimeout is the client's timeout; zero if it states none.
	ClientTimeout time.Duration
	// APIKey is the API key of the client's workspace.
	APIKey string
	// PromptParts are the parts of the prompt that other requests may share, in order.
	PromptParts []PromptPart
	// PromptTokens is the number of prompt tokens, MaxOutputTokens the maximum
	// number of tokens to generate.
	PromptTokens, MaxOutputTokens int
	// ExpectedTokens is the client's estimate of the number of tokens to generate; zero
	// if it states none.
	ExpectedTokens int
	// Pieces holds the number of pieces of each stage, PieceKey their key.
	Pieces   []int
	PieceKey string
	// LastEventID is the ID of the last event that the client received, or "".
	LastEventID string
	// ResumedID is the ID of the client's attempt that brought the first event of the stream
	// that this one resumes, or "".
	ResumedID string
}

// SharedParts returns the IDs of the parts of the prompt that other requests may have too: all
// but the last one, which belongs to the request or its session.
func (i *RequestInfo) SharedParts() []string {
	var ids []string
	for n := range max(len(i.PromptParts)-1, 0) {
		ids = append(ids, i.PromptParts[n].ID)
	}
	return ids
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// ForwardInfo holds what an instance states in the headers of a request that it
// forwards.
type ForwardInfo struct {
	// ReplicaID is the ID of the replica that the request is for.
	ReplicaID string
	Workspace string
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Inputs holds the handles of the results that the request needs.
	Inputs []string
	// EngineRank is the rank for the engine's queue, starting at 0, or -1 for none.
	EngineRank int
	// LastEventID is the ID of the last event that was forwarded, or "".
	LastEventID string
}

// ResponseInfo holds what an upstream states in the status and headers of a response.
type ResponseInfo struct {
	// ID is the ID of the client's attempt, which the upstream echoes.
	ID string
	// IsRefused means that the request did not run and will not run.
	IsRefused bool
	// IsMisdirected means that the address now belongs to another replica, IsFailure that the status is
	// that of an error.
	IsMisdirected, IsFailure bool
	// IsLeaving means that the replica is leaving and wants no further requests.
	IsLeaving bool
	// LimitPerSecond is the number of requests a second that the replica takes from all
	// instances together; it is valid only if HasLimit is set. IsLimitUnknown means that the
	// response states a limit that cannot be read.
	HasLimit, IsLimitUnknown bool
	LimitPerSecond           float64
	// Pause is how long the replica wants no request from this instance; zero if it takes requests.
	Pause time.Duration
	// IsSigned means that the response carries the signature of a completed run.
	IsSigned bool
	// IdleTimeout is the time for which the upstream keeps an idle connection open; zero
	// if unknown.
	IdleTimeout time.Duration
	// Running, Waiting and Slots are the load of the replica; they are valid only
	// if HasLoad is set.
	HasLoad                 bool
	Running, Waiting, Slots int
	// Pace is how long work takes at the replica now, relative to usual; zero if it states none.
	Pace float64
}

// Piece is a piece of the work of a stage, as it is sent in a call.
type Piece struct {
	// RequestID is the ID of the request. Stage is the index of the stage, Piece that of the
	// piece within the stage.
	RequestID    string
	Stage, Piece int
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Key is set for stages that need no results of other stages. Inputs, the
	// handles of those results, is set for all other stages.
	Key    string
	Inputs []string
}

// PieceFailure is the reason why a piece was not computed.
type PieceFailure string

// Reasons why a piece was not computed: its deadline has passed, an input no
// longer exists, the replica has no memory for the result, or another error.
const (
	PieceFailureDeadline  PieceFailure = "late"
	PieceFailureInputLost PieceFailure = "gone"
	PieceFailureMemory    PieceFailure = "room"
	PieceFailureError     PieceFailure = "error"
	// PieceFailureBlocked: pieces of this request crash replicas.
	PieceFailureBlocked PieceFailure = "blocked"
)

// PieceResult is the result of a piece: a handle, or the reason why there is none.
type PieceResult struct {
	Handle  string
	Failure PieceFailure
}

// Header holds the headers of a request or response by canonical name. It has the
// type of http.Header without importing it, since decisions import no transport.
type Header = map[string][]string

// Codec translates between these types and the HTTP messages of clients and
// upstreams.
type Codec interface {
	// ParseRequest parses the headers of a client's request.
	ParseRequest(header Header) (RequestInfo, error)
	// ForwardHeader returns the headers of the request to an upstream, from those of the
	// client's request.
	ForwardHeader(header Header, info ForwardInfo) Header
	// ParseResponse parses the status and headers of an upstream's response.
	ParseResponse(status int, header Header) ResponseInfo
	// ClientHeader returns the headers of the response to the client, from those of the
	// upstream's response.
	ClientHeader(header Header) Header
	// CallHeader returns the headers of a call to a replica.
	CallHeader(replica string) Header
	// EncodePieces returns the path and body of a call that computes pieces.
	EncodePieces(pieces []Piece) (path string, body []byte, err error)
	// DecodePieces parses the response to a call with n pieces.
	DecodePieces(body []byte, n int) ([]PieceResult, error)
	// EncodeRelease returns the path and body of a call that releases results.
	EncodeRelease(handles []string) (path string, body []byte, err error)
	// ReportPath returns the path at which a replica reports of itself.
	ReportPath() string
	// DecodeReport parses such a report and returns the start of the replica in Unix milliseconds; ok is false
	// if it states none.
	DecodeReport(body []byte) (startMillis int64, ok bool)
	// ResultAddress returns the address of the replica that holds a result.
	ResultAddress(handle string) string
}

// RetryBudget limits the retries of all instances together.
type RetryBudget interface {
	// RecordRequests records n first attempts of requests or pieces for a service.
	RecordRequests(service string, n int)
	// AcquireRetries takes n retries from the budget of a service. If fewer than n are
	// left, it takes none and returns false.
	AcquireRetries(service string, n int) bool
}

// StoredRow is a row of a table of the platform's store.
type StoredRow struct {
	Name  string
	Value []byte
	// Version increases with every change of the store, also over restores of the store from
	// an older copy. See JoinVersion.
	Version   uint64
	IsDeleted bool
}

// Store is the part of the platform's store API that instances use.
//
// Versions are those that JoinVersion returns. Methods return ErrUnavailable. Watch also
// returns ErrNotFound if the history does not reach back to after, or the store was
// restored from a copy since; the table must then be loaded again.
type Store interface {
	// Load returns all rows of a table and the version of the store that they
	// reflect.
	Load(ctx context.Context, table string) ([]StoredRow, uint64, error)
	// Watch waits up to wait for changes of a table after a version and returns
	// them with the version that they lead to.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]StoredRow, uint64, error)
	// Put writes a row.
	Put(ctx context.Context, table, name string, value []byte) error
	// Delete deletes a row.
	Delete(ctx context.Context, table, name string) error
}

// RowDecoder parses the values of rows.
type RowDecoder interface {
	// DecodePlan parses the row of the plan. It returns ErrInvalid if the row is malformed.
	DecodePlan(value []byte) (*Plan, error)
	// DecodeReplica parses the row of the replica with an ID, as read at now. It returns
	// ErrInvalid if the row is malformed.
	DecodeReplica(id string, value []byte, now time.Time) (Replica, error)
}
