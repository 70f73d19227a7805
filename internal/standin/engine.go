package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/messenger"
)

// EngineSpeed is the speed and the capacity of an engine.
type EngineSpeed struct {
	// Slots is the maximum number of requests that run at a time.
	Slots int
	// PrefillRate is the number of prompt tokens computed in a second, shared by all
	// running requests.
	PrefillRate float64
	// StepTime is the duration of one step with one running request.
	StepTime time.Duration
	// BatchSlowdown is the fraction of StepTime by which each further running request
	// lengthens a step.
	BatchSlowdown float64
	// CacheBlocks is the capacity of the prefix cache in prompt blocks; zero means
	// defaultBlocks.
	CacheBlocks int
}

// defaultBlocks is the prefix cache's capacity when EngineSpeed sets none.
const defaultBlocks = 4096

// EngineOption sets a property of an Engine.
type EngineOption func(*Engine)

// WithModels sets the models that are loaded at the start.
func WithModels(models ...string) EngineOption {
	return func(e *Engine) { e.models = append(e.models, models...) }
}

// WithFenceCheck sets whether the engine rejects commands with old fencing numbers; the
// default is that it accepts them.
func WithFenceCheck(enabled bool) EngineOption {
	return func(e *Engine) { e.checksFence = enabled }
}

// WithWeightStore sets the host:port of the weight store that models are loaded
// from; without it loading a model needs no download.
func WithWeightStore(address string) EngineOption {
	return func(e *Engine) { e.weightStore = address }
}

// WithEngineTokenCheck makes the engine reject commands whose token the check rejects.
func WithEngineTokenCheck(check TokenCheck) EngineOption {
	return func(e *Engine) { e.checkToken = check }
}

// Engine is one replica of a model engine that batches continuously, caches
// prompt prefixes, schedules by priority and executes commands. It is safe for
// concurrent use.
type Engine struct {
	faultInjector *FaultInjector
	speed         EngineSpeed
	cache         *prefixCache
	batcher       *batcher
	checksFence   bool
	weightStore   string
	checkToken    TokenCheck

	mu     sync.Mutex
	models []string
	role   string
	// highestFence is the highest fencing number received.
	highestFence    uint64
	commands        []messenger.Command
	prefillTokens   int
	decodeTokens    int
	requestsByModel map[string]int
	// loadReport is the report made at loadReportedAt, sent until LoadLagMillis has passed.
	loadReport     messenger.Load
	loadReportedAt time.Time
}

// NewEngine returns an engine replica with the given faults and speed.
func NewEngine(faultInjector *FaultInjector, speed EngineSpeed, options ...EngineOption) *Engine {
	if speed.CacheBlocks == 0 {
		speed.CacheBlocks = defaultBlocks
	}
	e := &Engine{faultInjector: faultInjector, speed: speed, cache: newPrefixCache(speed.CacheBlocks), role: roleBoth, requestsByModel: make(map[string]int)}
	e.batcher = &batcher{engine: e}
	for _, option := range options {
		option(e)
	}
	return e
}

// Handler returns the handler of the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messenger.PathGenerate, e.handleGenerate)
	mux.HandleFunc("GET "+messenger.PathLoad, e.handleLoad)
	mux.HandleFunc("GET "+messenger.PathEvents, e.handleEvents)
	mux.HandleFunc("POST "+messenger.PathCommands, e.handleCommand)
	mux.HandleFunc("POST "+messenger.PathCache, e.handleCache)
	return mux
}

// TokenCounts returns the numbers of prompt tokens computed (prefill) and of tokens
// generated (decode) so far.
func (e *Engine) TokenCounts() (prefill, decode int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prefillTokens, e.decodeTokens
}

// stepTime returns the duration of a step with the given number of running requests.
func (e *Engine) stepTime(running int) time.Duration {
	duration := float64(e.speed.StepTime) * (1 + e.speed.BatchSlowdown*float64(running-1))
	return e.faultInjector.slowDown(time.Duration(duration))
}

// prefillRate returns the number of prompt tokens computed in a second, lowered by
// SlowFactor.
func (e *Engine) prefillRate() float64 {
	return e.speed.PrefillRate / max(e.faultInjector.Get().SlowFactor, 1)
}

// handleGenerate streams the response to a prompt.
func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var request messenger.GenerateRequest
	if !readJSON(w, r, &request) {
		return
	}
	if rejectIfLeaving(w, e.faultInjector) {
		return
	}
	if !e.isLoaded(request.Model) {
		http.Error(w, "model not loaded", http.StatusServiceUnavailable)
		return
	}
	e.countRequest(request.Model, 1)
	defer e.countRequest(request.Model, -1)
	e.streamTokens(w, r, request)
}

// countRequest adds change to the number of a model's running and waiting requests.
func (e *Engine) countRequest(model string, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestsByModel[model] += change
}

