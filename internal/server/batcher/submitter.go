package batcher

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/router"
)

const (
	// maxOwnerAttempts bounds how often a job is sent to an owner, each time the current
	// owner of its service, before this instance computes the job itself.
	maxOwnerAttempts = 4
	// ownerReleaseDelay is how long released results are collected, to be sent to their
	// owners in one message each.
	ownerReleaseDelay = 15 * time.Millisecond
	// expectBatchDelay is how long forecasts and the pieces of refused requests are
	// collected, to be sent to the owners in one message each.
	expectBatchDelay = 10 * time.Millisecond
	// estimateMaxAge is how old a wait estimate may be when it is used.
	estimateMaxAge = 700 * time.Millisecond
	// unknownEstimateAge is the age that log lines state where no estimate was received yet.
	unknownEstimateAge = time.Hour
	// sendTimeout bounds sending a message that has no response.
	sendTimeout = time.Second
)

// PeerLinks connects this instance to the other ones. It must be safe for concurrent use.
type PeerLinks interface {
	// Self returns this instance.
	Self() server.Instance
	// Owner returns the ID of the instance that owns a service now.
	OwnerID(name string) string
	// Call sends a frame to an instance and returns its response.
	Call(ctx context.Context, id string, frame *encoder.Frame) (*encoder.Frame, error)
	// Send sends a frame that has no response.
	Send(ctx context.Context, id string, frame *encoder.Frame) error
	// HandleLeaving records that an instance is stopping. Owner returns other instances from
	// then on.
	HandleLeaving(id string)
}

// Submitter sends jobs to the owners of their services and computes the jobs of other
// instances for the services that this instance owns. It is safe for concurrent use.
type Submitter struct {
	log   logr.Logger
	timer server.Timer
	links PeerLinks
	owner *Owner
	mu    sync.Mutex
	// pendingReleases are the results to release, by service.
	pendingReleases  map[string][]string
	releaseScheduled bool
	// estimates are the last wait estimates received, by service.
	estimates map[string]receivedEstimate
	// pendingExpected are the forecasts and the pieces of refused requests to send.
	pendingExpected []*encoder.StagePieces
	expectScheduled bool
}

// receivedEstimate holds the wait times of a service as its owner sent them. byRank has one
// entry more than there are ranks; see Owner.WaitTimes.
type receivedEstimate struct {
	byRank       []time.Duration
	callDuration time.Duration
	receivedAt   time.Time
}

// NewSubmitter returns a Submitter. owner serves the services that this instance owns; it
// sends the state of its services through the Submitter when it stops.
func NewSubmitter(log logr.Logger, timer server.Timer, links PeerLinks, owner *Owner) *Submitter {
	s := &Submitter{log: log, timer: timer, links: links, owner: owner, pendingReleases: make(map[string][]string), estimates: make(map[string]receivedEstimate)}
	owner.sendState = s.sendState
	return s
}

