package batcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/router"
)

var start = time.Unix(1000, 0)

// newTestQueue returns a queue with n replicas, alternating between two data centres.
func newTestQueue(n int) *queue {
	q := newQueue()
	q.batch = server.Batch{Slots: 1, QueueCapacity: 2, MaxPieces: 14, CallOverhead: 150 * time.Millisecond, TimePerPiece: 9 * time.Millisecond, ResultMemory: 81e6, ResultTTL: 4 * time.Second}
	for i := range n {
		id := fmt.Sprintf("i-%d", i)
		q.replicas[id] = newTrackedReplica(server.Replica{ID: id, Datacentre: []string{"east", "west"}[i%2]})
	}
	return q
}

// testTask returns a task whose deadlines are given as times after start.
func testTask(request string, pieces, rank int, softDeadline, hardDeadline time.Duration) *task {
	job := &Job{Service: "s", RequestID: request, Rank: rank, SoftDeadline: start.Add(softDeadline), HardDeadline: start.Add(hardDeadline), ResultBytes: 1000}
	for i := range pieces {
		job.Pieces = append(job.Pieces, i)
	}
	return &task{Job: job, handles: make([]string, pieces), remaining: pieces, enqueuedAt: start, onFinish: func(Result) {}}
}

// requests returns the names of the requests of the pieces in a call.
func requests(c *call) string {
	text := ""
	for _, p := range c.pieces {
		text += p.task.RequestID
	}
	return text
}

func TestQueueCombinesRequestsInCalls(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(1)
	for i := range 20 {
		q.addTask(testTask(string(rune('a'+i)), 1, 1, time.Second, 8*time.Second))
	}
	c, _ := q.nextCall(start)
	is.Equal(requests(c), "abcdefghijklmn")
	c2, _ := q.nextCall(start)
	is.True(c2 == nil) // the only replica is busy
	q.finishCall(c)
	c, _ = q.nextCall(start.Add(300 * time.Millisecond))
	is.Equal(requests(c), "opqrst")
}

func TestQueueServesByPunctualityPriorityShareAndDeadline(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(1)
	q.batch.MaxPieces = 6
	q.addTask(testTask("l", 1, 0, 50*time.Millisecond, 8*time.Second)) // cannot meet its soft deadline
	q.addTask(testTask("e", 1, 4, 300*time.Millisecond, 8*time.Second))
	q.addTask(testTask("b", 1, 2, 400*time.Millisecond, 8*time.Second))
	q.addTask(testTask("c", 1, 1, 900*time.Millisecond, 8*time.Second))
	q.addTask(testTask("a", 1, 1, 800*time.Millisecond, 8*time.Second))
	q.addTask(testTask("d", 1, 2, 500*time.Millisecond, 8*time.Second))
	c, _ := q.nextCall(start)
	is.Equal(requests(c), "abcdel") // ranks 1 and 2 share a priority, 4 has the next
}

// TestQueueSharesCallsBetweenRanksOfAPriority has two ranks request three times what the
// service can compute: each gets its share, the more urgent one slightly more.
func TestQueueSharesCallsBetweenRanksOfAPriority(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(1)
	computed := make(map[string]int)
	for at := time.Duration(0); at < 10*time.Second; at += 300 * time.Millisecond {
		for range 30 {
			q.addTask(testTask("a", 1, 0, at+time.Second, at+2*time.Second))
		}
		for range 12 {
			q.addTask(testTask("b", 1, 2, at+time.Second, at+2*time.Second))
		}
		c, _ := q.nextCall(start.Add(at))
		for _, p := range c.pieces {
			computed[p.task.RequestID]++
		}
		q.finishCall(c)
	}
	share := float64(computed["b"]) / 12 / (float64(computed["a"]) / 30)
	is.True(share > 0.8)
	is.True(share <= 1)
}

func TestQueueShedsTaskThatMissesItsHardDeadline(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(1)
	q.addTask(testTask("a", 2, 1, 0, 100*time.Millisecond)) // a call takes longer
	c, shed := q.nextCall(start)
	is.True(c == nil)
	is.Equal(len(shed), 1)
	is.Equal(q.length, 0)
}

func TestQueueLimitsCallToFreeMemory(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(1)
	task := testTask("a", 14, 1, 4*time.Second, 8*time.Second)
	task.ResultBytes = 20e6
	q.addTask(task)
	c, _ := q.nextCall(start)
	is.Equal(len(c.pieces), 4) // of 81 MB
	b := c.replica
	q.finishCall(c)
	is.Equal(b.usedMemory, int64(0))
	b.results["h"] = storedResult{bytes: 70e6, expiresAt: start.Add(time.Second)}
	b.usedMemory = 70e6
	c, _ = q.nextCall(start)
	is.True(c == nil)
	c, _ = q.nextCall(start.Add(2 * time.Second)) // the result has expired
	is.Equal(len(c.pieces), 4)
}

