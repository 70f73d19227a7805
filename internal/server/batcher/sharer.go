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
	// maxOwners bounds the owners that a job is sent to, one after the other.
	maxOwners = 4
	// releaseWait gathers results to release at their owner.
	releaseWait = 15 * time.Millisecond
	// comingWait gathers word of coming pieces for an owner.
	comingWait = 10 * time.Millisecond
	// untilFresh is how long told times are believed.
	untilFresh = 700 * time.Millisecond
	// withdrawTimeout bounds a message to an owner that nobody waits for.
	withdrawTimeout = time.Second
)

// Links reach the other instances.
type Links interface {
	Self() server.Instance
	Owner(name string) string
	Call(ctx context.Context, id string, frame *encoder.Frame) (*encoder.Frame, error)
	Tell(ctx context.Context, id string, frame *encoder.Frame) error
	// Leaving notes that an instance said that it stops.
	Leaving(id string)
}

// Sharer sends jobs to the owners of their services.
type Sharer struct {
	log      logr.Logger
	timer    server.Timer
	links    Links
	owner    *Owner
	mu       sync.Mutex
	releases map[string][]string
	armed    bool
	told     map[string]told
	coming   []*encoder.ComingPieces
	telling  bool
}

// told are the expected times until a piece is made, by rank and last until all
// is made, as the service's owner told.
type told struct {
	times []time.Duration
	usual time.Duration
	at    time.Time
}

// NewSharer returns a Sharer; owner serves the services that are this instance's.
func NewSharer(log logr.Logger, timer server.Timer, links Links, owner *Owner) *Sharer {
	s := &Sharer{log: log, timer: timer, links: links, owner: owner, releases: make(map[string][]string), told: make(map[string]told)}
	owner.next = s.handOver
	return s
}

// handOver takes what a service's replicas hold to the service's next owner.
func (s *Sharer) handOver(holdings *encoder.Holdings) {
	owner := s.links.Owner(holdings.GetService())
	if owner == s.links.Self().ID {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := s.links.Tell(ctx, owner, &encoder.Frame{Body: &encoder.Frame_Holdings{Holdings: holdings}}); err != nil {
		s.log.Info("stage service not handed over; its next owner learns by refusals", "service", holdings.GetService(), "owner", owner, "cause", err.Error())
	}
}

// Make returns the results of a job. The error is set when ctx ended.
func (s *Sharer) Make(ctx context.Context, job *Job) (Result, error) {
	for range maxOwners {
		owner := s.links.Owner(job.Service)
		result, err := s.ask(ctx, owner, job)
		if ctx.Err() != nil || err == nil && result.Failing != FailingMoved {
			return result, err
		}
		cause := "it stops"
		if err != nil {
			cause = err.Error()
		} else if owner != s.links.Self().ID {
			s.links.Leaving(owner)
		}
		s.log.Info("owner of the stage service lost, asking the next", "request", job.Request, "service", job.Service, "owner", owner, "cause", cause)
	}
	s.log.Info("no owner answers", "request", job.Request, "service", job.Service)
	return s.local(ctx, job)
}

func (s *Sharer) ask(ctx context.Context, owner string, job *Job) (Result, error) {
	if owner == s.links.Self().ID {
		return s.local(ctx, job)
	}
	return s.remote(ctx, owner, job)
}

func (s *Sharer) local(ctx context.Context, job *Job) (Result, error) {
	done := make(chan Result, 1)
	s.owner.Submit(job, func(r Result) { done <- r })
	s.noteOwn(job.Service)
	select {
	case result := <-done:
		return result, nil
	case <-ctx.Done():
		s.owner.Withdraw(job.Service, job.Request)
		s.orphan(job.Service, done)
		return Result{}, context.Cause(ctx)
	}
}

// orphan releases results that came while the job was withdrawn.
func (s *Sharer) orphan(service string, done <-chan Result) {
	select {
	case result := <-done:
		s.Release(service, result.Handles)
	default:
	}
}

func (s *Sharer) remote(ctx context.Context, owner string, job *Job) (Result, error) {
	now := s.timer.Now()
	ask := &encoder.PiecesAsk{
		Service: job.Service, Request: job.Request, Stage: uint32(job.Stage), Key: job.Key, Inputs: job.Inputs,
		Datacentre: job.Datacentre, Bytes: uint64(job.Bytes), Rank: uint32(job.Rank),
		GoalMs: job.Goal.Sub(now).Milliseconds(), LeftMs: job.Last.Sub(now).Milliseconds(),
	}
	for _, piece := range job.Pieces {
		ask.Pieces = append(ask.Pieces, uint32(piece))
	}
	answer, err := s.links.Call(ctx, owner, &encoder.Frame{Body: &encoder.Frame_Pieces{Pieces: ask}})
	if err != nil {
		if ctx.Err() != nil {
			s.withdraw(owner, job)
			return Result{}, context.Cause(ctx)
		}
		return Result{}, err
	}
	made := answer.GetMade()
	times := make([]time.Duration, len(made.GetUntilMs()))
	for rank, ms := range made.GetUntilMs() {
		times[rank] = time.Duration(ms) * time.Millisecond
	}
	s.note(job.Service, times, time.Duration(made.GetUsualMs())*time.Millisecond)
	return Result{Handles: made.GetHandles(), Failing: server.Failing(made.GetFailing())}, nil
}

// withdraw tells the owner that nobody waits for a job any more.
func (s *Sharer) withdraw(owner string, job *Job) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	frame := &encoder.Frame{Body: &encoder.Frame_Withdraw{Withdraw: &encoder.Withdraw{Service: job.Service, Request: job.Request}}}
	if err := s.links.Tell(ctx, owner, frame); err != nil {
		s.log.Info("job not withdrawn; its results expire", "request", job.Request, "service", job.Service, "owner", owner, "cause", err.Error())
	}
}

