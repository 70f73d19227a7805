// Package reporter writes a log line for each state that an instance reaches: started,
// ready, stopping and stopped. The configurer logs which version is active.
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
	// isReadyLogged is set once the ready line was logged.
	isReadyLogged atomic.Bool
	stopTimer     func()
}

// New returns a Reporter that reads an instance's snapshots.
func New(log logr.Logger, timer server.Timer, snapshot func() *server.Snapshot) *Reporter {
	return &Reporter{log: log, timer: timer, snapshot: snapshot}
}

// Start logs that the instance began to serve callers and operators at the given
// addresses, and begins to check whether it is ready.
func (r *Reporter) Start(callerAddress, operatorAddress string) {
	r.log.Info("started", "callers", callerAddress, "operators", operatorAddress)
	r.stopTimer = r.timer.Every(checkInterval, func(time.Time) { r.checkReady() })
}

// checkReady logs, once, that the instance is ready: a version is active.
func (r *Reporter) checkReady() {
	if r.snapshot().Version() > 0 && r.isReadyLogged.CompareAndSwap(false, true) {
		r.log.Info("ready")
	}
}

// BeginDrain logs that the instance is stopping: it accepts no new requests and completes
// those in progress.
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
