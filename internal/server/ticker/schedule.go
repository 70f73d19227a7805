package ticker

import (
	"container/heap"
	"sync/atomic"
	"time"
)

// emptyWait is how long the run loop waits while there are no subscriptions.
const emptyWait = time.Hour

// subscription is a function that is called once or at intervals.
type subscription struct {
	// dueTime is the time of the next call.
	dueTime time.Time
	// interval is the time between calls; zero for a single call.
	interval time.Duration
	callback func(now time.Time)
	// sequence is the number of subscriptions that were added before.
	sequence uint64
	// index is the index in the heap; -1 if the subscription is not in it.
	index     int
	isRemoved bool
	// isRunning is set while the function is being called.
	isRunning atomic.Bool
}

// schedule is a heap of subscriptions by due time. Subscriptions with the same
// due time keep the order in which they were added.
type schedule struct {
	subscriptions subscriptionHeap
	nextSequence  uint64
}

// add adds a subscription and reports whether it is the next one that is due.
func (s *schedule) add(sub *subscription) bool {
	sub.sequence = s.nextSequence
	s.nextSequence++
	heap.Push(&s.subscriptions, sub)
	return sub.index == 0
}

func (s *schedule) remove(sub *subscription) {
	if sub.isRemoved {
		return
	}
	sub.isRemoved = true
	if sub.index >= 0 {
		heap.Remove(&s.subscriptions, sub.index)
	}
}

// popDue returns the first subscription and its due time if it is due, and sets the time
// of its next call or removes it. Otherwise it returns nil and the time until one is due.
// Intervals that have passed completely, for example while the process was paused,
// are skipped.
func (s *schedule) popDue(now time.Time) (sub *subscription, dueTime time.Time, wait time.Duration) {
	if len(s.subscriptions) == 0 {
		return nil, time.Time{}, emptyWait
	}
	sub = s.subscriptions[0]
	dueTime = sub.dueTime
	if dueTime.After(now) {
		return nil, time.Time{}, dueTime.Sub(now)
	}
	if sub.interval <= 0 {
		heap.Pop(&s.subscriptions)
		sub.isRemoved = true
		return sub, dueTime, 0
	}
	sub.dueTime = sub.dueTime.Add(sub.interval)
	if !sub.dueTime.After(now) {
		sub.dueTime = now.Add(sub.interval)
	}
	heap.Fix(&s.subscriptions, 0)
	return sub, dueTime, 0
}

// subscriptionHeap implements heap.Interface.
type subscriptionHeap []*subscription

func (h subscriptionHeap) Len() int { return len(h) }

func (h subscriptionHeap) Less(i, j int) bool {
	if h[i].dueTime.Equal(h[j].dueTime) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].dueTime.Before(h[j].dueTime)
}

func (h subscriptionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *subscriptionHeap) Push(x any) {
	sub := x.(*subscription)
	sub.index = len(*h)
	*h = append(*h, sub)
}

// Pop implements heap.Interface.
func (h *subscriptionHeap) Pop() any {
	last := len(*h) - 1
	sub := (*h)[last]
	sub.index = -1
	(*h)[last] = nil // its function may hold a whole request
	*h = (*h)[:last]
	return sub
}
