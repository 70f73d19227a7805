package measurer

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/standin"
)

// Capacities and speeds of the stand-ins.
const (
	engineReplicas = 4
	// engineSlots is the number of requests that one engine runs at a time.
	engineSlots = 8
	// enginePrefillRate is the prompt tokens that one engine computes in a second.
	enginePrefillRate = 40000
	// engineStepTime is the duration of a step with one running request.
	engineStepTime = 10 * time.Millisecond
	// engineStepSlowdown is the fraction by which each further running request
	// lengthens a step.
	engineStepSlowdown = 0.02
	// engineCacheBlocks is the number of prompt blocks that one engine caches.
	engineCacheBlocks = 1200
	// poolAttemptTime is the duration of one attempt at an encoder, retriever or
	// reranker.
	poolAttemptTime = 15 * time.Millisecond
	// poolSlots is the number of attempts that one pool replica runs at a time.
	poolSlots = 8
	// operationTime is the duration of one operation at the gateway.
	operationTime = 10 * time.Millisecond
	// poolStageCount is the number of stages before the engine's.
	poolStageCount = 3
)

func standinSpeeds() standin.Speeds {
	return standin.Speeds{
		PoolSlots: poolSlots, PoolAttemptTime: poolAttemptTime, OperationTime: operationTime, StageFunc: runPoolStage,
		Engine: standin.EngineSpeed{Slots: engineSlots, PrefillRate: enginePrefillRate, StepTime: engineStepTime, BatchSlowdown: engineStepSlowdown, CacheBlocks: engineCacheBlocks},
	}
}

// fullStepTime returns the duration of an engine's step when all of its slots are busy.
func fullStepTime() time.Duration {
	slowdown := 1 + engineStepSlowdown*(engineSlots-1)
	return time.Duration(slowdown * float64(engineStepTime))
}

// slotSteps returns the work of a request at an engine in slot steps, where one slot
// step is one step of the engine in one slot. It assumes that the engine has cached the
// blocks of the retrieved document, so that only the input needs prefill.
func slotSteps(a arrival) float64 {
	if a.outputTokens == 0 {
		return 0
	}
	prefill := float64(messenger.CountTokens(a.input)) / (enginePrefillRate * fullStepTime().Seconds())
	return float64(a.outputTokens) + math.Ceil(prefill)
}

// engineStepRate returns the slot steps a second of all engines together when all of
// their slots are busy.
func engineStepRate() float64 { return engineReplicas * engineSlots / fullStepTime().Seconds() }

// capacityRequestRate returns the requests a second that the engines can serve, for the
// mix of contractKinds and inputs of 8 bytes a word.
func capacityRequestRate() float64 {
	var weightedSteps, totalFraction float64
	for _, k := range contractKinds() {
		weightedSteps += k.fraction * slotSteps(arrival{outputTokens: k.outputTokens, input: string(make([]byte, wordsPerQuestion*8))})
		totalFraction += k.fraction
	}
	return engineStepRate() / (weightedSteps / totalFraction)
}

// referenceAttainment returns the weighted attainment of a scheduler that knows all
// arrivals in advance and keeps every slot busy. It accepts requests greedily, in order
// of weight per slot step, as long as an earliest-deadline-first schedule meets the
// deadlines of all accepted requests. This greedy order is optimal for work that can be
// split arbitrarily. The engines that a scenario removes have no capacity from a third
// of the run on; other faults are ignored. The result is therefore an upper bound, to
// within the size of one request.
func referenceAttainment(s *scenario, runDuration time.Duration, arrivals []arrival) float64 {
	byWeight := slices.Clone(arrivals)
	slices.SortStableFunc(byWeight, func(x, y arrival) int {
		return cmp.Compare(y.weight/max(slotSteps(y), 1), x.weight/max(slotSteps(x), 1))
	})
	accepted := &schedule{lostFraction: s.lostEngineFraction, lossStart: runDuration / 3}
	var acceptedWeight, totalWeight float64
	for _, a := range byWeight {
		totalWeight += a.weight
		if slotSteps(a) == 0 || accepted.tryAdd(a) {
			acceptedWeight += a.weight
		}
	}
	return acceptedWeight / max(totalWeight, 1)
}

// schedule is a set of requests whose deadlines an earliest-deadline-first schedule on
// the engines meets.
type schedule struct {
	// jobs is sorted by release time.
	jobs []engineJob
	// lostFraction is the fraction of the engines' capacity that is lost from lossStart
	// on.
	lostFraction float64
	lossStart    time.Duration
}

// engineJob is the work of one request at the engines.
type engineJob struct {
	// release is when the work can start, and deadline when it must have ended, both as
	// offsets from the start of the run.
	release  time.Duration
	deadline time.Duration
	// remainingSteps is the work that is left, in slot steps.
	remainingSteps float64
}

// tryAdd adds a request if all deadlines can still be met, and reports whether it did.
func (s *schedule) tryAdd(a arrival) bool {
	job := engineJob{release: a.offset + poolStageCount*poolAttemptTime, deadline: a.offset + a.deadline, remainingSteps: slotSteps(a)}
	index, _ := slices.BinarySearchFunc(s.jobs, job, func(x, y engineJob) int { return cmp.Compare(x.release, y.release) })
	jobs := slices.Insert(slices.Clone(s.jobs), index, job)
	if !s.isFeasible(jobs) {
		return false
	}
	s.jobs = jobs
	return true
}

// isFeasible reports whether earliest deadline first meets the deadlines of all jobs,
// which are sorted by release time.
func (s *schedule) isFeasible(jobs []engineJob) bool {
	queue := &deadlineHeap{}
	now := time.Duration(0)
	for i, job := range jobs {
		now = max(now, job.release)
		heap.Push(queue, job)
		next := time.Duration(math.MaxInt64)
		if i+1 < len(jobs) {
			next = jobs[i+1].release
		}
		var ok bool
		if now, ok = s.runUntil(queue, now, next); !ok {
			return false
		}
	}
	return true
}

// runUntil simulates the engines' work on the queue from now until the given time or
// until the queue is empty. It returns the time reached, and false if a deadline was
// missed.
func (s *schedule) runUntil(queue *deadlineHeap, now, until time.Duration) (time.Duration, bool) {
	for queue.Len() > 0 && now < until {
		rate, stop := engineStepRate(), until
		if now >= s.lossStart {
			rate *= 1 - s.lostFraction
		} else {
			stop = min(until, s.lossStart)
		}
		head := &(*queue)[0]
		end := now + time.Duration(head.remainingSteps/rate*float64(time.Second))
		if end > stop {
			head.remainingSteps -= (stop - now).Seconds() * rate
			now = stop
			continue
		}
		if end > head.deadline {
			return end, false
		}
		now = end
		heap.Pop(queue)
	}
	return now, true
}

// deadlineHeap is a heap of jobs with the earliest deadline first.
type deadlineHeap []engineJob

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(engineJob)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
