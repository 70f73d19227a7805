// Package stager has the pieces of a request's stages made, in the order that
// the stages need each other's results.
package stager

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/batcher"
)

// maxRounds bounds how often a request's stages begin again after a result
// was lost.
const maxRounds = 3

// localityBytes is the traffic of one stage of a request from which its pieces are
// made near it. At 0.2 MB the price of crossing data centres is a hundredth of a
// usual request's worth.
const localityBytes = 200_000

// PieceComputer makes the pieces of one stage.
type PieceComputer interface {
	Compute(ctx context.Context, job *batcher.Job) (batcher.Result, error)
	Release(service string, handles []string)
	// Expect tells of pieces that will be asked for.
	Expect(service, request string, stage, count, rank int)
	// RecordRefused tells of pieces that will not be asked for.
	RecordRefused(service string, count, rank int)
}

// Stager runs the stages of requests.
type Stager struct {
	log      logr.Logger
	timer    server.Timer
	computer PieceComputer
}

// New returns a Stager.
func New(log logr.Logger, timer server.Timer, maker PieceComputer) *Stager {
	return &Stager{log: log, timer: timer, computer: maker}
}

// Request is what the stages of one request need.
type Request struct {
	ID     string
	Stages []server.StageSpec
	Pieces []int
	Key    string
	Rank   int
	// Datacentre is where the last results are needed.
	Datacentre string
	// ResultDatacentre returns the data centre that keeps a result of a service, or "".
	ResultDatacentre func(service, handle string) string
	// Goal and Last are when the results must be there for the request to be on
	// time, and to be of use at all.
	SoftDeadline, HardDeadline time.Time
	// DelayAfter returns the time that the stages behind one usually take.
	DelayAfter func(stage int) time.Duration
}

// Results are those that the request itself needs.
type Results struct {
	handles   []string
	durations []time.Duration
	release   func()
}

// Durations returns how long each stage's pieces took; zero for those without any.
func (r *Results) Durations() []time.Duration { return r.durations }

// Handles returns the results, by stage and piece.
func (r *Results) Handles() []string { return r.handles }

// Release gives the results up. It may be called more than once.
func (r *Results) Release() { r.release() }

