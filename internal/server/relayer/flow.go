package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/registrar"
	"oriolemill.example/oriolemill/internal/server/router"
	"oriolemill.example/oriolemill/internal/server/stager"
)

const (
	// maxAttempts bounds the attempts of one request, those that reached nobody
	// included.
	maxTries = 5
	// minLeft is the least time in which another attempt makes sense.
	minLeft = 30 * time.Millisecond
	// streamGrace is how long a stream may go on after its time: the replica,
	// which was told the time, ends it.
	streamGrace = 200 * time.Millisecond
	// writeTimeout bounds a write to a client that does not read.
	writeTimeout = 5 * time.Second
	// defaultBody bounds a body in bytes where the plan does not.
	defaultBody = 4 << 20
	// maxPatience stands for a client and route that state no time.
	maxPatience = time.Minute
)

// Outcomes of requests, in lines and counters.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeRejected = "rejected"
	outcomeFailed   = "failed"
	outcomeBroken   = "broken"
	outcomeLeft     = "left"
)

// flow is one request on its way.
type flow struct {
	*Relayer
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context
	cancel    context.CancelCauseFunc
	view      *registrar.View
	traits    server.Traits
	route     *server.Route
	workspace *server.Workspace
	priority  int
	// rank is the request's place among all others.
	rank    int
	service string
	body    []byte
	arrived time.Time
	// goal is when the answer, of streams the first event, is on time.
	goal     time.Time
	deadline time.Time
	timeUp   func()
	// sending is the context of the attempt in progress, stalled ends it and
	// unwatch stops the watch over its silence.
	sending  context.Context
	stalled  func()
	unwatch  func()
	results  *stager.Results
	tried    []string
	attempts int
	arrivals int
	tries    int
	mayRun   bool
	// begun is set once a byte of an answer was passed on.
	begun   bool
	events  events
	abort   bool
	status  int
	outcome string
	reason  string
	replica string
	staged  time.Duration
	// stageTimes are those of each stage, for the line.
	stageTimes string
	first      time.Duration
	// passed is a replica's whole failure, kept for when no other attempt is made.
	passed *failure
}

func newFlow(l *Relayer, w http.ResponseWriter, r *http.Request) *flow {
	ctx, cancel := context.WithCancelCause(r.Context())
	return &flow{
		Relayer: l, w: w, r: r, ctx: ctx, cancel: cancel, view: l.View(), arrived: l.Timer.Now(), timeUp: func() {}, unwatch: func() {}, outcome: "unknown",
	}
}

// run brings the request to its end.
func (f *flow) run() {
	defer func() {
		f.timeUp()
		f.cancel(nil)
		if f.results != nil {
			f.results.Free()
		}
	}()
	if !f.accept() || !f.read() || !f.admit() || !f.stages() {
		return
	}
	for f.attempt() {
	}
}

// accept finds the request's route, workspace and service.
func (f *flow) accept() bool {
	if !f.view.Ready() {
		return f.refuse("no configuration is known yet", startWait)
	}
	var err error
	if f.traits, err = f.Wire.Read(f.r.Header); err != nil {
		return f.reject(http.StatusBadRequest, err.Error())
	}
	routes := f.view.Router()
	if f.route = routes.Route(f.r.Host, f.r.URL.Path); f.route == nil {
		return f.reject(http.StatusNotFound, "no route for the host and path")
	}
	var ok bool
	if f.workspace, ok = routes.Workspace(f.route, f.traits.Key); !ok {
		return f.reject(http.StatusUnauthorized, "the key is unknown")
	}
	f.priority, f.rank = router.Priority(f.route, f.workspace), router.Rank(f.route, f.workspace)
	f.service = router.Service(f.route, f.traits.ID)
	f.goal = f.arrived.Add(f.route.Goal - f.patience.elapsed(f.route.Name, f.traits.Patience))
	left := maxPatience
	for _, bound := range [...]time.Duration{f.traits.Patience, f.route.Timeout} {
		if bound > 0 {
			left = min(left, bound)
		}
	}
	f.deadline = f.arrived.Add(left)
	f.timeUp = f.Timer.After(left, func(time.Time) { f.cancel(server.ErrLate) })
	f.events.last = f.traits.Resumes
	return true
}

