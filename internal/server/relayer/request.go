package relayer

import (
	"context"
	"net/http"
	"strings"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/accountant"
	"oriolemill.example/oriolemill/internal/server/exchanger"
	"oriolemill.example/oriolemill/internal/server/fronter"
	"oriolemill.example/oriolemill/internal/server/registrar"
	"oriolemill.example/oriolemill/internal/server/router"
	"oriolemill.example/oriolemill/internal/server/stager"
)

const (
	// maxTries bounds the attempts of one request, those that reached no replica included.
	maxTries = 5
	// minRetryTime is the time that must remain until the client's deadline for another
	// attempt.
	minRetryTime = 30 * time.Millisecond
	// streamGrace is how long a stream may continue after the client's deadline. The
	// replica received the deadline and should end the stream itself.
	streamGrace = 200 * time.Millisecond
	// lateMargin is the least time between the deadline of a request that arrives late in a stop and the
	// time by which the last response must have been written.
	lateMargin = streamGrace + 100*time.Millisecond
	// DefaultWriteTimeout bounds a write to a client that does not read the response, unless Dependencies sets another bound.
	DefaultWriteTimeout = 5 * time.Second
	// defaultMaxBodyBytes bounds a request body if the plan sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 8
	// maxLoggedBytes bounds each text in a log line that clients or replicas choose. The volume of the log is bounded, and
	// few lines of 16 KB would leave no room for others.
	maxLoggedBytes = 256
	// defaultClientTimeout applies if neither the client nor the route states a timeout;
	// longer ones are shortened to it.
	defaultClientTimeout = time.Minute
)

// The outcomes of requests in log lines and metrics.
const (
	outcomeAnswered     = "answered"
	outcomeRefused      = "refused"
	outcomeRejected     = "rejected"
	outcomeFailed       = "failed"
	outcomeBroken       = "broken"
	outcomeDisconnected = "left"
)

// relayedRequest is one request in progress. It is used by one goroutine; only
// cancelStalled and cancel are called by timers as well.
type relayedRequest struct {
	*Relayer
	w      http.ResponseWriter
	r      *http.Request
	ctx    context.Context
	cancel context.CancelCauseFunc
	view   *registrar.View
	info   server.RequestInfo
	// target is the target of the request as it is forwarded.
	target    string
	route     *server.Route
	workspace *server.Workspace
	priority  int
	// rank orders requests; see router.Rank.
	rank int
	// isReturning is set if the client was refused before and has waited as the refusal asked.
	isReturning bool
	// estimateAge is the age of the oldest wait estimate by which the request was admitted or refused.
	estimateAge time.Duration
	service     string
	// regions are the regions whose replicas may get the request; empty for all.
	regions []string
	body    []byte
	// isBodyRead is set once the whole body was read. account holds the bytes of the body and of buffered responses.
	isBodyRead bool
	account    *accountant.Account
	// headBytes are reserved for the headers until the end of the request.
	headBytes int64
	// abortWrite ends the write of the response that is in progress.
	abortWrite func()
	arrivedAt  time.Time
	// receivedAt is when the whole request was read. Its client waits for the response from then on.
	receivedAt time.Time
	// softDeadline is when the response, or the first event of a stream, is due to meet
	// the goal of the route, less the time that the client waited in earlier attempts.
	softDeadline time.Time
	// clientDeadline is when the timeout of the client or route ends; cancelTimeout stops
	// the timer that cancels ctx then.
	clientDeadline time.Time
	cancelTimeout  func()
	// attemptCtx is the context of the attempt in progress. cancelStalled cancels it with
	// errStalled, stopStallTimer stops the timer that does so.
	attemptCtx     context.Context
	cancelStalled  func()
	stopStallTimer func()
	// results are the results of stages that the request itself needs; nil without any.
	// inputsReleased is set once they were released after the first event of a stream.
	results        *stager.Results
	inputsReleased bool
	// attempted are the IDs of the replicas of all attempts.
	attempted []string
	// tryCount counts all attempts, arrivalCount those whose bytes reached a replica, and
	// attemptCount those of them that were not misdirected.
	attemptCount int
	arrivalCount int
	tryCount     int
	// mayHaveRun is set once an attempt may have run the request.
	mayHaveRun bool
	// responseStarted is set once the header of the response was written.
	responseStarted bool
	events          eventSplitter
	// streamBuffer is the buffer for reads of streams. eventBytes are reserved for the event that is incomplete.
	streamBuffer []byte
	eventBytes   int64
	// content is what the request is recognized by if it crashes replicas.
	content server.RequestContent
	// shouldAbort is set if the connection must be closed without completing the
	// response.
	shouldAbort bool
	status      int
	outcome     string
	reason      string
	// replica and version are those of the last attempt.
	replica, version string
	// confirmVersion sets version to one that is certain; it waits if the replica was asked beside the request.
	confirmVersion func()
	// origin is what began the stream whose events the client has; nil without any.
	origin *server.StreamOrigin
	// isWithheld is set if the last attempt was withheld.
	isWithheld bool
	// pause is what the replica requested in the response to the last attempt; zero for none.
	pause time.Duration
	// framing is that of the last response of a replica; "" without any.
	framing        exchanger.Framing
	stagesDuration time.Duration
	// sendDelay is the time from the arrival of the request to the start of its last attempt.
	sendDelay time.Duration
	// stageDurations is the duration of each stage in milliseconds, for the log line.
	stageDurations string
	firstByteDelay time.Duration
	// reserved is the replica that the request may be sent to within its limit, taken at reservedAt
	// while all replicas stated limits.
	reserved   *server.Replica
	reservedAt time.Time
	// limitWait is the time after which a replica may take the request, if none did within the
	// limits that they state.
	limitWait time.Duration
	// isAwaitingPause is set while the request waits for the end of a pause of its replicas.
	isAwaitingPause bool
	// lastFailure is the last complete error response of a replica, to be forwarded if no
	// further attempt is made.
	lastFailure *upstreamFailure
}