// Serve answers another instance's job.
func (s *Sharer) Serve(ctx context.Context, ask *encoder.PiecesAsk) *encoder.Frame {
	now := s.timer.Now()
	job := &Job{
		Service: ask.GetService(), Request: ask.GetRequest(), Stage: int(ask.GetStage()), Key: ask.GetKey(), Inputs: ask.GetInputs(),
		Datacentre: ask.GetDatacentre(), Bytes: int64(ask.GetBytes()), Rank: int(ask.GetRank()),
		Goal: now.Add(time.Duration(ask.GetGoalMs()) * time.Millisecond), Last: now.Add(time.Duration(ask.GetLeftMs()) * time.Millisecond),
	}
	for _, piece := range ask.GetPieces() {
		job.Pieces = append(job.Pieces, int(piece))
	}
	done := make(chan Result, 1)
	s.owner.Submit(job, func(r Result) { done <- r })
	answer := &encoder.PiecesAnswer{}
	select {
	case result := <-done:
		answer.Handles, answer.Failing = result.Handles, string(result.Failing)
	case <-ctx.Done():
		answer.Failing = string(server.FailingError)
	}
	times, usual := s.owner.Until(job.Service)
	answer.UsualMs = uint32(usual.Milliseconds())
	for _, until := range times {
		answer.UntilMs = append(answer.UntilMs, uint32(until.Milliseconds()))
	}
	return &encoder.Frame{Body: &encoder.Frame_Made{Made: answer}}
}

// Release gives results up; they are gathered and told to the service's owner.
func (s *Sharer) Release(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releases[service] = append(s.releases[service], handles...)
	if !s.armed {
		s.armed = true
		s.timer.After(releaseWait, func(time.Time) { go s.flush() })
	}
}