// read takes the whole body, so that it can be sent again and the client's
// leaving is seen.
func (f *flow) read() bool {
	limit := f.view.Router().Plan().Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(f.w, f.r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return f.reject(http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	case err != nil && f.r.Context().Err() != nil:
		return f.leave("the client left while it sent the body")
	case err != nil:
		return f.reject(http.StatusBadRequest, "the body cannot be read: "+err.Error())
	}
	f.body = body
	return true
}

// attempt makes one attempt and reports whether another follows.
func (f *flow) attempt() bool {
	replica, ok := f.pick()
	if !ok {
		f.exhausted()
		return false
	}
	f.tries++
	began := f.Timer.Now()
	result := f.send(&replica)
	took := f.Timer.Now().Sub(began)
	f.Meter.Attempted(f.service, result.String(), took)
	return f.follow(result, &replica, took)
}

// follow does what the verdict on an attempt says.
func (f *flow) follow(result fate, replica *server.Replica, took time.Duration) bool {
	s := standing{
		repeatable: f.route.Repeatable(), begun: f.begun, mayHaveRun: f.mayRun, attempts: f.route.Attempts - f.attempts,
		tries: maxTries - f.tries, time: f.left() > minLeft && f.ctx.Err() == nil,
	}
	v := judge(result, s)
	act := v.action
	if v.budget && !f.Budget.Spend(f.service, 1) {
		act = v.otherwise
		f.reason = "the budget for repeats is used up"
	}
	if result != fateWhole && result != fateGone {
		f.Log.Info("attempt failed", "request", f.traits.ID, "route", f.route.Name, "service", f.service, "replica", replica.ID,
			"born", replica.Born, "fate", result.String(), "cause", f.reason, "took_ms", took.Milliseconds(),
			"left_ms", f.left().Milliseconds(), "attempts", f.attempts, "tries", f.tries, "again", act == actAgain || act == actRemake)
	}
	if result != fateUnsent && result != fateRefused && result != fateMisdirected && result != fateStale {
		f.mayRun = true
	}
	return f.act(act, v.status)
}

func (f *flow) act(act action, status int) bool {
	switch act {
	case actAgain:
		f.events.resume()
		return true
	case actRemake:
		return f.remake()
	case actRefuse:
		f.refuse(f.reason, f.again())
	case actFail:
		f.fail(status, f.reason)
	case actPass:
		f.pass()
	case actAbort:
		f.abort, f.outcome = true, outcomeBroken
	case actEnd:
	}
	return false
}

// exhausted ends a request for which no replica is left.
func (f *flow) exhausted() {
	switch {
	case f.begun:
		f.abort, f.outcome, f.reason = true, outcomeBroken, "no other replica can go on"
	case f.passed != nil:
		f.pass()
	case f.mayRun:
		f.fail(http.StatusBadGateway, "no other replica is left")
	default:
		f.refuse("no replica is left", f.again())
	}
}

func (f *flow) left() time.Duration { return f.deadline.Sub(f.Timer.Now()) }

// refuse tells the client that the request did not run, and when to come back.
func (f *flow) refuse(reason string, wait time.Duration) bool {
	f.w.Header().Set("Retry-After", strconv.FormatFloat(max(wait, minWait).Seconds(), 'f', 2, 64))
	return f.end(http.StatusServiceUnavailable, outcomeRefused, reason)
}

// reject tells the client that its request is wrong.
func (f *flow) reject(status int, reason string) bool { return f.end(status, outcomeRejected, reason) }

// fail tells the client a failure that promises nothing.
func (f *flow) fail(status int, reason string) bool { return f.end(status, outcomeFailed, reason) }

// leave ends a request whose client left.
func (f *flow) leave(reason string) bool {
	f.outcome, f.reason, f.abort = outcomeLeft, reason, true
	return false
}

// end writes an answer of the instance's own. It returns false for its callers
// to return.
func (f *flow) end(status int, outcome, reason string) bool {
	f.outcome, f.reason, f.status = outcome, reason, status
	header := f.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	f.head(status)
	_, err := io.WriteString(f.w, text)
	f.wrote(err)
	return false
}

// head writes the head of the answer.
func (f *flow) head(status int) {
	if f.stopping.Load() {
		f.w.Header().Set("Connection", "close")
	}
	f.deadlineWrite()
	f.w.WriteHeader(status)
	f.begun = true
}

func (f *flow) deadlineWrite() {
	// A connection that cannot take a deadline is bounded by the client's own.
	_ = http.NewResponseController(f.w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// wrote notes a write that did not reach the client.
func (f *flow) wrote(err error) {
	if err != nil {
		f.outcome, f.reason, f.abort = outcomeLeft, "the client did not take the answer: "+err.Error(), true
	}
}

// report writes the request's line.
func (f *flow) report() {
	took := f.Timer.Now().Sub(f.arrived)
	name, plan := "", uint64(0)
	if f.route != nil {
		name = f.route.Name
	}
	if f.view.Ready() {
		plan = f.view.Router().Plan().Version
	}
	workspace := ""
	if f.workspace != nil {
		workspace = f.workspace.Name
	}
	f.Meter.Ended(name, f.outcome, f.status, took)
	f.Log.Info("request", "request", f.traits.ID, "route", name, "plan", plan, "workspace", workspace, "priority", f.priority, "rank", f.rank,
		"patience_ms", f.traits.Patience.Milliseconds(), "service", f.service, "replica", f.replica, "outcome", f.outcome, "status", f.status, "reason", f.reason,
		"attempts", f.attempts, "tries", f.tries, "took_ms", took.Milliseconds(), "staged_ms", f.staged.Milliseconds(), "stage_ms", f.stageTimes,
		"first_ms", f.first.Milliseconds(), "last_event", f.events.last)
}