func TestQueueShedsLateTaskAfterMaxLateWait(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(1)
	q.replicas["i-0"].activeCalls = 1
	q.replicas["i-0"].freeAt = start.Add(time.Second)
	q.addTask(testTask("a", 1, 1, time.Second, 8*time.Second))
	_, shed := q.nextCall(start.Add(time.Second))
	is.Equal(len(shed), 0)
	_, shed = q.nextCall(start.Add(time.Second + maxLateWait))
	is.Equal(len(shed), 1)
}

// TestBackloggedQueueShedsLateTasksWithoutInputs checks that a late task does not wait in
// a queue too long to ever serve it. One with computed inputs stays, since their work
// would be wasted.
func TestBackloggedQueueShedsLateTasksWithoutInputs(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(1)
	for range 3 {
		q.addTask(testTask("a", 14, 1, 2*time.Second, 8*time.Second))
	}
	withoutInputs, withInputs := testTask("b", 1, 1, 0, 8*time.Second), testTask("c", 1, 1, 0, 8*time.Second)
	withInputs.Inputs = []string{"handle"}
	q.addTask(withoutInputs)
	q.addTask(withInputs)
	_, shed := q.nextCall(start)
	is.Equal(len(shed), 1)
	is.Equal(shed[0], withoutInputs)
}

func TestUntrackedMemoryDecays(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(1)
	b := q.replicas["i-0"]
	b.recordMemoryFull(q.batch.ResultMemory/2, start) // results of a previous owner
	b.recordMemoryFull(q.batch.ResultMemory/2, start)
	is.Equal(b.freeMemory(q.batch.ResultMemory, start), int64(0))
	is.True(b.freeMemory(q.batch.ResultMemory, start.Add(untrackedHalfLife)) >= q.batch.ResultMemory/2)
	is.True(b.freeMemory(q.batch.ResultMemory, start.Add(time.Minute)) == q.batch.ResultMemory)
}

func TestQueueEstimatesWaitTimes(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(2)
	calm := q.waitTimes(start)
	is.Equal(calm[1], q.batch.CallDuration(q.batch.MaxPieces/2))
	for range 10 {
		q.addTask(testTask("a", 14, 1, time.Second, 8*time.Second))
	}
	full := q.batch.CallDuration(q.batch.MaxPieces)
	is.True(q.waitTimes(start)[1] >= calm[1]+5*full-time.Millisecond) // ten calls at two replicas
	is.Equal(q.waitTimes(start)[0], calm[0])                          // a rank with little demand has no queue
	q.expect(stageKey{"b", 2}, 28, 2, start)
	is.True(q.waitTimes(start)[2] >= calm[2]+6*full-time.Millisecond) // expected pieces are computed first
	is.True(q.waitTimes(start)[5] >= q.waitTimes(start)[2])           // a lower priority waits for all of them
	is.Equal(q.waitTimes(start.Add(time.Minute))[2], calm[2])
	is.Equal(q.waitTimes(start.Add(time.Minute))[1], calm[1]) // late pieces delay no others
	is.True(q.waitTimes(start.Add(time.Minute))[router.RankCount] >= calm[1]+5*full-time.Millisecond)
}

func TestPieceWaitsForPreferredDatacentreUpToLocalityWait(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(2)
	q.replicas["i-0"].activeCalls = 1 // east is busy
	q.replicas["i-0"].freeAt = start.Add(50 * time.Millisecond)
	task := testTask("a", 1, 1, time.Second, 8*time.Second)
	task.Datacentre = "east"
	q.addTask(task)
	c, _ := q.nextCall(start)
	is.True(c == nil)
	c, _ = q.nextCall(start.Add(localityWait))
	is.Equal(c.replica.ID, "i-1")
}

func TestPiecesBeyondSlotsOfPreferredDatacentreGoElsewhere(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(2)
	q.replicas["i-0"].activeCalls = 1 // east is busy
	for i := range 3 {
		task := testTask(string(rune('a'+i)), 14, 1, time.Second, 8*time.Second)
		task.Datacentre = "east"
		q.addTask(task)
	}
	c, _ := q.nextCall(start)
	is.Equal(c.replica.ID, "i-1")
	is.Equal(requests(c), "bbbbbbbbbbbbbb") // the first call of pieces waits for east
}

func TestPiecesOfARequestPreferOneDatacentre(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(2)
	q.batch.MaxPieces = 4
	q.addTask(testTask("a", 6, 1, time.Second, 8*time.Second))
	c, _ := q.nextCall(start)
	is.Equal(len(c.pieces), 4)
	is.Equal(q.tasks[0].Datacentre, c.replica.Datacentre)
	other, _ := q.nextCall(start)
	is.True(other == nil) // the other data centre is idle, but the first four are not there
}

