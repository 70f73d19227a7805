package registrar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// watchWait is how long the store may hold a watch without news; memberWait is
	// the same for the table of instances, whose news come over links too.
	watchWait  = 12 * time.Second
	memberWait = 25 * time.Second
	// firstRetry and lastRetry bound the wait after a failed call.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
	// gatherWait is the pause after news, so that changes in quick succession come
	// in one answer; the platform bounds how late a change may be by 2 s or more.
	gatherWait = 200 * time.Millisecond
	// gatherEach is the number of instances for which the pause grows by its own
	// length, up to gatherMost times, so that large deployments ask no more often
	// in all. 0.8 s is well below the 2 s in which news must be in force.
	gatherEach = 20
	gatherMost = 4
	// memberGather is the same for the table of instances.
	memberGather = time.Second
	// ledWait is how often it is looked whether leaders still follow the store.
	ledWait = 200 * time.Millisecond
	// quickAnswers is the number of watches answered in a row without news
	// after which the follower waits, so that a faulty store is not flooded.
	quickAnswers = 3
	quickWait    = 200 * time.Millisecond
)

// follower keeps one table up to date with the store.
type follower struct {
	registrar *Registrar
	feed      server.Feed
	table     string
	wait      time.Duration
	gather    time.Duration
	version   uint64
	loaded    bool
	failures  int
	quick     int
	lost      time.Time
	// led is set while other instances follow the table for this one.
	led bool
}

func newFollower(r *Registrar, feed server.Feed, table string) *follower {
	f := &follower{registrar: r, feed: feed, table: table, wait: watchWait, gather: gatherWait}
	if table == TableInstances {
		f.wait, f.gather = memberWait, memberGather
	}
	return f
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := f.step(ctx)
		if server.Sleep(ctx, f.registrar.timer, wait) != nil {
			return
		}
	}
}

// step makes one call and returns the wait before the next.
func (f *follower) step(ctx context.Context) time.Duration {
	if !f.loaded {
		return f.load(ctx)
	}
	if f.follows() {
		return ledWait
	}
	// Other instances may have told more than the store did.
	f.version = max(f.version, f.registrar.Version(f.table))
	began := f.registrar.timer.Now()
	rows, version, err := f.feed.Watch(ctx, f.table, f.version, f.hold())
	if errors.Is(err, server.ErrNotFound) {
		f.loaded = false
		f.registrar.log.Info("history of the store is too short, reading the table whole", "table", f.table, "after", f.version)
		return 0
	}
	if err != nil {
		return f.fail(ctx, err)
	}
	f.succeed()
	if version < f.version {
		// An answer from before what is known says nothing new.
		return quickWait
	}
	f.registrar.Follow(f.table, rows, version)
	f.version = version
	if len(rows) > 0 {
		f.quick = 0
		return f.pause()
	}
	if f.registrar.timer.Now().Sub(began) > quickWait {
		f.quick = 0
		return 0
	}
	if f.quick++; f.quick > quickAnswers {
		return quickWait
	}
	return 0
}

// follows reports whether other instances follow the table for this one.
func (f *follower) follows() bool {
	led := f.registrar.led(f.table)
	if led != f.led {
		f.led = led
		f.registrar.log.Info("followers of the store changed", "table", f.table, "others_follow", led, "version", f.registrar.Version(f.table))
	}
	return led
}

// hold is how long the store may hold a watch.
func (f *follower) hold() time.Duration {
	if f.registrar.leading() {
		return f.registrar.leadWait
	}
	return f.wait
}

// pause is the wait after news.
func (f *follower) pause() time.Duration {
	if f.registrar.leading() {
		return gatherWait
	}
	times := len(f.registrar.View().Instances()) / gatherEach
	return f.gather * time.Duration(min(max(times, 1), gatherMost))
}

func (f *follower) load(ctx context.Context) time.Duration {
	rows, version, err := f.feed.Load(ctx, f.table)
	if err != nil {
		return f.fail(ctx, err)
	}
	f.succeed()
	f.registrar.Replace(f.table, rows, version)
	f.version, f.loaded = version, true
	return f.pause()
}

// fail notes a failed call. After a gap the table is read whole, since a watch
// may have missed rows that lapsed.
func (f *follower) fail(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	now := f.registrar.timer.Now()
	f.registrar.Failed(now)
	if f.failures == 0 {
		f.lost = now
		f.registrar.log.Info("store lost", "table", f.table, "version", f.version, "cause", err.Error())
	}
	f.failures++
	limit := min(firstRetry<<min(f.failures, 8), lastRetry)
	return limit/2 + time.Duration(rand.Int64N(int64(limit)))
}

func (f *follower) succeed() {
	f.registrar.noteAnswer(f.table)
	if f.failures > 0 {
		f.registrar.log.Info("store regained", "table", f.table, "away_ms", f.registrar.timer.Now().Sub(f.lost).Milliseconds(), "failures", f.failures)
	}
	f.failures = 0
}