// Run makes all stages. Errors: ErrLate, ErrUnavailable, or the cause of ctx.
func (s *Stager) Run(ctx context.Context, request *Request) (*Results, error) {
	if err := validateStages(request); err != nil {
		return nil, err
	}
	for round := 1; ; round++ {
		results, failing, err := s.runRound(ctx, request)
		if err == nil {
			return results, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		again := failing == server.FailingGone && round < maxRounds && s.timer.Now().Before(request.HardDeadline)
		s.log.Info("stages failed", "request", request.ID, "reason", string(failing), "round", round, "again", again, "cause", err.Error(),
			"stage_ms", Milliseconds(results.durations))
		if !again {
			return nil, err
		}
	}
}

// RecordRefused tells the services of stages of a request that was refused on arrival.
func (s *Stager) RecordRefused(stages []server.StageSpec, pieces []int, rank int) {
	for i, stage := range stages {
		if i < len(pieces) && pieces[i] > 0 {
			s.computer.RecordRefused(stage.Service, pieces[i], rank)
		}
	}
}

// validateStages refuses stages that need ones which do not exist or are not before them.
func validateStages(request *Request) error {
	for i, stage := range request.Stages {
		for _, after := range stage.After {
			if after < 0 || after >= i {
				return merry.Prependf(server.ErrInvalid, "stage %d follows stage %d", i, after)
			}
		}
	}
	if len(request.Pieces) > len(request.Stages) {
		return merry.Prependf(server.ErrInvalid, "pieces for %d stages, the route has %d", len(request.Pieces), len(request.Stages))
	}
	return nil
}

// stageRun is one round of a request's stages.
type stageRun struct {
	stager   *Stager
	request  *Request
	computed []chan struct{}
	mu       sync.Mutex
	handles  [][]string
	// pendingConsumers counts the stages that still need a stage's results.
	pendingConsumers []int
	// isLeaf marks the stages that none follows.
	isLeaf    []bool
	failure   server.Failing
	durations []time.Duration
}

// Milliseconds puts the times of stages into a line.
func Milliseconds(times []time.Duration) string {
	words := make([]string, len(times))
	for i, t := range times {
		words[i] = strconv.FormatInt(t.Milliseconds(), 10)
	}
	return strings.Join(words, ",")
}

func (s *Stager) runRound(ctx context.Context, request *Request) (*Results, server.Failing, error) {
	n := len(request.Stages)
	r := &stageRun{stager: s, request: request, computed: make([]chan struct{}, n), handles: make([][]string, n), pendingConsumers: make([]int, n), isLeaf: make([]bool, n), durations: make([]time.Duration, n)}
	for i := range n {
		r.computed[i] = make(chan struct{})
		r.isLeaf[i] = true
		for _, after := range request.Stages[i].After {
			r.pendingConsumers[after]++
			r.isLeaf[after] = false
		}
	}
	r.announceExpected()
	group, ctx := errgroup.WithContext(ctx)
	for i := range n {
		group.Go(func() error { return r.runStage(ctx, i) })
	}
	if err := group.Wait(); err != nil {
		r.releaseAll()
		return &Results{durations: r.durations}, r.failure, err
	}
	var last []string
	for i := range n {
		if r.isLeaf[i] {
			last = append(last, r.handles[i]...)
		}
	}
	return &Results{handles: last, durations: r.durations, release: sync.OnceFunc(r.releaseAll)}, "", nil
}

// announceExpected tells the services of later stages what is coming.
func (r *stageRun) announceExpected() {
	for i, stage := range r.request.Stages {
		if len(stage.After) > 0 && i < len(r.request.Pieces) && r.request.Pieces[i] > 0 {
			r.stager.computer.Expect(stage.Service, r.request.ID, i, r.request.Pieces[i], r.request.Rank)
		}
	}
}

// runStage waits for what a stage needs and has its pieces made.
func (r *stageRun) runStage(ctx context.Context, i int) error {
	spec := &r.request.Stages[i]
	for _, after := range spec.After {
		select {
		case <-r.computed[after]:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	job := r.newJob(i)
	if len(job.Pieces) > 0 {
		began := r.stager.timer.Now()
		result, err := r.stager.computer.Compute(ctx, job)
		r.durations[i] = r.stager.timer.Now().Sub(began)
		if err != nil {
			return err
		}
		if result.Failure != "" {
			r.mu.Lock()
			r.failure = result.Failure
			r.mu.Unlock()
			return stageError(result.Failure, i)
		}
		r.mu.Lock()
		r.handles[i] = result.Handles
		r.mu.Unlock()
	}
	close(r.computed[i])
	for _, after := range spec.After {
		r.releaseInputs(after)
	}
	return nil
}

func stageError(failing server.Failing, stage int) error {
	if failing == server.FailingLate {
		return merry.Prependf(server.ErrLate, "stage %d", stage)
	}
	return merry.Prependf(server.ErrUnavailable, "stage %d: %s", stage, failing)
}

func (r *stageRun) newJob(i int) *batcher.Job {
	spec := &r.request.Stages[i]
	tail := r.request.DelayAfter(i)
	job := &batcher.Job{
		Service: spec.Service, Request: r.request.ID, Stage: i, Bytes: spec.Bytes,
		Rank: r.request.Rank, SoftDeadline: r.request.SoftDeadline.Add(-tail), HardDeadline: r.request.HardDeadline.Add(-tail),
	}
	if i < len(r.request.Pieces) {
		for piece := range r.request.Pieces[i] {
			job.Pieces = append(job.Pieces, piece)
		}
	}
	if len(spec.After) == 0 {
		job.Key = r.request.Key
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, after := range spec.After {
		job.Inputs = append(job.Inputs, r.handles[after]...)
	}
	job.Datacentre = r.preferredDatacentre(i, len(job.Pieces))
	return job
}

// preferredDatacentre returns where a stage's pieces are best made: near the most bytes that
// they fetch, or near the engine that fetches them; "" where neither is much.
// mu is held.
func (r *stageRun) preferredDatacentre(i, pieces int) string {
	spec := &r.request.Stages[i]
	if len(spec.After) == 0 {
		if r.isLeaf[i] && spec.Bytes*int64(pieces) >= localityBytes {
			return r.request.Datacentre
		}
		return ""
	}
	bytes := make(map[string]int64)
	best := ""
	for _, after := range spec.After {
		before := &r.request.Stages[after]
		for _, handle := range r.handles[after] {
			at := r.request.ResultDatacentre(before.Service, handle)
			if bytes[at] += before.Bytes * int64(pieces); bytes[at] > bytes[best] {
				best = at
			}
		}
	}
	if bytes[best] < localityBytes {
		return ""
	}
	return best
}

// releaseInputs frees a stage's results when no other stage needs them.
func (r *stageRun) releaseInputs(i int) {
	r.mu.Lock()
	r.pendingConsumers[i]--
	var handles []string
	if r.pendingConsumers[i] == 0 {
		handles, r.handles[i] = r.handles[i], nil
	}
	r.mu.Unlock()
	r.stager.computer.Release(r.request.Stages[i].Service, handles)
}

func (r *stageRun) releaseAll() {
	r.mu.Lock()
	all := slices.Clone(r.handles)
	clear(r.handles)
	r.mu.Unlock()
	for i, handles := range all {
		r.stager.computer.Release(r.request.Stages[i].Service, handles)
	}
}
