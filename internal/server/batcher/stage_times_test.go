package batcher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The stages of two routes at one service: pieces of the heavy one take three times as long as those of the light one.
const (
	lightFactor, heavyFactor = 0.7, 2.1
	timesDuration            = 12 * time.Second
	// slowFrom and slowUntil bound the time in which a replica is slow by slowFactor.
	slowFrom, slowUntil = 6 * time.Second, 8 * time.Second
	slowFactor          = 3
)

// timesResult is the result of a load of two stages.
type timesResult struct {
	queue *queue
	// meanError is the mean relative error of the expected durations of calls in the second half of the load,
	// without those of slow replicas.
	meanError float64
	// slowShare is the part of the calls before which a replica of usual speed counted as slow.
	slowShare float64
	onTime    int
	// recognizedAfter is the time until the slow replica counted as slow.
	recognizedAfter time.Duration
}

// runStages runs a load of a light and a heavy stage on six replicas. If isSplit is set, each stage has a data centre that its pieces
// prefer. Calls vary by 5 %.
func runStages(perSecond float64, hasTimes, isSplit, hasSlowReplica bool) timesResult {
	random := rand.New(rand.NewPCG(1, 2))
	q := newTestQueue(6)
	q.shares = newWorkspaceShares()
	if hasTimes {
		q.times = newStageTimes()
	}
	result := timesResult{queue: q}
	running := make(map[*call]time.Time)
	calls, slowCalls, errorSum, errorCount, due := 0, 0, 0.0, 0, 0.0
	for at := time.Duration(0); at < timesDuration; at += 2 * time.Millisecond {
		now := start.Add(at)
		for due += perSecond * 0.002; due >= 1; due-- {
			q.addTask(stageTask(random, at, isSplit))
		}
		for c, end := range running {
			if now.Before(end) {
				continue
			}
			delete(running, c)
			q.recordCall(c, end.Sub(c.startedAt), now)
			q.finishCall(c)
			for _, p := range c.pieces {
				if !end.After(p.task.SoftDeadline) {
					result.onTime++
				}
			}
		}
		isSlow := hasSlowReplica && at >= slowFrom && at < slowUntil
		if isSlow && result.recognizedAfter == 0 && q.replicas["i-0"].slowdown > q.slowdownLimit() {
			result.recognizedAfter = at - slowFrom
		}
		for {
			c, _ := q.nextCall(now)
			if c == nil {
				break
			}
			duration := trueDuration(q, c) * (0.95 + 0.1*random.Float64())
			if at > timesDuration/2 && !hasSlowReplica {
				errorSum += math.Abs(float64(c.expectedDuration)-duration) / duration
				errorCount++
			}
			if isSlow && c.replica.ID == "i-0" {
				duration *= slowFactor
			}
			calls++
			for id, b := range q.replicas {
				if id != "i-0" && b.slowdown > q.slowdownLimit() {
					slowCalls++
					break
				}
			}
			running[c] = now.Add(time.Duration(duration))
		}
	}
	result.meanError, result.slowShare = errorSum/float64(max(errorCount, 1)), float64(slowCalls)/float64(calls)
	return result
}

// stageTask returns a task of the light or heavy stage.
func stageTask(random *rand.Rand, at time.Duration, isSplit bool) *task {
	t := testTask(fmt.Sprint("r", at), 1+random.IntN(4), 1, at+time.Second, at+3*time.Second)
	t.enqueuedAt, t.Stage = start.Add(at), random.IntN(2)
	if isSplit {
		t.Datacentre = []string{"west", "east"}[t.Stage]
	}
	return t
}

// trueDuration returns how long a call takes at a replica of usual speed, in nanoseconds.
func trueDuration(q *queue, c *call) float64 {
	duration := float64(q.batch.CallOverhead)
	for _, p := range c.pieces {
		duration += []float64{lightFactor, heavyFactor}[p.task.Stage] * float64(q.batch.TimePerPiece)
	}
	return duration
}

