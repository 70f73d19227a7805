package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"oriolemill.example/oriolemill/internal/messenger"
)

// Ledger records the runs of a plain service's operations by workspace and
// idempotency key. All replicas of a service share one. It is safe for concurrent
// use.
type Ledger struct {
	mu sync.Mutex
	// All maps are indexed by "workspace/key".
	runs    map[string]int
	answers map[string]messenger.RunAnswer
	fences  map[string]uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runs:    make(map[string]int),
		answers: make(map[string]messenger.RunAnswer),
		fences:  make(map[string]uint64),
	}
}

// Runs returns how often an operation ran with the workspace's key.
func (l *Ledger) Runs(workspace, key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[workspace+"/"+key]
}

// MaxRuns returns the highest number of runs of any key, and the number of keys.
func (l *Ledger) MaxRuns() (most, keys int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, count := range l.runs {
		most = max(most, count)
	}
	return most, len(l.runs)
}

// PlainService is one replica of a plain service whose operations have side
// effects. It is safe for concurrent use.
type PlainService struct {
	faultInjector *FaultInjector
	ledger        *Ledger
	checksFence   bool
	servesStatus  bool
	operationTime time.Duration
	checkToken    TokenCheck
	lastAnswer    atomic.Pointer[messenger.RunAnswer]
}

// TokenCheck returns an error for a token that was not signed by the deployment.
type TokenCheck func(token string) error

// ServiceOption sets a property of a PlainService.
type ServiceOption func(*PlainService)

// WithServiceTokenCheck makes the service reject operations whose token the check
// rejects.
func WithServiceTokenCheck(check TokenCheck) ServiceOption {
	return func(s *PlainService) { s.checkToken = check }
}

// rejectIfInvalid responds with 403 if the check rejects the token, and reports
// whether it did. A nil check accepts every token. Handlers call it before a request
// takes any effect.
func (c TokenCheck) rejectIfInvalid(w http.ResponseWriter, token string) bool {
	if c == nil || c(token) == nil {
		return false
	}
	http.Error(w, "token", http.StatusForbidden)
	return true
}

// NewPlainService returns a replica that records its runs in the ledger. checksFence
// makes it reject old fencing numbers, and servesStatus makes it serve the status of
// orders. Each operation takes operationTime.
func NewPlainService(faultInjector *FaultInjector, ledger *Ledger, checksFence, servesStatus bool, operationTime time.Duration, options ...ServiceOption) *PlainService {
	s := &PlainService{faultInjector: faultInjector, ledger: ledger, checksFence: checksFence, servesStatus: servesStatus, operationTime: operationTime}
	for _, option := range options {
		option(s)
	}
	return s
}

// Handler returns the handler of the plain service's HTTP interface.
func (s *PlainService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messenger.PathOperations+"{operation}", s.handleOperation)
	mux.HandleFunc("GET "+messenger.PathOrders+"{workspace}/{key}", s.handleOrderStatus)
	mux.HandleFunc("GET "+messenger.PathLoad, s.handleLoad)
	return mux
}

// handleOperation runs an operation and sends its receipt. The operation is not
// interrupted when the client disconnects.
func (s *PlainService) handleOperation(w http.ResponseWriter, r *http.Request) {
	var request messenger.RunRequest
	if !readJSON(w, r, &request) {
		return
	}
	if s.checkToken.rejectIfInvalid(w, request.Token) || rejectIfLeaving(w, s.faultInjector) {
		return
	}
	duration := s.faultInjector.slowDown(s.operationTime)
	time.Sleep(duration)
	answer, ok := s.ledger.recordRun(request, s.checksFence)
	if !ok {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	writeAnswer(w, s.faultInjector, &s.lastAnswer, request, answer, duration)
}

// recordRun counts a run, records its answer and returns the output. With checksFence it
// reports false, and records nothing, for an old fencing number.
func (l *Ledger) recordRun(request messenger.RunRequest, checksFence bool) (json.RawMessage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := request.Workspace + "/" + request.IdempotencyKey
	if checksFence && request.IdempotencyKey != "" {
		if request.Fence < l.fences[id] {
			return nil, false
		}
		l.fences[id] = request.Fence
	}
	l.runs[id]++
	output, _ := json.Marshal(map[string]any{"receipt": request.Stage + "-" + strconv.Itoa(len(l.answers)+1), "key": request.IdempotencyKey})
	l.answers[id] = messenger.RunAnswer{
		AttemptID: request.AttemptID, Workspace: request.Workspace, OutputLength: len(output), Output: output, IsComplete: true,
	}
	return output, true
}

// handleOrderStatus sends the recorded answer to an order.
func (s *PlainService) handleOrderStatus(w http.ResponseWriter, r *http.Request) {
	if !s.servesStatus {
		http.Error(w, "no status", http.StatusNotImplemented)
		return
	}
	fence, _ := strconv.ParseUint(r.URL.Query().Get("fence"), 10, 64)
	answer, ok := s.ledger.recordedAnswer(r.PathValue("workspace")+"/"+r.PathValue("key"), fence, s.checksFence)
	if !ok {
		http.Error(w, "no order", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// recordedAnswer returns the recorded answer to an order. With checksFence it also
// raises the order's fencing number, so that earlier attempts can no longer run.
func (l *Ledger) recordedAnswer(id string, fence uint64, checksFence bool) (messenger.RunAnswer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if checksFence {
		l.fences[id] = max(l.fences[id], fence)
	}
	answer, ok := l.answers[id]
	return answer, ok
}

func (s *PlainService) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, messenger.Load{Slots: 1, IsLeaving: s.faultInjector.Get().Leaving})
}