// sendState sends the state of a service's replicas to the service's next owner.
func (s *Submitter) sendState(state *encoder.ServiceState) {
	owner := s.links.OwnerID(state.GetService())
	if owner == s.links.Self().ID {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := s.links.Send(ctx, owner, &encoder.Frame{Body: &encoder.Frame_ServiceState{ServiceState: state}}); err != nil {
		s.log.Info("transfer of the stage service failed; its next owner relies on refusals by the replicas", "service", state.GetService(), "owner", owner, "cause", err.Error())
	}
}

// Compute has a job computed by the owner of its service and returns the result. After
// maxOwnerAttempts this instance computes it itself. The error is the cause of ctx if
// ctx ended.
func (s *Submitter) Compute(ctx context.Context, job *Job) (Result, error) {
	for range maxOwnerAttempts {
		owner := s.links.OwnerID(job.Service)
		result, err := s.submit(ctx, owner, job)
		if ctx.Err() != nil || err == nil && result.Failure != PieceFailureMoved {
			return result, err
		}
		cause := "owner is stopping"
		if err != nil {
			cause = err.Error()
		} else if owner != s.links.Self().ID {
			s.links.HandleLeaving(owner)
		}
		s.log.Info("owner of the stage service is unavailable; trying the next one", "request", job.RequestID, "service", job.Service, "owner", owner, "cause", cause)
	}
	s.log.Info("no owner of the stage service responded; computing the job on this instance", "request", job.RequestID, "service", job.Service)
	return s.submitLocally(ctx, job)
}

// submit has a job computed by an owner, this instance or another one.
func (s *Submitter) submit(ctx context.Context, owner string, job *Job) (Result, error) {
	if owner == s.links.Self().ID {
		return s.submitLocally(ctx, job)
	}
	return s.submitRemotely(ctx, owner, job)
}

// submitLocally has a job computed by this instance. The job is cancelled when ctx ends.
func (s *Submitter) submitLocally(ctx context.Context, job *Job) (Result, error) {
	done := make(chan Result, 1)
	s.owner.Submit(job, func(r Result) { done <- r })
	s.refreshOwnEstimate(job.Service)
	select {
	case result := <-done:
		return result, nil
	case <-ctx.Done():
		s.owner.CancelJobs(job.Service, job.RequestID)
		s.releaseUnclaimed(job.Service, done)
		return Result{}, context.Cause(ctx)
	}
}

// releaseUnclaimed releases the results of a job that was completed while it was being
// cancelled.
func (s *Submitter) releaseUnclaimed(service string, done <-chan Result) {
	select {
	case result := <-done:
		s.Release(service, result.Handles)
	default:
	}
}

// submitRemotely has a job computed by another instance and stores the wait times in the
// response. The job is cancelled when ctx ends.
func (s *Submitter) submitRemotely(ctx context.Context, owner string, job *Job) (Result, error) {
	now := s.timer.Now()
	request := &encoder.PiecesRequest{
		Service: job.Service, Request: job.RequestID, Stage: uint32(job.Stage), Key: job.Key, Inputs: job.Inputs,
		Datacentre: job.Datacentre, Regions: job.Regions, ResultBytes: uint64(job.ResultBytes), Rank: uint32(job.Rank), Content: job.Content,
		Workspace: job.Workspace, IsReturning: job.IsReturning,
		UntilSoftDeadlineMs: job.SoftDeadline.Sub(now).Milliseconds(), UntilHardDeadlineMs: job.HardDeadline.Sub(now).Milliseconds(),
	}
	for _, piece := range job.Pieces {
		request.Pieces = append(request.Pieces, uint32(piece))
	}
	frame, err := s.links.Call(ctx, owner, &encoder.Frame{Body: &encoder.Frame_PiecesRequest{PiecesRequest: request}})
	if err != nil {
		if ctx.Err() != nil {
			s.cancelRemote(owner, job)
			return Result{}, context.Cause(ctx)
		}
		return Result{}, err
	}
	response := frame.GetPiecesResponse()
	byRank := make([]time.Duration, len(response.GetWaitTimesMs()))
	for rank, ms := range response.GetWaitTimesMs() {
		byRank[rank] = time.Duration(ms) * time.Millisecond
	}
	s.storeEstimate(job.Service, byRank, time.Duration(response.GetCallDurationMs())*time.Millisecond)
	return Result{Handles: response.GetHandles(), Failure: server.PieceFailure(response.GetFailure())}, nil
}

// cancelRemote has the owner of a job cancel it.
func (s *Submitter) cancelRemote(owner string, job *Job) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	frame := &encoder.Frame{Body: &encoder.Frame_CancelJobs{CancelJobs: &encoder.CancelJobs{Service: job.Service, Request: job.RequestID}}}
	if err := s.links.Send(ctx, owner, frame); err != nil {
		s.log.Info("cancelling the job failed; its results stay until they expire", "request", job.RequestID, "service", job.Service, "owner", owner, "cause", err.Error())
	}
}

