package stager_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/batcher"
	"oriolemill.example/oriolemill/internal/server/stager"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// maker makes every piece in 100 ms and remembers what is live.
type maker struct {
	mu     sync.Mutex
	jobs   []batcher.Job
	live   map[string]bool
	number int
	// failing answers a job with a reason.
	failing func(job *batcher.Job, number int) server.Failing
}

func (m *maker) Compute(ctx context.Context, job *batcher.Job) (batcher.Result, error) {
	select {
	case <-time.After(100 * time.Millisecond):
	case <-ctx.Done():
		return batcher.Result{}, context.Cause(ctx)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.jobs = append(m.jobs, *job)
	m.number++
	if m.failing != nil {
		if failing := m.failing(job, m.number); failing != "" {
			return batcher.Result{Failure: failing}, nil
		}
	}
	var result batcher.Result
	for _, piece := range job.Pieces {
		handle := fmt.Sprintf("%d:%d.%d", m.number, job.Stage, piece)
		m.live[handle] = true
		result.Handles = append(result.Handles, handle)
	}
	return result, nil
}

func (m *maker) Release(_ string, handles []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, handle := range handles {
		delete(m.live, handle)
	}
}

func (m *maker) Expect(string, string, int, int, int) {}

func (m *maker) RecordRefused(string, int, int) {}

// chain is one stage by itself, and three behind one another.
var chain = []server.StageSpec{{Service: "a"}, {Service: "a"}, {Service: "b", After: []int{1}}, {Service: "c", After: []int{2}}}

func request(pieces ...int) *stager.Request {
	now := time.Now()
	return &stager.Request{
		ID: "r", Stages: chain, Pieces: pieces, Key: "k", SoftDeadline: now.Add(time.Second), HardDeadline: now.Add(5 * time.Second),
		DelayAfter: func(int) time.Duration { return 0 }, Datacentre: "engine",
		ResultDatacentre: func(_, handle string) string { return "dc" + handle[:1] },
	}
}

func bubble(t *testing.T, m *maker, test func(is *is.I, s *stager.Stager)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		timer := ticker.New()
		defer timer.Close()
		m.live = make(map[string]bool)
		test(is.New(t), stager.New(logr.Discard(), timer, m))
	})
}

func TestStagesGetAllInputsAndFreeThem(t *testing.T) {
	m := &maker{}
	bubble(t, m, func(is *is.I, s *stager.Stager) {
		results, err := s.Run(context.Background(), request(2, 1, 8, 3))
		is.NoErr(err)
		is.Equal(len(results.Handles()), 5) // the two that none follows, in order of stages
		is.Equal(len(m.live), 5)            // all others are freed
		for _, job := range m.jobs {
			switch job.Stage {
			case 0, 1:
				is.Equal(job.Key, "k")
				is.Equal(len(job.Inputs), 0)
			case 2:
				is.Equal(job.Key, "")
				is.Equal(len(job.Inputs), 1)
			case 3:
				is.Equal(len(job.Inputs), 8)
			}
		}
		results.Release()
		results.Release()
		is.Equal(len(m.live), 0)
	})
}

// TestPiecesAreMadeNearTheMostBytes holds that large results are made near what
// fetches them, and small ones anywhere.
func TestPiecesAreMadeNearTheMostBytes(t *testing.T) {
	m := &maker{}
	bubble(t, m, func(is *is.I, s *stager.Stager) {
		r := request(2, 1, 8, 16)
		r.Stages = slices.Clone(chain)
		for i, bytes := range []int64{3e6, 8e3, 60e3, 6e3} {
			r.Stages[i].Bytes = bytes
		}
		_, err := s.Run(context.Background(), r)
		is.NoErr(err)
		for _, job := range m.jobs {
			want := map[int]string{0: "engine", 1: "", 2: "", 3: "dc3"}[job.Stage] // the third job made stage 2
			is.Equal(job.Datacentre, want)
		}
	})
}

func TestStagesWithoutPiecesAreLeftOut(t *testing.T) {
	m := &maker{}
	bubble(t, m, func(is *is.I, s *stager.Stager) {
		results, err := s.Run(context.Background(), request(0, 1, 8, 3))
		is.NoErr(err)
		is.Equal(len(m.jobs), 3)
		is.Equal(len(results.Handles()), 3)
	})
}

func TestALostInputIsMadeAgain(t *testing.T) {
	m := &maker{failing: func(job *batcher.Job, number int) server.Failing {
		if job.Stage == 3 && number <= 4 {
			return server.FailingGone
		}
		return ""
	}}
	bubble(t, m, func(is *is.I, s *stager.Stager) {
		results, err := s.Run(context.Background(), request(2, 1, 8, 3))
		is.NoErr(err)
		is.Equal(len(m.jobs), 8)
		is.Equal(len(m.live), 5) // nothing of the first round is left
		last := m.jobs[len(m.jobs)-1]
		is.True(!slices.ContainsFunc(last.Inputs, func(h string) bool { return h[0] < '5' })) // none of the first round's
		results.Release()
	})
}

func TestFailuresFreeEverything(t *testing.T) {
	for failing, want := range map[server.Failing]error{
		server.FailingLate: server.ErrLate, server.FailingError: server.ErrUnavailable, server.FailingGone: server.ErrUnavailable,
	} {
		m := &maker{failing: func(job *batcher.Job, _ int) server.Failing {
			if job.Stage == 2 {
				return failing
			}
			return ""
		}}
		bubble(t, m, func(is *is.I, s *stager.Stager) {
			_, err := s.Run(context.Background(), request(2, 1, 8, 3))
			is.True(errors.Is(err, want))
			is.Equal(len(m.live), 0)
		})
	}
}

func TestAClientThatLeavesEndsTheStages(t *testing.T) {
	m := &maker{}
	bubble(t, m, func(is *is.I, s *stager.Stager) {
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(150*time.Millisecond, func() { cancel(server.ErrGone) })
		_, err := s.Run(ctx, request(2, 1, 8, 3))
		is.True(errors.Is(err, server.ErrGone))
		is.Equal(len(m.live), 0)
	})
}

func TestBadStagesAreRefused(t *testing.T) {
	m := &maker{}
	bubble(t, m, func(is *is.I, s *stager.Stager) {
		_, err := s.Run(context.Background(), request(1, 1, 1, 1, 1))
		is.True(errors.Is(err, server.ErrInvalid))
		r := request(1, 1)
		r.Stages = []server.StageSpec{{After: []int{1}}, {After: []int{0}}}
		_, err = s.Run(context.Background(), r)
		is.True(errors.Is(err, server.ErrInvalid))
		is.Equal(len(m.jobs), 0)
	})
}