// newRelayedRequest returns a request that arrives now.
func newRelayedRequest(l *Relayer, w http.ResponseWriter, r *http.Request) *relayedRequest {
	ctx, cancel := context.WithCancelCause(r.Context())
	return &relayedRequest{
		account: l.Accountant.Open(), Relayer: l, w: w, r: r, ctx: ctx, cancel: cancel, view: l.View(), arrivedAt: l.Timer.Now(), cancelTimeout: func() {}, stopStallTimer: func() {}, outcome: "unknown",
	}
}

// run handles the request until its end.
func (f *relayedRequest) run() {
	defer context.AfterFunc(f.stopped, func() { f.cancel(context.Cause(f.stopped)) })()
	defer func() {
		f.endAwaitingPause()
		f.cancelTimeout()
		f.cancel(nil)
		if f.results != nil {
			f.results.Release()
		}
		f.account.Close()
	}()
	if !f.reserveHead() || !f.resolveRoute() || !f.readBody() || !f.checkDrain() || !f.checkClient() || !f.findOrigin() || !f.checkBlocked() || !f.admit() || !f.computeStages() {
		return
	}
	for f.attempt() {
	}
}

// resolveRoute finds the request's route, workspace and service and sets its deadlines. It
// reports whether the request goes on.
func (f *relayedRequest) resolveRoute() bool {
	if !f.view.IsReady() {
		return f.refuse("no configuration is known yet", notReadyRetryAfter)
	}
	var err error
	if f.info, err = f.Codec.ParseRequest(f.r.Header); err != nil {
		return f.reject(http.StatusBadRequest, err.Error())
	}
	f.content.Parts = f.info.SharedParts()
	routes := f.view.Router()
	var path string
	f.target, path = parseTarget(f.r.RequestURI)
	if f.route = routes.Route(f.r.Host, path); f.route == nil {
		return f.reject(http.StatusNotFound, "no route for the host and path")
	}
	var ok bool
	if f.workspace, ok = routes.Workspace(f.route, f.info.APIKey); !ok {
		return f.reject(http.StatusUnauthorized, "the key is unknown")
	}
	f.priority, f.rank = router.Priority(f.route, f.workspace), router.Rank(f.route, f.workspace)
	f.service = router.Service(f.route, f.info.ID)
	if f.regions, ok = router.AllowedRegions(f.route, f.workspace); !ok {
		return f.refuse(noRegionReason, refusedRetryAfter)
	}
	f.info.ClientTimeout = effectiveTimeout(f.route, f.info.ClientTimeout)
	f.softDeadline = f.arrivedAt.Add(timeToGoal(f.route.Goal, f.clientTimeouts.waitedBefore(f.route.Name, f.info.ClientTimeout), f.info.LastEventID != ""))
	timeout := defaultClientTimeout
	for _, limit := range [...]time.Duration{f.info.ClientTimeout, f.route.Timeout} {
		if limit > 0 {
			timeout = min(timeout, limit)
		}
	}
	f.clientDeadline = f.arrivedAt.Add(timeout)
	f.cancelTimeout = f.Timer.After(timeout, func(time.Time) { f.cancel(server.ErrDeadline) })
	f.events.lastID = f.info.LastEventID
	return true
}

