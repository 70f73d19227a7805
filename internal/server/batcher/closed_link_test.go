package batcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// TestJobEndsWithTheLinkOfItsSender guards against an owner that goes on with the jobs of a sender whose link is closed: the
// sender has sent them to the next owner, so both compute them, and nobody releases the results of the first.
func TestJobEndsWithTheLinkOfItsSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		replicas := &fakeReplicas{}
		o := newTestOwner(t, replicas, true, 1)
		timer := ticker.New()
		defer timer.Close()
		owner := NewSubmitter(logr.Discard(), timer, &remoteLinks{self: "owner"}, o)
		request := func(pieces ...uint32) *encoder.PiecesRequest {
			return &encoder.PiecesRequest{Service: "s", Request: "a", Pieces: pieces, ResultBytes: 100, UntilSoftDeadlineMs: 1000, UntilHardDeadlineMs: 5000}
		}
		computing, closeFirst := context.WithCancel(context.Background())
		queued, closeSecond := context.WithCancel(context.Background())
		responses := make(chan *encoder.Frame, 3)
		handle := func(ctx context.Context, pieces ...uint32) {
			go func() { responses <- owner.HandlePiecesRequest(ctx, request(pieces...)) }()
			time.Sleep(10 * time.Millisecond)
		}
		handle(computing, 0, 1, 2, 3)
		handle(queued, 4, 5)
		closeFirst()
		closeSecond()
		synctest.Wait()
		is.Equal(len(responses), 2) // both handlers have returned
		// The same request comes again on another link.
		handle(context.Background(), 6)
		time.Sleep(time.Second)
		is.Equal(len(responses), 3)
		is.Equal(o.Counts().Pieces, uint64(5)) // the queued job was not computed
		replicas.mu.Lock()
		defer replicas.mu.Unlock()
		is.Equal(len(replicas.stored), 1) // the results of the first job were released
	})
}
