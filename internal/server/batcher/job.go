// Package batcher fills the calls of stage services with pieces of many
// requests. Each service has one owner among the instances, which keeps the
// only queue for its replicas; the others send it their pieces.
package batcher

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Job is the pieces of one stage that one request needs.
type Job struct {
	Service string
	Request string
	Stage   int
	Pieces  []int
	// Key is set for a stage without inputs, Inputs for all others.
	Key    string
	Inputs []string
	// Datacentre is where the results are best made, or "".
	Datacentre string
	// Bytes is the approximate size of a result.
	Bytes int64
	Rank  int
	// Goal is when the pieces must be made for the request to be on time, Last
	// when they become useless.
	Goal, Last time.Time
}

// Result is how a job ended: a handle for each piece, or why there are none.
type Result struct {
	Handles []string
	Failing server.Failing
}

// FailingMoved means that the owner stops and another one is to be asked.
const FailingMoved server.Failing = "moved"

// task is a job at its owner.
type task struct {
	*Job
	handles  []string
	left     int
	ended    bool
	done     func(Result)
	enqueued time.Time
	number   uint64
	// waiting are the pieces that are in no call.
	waiting []*item
}

// followsUp reports whether work was done for the request before.
func (t *task) followsUp() bool { return len(t.Inputs) > 0 }

// item is one piece of a task.
type item struct {
	task  *task
	index int
	tries int
}

// end tells the task's result once and returns the handles that nobody wants.
func (t *task) end(failing server.Failing) (orphans []string) {
	if t.ended {
		return nil
	}
	t.ended = true
	if failing == "" {
		t.done(Result{Handles: t.handles})
		return nil
	}
	for _, handle := range t.handles {
		if handle != "" {
			orphans = append(orphans, handle)
		}
	}
	t.done(Result{Failing: failing})
	return orphans
}