// checkDrain refuses the request if it has arrived late in the stop of this instance and may not end in time.
// It reports whether the request goes on.
func (f *relayedRequest) checkDrain() bool {
	d := f.drain.Load()
	if d == nil || f.Timer.Now().Before(d.lateAt) || f.clientDeadline.Add(lateMargin).Before(d.answerBy) {
		return true
	}
	return f.refuse("this instance is stopping", minRetryAfter)
}

// checkClient ends the request if its client has disconnected by now, as is likely if the
// request was read late. It reports whether the request goes on.
func (f *relayedRequest) checkClient() bool {
	if fronter.IsDisconnected(f.r.Context()) {
		return f.endDisconnected("client disconnected before the request was processed")
	}
	return true
}

// attempt sends the request to one replica and reports whether another attempt follows.
func (f *relayedRequest) attempt() bool {
	if !f.checkBlocked() {
		return false
	}
	replica, ok := f.nextReplica()
	if !ok {
		f.endWithoutReplica()
		return false
	}
	f.tryCount++
	startedAt := f.Timer.Now()
	f.sendDelay = startedAt.Sub(f.arrivedAt)
	outcome := f.send(&replica)
	duration := f.Timer.Now().Sub(startedAt)
	f.Meter.RecordAttempt(f.service, outcome.String(), string(f.framing), duration)
	f.recordContent(outcome, &replica, startedAt)
	f.recordBreak(outcome, &replica, f.isWithheld)
	return f.handleAttempt(outcome, &replica, duration)
}

// handleAttempt decides by the outcome of an attempt what to do next, does it, and reports
// whether another attempt follows.
func (f *relayedRequest) handleAttempt(outcome attemptOutcome, replica *server.Replica, duration time.Duration) bool {
	state := retryState{
		repeatable: f.route.IsRepeatable(), responseStarted: f.responseStarted, mayHaveRun: f.mayHaveRun, attemptsLeft: f.route.MaxAttempts - f.attemptCount,
		triesLeft: maxTries - f.tryCount, hasTime: f.remaining() > minRetryTime && f.ctx.Err() == nil,
	}
	d := decide(outcome, state)
	next := d.action
	switch {
	case !d.needsBudget:
	case f.origin != nil && !f.hasReplicaLeft():
		next = d.fallback
		f.reason += "; no other replica of version " + f.origin.Version + " is left"
	case !f.Budget.AcquireRetries(f.service, 1):
		next = d.fallback
		f.reason = "the budget for repeats is used up"
	}
	if outcome != attemptComplete && outcome != attemptDisconnected {
		f.Log.Info("attempt failed", "request", loggedText(f.info.ID), "route", f.route.Name, "service", f.service, "replica", replica.ID,
			"version", replica.Version, "born", replica.StartMillis, "fate", outcome.String(), "cause", loggedText(f.reason), "framing", f.framing, "unfinished", len(f.events.remainder()), "parts", f.loggedParts(), "content", f.loggedContent(), "pause_ms", f.pause.Milliseconds(), "took_ms", duration.Milliseconds(),
			"left_ms", f.remaining().Milliseconds(), "attempts", f.attemptCount, "tries", f.tryCount, "again", next == actionRetry || next == actionRecomputeInputs)
	}
	if outcome != attemptUnsent && outcome != attemptRefused && outcome != attemptMisdirected && outcome != attemptInputsLost {
		f.mayHaveRun = true
	}
	return f.perform(next, d.status)
}

