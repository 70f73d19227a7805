package admitter

import (
	"container/heap"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// item is one waiting request.
type item struct {
	workspace string
	share     float64
	priority  server.Priority
	deadline  time.Time
	// latestStart is the latest time at which the item can start and finish in time.
	latestStart time.Time
	// cost is the expected time for which the item uses its slot.
	cost time.Duration
	// result receives nil when the item may start, or why it was dropped. It has a
	// buffer of one, so that dispatch never blocks.
	result chan error
	flow   *flow
	// index is the position in the flow's heap, negative if the item is not in it.
	index int
}

// flow is the queue of one workspace at one priority.
type flow struct {
	workspace string
	share     float64
	// deficit is the unused service time of the flow, in nanoseconds of cost, in
	// deficit round robin.
	deficit float64
	// backlog is the total cost of the waiting items.
	backlog time.Duration
	items   byDeadline
	level   *level
	// next and previous link the ring of flows that have waiting items.
	next, previous *flow
}

// byDeadline is a heap of items with the earliest deadline first.
type byDeadline []*item

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *byDeadline) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *byDeadline) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}

// level is the queue of one priority.
type level struct {
	flows       map[string]*flow
	head        *flow
	totalShares float64
	backlog     time.Duration
	itemCount   int
	// meanCost is the smoothed mean cost of the items pushed. In each round of
	// deficit round robin a flow gets this time multiplied by its share.
	meanCost float64
}

// queue orders waiting requests: by priority, then by deficit round robin
// between workspaces weighted by share, then by earliest deadline. It is not safe
// for concurrent use.
type queue struct {
	levels [server.PriorityCount]level
}

// meanCostWeight is the weight of a new cost in a level's mean.
const meanCostWeight = 0.05

// push adds an item.
func (q *queue) push(it *item) {
	l := &q.levels[it.priority]
	f := l.flow(it.workspace, it.share)
	it.flow = f
	heap.Push(&f.items, it)
	f.backlog += it.cost
	l.backlog += it.cost
	l.itemCount++
	l.meanCost += (float64(it.cost) - l.meanCost) * meanCostWeight
	if l.itemCount == 1 {
		l.meanCost = float64(it.cost)
	}
}

// flow returns the workspace's flow and adds it to the ring if it is not there.
func (l *level) flow(workspace string, share float64) *flow {
	if l.flows == nil {
		l.flows = make(map[string]*flow)
	}
	f := l.flows[workspace]
	if f == nil {
		f = &flow{workspace: workspace, level: l}
		l.flows[workspace] = f
	}
	if f.next != nil {
		return f
	}
	f.share = max(share, 1)
	l.totalShares += f.share
	l.link(f)
	return f
}

// link adds a flow at the end of the ring.
func (l *level) link(f *flow) {
	if l.head == nil {
		f.next, f.previous = f, f
		l.head = f
		return
	}
	last := l.head.previous
	f.previous, f.next = last, l.head
	last.next, l.head.previous = f, f
}

// unlink removes an empty flow from the ring and discards its deficit.
func (l *level) unlink(f *flow) {
	l.totalShares -= f.share
	if f.next == f {
		l.head = nil
	} else {
		f.previous.next, f.next.previous = f.next, f.previous
		if l.head == f {
			l.head = f.next
		}
	}
	delete(l.flows, f.workspace)
	f.next, f.previous = nil, nil
}

// remove removes a waiting item. It returns false if the item is not in the queue.
func (q *queue) remove(it *item) bool {
	if it.flow == nil || it.index < 0 {
		return false
	}
	heap.Remove(&it.flow.items, it.index)
	it.flow.recordRemoval(it)
	return true
}

// recordRemoval updates the totals after the removal of an item.
func (f *flow) recordRemoval(it *item) {
	f.backlog -= it.cost
	f.level.backlog -= it.cost
	f.level.itemCount--
	if len(f.items) == 0 {
		f.level.unlink(f)
	}
}

// pop removes and returns the next item, or nil if the queue is empty.
func (q *queue) pop() *item {
	for i := range q.levels {
		if q.levels[i].head != nil {
			return q.levels[i].pop()
		}
	}
	return nil
}

// pop removes and returns the next item by deficit round robin. The flow at the head
// of the ring gets its share times the mean cost and stays there until it has used
// that up. The level must not be empty.
func (l *level) pop() *item {
	for {
		f := l.head
		isOnlyFlow := f.next == f
		cost := float64(f.items[0].cost)
		if f.deficit < cost && !isOnlyFlow {
			f.deficit += f.share * max(l.meanCost, 1)
		}
		if f.deficit < cost && !isOnlyFlow {
			l.head = f.next
			continue
		}
		it := heap.Pop(&f.items).(*item)
		f.deficit = max(f.deficit-cost, 0)
		if len(f.items) > 0 && f.deficit < float64(f.items[0].cost) {
			l.head = f.next
		}
		f.recordRemoval(it)
		return it
	}
}

// backlogAhead returns the total cost of the items served before a new request of the
// workspace: all items of higher priority, and those of the same priority that are
// served until the workspace's own flow is empty. The latter is the flow's backlog
// divided by its part of all shares, and at most the backlog of the whole level.
func (q *queue) backlogAhead(workspace string, share float64, priority server.Priority) time.Duration {
	var backlog time.Duration
	for i := range priority {
		backlog += q.levels[i].backlog
	}
	l := &q.levels[priority]
	f := l.flows[workspace]
	if f == nil {
		// A new flow waits for at most one round of the others.
		return backlog + min(l.backlog, time.Duration(l.meanCost*l.totalShares/max(share, 1)))
	}
	return backlog + min(l.backlog, time.Duration(float64(f.backlog)*l.totalShares/f.share))
}

// len returns the number of waiting items.
func (q *queue) len() int {
	n := 0
	for i := range q.levels {
		n += q.levels[i].itemCount
	}
	return n
}