func TestSlowReplicaIsUsedOnlyIfThatIsSooner(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(2)
	q.replicas["i-0"].slowdown = 5
	q.replicas["i-1"].activeCalls = 1
	q.replicas["i-1"].freeAt = start.Add(100 * time.Millisecond)
	q.addTask(testTask("a", 1, 1, time.Second, 8*time.Second))
	c, _ := q.nextCall(start)
	is.True(c == nil) // the fast replica is sooner, though busy
	q.replicas["i-1"].freeAt = start.Add(3 * time.Second)
	c, _ = q.nextCall(start)
	is.Equal(c.replica.ID, "i-0")
}

// TestSlowReplicaIsProbedAndUsedAfterRecovery slows a replica down for a while: the replica
// must get small calls of the least urgent pieces, and be used fully soon after it recovers.
func TestSlowReplicaIsProbedAndUsedAfterRecovery(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(2)
	const recoveryTime, runDuration = 4 * time.Second, 10 * time.Second
	running := map[*call]time.Time{}
	var piecesWhileSlow, piecesAfterRecovery int
	for at := time.Duration(0); at < runDuration; at += 5 * time.Millisecond {
		now := start.Add(at)
		q.addTask(testTask("a", 1, 1, at+time.Second, at+2*time.Second))
		for c, end := range running {
			if !now.Before(end) {
				c.replica.recordDuration(end.Sub(c.replica.freeAt.Add(-c.expectedDuration)), q.batch.CallDuration(len(c.pieces)), now)
				q.finishCall(c)
				delete(running, c)
			}
		}
		for {
			c, _ := q.nextCall(now)
			if c == nil {
				break
			}
			duration := q.batch.CallDuration(len(c.pieces))
			if c.replica.ID == "i-0" && at < recoveryTime {
				duration *= 6
				piecesWhileSlow += len(c.pieces)
			}
			if c.replica.ID == "i-0" && at > recoveryTime+3*time.Second {
				piecesAfterRecovery += len(c.pieces)
			}
			running[c] = now.Add(duration)
		}
	}
	is.True(piecesWhileSlow <= 3*q.batch.MaxPieces) // the first calls, then probes
	full := float64(q.batch.MaxPieces) / q.batch.CallDuration(q.batch.MaxPieces).Seconds() * (runDuration - recoveryTime - 3*time.Second).Seconds()
	is.True(float64(piecesAfterRecovery) >= 0.8*full)
}

// TestBackloggedQueueFillsCallsWithDeferredPieces checks that no slot of a call stays empty
// for pieces with another preferred data centre while more pieces are queued than one call
// of each replica holds.
func TestBackloggedQueueFillsCallsWithDeferredPieces(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(2)
	q.replicas["i-0"].activeCalls = 1 // east is busy
	q.replicas["i-0"].freeAt = start.Add(50 * time.Millisecond)
	for range 3 {
		task := testTask("e", 10, 1, time.Second, 8*time.Second)
		task.Datacentre = "east"
		q.addTask(task)
	}
	c, _ := q.nextCall(start)
	is.Equal(c.replica.ID, "i-1")
	is.Equal(len(c.pieces), q.batch.MaxPieces)
}

func TestUnregisteredReplicaGetsNoCall(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(1)
	q.replicas["i-0"].isUnregistered = true
	q.addTask(testTask("a", 1, 1, time.Second, 8*time.Second))
	c, _ := q.nextCall(start)
	is.True(c == nil)
}

// TestSaturatedQueueFillsCalls checks that under constant overload the pieces computed a
// second reach 0.95 of what full calls allow.
func TestSaturatedQueueFillsCalls(t *testing.T) {
	is := is.New(t)
	const replicas = 5
	q := newTestQueue(replicas)
	running := map[*call]time.Time{}
	computed := 0
	const runDuration = 20 * time.Second
	for at := time.Duration(0); at < runDuration; at += time.Millisecond {
		now := start.Add(at)
		if at%(3*time.Millisecond) == 0 { // 333 requests a second, over capacity
			q.addTask(testTask("a", 1, 1, at+time.Second, at+2*time.Second))
		}
		for c, end := range running {
			if !now.Before(end) {
				computed += len(c.pieces)
				q.finishCall(c)
				delete(running, c)
			}
		}
		for {
			c, _ := q.nextCall(now)
			if c == nil {
				break
			}
			running[c] = now.Add(q.batch.CallDuration(len(c.pieces)))
		}
	}
	full := float64(replicas*q.batch.MaxPieces) / q.batch.CallDuration(q.batch.MaxPieces).Seconds()
	is.True(float64(computed)/runDuration.Seconds() > 0.95*full)
}
