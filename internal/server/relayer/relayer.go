// Package relayer passes clients' requests on to replicas and their answers
// back, byte for byte, and says of every request how it ended.
package relayer

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/batcher"
	"oriolemill.example/oriolemill/internal/server/chooser"
	"oriolemill.example/oriolemill/internal/server/exchanger"
	"oriolemill.example/oriolemill/internal/server/registrar"
	"oriolemill.example/oriolemill/internal/server/stager"
)

// WaitEstimator tell how long stage services take now.
type WaitEstimator interface {
	// WaitEstimate returns what a new piece of a rank can expect; ok is false when
	// nothing fresh is known.
	WaitEstimate(service string, rank int) (outlook batcher.WaitEstimate, ok bool)
}

// Meter counts requests.
type Meter interface {
	// Ended counts a request by its route, outcome and status.
	Ended(route, outcome string, status int, took time.Duration)
	// Attempted counts an attempt by its service and fate.
	Attempted(service, fate string, took time.Duration)
	// Stage counts the time that a request's stages took.
	Staged(route string, took time.Duration)
}

// Parts are what a Relayer works with.
type Parts struct {
	Log       logr.Logger
	Timer     server.Timer
	View      func() *registrar.View
	Wire      server.Wire
	Chooser   *chooser.Chooser
	Exchanger *exchanger.Exchanger
	Stager    *stager.Stager
	Budget    server.Budget
	Estimates WaitEstimator
	Meter     Meter
}

// Relayer is the http.Handler of clients.
type Relayer struct {
	Parts
	stopping atomic.Bool
	active   atomic.Int64
	patience patience
}

// New returns a Relayer.
func New(parts Parts) *Relayer {
	return &Relayer{Parts: parts, patience: patience{longest: make(map[string]time.Duration)}}
}

// Leave makes every further answer the last of its connection.
func (l *Relayer) Leave() { l.stopping.Store(true) }

// Active returns the number of requests in progress.
func (l *Relayer) Active() int64 { return l.active.Load() }

// ServeHTTP implements http.Handler.
func (l *Relayer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.active.Add(1)
	defer l.active.Add(-1)
	f := newFlow(l, w, r)
	f.run()
	f.report()
	if f.abort {
		// The server closes the connection without ending the answer.
		panic(http.ErrAbortHandler)
	}
}
