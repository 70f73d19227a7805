// Package batcher combines the pieces of many requests into the batched calls of stage
// services. Each service has one owner among the instances, which keeps the only queue
// for its replicas; the other instances send it their jobs.
package batcher

import (
	"strconv"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Job holds the pieces of one stage that one request needs.
type Job struct {
	Service   string
	RequestID string
	Stage     int
	Pieces    []int
	// Key is the key of the pieces; it is set for a stage without inputs. Inputs are the
	// handles of the results that the pieces need; they are set for every other stage.
	Key    string
	Inputs []string
	// Datacentre is the preferred data centre for the computation; "" means any.
	Datacentre string
	// Regions are the regions whose replicas may compute the pieces; empty for all.
	Regions []string
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes int64
	// Rank orders jobs; see router.Rank.
	Rank int
	// Workspace is the name of the request's workspace, or "".
	Workspace string
	// IsReturning is set if the client was refused before and has waited as the refusal asked.
	IsReturning bool
	// Content is a key of the request that requests which ask the same share, or "".
	Content string
	// SoftDeadline is the time by which the pieces must be computed so that the response
	// can begin by the request's soft deadline. Results that are computed after
	// HardDeadline are useless.
	SoftDeadline, HardDeadline time.Time
}

// Result is the outcome of a job: the handles of the results in the order of the
// pieces, or the reason for which there are none.
type Result struct {
	Handles []string
	Failure server.PieceFailure
}

// PieceFailureMoved means that the owner is stopping; the job must be sent to the next owner.
const PieceFailureMoved server.PieceFailure = "moved"

// task is a job in its owner's queue. The owner's mu guards it.
type task struct {
	*Job
	// handles are the results by index in Pieces; remaining counts those still missing.
	handles    []string
	remaining  int
	isFinished bool
	// isSuspect is set once a replica has crashed under a call with pieces of the task. They are
	// then computed in calls of their own, which shows whether they are the cause.
	isSuspect bool
	// isStarted is set once a piece of the task became part of a call.
	isStarted bool
	// usesLeftover is set once the task of a returning client uses left-over capacity only.
	usesLeftover bool
	// cause is why the task was shed; "" if it was not.
	cause      shedCause
	onFinish   func(Result)
	enqueuedAt time.Time
	sequence   uint64
	// due and start are the time by which the task is due and the virtual time at which it starts, as of the last time the
	// tasks were sorted by shares.
	due   time.Time
	start float64
	// queued are the pieces that wait to become part of a call.
	queued []*queuedPiece
}

// content returns what the blocker knows the pieces of the task by.
func (t *task) content() server.RequestContent {
	if t.Content == "" {
		return server.RequestContent{}
	}
	return server.RequestContent{Keys: []string{server.ContentKey(t.Content, t.Service, strconv.Itoa(t.Stage))}}
}

// hasInputs reports whether the task needs results of earlier stages. The work on these
// would be wasted if the task failed.
func (t *task) hasInputs() bool { return len(t.Inputs) > 0 }

// queuedPiece is one piece of a task, queued or in a call. index is its position in
// Pieces, attempts the number of calls that failed to compute it.
type queuedPiece struct {
	task     *task
	index    int
	attempts int
}

// finish calls onFinish with the task's result, at the first call only. After a failure
// it returns the handles of the results that were computed and must be released.
func (t *task) finish(failure server.PieceFailure) (orphans []string) {
	if t.isFinished {
		return nil
	}
	t.isFinished = true
	if failure == "" {
		t.onFinish(Result{Handles: t.handles})
		return nil
	}
	for _, handle := range t.handles {
		if handle != "" {
			orphans = append(orphans, handle)
		}
	}
	t.onFinish(Result{Failure: failure})
	return orphans
}