// perform executes an action and reports whether another attempt follows.
func (f *relayedRequest) perform(next action, status int) bool {
	switch next {
	case actionRetry:
		f.events.resume()
		return !f.inputsReleased || f.recomputeInputs()
	case actionRecomputeInputs:
		return f.recomputeInputs()
	case actionRefuse:
		f.refuse(f.reason, f.retryAfter())
	case actionFail:
		f.fail(status, f.reason)
	case actionForwardFailure:
		f.forwardFailure()
	case actionAbort:
		f.shouldAbort, f.outcome = true, outcomeBroken
	case actionEnd:
	}
	return false
}

// endWithoutReplica ends a request for which no replica is left.
func (f *relayedRequest) endWithoutReplica() {
	switch {
	case f.isCanceled():
		f.endDisconnected("client disconnected before a replica took the request")
	case f.responseStarted:
		f.shouldAbort, f.outcome, f.reason = true, outcomeBroken, "no other replica is left to resume the stream"
	case f.lastFailure != nil:
		f.forwardFailure()
	case f.mayHaveRun:
		f.fail(http.StatusBadGateway, "no other replica is left")
	case f.limitWait > 0:
		f.refuse(limitedReason, max(f.limitWait, f.retryAfter()))
	case f.pauseWait(nil) > 0:
		f.refuse(pausedReason, f.retryAfter())
	default:
		f.refuse("no replica is left", f.retryAfter())
	}
}

// remaining returns the time until the client's deadline.
func (f *relayedRequest) remaining() time.Duration { return f.clientDeadline.Sub(f.Timer.Now()) }

// workspaceName returns the name of the request's workspace, or "".
func (f *relayedRequest) workspaceName() string {
	if f.workspace == nil {
		return ""
	}
	return f.workspace.Name
}

// loggedText returns the start of a text, for the log line.
func loggedText(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxLoggedBytes)], "")
}

// logRequest writes the request's log line and records its metrics.
func (f *relayedRequest) logRequest() {
	duration := f.Timer.Now().Sub(f.arrivedAt)
	routeName, planVersion := "", uint64(0)
	if f.route != nil {
		routeName = f.route.Name
	}
	if f.view.IsReady() {
		planVersion = f.view.Router().Plan().Version
	}
	f.Meter.RecordRequest(routeName, f.outcome, f.status, duration)
	if f.isReturning {
		f.Meter.RecordReturning(routeName, f.outcome)
	}
	f.Log.Info("request", "request", loggedText(f.info.ID), "route", routeName, "plan", planVersion, "workspace", f.workspaceName(), "priority", f.priority, "rank", f.rank,
		"patience_ms", f.info.ClientTimeout.Milliseconds(), "service", f.service, "replica", f.replica, "version", f.version, "returning", f.isReturning, "outcome", f.outcome, "status", f.status, "reason", loggedText(f.reason),
		"framing", f.framing, "unfinished", len(f.events.remainder()), "attempts", f.attemptCount, "tries", f.tryCount, "took_ms", duration.Milliseconds(), "staged_ms", f.stagesDuration.Milliseconds(), "estimate_age_ms", f.estimateAge.Milliseconds(), "sent_ms", f.sendDelay.Milliseconds(), "stage_ms", f.stageDurations,
		"first_ms", f.firstByteDelay.Milliseconds(), "last_event", loggedText(f.events.lastID))
}
