package batcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/pauser"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// pausingReplicas are fakeReplicas whose calls and releases go through a pauser, as those of the exchanger do.
type pausingReplicas struct {
	fakeReplicas
	pauses *pauser.Pauser
	// refusedCalls and refusedReleases are how many of the next ones are refused, with a pause.
	refusedCalls, refusedReleases int
	pause                         time.Duration
}

func (r *pausingReplicas) refuse(replica *server.Replica, remaining *int) error {
	if wait := r.pauses.PausedFor(replica); wait > 0 {
		return server.NewFault("pause", replica.ID, server.ErrWithheld, server.WithRetryAfter(wait))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if *remaining == 0 {
		return nil
	}
	*remaining--
	r.pauses.RecordResponse(replica, server.ResponseInfo{IsRefused: true, Pause: r.pause}, time.Now())
	return server.NewFault("call", replica.ID, server.ErrOverload, server.WithRetryAfter(r.pause))
}

func (r *pausingReplicas) ComputePieces(ctx context.Context, replica *server.Replica, pieces []server.Piece) ([]server.PieceResult, error) {
	if err := r.refuse(replica, &r.refusedCalls); err != nil {
		return nil, err
	}
	return r.fakeReplicas.ComputePieces(ctx, replica, pieces)
}

func (r *pausingReplicas) ReleaseResults(ctx context.Context, replica *server.Replica, handles []string) error {
	if err := r.refuse(replica, &r.refusedReleases); err != nil {
		return err
	}
	return r.fakeReplicas.ReleaseResults(ctx, replica, handles)
}

// releasedCount returns the number of results that were released.
func (r *pausingReplicas) releasedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.released)
}

// runPausing calls test on virtual time with an owner of n replicas.
func runPausing(t *testing.T, n int, r *pausingReplicas, test func(is *is.I, o *Owner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		timer := ticker.New()
		r.pauses, r.stored = pauser.New(logr.Discard(), timer), make(map[string]bool)
		o := NewOwner(logr.Discard(), timer, r, fakeBudget(true), WithPauses(r.pauses))
		setReplicas(o, n)
		test(is.New(t), o)
		o.Stop()
		timer.Close()
	})
}

// TestPiecesAreComputedAfterAPause guards against pieces that are given up in a pause that ends in time, and
// against calls in it.
func TestPiecesAreComputedAfterAPause(t *testing.T) {
	r := &pausingReplicas{refusedCalls: 1, pause: 700 * time.Millisecond}
	runPausing(t, 1, r, func(is *is.I, o *Owner) {
		startedAt := time.Now()
		is.Equal(submitAndWait(o, testJob("a", 2)).Failure, server.PieceFailure(""))
		is.True(time.Since(startedAt) >= r.pause)
		is.True(time.Since(startedAt) < r.pause+localityWait+200*time.Millisecond)
		is.Equal(r.calls, 1)
	})
}

// TestPiecesAreGivenUpAtOnceIfThePauseIsTooLong guards against jobs that wait for their deadline while all
// replicas have requested longer pauses, and against estimates that promise otherwise.
func TestPiecesAreGivenUpAtOnceIfThePauseIsTooLong(t *testing.T) {
	r := &pausingReplicas{refusedCalls: 1, pause: 20 * time.Second}
	runPausing(t, 1, r, func(is *is.I, o *Owner) {
		for _, request := range []string{"a", "b"} {
			startedAt := time.Now()
			is.Equal(submitAndWait(o, testJob(request, 2)).Failure, server.PieceFailureDeadline)
			is.True(time.Since(startedAt) < 100*time.Millisecond)
		}
		waits, _ := o.WaitTimes("s")
		for _, wait := range waits {
			is.True(wait > r.pause-time.Second)
		}
		time.Sleep(r.pause)
		is.Equal(submitAndWait(o, testJob("c", 2)).Failure, server.PieceFailure(""))
	})
}

// TestOtherReplicasComputeInAPause guards against pieces that wait for a replica in its pause.
func TestOtherReplicasComputeInAPause(t *testing.T) {
	r := &pausingReplicas{refusedCalls: 1, pause: 20 * time.Second}
	runPausing(t, 2, r, func(is *is.I, o *Owner) {
		startedAt := time.Now()
		is.Equal(submitAndWait(o, testJob("a", 2)).Failure, server.PieceFailure(""))
		is.True(time.Since(startedAt) < 400*time.Millisecond)
		waits, _ := o.WaitTimes("s")
		is.True(waits[0] < time.Second)
	})
}

// TestReleasesWaitForTheEndOfAPause guards against releases in a pause, and against results that are kept
// until they expire since their release was refused.
func TestReleasesWaitForTheEndOfAPause(t *testing.T) {
	r := &pausingReplicas{refusedReleases: 1, pause: time.Second}
	runPausing(t, 1, r, func(is *is.I, o *Owner) {
		result := submitAndWait(o, testJob("a", 2))
		is.Equal(result.Failure, server.PieceFailure(""))
		o.Release("s", result.Handles)
		time.Sleep(r.pause - 100*time.Millisecond)
		is.Equal(r.releasedCount(), 0)
		time.Sleep(200 * time.Millisecond)
		is.Equal(r.releasedCount(), 2)
	})
}
