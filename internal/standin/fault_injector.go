package standin

import (
	"net/http"
	"sync"
	"time"
)

// Fault is the set of faults that a stand-in injects. The zero value injects none.
type Fault struct {
	// DelayMillis is the delay before each request is handled, in milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Outage makes the stand-in respond to every request with 503.
	Outage bool `json:"outage,omitempty"`
	// Errors is the number of next requests that get status 500 and take no effect.
	Errors int `json:"errors,omitempty"`
	// Resets is the number of next requests whose connection is closed before they
	// take effect.
	Resets int `json:"resets,omitempty"`
	// LostAnswers is the number of next requests that take effect but whose connection is
	// closed without a response.
	LostAnswers int `json:"lost,omitempty"`
	// CrossedAnswers is the number of next attempts at a pool or plain service that get the
	// response to the previous attempt, or of next tokens of an engine that carry a wrong
	// attempt ID, as does the rest of their stream.
	CrossedAnswers int `json:"crossed,omitempty"`
	// ForeignAnswers is the number of next responses, or tokens of an engine, that carry
	// another workspace's name, as does the rest of the tokens' stream.
	ForeignAnswers int `json:"foreign,omitempty"`
	// WrongLengths is the number of next responses that state a wrong length.
	WrongLengths int `json:"short,omitempty"`
	// CutAnswers is the number of next responses or streams that break off in the middle.
	CutAnswers int `json:"cut,omitempty"`
	// DuplicateAnswers is the number of next responses or tokens that are sent twice.
	DuplicateAnswers int `json:"twice,omitempty"`
	// OmittedTokens is the number of next tokens that an engine leaves out.
	OmittedTokens int `json:"gap,omitempty"`
	// LoadLagMillis is the maximum age of an engine's load report, in milliseconds.
	LoadLagMillis int `json:"load_lag_ms,omitempty"`
	// EventLagMillis is the delay before an engine reports a cache event, in milliseconds.
	EventLagMillis int `json:"event_lag_ms,omitempty"`
	// EventGap makes an engine leave out each N-th cache event; zero leaves out none.
	EventGap int `json:"event_gap,omitempty"`
	// Paused makes the stand-in hold back all requests until it is false again.
	Paused bool `json:"pause,omitempty"`
	// Leaving makes the stand-in report that it is shutting down and reject work.
	Leaving bool `json:"leaving,omitempty"`
	// SlowFactor is the factor by which work takes longer; values below 1 count as 1.
	SlowFactor float64 `json:"slow,omitempty"`
}

// FaultInjector holds the faults of a stand-in. It is safe for concurrent use, and serves
// GET and PUT of Fault as JSON.
type FaultInjector struct {
	mu    sync.Mutex
	fault Fault
}

// NewFaultInjector returns a FaultInjector that injects none.
func NewFaultInjector() *FaultInjector { return &FaultInjector{} }

// Set replaces the faults.
func (f *FaultInjector) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Get returns the current faults with what is left of their counts.
func (f *FaultInjector) Get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// consume decrements a counted fault and reports whether the fault applies, which
// is when its count was above zero.
func (f *FaultInjector) consume(field func(*Fault) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := field(&f.fault)
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// ServeHTTP sets the faults on PUT, and responds with the current faults.
func (f *FaultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var fault Fault
		if !readJSON(w, r, &fault) {
			return
		}
		f.Set(fault)
	}
	writeJSON(w, http.StatusOK, f.Get())
}

// wrap returns a handler that calls next and applies the faults common to all requests:
// delay, pause, outage, errors, resets and lost responses.
func (f *FaultInjector) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := f.Get()
		if fault.DelayMillis > 0 && !sleepWhileConnected(r, time.Duration(fault.DelayMillis)*time.Millisecond) {
			return
		}
		if !f.awaitResume(r) {
			return
		}
		switch {
		case fault.Outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
		case f.consume(func(f *Fault) *int { return &f.Errors }):
			http.Error(w, "error", http.StatusInternalServerError)
		case f.consume(func(f *Fault) *int { return &f.Resets }):
			closeConnection(w)
		case f.consume(func(f *Fault) *int { return &f.LostAnswers }):
			next.ServeHTTP(newDiscardWriter(), r)
			closeConnection(w)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// pausePollInterval is the interval at which a paused request checks the Paused fault.
const pausePollInterval = 5 * time.Millisecond

// awaitResume waits while the stand-in is paused. It reports false when the client
// disconnected.
func (f *FaultInjector) awaitResume(r *http.Request) bool {
	for f.Get().Paused {
		if !sleepWhileConnected(r, pausePollInterval) {
			return false
		}
	}
	return true
}

// sleepWhileConnected waits for the given time. It reports false when the client
// disconnected before that.
func sleepWhileConnected(r *http.Request, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// closeConnection closes the request's connection without a response.
func closeConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// discardWriter is a response writer that discards the response.
type discardWriter struct {
	header http.Header
}

func newDiscardWriter() *discardWriter { return &discardWriter{header: make(http.Header)} }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
