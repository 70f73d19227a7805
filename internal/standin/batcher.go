package standin

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"
)

// batchRequest is a request that waits for a slot of an engine or runs in the engine's
// batch.
type batchRequest struct {
	ctx      context.Context
	priority int
	// prefillLeft is the number of prompt tokens still to compute.
	prefillLeft float64
	// tokensLeft is the number of tokens still to generate.
	tokensLeft int
	// tokenSignals receives one signal for each generated token. It is closed
	// when the request is complete or its context has ended.
	tokenSignals chan struct{}
}

// batcher runs an engine's requests in steps: in each step every running
// request computes a part of its prompt or generates one token. It is safe for
// concurrent use.
type batcher struct {
	mu          sync.Mutex
	engine      *Engine
	waiting     []*batchRequest
	running     []*batchRequest
	loopRunning bool
}

// submit queues a request by priority and starts the loop of steps if it is not
// running.
func (b *batcher) submit(ctx context.Context, priority, prefill, tokens int) *batchRequest {
	request := &batchRequest{ctx: ctx, priority: priority, prefillLeft: float64(prefill), tokensLeft: tokens, tokenSignals: make(chan struct{}, tokens+1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, request)
	slices.SortStableFunc(b.waiting, func(x, y *batchRequest) int { return x.priority - y.priority })
	if !b.loopRunning {
		b.loopRunning = true
		go b.runSteps()
	}
	return request
}

// requestCounts returns the numbers of running and of waiting requests.
func (b *batcher) requestCounts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), len(b.waiting)
}

// runSteps runs steps until no request runs or waits.
func (b *batcher) runSteps() {
	next := time.Now()
	for {
		duration, hasRun := b.runStep()
		if !hasRun {
			return
		}
		next = next.Add(duration)
		time.Sleep(time.Until(next))
	}
}

// runStep computes one step and returns how long the engine takes for it, and
// whether any request was running.
func (b *batcher) runStep() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admitWaiting()
	if len(b.running) == 0 {
		b.loopRunning = false
		return 0, false
	}
	duration := b.engine.stepTime(len(b.running))
	prefillCapacity := b.engine.prefillRate() * duration.Seconds()
	if duration == 0 {
		prefillCapacity = math.Inf(1) // an engine without a step time, for benchmarks
	}
	b.running = slices.DeleteFunc(b.running, func(request *batchRequest) bool {
		if request.ctx.Err() != nil {
			close(request.tokenSignals)
			return true
		}
		if request.prefillLeft > 0 {
			used := min(request.prefillLeft, prefillCapacity)
			prefillCapacity -= used
			request.prefillLeft -= used
			return false
		}
		request.tokenSignals <- struct{}{}
		request.tokensLeft--
		if request.tokensLeft <= 0 {
			close(request.tokenSignals)
			return true
		}
		return false
	})
	return duration, true
}

// admitWaiting moves waiting requests into free slots by priority and drops
// those whose context has ended. The caller holds mu.
func (b *batcher) admitWaiting() {
	for len(b.waiting) > 0 && len(b.running) < b.engine.speed.Slots {
		request := b.waiting[0]
		b.waiting = b.waiting[1:]
		if request.ctx.Err() != nil {
			close(request.tokenSignals)
			continue
		}
		b.running = append(b.running, request)
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(request *batchRequest) bool {
		if request.ctx.Err() == nil {
			return false
		}
		close(request.tokenSignals)
		return true
	})
}