// streamTokens sends the tokens after the request's resume prefix, each when the batcher
// has generated it, then the last chunk with the totals.
func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, request messenger.GenerateRequest) {
	start := time.Now()
	words := GeneratedTokens(request.Prompt, request.MaxTokens)
	blocks := messenger.AppendBlockHashes(nil, request.CacheSalt, request.Prompt)
	hits := e.cache.lookupAndStore(blocks)
	prefill := max(messenger.CountTokens(request.Prompt)-hits*messenger.BlockTokens, 1) + len(request.ResumePrefix)
	batchRequest := e.batcher.submit(r.Context(), priorityRank(request.Priority), prefill, max(len(words)-len(request.ResumePrefix), 1))
	e.countTokens(prefill, 0)
	writer := &chunkWriter{encoder: json.NewEncoder(w), flush: http.NewResponseController(w).Flush, request: request}
	for offset := len(request.ResumePrefix); offset < len(words); offset++ {
		if _, ok := <-batchRequest.tokenSignals; !ok {
			return
		}
		e.countTokens(0, 1)
		if e.cutStream(w, offset, len(words)) || !e.sendToken(writer, offset, words) {
			return
		}
	}
	_ = writer.encoder.Encode(messenger.Chunk{
		AttemptID: request.AttemptID, Workspace: request.Workspace, IsLast: true, TotalTokens: len(words),
		PrefillTokens: prefill, BusyMicros: time.Since(start).Microseconds(),
	})
}

// sendToken sends one token with the faults applied: the token may be left out,
// sent twice or carry another workspace or attempt. It reports false when writing
// failed.
func (e *Engine) sendToken(writer *chunkWriter, offset int, words []string) bool {
	if e.faultInjector.consume(func(f *Fault) *int { return &f.OmittedTokens }) {
		return true
	}
	if e.faultInjector.consume(func(f *Fault) *int { return &f.DuplicateAnswers }) && !writer.send(offset, words[offset]) {
		return false
	}
	if e.faultInjector.consume(func(f *Fault) *int { return &f.ForeignAnswers }) {
		writer.request.Workspace = "another-" + writer.request.Workspace
	}
	if e.faultInjector.consume(func(f *Fault) *int { return &f.CrossedAnswers }) {
		writer.request.AttemptID = strings.Repeat("0", len(writer.request.AttemptID))
	}
	return writer.send(offset, words[offset])
}

// cutStream closes the connection in the second half of a stream if the CutAnswers
// fault applies, and reports whether it did.
func (e *Engine) cutStream(w http.ResponseWriter, offset, total int) bool {
	if offset <= total/2 || !e.faultInjector.consume(func(f *Fault) *int { return &f.CutAnswers }) {
		return false
	}
	closeConnection(w)
	return true
}

// chunkWriter writes the chunks of one stream, one JSON line each.
type chunkWriter struct {
	encoder *json.Encoder
	flush   func() error
	request messenger.GenerateRequest
}

// send writes and flushes one token, and reports whether that succeeded.
func (c *chunkWriter) send(offset int, text string) bool {
	chunk := messenger.Chunk{AttemptID: c.request.AttemptID, Workspace: c.request.Workspace, Offset: offset, Text: text}
	return c.encoder.Encode(chunk) == nil && c.flush() == nil
}

// countTokens adds to the totals that TokenCounts returns.
func (e *Engine) countTokens(prefill, decode int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefillTokens += prefill
	e.decodeTokens += decode
}

// isLoaded reports whether a model is loaded; the empty name means any model.
func (e *Engine) isLoaded(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if model == "" {
		return true
	}
	for _, loaded := range e.models {
		if loaded == model {
			return true
		}
	}
	return false
}

// priorityRank returns the rank of a contract's priority, the most urgent first.
// Unknown priorities rank as normal.
func priorityRank(priority string) int {
	switch priority {
	case "urgent":
		return 0
	case "patient":
		return 2
	default:
		return 1
	}
}

// GeneratedTokens returns the tokens that every engine generates for a prompt: the last
// words of the prompt itself, so that a reader detects a response to another prompt.
func GeneratedTokens(prompt string, tokens int) []string {
	fields := strings.Fields(prompt)
	words := make([]string, 0, tokens)
	words = append(words, "Summary:")
	for i := max(0, len(fields)-tokens+1); i < len(fields) && len(words) < tokens; i++ {
		words = append(words, " "+fields[i])
	}
	return words
}

// handleLoad sends the load report, which is up to the LoadLagMillis fault old.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	fault := e.faultInjector.Get()
	running, waiting := e.batcher.requestCounts()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	lag := time.Duration(fault.LoadLagMillis) * time.Millisecond
	if now.Sub(e.loadReportedAt) >= lag {
		e.loadReportedAt = now
		e.loadReport = messenger.Load{
			Running:         running,
			Waiting:         waiting,
			Slots:           e.speed.Slots,
			PrefillRate:     e.speed.PrefillRate,
			DecodeRate:      float64(time.Second) / float64(max(e.speed.StepTime, 1)),
			Models:          append([]string(nil), e.models...),
			Role:            e.role,
			RequestsByModel: maps.Clone(e.requestsByModel),
			Fence:           e.highestFence,
		}
	}
	report := e.loadReport
	report.AgeMillis = now.Sub(e.loadReportedAt).Milliseconds()
	report.IsLeaving = fault.Leaving
	writeJSON(w, http.StatusOK, report)
}

// handleEvents sends the cache events after the sequence number in ?since=.
func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since", http.StatusBadRequest)
		return
	}
	fault := e.faultInjector.Get()
	lag := time.Duration(fault.EventLagMillis) * time.Millisecond
	writeJSON(w, http.StatusOK, e.cache.eventsSince(since, lag, fault.EventGap))
}
