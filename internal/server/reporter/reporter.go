// Package reporter writes a log line for each state that an instance reaches: started,
// ready, stopping and stopped. The configurer logs which version is in force.
package reporter

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
)

// checkInterval is how often the snapshot is checked for readiness.
const checkInterval = 200 * time.Millisecond

// Reporter logs the states of one instance. Its methods must be called in the order
// Start, BeginDrain and Stop.
type Reporter struct {
	log      logr.Logger
	timer    server.Timer
	snapshot func() *server.Snapshot
	// ready is set once the ready line was logged.
	ready     atomic.Bool
	stopTimer func()
}

// New returns a Reporter that reads an instance's snapshots.
func New(log logr.Logger, timer server.Timer, snapshot func() *server.Snapshot) *Reporter {
	return &Reporter{log: log, timer: timer, snapshot: snapshot}
}

// Start logs that the instance began to serve callers and operators at two addresses.
func (r *Reporter) Start(callers, operators string) {
	r.log.Info("started", "callers", callers, "operators", operators)
	r.stopTimer = r.timer.Every(checkInterval, func(time.Time) { r.checkReady() })
}

// checkReady logs, once, that the instance is ready: a version is in force.
func (r *Reporter) checkReady() {
	if r.snapshot().Version() > 0 && r.ready.CompareAndSwap(false, true) {
		r.log.Info("ready")
	}
}

// BeginDrain logs that the instance accepts no new requests and completes those in progress.
func (r *Reporter) BeginDrain() {
	r.stopTimer()
	r.log.Info("stopping")
}

// Stop logs that the instance stopped, with the error that ended it if there is one.
func (r *Reporter) Stop(err error) {
	if err != nil {
		r.log.Error(err, "stopped")
		return
	}
	r.log.Info("stopped")
}
