package batcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// scarceBatch is a stage service with little memory for large results: 3 replicas, 8 pieces a
// call, 200 ms a call and 21 ms a piece, and memory for 12 results.
var scarceBatch = server.Batch{
	Slots: 1, QueueCapacity: 2, MaxPieces: 8, CallOverhead: 200 * time.Millisecond, TimePerPiece: 21 * time.Millisecond, ResultMemory: 18_000_000, ResultTTL: 4 * time.Second,
}

const (
	scarceResultBytes = 1_500_000
	scarcePerSecond   = 13 // requests of one to three pieces
	// engineDelay is the time from the end of the stage until the first event of the stream,
	// streamDuration the time from then until its end.
	engineDelay    = 150 * time.Millisecond
	streamDuration = 2 * time.Second
)

// memoryReplicas simulates stage replicas that compute one call at a time and have no memory
// for a result while the others take up all of it.
type memoryReplicas struct {
	mu     sync.Mutex
	memory int64
	used   map[string]int64
}

func (r *memoryReplicas) ComputePieces(_ context.Context, replica *server.Replica, pieces []server.Piece) ([]server.PieceResult, error) {
	results := make([]server.PieceResult, len(pieces))
	r.mu.Lock()
	for i, p := range pieces {
		if r.used[replica.ID]+scarceResultBytes > r.memory {
			results[i].Failure = server.PieceFailureMemory
			continue
		}
		r.used[replica.ID] += scarceResultBytes
		results[i].Handle = fmt.Sprintf("%s/%s-%d", replica.Address, p.RequestID, p.Piece)
	}
	r.mu.Unlock()
	time.Sleep(scarceBatch.CallDuration(len(pieces)))
	return results, nil
}

func (r *memoryReplicas) ReleaseResults(_ context.Context, replica *server.Replica, handles []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used[replica.ID] -= int64(len(handles)) * scarceResultBytes
	return nil
}

func (r *memoryReplicas) ResultAddress(handle string) string { return handle[:2] }

// runLongStreams returns the share of requests whose stage ends on time, if each holds its
// results for a time after that and the replicas have a given memory.
func runLongStreams(t *testing.T, memory int64, hold time.Duration) (onTimeShare float64) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		timer := ticker.New()
		defer timer.Close()
		batch := scarceBatch
		batch.ResultMemory = memory
		replicas := &memoryReplicas{memory: memory, used: make(map[string]int64)}
		owner := NewOwner(logr.Discard(), timer, replicas, fakeBudget(true))
		defer owner.Stop()
		owner.UpdateServices(map[string]server.Backend{"s": {Name: "s", Batch: &batch}}, func(string) []server.Replica { return loadTestReplicas()[:3] })
		random := rand.New(rand.NewPCG(5, 11))
		var mu sync.Mutex
		requested, onTime := 0, 0
		for range scarcePerSecond * int(loadDuration/time.Second) {
			requested++
			submittedAt := time.Now()
			job := &Job{Service: "s", RequestID: fmt.Sprint("q", requested), ResultBytes: scarceResultBytes, SoftDeadline: submittedAt.Add(loadSoftDeadline), HardDeadline: submittedAt.Add(loadHardDeadline)}
			for i := range 1 + random.IntN(3) {
				job.Pieces = append(job.Pieces, i)
			}
			owner.Submit(job, func(result Result) {
				mu.Lock()
				defer mu.Unlock()
				if result.Failure == "" && time.Since(submittedAt) <= loadSoftDeadline {
					onTime++
				}
				timer.After(hold, func(time.Time) { go owner.Release("s", result.Handles) })
			})
			time.Sleep(time.Duration(random.ExpFloat64() / scarcePerSecond * float64(time.Second)))
		}
		time.Sleep(loadHardDeadline + hold + time.Second)
		mu.Lock()
		defer mu.Unlock()
		onTimeShare = float64(onTime) / float64(requested)
	})
	return onTimeShare
}

// TestLongStreamsBehindAStageServiceWithLittleMemory has requests stream for far longer than
// their stage takes. With results released at the first event, the service must serve as many
// requests on time as one with memory for all results, less 5 in 100. Results held until the
// end of the streams take up the memory instead.
func TestLongStreamsBehindAStageServiceWithLittleMemory(t *testing.T) {
	is := is.New(t)
	reference := runLongStreams(t, 1<<40, engineDelay)
	atFirstEvent := runLongStreams(t, scarceBatch.ResultMemory, engineDelay)
	atEnd := runLongStreams(t, scarceBatch.ResultMemory, engineDelay+streamDuration)
	t.Logf("on time: %.3f with memory for all results, %.3f released at the first event, %.3f at the end", reference, atFirstEvent, atEnd)
	is.True(atFirstEvent >= reference-0.05)
	is.True(atEnd < atFirstEvent)
}
