// Package stager runs the stages of a request: it has the pieces of each stage computed once
// the stages that it depends on are complete.
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

// maxRounds bounds how often a request's stages are computed, the first time included. All
// of them are computed again after the loss of a result.
const maxRounds = 3

// localityBytes is the least traffic in bytes for which the pieces of a stage prefer a data
// centre: their inputs, or their results if the request itself needs them. The transfer of
// 0.2 MB between data centres costs a hundredth of what a typical request is worth.
const localityBytes = 200_000

// PieceComputer computes the pieces of stages. It must be safe for concurrent use.
type PieceComputer interface {
	// Compute computes a job. The error is the cause of ctx if ctx ended.
	Compute(ctx context.Context, job *batcher.Job) (batcher.Result, error)
	// Release releases results that are no longer needed.
	Release(service string, handles []string)
	// Expect announces pieces that will be requested.
	Expect(service, request string, stage, count, rank int)
	// RecordRefused reports pieces of a request that was refused.
	RecordRefused(service string, count, rank int)
}

// Stager runs the stages of requests. It is safe for concurrent use.
type Stager struct {
	log      logr.Logger
	timer    server.Timer
	computer PieceComputer
}

// New returns a Stager whose pieces are computed by computer.
func New(log logr.Logger, timer server.Timer, computer PieceComputer) *Stager {
	return &Stager{log: log, timer: timer, computer: computer}
}

// Request describes the stages of one request.
type Request struct {
	ID     string
	Stages []server.StageSpec
	// Pieces holds the number of pieces of each stage.
	Pieces []int
	// Key is the key of the pieces of stages without inputs.
	Key string
	// Content is a key of the request that requests which ask the same share.
	Content string
	// Rank orders requests; see router.Rank.
	Rank int
	// Workspace is the name of the request's workspace, or ""; IsReturning is set if its client was refused before.
	Workspace   string
	IsReturning bool
	// Regions are the regions whose replicas may compute the pieces; empty for all.
	Regions []string
	// Datacentre is where the results of the last stages are needed.
	Datacentre string
	// ResultDatacentre returns the data centre of the replica that holds a result of a
	// service, or "".
	ResultDatacentre func(service, handle string) string
	// SoftDeadline is the time by which the response must begin so that the request meets
	// the goal of its route. A response that begins after HardDeadline is useless.
	SoftDeadline, HardDeadline time.Time
	// DelayAfter returns the typical time from the end of a stage until the response begins.
	DelayAfter func(stage int) time.Duration
}

// Results are the results that the request itself needs: those of the stages on which no
// other stage depends.
type Results struct {
	handles   []string
	durations []time.Duration
	release   func()
}

// Durations returns how long each stage took to compute; zero for stages without pieces.
func (r *Results) Durations() []time.Duration { return r.durations }

// Handles returns the handles of the results, in the order of stages and pieces.
func (r *Results) Handles() []string { return r.handles }

// Release releases the results. It may be called more than once.
func (r *Results) Release() { r.release() }