// HandlePiecesRequest computes a job of another instance and returns the response to it,
// with the current wait times of the service. When ctx ends, the link to the sender is closed: no response
// can reach it and it sends the job to the next owner, so the job is cancelled here.
func (s *Submitter) HandlePiecesRequest(ctx context.Context, request *encoder.PiecesRequest) *encoder.Frame {
	now := s.timer.Now()
	job := &Job{
		Service: request.GetService(), RequestID: request.GetRequest(), Stage: int(request.GetStage()), Key: request.GetKey(), Inputs: request.GetInputs(),
		Datacentre: request.GetDatacentre(), Regions: request.GetRegions(), ResultBytes: int64(request.GetResultBytes()), Rank: int(request.GetRank()), Content: request.GetContent(),
		Workspace: request.GetWorkspace(), IsReturning: request.GetIsReturning(),
		SoftDeadline: now.Add(time.Duration(request.GetUntilSoftDeadlineMs()) * time.Millisecond), HardDeadline: now.Add(time.Duration(request.GetUntilHardDeadlineMs()) * time.Millisecond),
	}
	for _, piece := range request.GetPieces() {
		job.Pieces = append(job.Pieces, int(piece))
	}
	done := make(chan Result, 1)
	s.owner.Submit(job, func(r Result) { done <- r })
	response := &encoder.PiecesResponse{}
	select {
	case result := <-done:
		response.Handles, response.Failure = result.Handles, string(result.Failure)
	case <-ctx.Done():
		s.log.Info("job cancelled: the link to its sender is closed", "request", job.RequestID, "service", job.Service, "stage", job.Stage)
		s.owner.CancelJob(job)
		s.releaseUnclaimed(job.Service, done)
		return nil
	}
	byRank, callDuration := s.owner.WaitTimes(job.Service)
	response.CallDurationMs = uint32(callDuration.Milliseconds())
	for _, wait := range byRank {
		response.WaitTimesMs = append(response.WaitTimesMs, uint32(wait.Milliseconds()))
	}
	return &encoder.Frame{Body: &encoder.Frame_PiecesResponse{PiecesResponse: response}}
}

// Release releases results of a service that are no longer needed. It does not wait;
// releases are collected and sent to the owner of the service.
func (s *Submitter) Release(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingReleases[service] = append(s.pendingReleases[service], handles...)
	if !s.releaseScheduled {
		s.releaseScheduled = true
		s.timer.After(ownerReleaseDelay, func(time.Time) { go s.flushReleases() })
	}
}

// flushReleases sends the collected releases. This instance releases the results itself
// if their owner cannot be reached.
func (s *Submitter) flushReleases() {
	s.mu.Lock()
	releases := s.pendingReleases
	s.pendingReleases, s.releaseScheduled = make(map[string][]string), false
	s.mu.Unlock()
	for service, handles := range releases {
		owner := s.links.OwnerID(service)
		if owner == s.links.Self().ID {
			s.owner.Release(service, handles)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		frame := &encoder.Frame{Body: &encoder.Frame_ReleaseResults{ReleaseResults: &encoder.ReleaseResults{Service: service, Handles: handles}}}
		if err := s.links.Send(ctx, owner, frame); err != nil {
			s.owner.Release(service, handles)
		}
		cancel()
	}
}

// Expect announces pieces that will be requested to the owner of their stage service. It
// does not wait.
func (s *Submitter) Expect(service, request string, stage, count, rank int) {
	s.queueExpected(&encoder.StagePieces{
		Service: service, Request: request, Stage: uint32(stage), PieceCount: uint32(count), Rank: uint32(rank),
	})
}

// RecordRefused reports pieces that will not be requested, because their request was
// refused on arrival, to the owner of their stage service. It does not wait.
func (s *Submitter) RecordRefused(service string, count, rank int) {
	s.queueExpected(&encoder.StagePieces{Service: service, PieceCount: uint32(count), Rank: uint32(rank), Refused: true})
}

// queueExpected adds a forecast, or the pieces of a refused request, to the next
// messages to the owners.
func (s *Submitter) queueExpected(pieces *encoder.StagePieces) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingExpected = append(s.pendingExpected, pieces)
	if !s.expectScheduled {
		s.expectScheduled = true
		s.timer.After(expectBatchDelay, func(time.Time) { go s.sendExpected() })
	}
}

