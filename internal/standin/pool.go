package standin

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"oriolemill.example/oriolemill/internal/messenger"
)

// StageFunc computes the output of a stage from one input.
type StageFunc func(stage string, input json.RawMessage) json.RawMessage

// Pool is one replica of an encoder, retriever or reranker service. It is safe for
// concurrent use.
type Pool struct {
	faultInjector *FaultInjector
	slots         chan struct{}
	attemptTime   time.Duration
	stageFunc     StageFunc
	running       atomic.Int64
	waiting       atomic.Int64
	lastAnswer    atomic.Pointer[messenger.RunAnswer]
}

// NewPool returns a replica that runs up to slots attempts at a time. Each takes
// attemptTime and returns the output of stageFunc.
func NewPool(faultInjector *FaultInjector, slots int, attemptTime time.Duration, stageFunc StageFunc) *Pool {
	return &Pool{faultInjector: faultInjector, slots: make(chan struct{}, slots), attemptTime: attemptTime, stageFunc: stageFunc}
}

// Handler returns the handler of the pool's HTTP interface.
func (p *Pool) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messenger.PathRun, p.handleRun)
	mux.HandleFunc("GET "+messenger.PathLoad, p.handleLoad)
	return mux
}

// handleRun waits for a free slot, computes one stage input and sends the output.
func (p *Pool) handleRun(w http.ResponseWriter, r *http.Request) {
	var request messenger.RunRequest
	if !readJSON(w, r, &request) {
		return
	}
	if rejectIfLeaving(w, p.faultInjector) {
		return
	}
	p.waiting.Add(1)
	select {
	case p.slots <- struct{}{}:
		p.waiting.Add(-1)
	case <-r.Context().Done():
		p.waiting.Add(-1)
		return
	}
	p.running.Add(1)
	duration := p.faultInjector.slowDown(p.attemptTime)
	ok := sleepWhileConnected(r, duration)
	p.running.Add(-1)
	<-p.slots
	if !ok {
		return
	}
	output := p.stageFunc(request.Stage, request.Input)
	writeAnswer(w, p.faultInjector, &p.lastAnswer, request, output, duration)
}

// writeAnswer writes the response to an attempt with the faults applied. It replaces the
// replica's previous response in last by this one; the CrossedAnswers fault sends the
// previous one instead.
func writeAnswer(w http.ResponseWriter, faultInjector *FaultInjector, last *atomic.Pointer[messenger.RunAnswer], request messenger.RunRequest, output json.RawMessage, duration time.Duration) {
	answer := messenger.RunAnswer{
		AttemptID:    request.AttemptID,
		Workspace:    request.Workspace,
		OutputLength: len(output),
		Output:       output,
		BusyMicros:   duration.Microseconds(),
		IsComplete:   true,
	}
	previous := last.Swap(&answer)
	if previous != nil && faultInjector.consume(func(f *Fault) *int { return &f.CrossedAnswers }) {
		writeJSON(w, http.StatusOK, *previous)
		return
	}
	if faultInjector.consume(func(f *Fault) *int { return &f.ForeignAnswers }) {
		answer.Workspace = "another-" + answer.Workspace
	}
	if faultInjector.consume(func(f *Fault) *int { return &f.WrongLengths }) {
		answer.OutputLength++
	}
	if faultInjector.consume(func(f *Fault) *int { return &f.CutAnswers }) {
		writeCutAnswer(w, answer)
		return
	}
	writeJSON(w, http.StatusOK, answer)
	if faultInjector.consume(func(f *Fault) *int { return &f.DuplicateAnswers }) {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// writeCutAnswer writes the first half of a response and closes the connection.
func writeCutAnswer(w http.ResponseWriter, answer messenger.RunAnswer) {
	data, err := json.Marshal(answer)
	if err != nil {
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	closeConnection(w)
}

// rejectIfLeaving responds with 503 and the X-Leaving header if the Leaving fault is
// set, and reports whether it did.
func rejectIfLeaving(w http.ResponseWriter, faultInjector *FaultInjector) bool {
	if !faultInjector.Get().Leaving {
		return false
	}
	w.Header().Set("X-Leaving", "1")
	http.Error(w, "leaving", http.StatusServiceUnavailable)
	return true
}

// slowDown multiplies a duration by SlowFactor.
func (f *FaultInjector) slowDown(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * max(f.Get().SlowFactor, 1))
}

func (p *Pool) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, messenger.Load{
		Running:   int(p.running.Load()),
		Waiting:   int(p.waiting.Load()),
		Slots:     cap(p.slots),
		IsLeaving: p.faultInjector.Get().Leaving,
	})
}
