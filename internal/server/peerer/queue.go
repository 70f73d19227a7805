package peerer

import (
	"sync"

	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// Bounds of a link's queue, in frames.
const (
	maxQueuedDigests = 4
	maxQueuedCredits = 256
)

// queue holds the frames that a link has not sent yet. Of the announced versions it
// keeps the newest and never drops it; of digests and credits it drops the oldest
// when there are too many. It is safe for concurrent use.
type queue struct {
	mu            sync.Mutex
	configVersion *encoder.Frame
	leaving       *encoder.Frame
	credits       []*encoder.Frame
	digests       []*encoder.Frame
	droppedFrames uint64
	// ready receives a value after a push.
	ready chan struct{}
	// isWriting is set from when pop returns a frame until pop is called again, since
	// that frame may not be sent yet.
	isWriting bool
	// emptyWaiters are closed by the next pop that finds the queue empty.
	emptyWaiters []chan struct{}
}

func newQueue() *queue { return &queue{ready: make(chan struct{}, 1)} }

// push adds a frame. It never blocks.
func (q *queue) push(frame *encoder.Frame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch body := frame.Body.(type) {
	case *encoder.Frame_ConfigVersion:
		if q.configVersion == nil || q.configVersion.GetConfigVersion().GetVersion() < body.ConfigVersion.GetVersion() {
			q.configVersion = frame
		}
	case *encoder.Frame_Leaving:
		q.leaving = frame
	case *encoder.Frame_Digest:
		q.digests = q.dropOldest(append(q.digests, frame), maxQueuedDigests)
	default:
		q.credits = q.dropOldest(append(q.credits, frame), maxQueuedCredits)
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// dropOldest returns the frames without the oldest if there are more than limit.
func (q *queue) dropOldest(frames []*encoder.Frame, limit int) []*encoder.Frame {
	if len(frames) <= limit {
		return frames
	}
	q.droppedFrames++
	return frames[1:]
}

// pop removes and returns the most urgent frame, or nil if the queue is empty. The
// caller must have sent the frame that it popped before.
func (q *queue) pop() *encoder.Frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	frame := q.popMostUrgent()
	q.isWriting = frame != nil
	if !q.isWriting {
		for _, waiter := range q.emptyWaiters {
			close(waiter)
		}
		q.emptyWaiters = nil
	}
	return frame
}

// whenEmpty returns a channel that is closed once the queue is empty and the last
// frame is sent.
func (q *queue) whenEmpty() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	done := make(chan struct{})
	if q.isWriting || q.configVersion != nil || q.leaving != nil || len(q.credits) > 0 || len(q.digests) > 0 {
		q.emptyWaiters = append(q.emptyWaiters, done)
		return done
	}
	close(done)
	return done
}

// popMostUrgent removes and returns the next frame, or nil: announced versions come
// first, then credits and digests, and the announcement of leaving comes last. The
// caller holds mu.
func (q *queue) popMostUrgent() *encoder.Frame {
	if frame := q.configVersion; frame != nil {
		q.configVersion = nil
		return frame
	}
	if len(q.credits) > 0 {
		frame := q.credits[0]
		q.credits = q.credits[1:]
		return frame
	}
	if len(q.digests) > 0 {
		frame := q.digests[0]
		q.digests = q.digests[1:]
		return frame
	}
	frame := q.leaving
	q.leaving = nil
	return frame
}