// TestTimePerPieceOfEachStageIsLearned guards against replicas that look fast or slow since they get pieces of a light or
// heavy stage, and against wrong durations of calls, with both stages at all replicas or each at its own ones.
func TestTimePerPieceOfEachStageIsLearned(t *testing.T) {
	for _, perSecond := range []float64{50, 90, 140} {
		for _, isSplit := range []bool{false, true} {
			t.Run(fmt.Sprint(perSecond, " per second, split ", isSplit), func(t *testing.T) {
				is := is.New(t)
				planned, learned := runStages(perSecond, false, isSplit, false), runStages(perSecond, true, isSplit, false)
				light, heavy := testTask("l", 1, 1, 0, 0), testTask("h", 1, 1, 0, 0)
				heavy.Stage = 1
				factors := learned.queue.times
				t.Logf("factors %.2f and %.2f, true ones %.2f and %.2f; error of durations %.3f, planned %.3f; usual replicas slow %.3f, planned %.3f; pieces on time %d, planned %d",
					factors.factor(light), factors.factor(heavy), lightFactor, heavyFactor, learned.meanError, planned.meanError, learned.slowShare, planned.slowShare, learned.onTime, planned.onTime)
				is.True(math.Abs(factors.factor(light)/lightFactor-1) < 0.25)
				is.True(math.Abs(factors.factor(heavy)/heavyFactor-1) < 0.25)
				is.True(learned.meanError < 0.5*planned.meanError)
				is.True(learned.slowShare <= planned.slowShare)
			})
		}
	}
}

// TestSlowReplicaDoesNotChangeStageTimes guards against estimates that take a slow replica for a heavy stage, and against a
// replica that is not recognized as slow any more.
func TestSlowReplicaDoesNotChangeStageTimes(t *testing.T) {
	is := is.New(t)
	planned, result := runStages(90, false, false, true), runStages(90, true, false, true)
	light, heavy := testTask("l", 1, 1, 0, 0), testTask("h", 1, 1, 0, 0)
	heavy.Stage = 1
	t.Logf("factors %.2f and %.2f; slow replica recognized after %v, planned %v", result.queue.times.factor(light), result.queue.times.factor(heavy), result.recognizedAfter, planned.recognizedAfter)
	is.True(math.Abs(result.queue.times.factor(light)/lightFactor-1) < 0.25)
	is.True(math.Abs(result.queue.times.factor(heavy)/heavyFactor-1) < 0.25)
	is.True(result.recognizedAfter > 0)
	// Two calls show that a replica is slow, each slowFactor times as long as one of average pieces.
	fullCall := result.queue.callDuration(result.queue.batch.MaxPieces)
	is.True(result.recognizedAfter <= 2*slowFactor*fullCall)
}

// TestWaitTimesUseStageTimes guards against wait estimates that take heavy pieces for average ones: clients would be
// admitted and then wait three times as long.
func TestWaitTimesUseStageTimes(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(1)
	q.shares, q.times = newWorkspaceShares(), newStageTimes()
	for range 5 {
		q.addTask(testTask("a", q.batch.MaxPieces, 1, 5*time.Second, 8*time.Second))
	}
	q.times.factors[kindOf(q.tasks[0])] = 3
	c, _ := q.nextCall(start)
	is.Equal(c.expectedDuration, q.batch.CallOverhead+3*time.Duration(q.batch.MaxPieces)*q.batch.TimePerPiece)
	q.finishCall(c)
	q.averageDuration = c.expectedDuration
	is.True(q.waitTimes(start)[16] >= 4*c.expectedDuration)
}

// TestStageTimesAreBounded guards against memory that grows with the kinds of stages, and against estimates out of range.
func TestStageTimesAreBounded(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(1)
	times := newStageTimes()
	for n := range 2 * maxStageKinds {
		task := testTask("a", 1, 1, 0, 0)
		task.Stage = n
		for range 50 {
			times.learn(&q.batch, []*queuedPiece{{task: task}, {task: task}}, time.Minute)
		}
		is.True(times.factor(task) <= maxTimeFactor)
	}
	is.True(len(times.factors) <= maxStageKinds)
}

// TestSharesCountWork guards against a workspace that gets more of the replicas' time than others since its pieces take
// three times as long.
func TestSharesCountWork(t *testing.T) {
	is := is.New(t)
	q := newTestQueue(1)
	q.shares, q.times = newWorkspaceShares(), newStageTimes()
	work := make(map[string]float64)
	for at := time.Duration(0); at < 20*time.Second; at += 300 * time.Millisecond {
		for n := range 30 {
			task := testTask([]string{"light", "heavy"}[n%2], 1, 1, at+time.Second, at+3*time.Second)
			task.enqueuedAt, task.Workspace, task.Stage = start.Add(at), task.RequestID, n%2
			q.times.factors[kindOf(task)] = []float64{1, 3}[n%2]
			q.addTask(task)
		}
		c, _ := q.nextCall(start.Add(at))
		for _, p := range c.pieces {
			work[p.task.Workspace] += q.pieceWork(p.task)
		}
		q.finishCall(c)
	}
	t.Logf("work %v", work)
	is.True(math.Abs(work["light"]/work["heavy"]-1) < 0.1)
}