// sendExpected sends the collected forecasts and refused pieces to the owners.
func (s *Submitter) sendExpected() {
	s.mu.Lock()
	pending := s.pendingExpected
	s.pendingExpected, s.expectScheduled = nil, false
	s.mu.Unlock()
	byOwner := make(map[string]*encoder.ExpectedPieces)
	for _, pieces := range pending {
		owner := s.links.OwnerID(pieces.GetService())
		if byOwner[owner] == nil {
			byOwner[owner] = &encoder.ExpectedPieces{}
		}
		byOwner[owner].Pieces = append(byOwner[owner].Pieces, pieces)
	}
	for owner, expected := range byOwner {
		if owner == s.links.Self().ID {
			s.HandleExpectedPieces(expected)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		if err := s.links.Send(ctx, owner, &encoder.Frame{Body: &encoder.Frame_ExpectedPieces{ExpectedPieces: expected}}); err != nil {
			s.log.Info("sending expected pieces to the owner failed; its wait estimates are too low", "owner", owner, "cause", err.Error())
		}
		cancel()
	}
}

// HandleExpectedPieces handles a message with the pieces that another instance expects to
// request or has refused.
func (s *Submitter) HandleExpectedPieces(expected *encoder.ExpectedPieces) {
	for _, pieces := range expected.GetPieces() {
		if pieces.GetRefused() {
			s.owner.RecordRefused(pieces.GetService(), int(pieces.GetPieceCount()), int(pieces.GetRank()))
			continue
		}
		s.owner.Expect(pieces.GetService(), pieces.GetRequest(), int(pieces.GetStage()), int(pieces.GetPieceCount()), int(pieces.GetRank()))
	}
}

// storeEstimate records the wait times of a service, unless they are empty.
func (s *Submitter) storeEstimate(service string, byRank []time.Duration, callDuration time.Duration) {
	if len(byRank) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimates[service] = receivedEstimate{byRank: byRank, callDuration: callDuration, receivedAt: s.timer.Now()}
}

// refreshOwnEstimate records the current wait times of a service that this instance owns.
func (s *Submitter) refreshOwnEstimate(service string) {
	byRank, callDuration := s.owner.WaitTimes(service)
	s.storeEstimate(service, byRank, callDuration)
}

// WaitEstimate holds the expected times until a service has computed a new piece.
type WaitEstimate struct {
	// OnTime is the time if the piece can meet its soft deadline, AfterBacklog the time
	// if all queued and expected pieces are computed before it. CallDuration is the part
	// of both that the piece's own call takes.
	OnTime, AfterBacklog, CallDuration time.Duration
	// Age is how old the estimate is, at most unknownEstimateAge, also when there is none to use.
	Age time.Duration
}

// WaitEstimate returns the last estimate received from the owner of a service, for a
// piece of a rank. ok is false without one that is younger than estimateMaxAge.
func (s *Submitter) WaitEstimate(service string, rank int) (estimate WaitEstimate, ok bool) {
	if s.links.OwnerID(service) == s.links.Self().ID {
		s.refreshOwnEstimate(service)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lastEstimate, ok := s.estimates[service]
	age := min(s.timer.Now().Sub(lastEstimate.receivedAt), unknownEstimateAge)
	if !ok || age > estimateMaxAge || len(lastEstimate.byRank) <= router.RankCount {
		return WaitEstimate{Age: age}, false
	}
	return WaitEstimate{OnTime: lastEstimate.byRank[min(max(rank, 0), router.RankCount-1)], AfterBacklog: lastEstimate.byRank[router.RankCount], CallDuration: lastEstimate.callDuration, Age: age}, true
}