// Run computes all stages of a request. The caller must release the results. Errors:
// ErrInvalid, ErrDeadline, ErrUnavailable, or the cause of ctx.
func (s *Stager) Run(ctx context.Context, request *Request) (*Results, error) {
	if err := validateStages(request); err != nil {
		return nil, err
	}
	for round := 1; ; round++ {
		results, failure, err := s.runRound(ctx, request)
		if err == nil {
			return results, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		retry := failure == server.PieceFailureInputLost && round < maxRounds && s.timer.Now().Before(request.HardDeadline)
		s.log.Info("stages failed", "request", request.ID, "reason", string(failure), "round", round, "again", retry, "cause", err.Error(),
			"stage_ms", FormatMilliseconds(results.durations))
		if !retry {
			return nil, err
		}
	}
}

// RecordRefused reports the pieces of a request that was refused on arrival to the owners of
// the stage services, as a part of the demand.
func (s *Stager) RecordRefused(stages []server.StageSpec, pieces []int, rank int) {
	for i, stage := range stages {
		if i < len(pieces) && pieces[i] > 0 {
			s.computer.RecordRefused(stage.Service, pieces[i], rank)
		}
	}
}

// validateStages returns ErrInvalid if stages depend on each other, or on one that does not exist, or if there
// are pieces for more stages than the route has.
func validateStages(request *Request) error {
	if order := server.StageOrder(request.Stages); len(order) < len(request.Stages) {
		return merry.Prependf(server.ErrInvalid, "%d of %d stages of the route depend on each other, or on stages that do not exist", len(request.Stages)-len(order), len(request.Stages))
	}
	if len(request.Pieces) > len(request.Stages) {
		return merry.Prependf(server.ErrInvalid, "pieces for %d stages, the route has %d", len(request.Pieces), len(request.Stages))
	}
	return nil
}

// stageRun is one round of the stages of a request.
type stageRun struct {
	stager  *Stager
	request *Request
	// done has a channel for each stage, which is closed once the stage is complete.
	done []chan struct{}
	// mu guards handles, pendingConsumers and failure.
	mu sync.Mutex
	// handles are the results that were not released, by stage.
	handles [][]string
	// pendingConsumers counts for each stage the dependent stages that are incomplete.
	pendingConsumers []int
	// isLeaf is set for each stage on which no other one depends.
	isLeaf    []bool
	failure   server.PieceFailure
	durations []time.Duration
}

// FormatMilliseconds formats durations in milliseconds, separated by commas, for log lines.
func FormatMilliseconds(durations []time.Duration) string {
	texts := make([]string, len(durations))
	for i, d := range durations {
		texts[i] = strconv.FormatInt(d.Milliseconds(), 10)
	}
	return strings.Join(texts, ",")
}

// runRound computes all stages once. After an error it has released all results, and the
// returned Results hold only the durations; the failure is "" if no job failed.
func (s *Stager) runRound(ctx context.Context, request *Request) (*Results, server.PieceFailure, error) {
	n := len(request.Stages)
	r := &stageRun{stager: s, request: request, done: make([]chan struct{}, n), handles: make([][]string, n), pendingConsumers: make([]int, n), isLeaf: make([]bool, n), durations: make([]time.Duration, n)}
	for i := range n {
		r.done[i] = make(chan struct{})
		r.isLeaf[i] = true
		for _, dependency := range request.Stages[i].Dependencies {
			r.pendingConsumers[dependency]++
			r.isLeaf[dependency] = false
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
	var leafHandles []string
	for i := range n {
		if r.isLeaf[i] {
			leafHandles = append(leafHandles, r.handles[i]...)
		}
	}
	return &Results{handles: leafHandles, durations: r.durations, release: sync.OnceFunc(r.releaseAll)}, "", nil
}

// announceExpected announces the pieces of all stages that must wait for others.
func (r *stageRun) announceExpected() {
	for i, stage := range r.request.Stages {
		if len(stage.Dependencies) > 0 && i < len(r.request.Pieces) && r.request.Pieces[i] > 0 {
			r.stager.computer.Expect(stage.Service, r.request.ID, i, r.request.Pieces[i], r.request.Rank)
		}
	}
}

// runStage waits for the stages that a stage depends on, has its pieces computed, and
// releases the inputs that no other stage needs.
func (r *stageRun) runStage(ctx context.Context, i int) error {
	spec := &r.request.Stages[i]
	for _, dependency := range spec.Dependencies {
		select {
		case <-r.done[dependency]:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	job := r.newJob(i)
	if len(job.Pieces) > 0 {
		startedAt := r.stager.timer.Now()
		result, err := r.stager.computer.Compute(ctx, job)
		r.durations[i] = r.stager.timer.Now().Sub(startedAt)
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
	close(r.done[i])
	for _, dependency := range spec.Dependencies {
		r.releaseInputs(dependency)
	}
	return nil
}

// stageError returns the error for a stage that failed.
func stageError(failure server.PieceFailure, stage int) error {
	switch failure {
	case server.PieceFailureDeadline:
		return merry.Prependf(server.ErrDeadline, "stage %d", stage)
	case server.PieceFailureBlocked:
		return merry.Prependf(server.ErrRequestBlocked, "stage %d", stage)
	default:
		return merry.Prependf(server.ErrUnavailable, "stage %d: %s", stage, failure)
	}
}

// newJob returns the job for a stage whose inputs are complete.
func (r *stageRun) newJob(i int) *batcher.Job {
	spec := &r.request.Stages[i]
	delayAfter := r.request.DelayAfter(i)
	job := &batcher.Job{
		Service: spec.Service, RequestID: r.request.ID, Stage: i, ResultBytes: spec.ResultBytes,
		Rank: r.request.Rank, Regions: r.request.Regions, Workspace: r.request.Workspace, IsReturning: r.request.IsReturning, Content: r.request.Content, SoftDeadline: r.request.SoftDeadline.Add(-delayAfter), HardDeadline: r.request.HardDeadline.Add(-delayAfter),
	}
	if i < len(r.request.Pieces) {
		for piece := range r.request.Pieces[i] {
			job.Pieces = append(job.Pieces, piece)
		}
	}
	if len(spec.Dependencies) == 0 {
		job.Key = r.request.Key
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, dependency := range spec.Dependencies {
		job.Inputs = append(job.Inputs, r.handles[dependency]...)
	}
	job.Datacentre = r.preferredDatacentre(i, len(job.Pieces))
	return job
}

// preferredDatacentre returns the data centre in which the pieces of a stage should be
// computed: the one that holds the most bytes of their inputs, or for a stage with neither
// inputs nor dependent stages the one in which its results are needed. It is "" if that
// traffic is less than localityBytes. The caller holds mu.
func (r *stageRun) preferredDatacentre(i, pieces int) string {
	spec := &r.request.Stages[i]
	if len(spec.Dependencies) == 0 {
		if r.isLeaf[i] && spec.ResultBytes*int64(pieces) >= localityBytes {
			return r.request.Datacentre
		}
		return ""
	}
	bytesByDatacentre := make(map[string]int64)
	best := ""
	for _, dependency := range spec.Dependencies {
		source := &r.request.Stages[dependency]
		for _, handle := range r.handles[dependency] {
			datacentre := r.request.ResultDatacentre(source.Service, handle)
			if bytesByDatacentre[datacentre] += source.ResultBytes * int64(pieces); bytesByDatacentre[datacentre] > bytesByDatacentre[best] {
				best = datacentre
			}
		}
	}
	if bytesByDatacentre[best] < localityBytes {
		return ""
	}
	return best
}

// releaseInputs records that one of the stages that depend on stage i is complete, and
// releases the results of stage i once all of them are.
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

// releaseAll releases all results that were not released before.
func (r *stageRun) releaseAll() {
	r.mu.Lock()
	all := slices.Clone(r.handles)
	clear(r.handles)
	r.mu.Unlock()
	for i, handles := range all {
		r.stager.computer.Release(r.request.Stages[i].Service, handles)
	}
}