func (s *Sharer) flush() {
	s.mu.Lock()
	releases := s.releases
	s.releases, s.armed = make(map[string][]string), false
	s.mu.Unlock()
	for service, handles := range releases {
		owner := s.links.Owner(service)
		if owner == s.links.Self().ID {
			s.owner.Release(service, handles)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
		frame := &encoder.Frame{Body: &encoder.Frame_Release{Release: &encoder.Release{Service: service, Handles: handles}}}
		if err := s.links.Tell(ctx, owner, frame); err != nil {
			s.owner.Release(service, handles)
		}
		cancel()
	}
}

// Expect tells the owner of a stage service what it will be asked for.
func (s *Sharer) Expect(service, request string, stage, count, rank int) {
	s.announce(&encoder.ComingPieces{
		Service: service, Request: request, Stage: uint32(stage), Count: uint32(count), Rank: uint32(rank),
	})
}

// Decline tells the owner of a stage service what it would have been asked for.
func (s *Sharer) Decline(service string, count, rank int) {
	s.announce(&encoder.ComingPieces{Service: service, Count: uint32(count), Rank: uint32(rank), Declined: true})
}

func (s *Sharer) announce(pieces *encoder.ComingPieces) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coming = append(s.coming, pieces)
	if !s.telling {
		s.telling = true
		s.timer.After(comingWait, func(time.Time) { go s.tell() })
	}
}

// tell sends the owners what is coming.
func (s *Sharer) tell() {
	s.mu.Lock()
	all := s.coming
	s.coming, s.telling = nil, false
	s.mu.Unlock()
	owners := make(map[string]*encoder.Coming)
	for _, pieces := range all {
		owner := s.links.Owner(pieces.GetService())
		if owners[owner] == nil {
			owners[owner] = &encoder.Coming{}
		}
		owners[owner].Pieces = append(owners[owner].Pieces, pieces)
	}
	for owner, coming := range owners {
		if owner == s.links.Self().ID {
			s.Hear(coming)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
		if err := s.links.Tell(ctx, owner, &encoder.Frame{Body: &encoder.Frame_Coming{Coming: coming}}); err != nil {
			s.log.Info("owner not told of coming pieces; its estimates are low", "owner", owner, "cause", err.Error())
		}
		cancel()
	}
}

// Hear takes an instance's word of pieces that it will ask for.
func (s *Sharer) Hear(coming *encoder.Coming) {
	for _, pieces := range coming.GetPieces() {
		if pieces.GetDeclined() {
			s.owner.Decline(pieces.GetService(), int(pieces.GetCount()), int(pieces.GetRank()))
			continue
		}
		s.owner.Expect(pieces.GetService(), pieces.GetRequest(), int(pieces.GetStage()), int(pieces.GetCount()), int(pieces.GetRank()))
	}
}

func (s *Sharer) note(service string, times []time.Duration, usual time.Duration) {
	if len(times) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[service] = told{times: times, usual: usual, at: s.timer.Now()}
}

// noteOwn notes the estimate of a service that this instance owns.
func (s *Sharer) noteOwn(service string) {
	times, usual := s.owner.Until(service)
	s.note(service, times, usual)
}

// Outlook is what a new piece can expect of a service.
type Outlook struct {
	// Until is the time until it is made if it is on time, Backlog the time if
	// everything that waits goes before it; Call is the part of both that a call takes.
	Until, Backlog, Call time.Duration
	// Age is how old the estimate is.
	Age time.Duration
}

// Outlook returns the estimate of a service's owner as last told; ok is false when
// none is known that is fresh.
func (s *Sharer) Outlook(service string, rank int) (outlook Outlook, ok bool) {
	if s.links.Owner(service) == s.links.Self().ID {
		s.noteOwn(service)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.told[service]
	age := s.timer.Now().Sub(t.at)
	if !ok || age > untilFresh || len(t.times) <= router.Ranks {
		return Outlook{Age: age}, false
	}
	return Outlook{Until: t.times[min(max(rank, 0), router.Ranks-1)], Backlog: t.times[router.Ranks], Call: t.usual, Age: age}, true
}
