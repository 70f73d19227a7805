package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/chooser"
	"oriolemill.example/oriolemill/internal/server/exchanger"
	"oriolemill.example/oriolemill/internal/server/fronter"
	"oriolemill.example/oriolemill/internal/server/router"
)

const (
	// maxBufferedBytes bounds the responses that are read completely before any byte is
	// forwarded, so that after a truncated one another attempt is still possible.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is the size of the reads of a stream.
	copyBufferBytes = 16 << 10
	// minCopyBufferBytes is the size of the reads while no more memory is left. It is a part of what a connection may hold.
	minCopyBufferBytes = 4 << 10
	// stallFactor is how many times longer than usual the start of a response may take
	// before the attempt ends and another replica is attempted, if the request may run more
	// than once. minStallTimeout and minStreamStallTimeout are the least times.
	stallFactor           = 8
	minStallTimeout       = 400 * time.Millisecond
	minStreamStallTimeout = time.Second
	// maxRefusalBytes and refusalTimeout bound the body of a refusal, which is read only so
	// that its connection can be reused.
	maxRefusalBytes = 16 << 10
	refusalTimeout  = 50 * time.Millisecond
	// stallGapFactor is how many times longer than the route's gap the pause between
	// events may be before the stream is resumed at another replica.
	stallGapFactor = 4
	// engineRankCount is the number of priority ranks of an engine.
	engineRankCount = 10
)

// upstreamFailure is a complete error response of a replica.
type upstreamFailure struct {
	status int
	header http.Header
	body   []byte
}

// send sends the request to a replica, forwards the response and returns the outcome.
func (f *relayedRequest) send(replica *server.Replica) attemptOutcome {
	f.attempted = append(f.attempted, replica.ID)
	f.replica, f.version = replica.ID, replica.Version
	attempt, beganAt := f.Chooser.Begin(replica, chooser.WithPromptTokens(f.info.PromptTokens)), f.Timer.Now()
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	f.attemptCtx, f.cancelStalled = ctx, func() { cancel(errStalled) }
	f.startStallTimer(f.firstByteTimeout())
	defer f.stopStallTimer()
	request := f.upstreamRequest(replica)
	request.Check = func() error { return f.checkSend(replica) }
	f.verifyIncarnation(ctx, request, replica)
	f.framing, f.pause, f.isWithheld = "", 0, false
	response, sendState, err := f.Exchanger.Do(ctx, replica, request)
	if sendState != server.SendStateUnsent {
		f.attemptCount++
		f.arrivalCount++
	}
	if err != nil {
		return f.handleNoResponse(attempt, sendState, err)
	}
	f.framing = response.Framing()
	responseInfo := response.ResponseInfo()
	f.pause = responseInfo.Pause
	attempt.RecordHeaders(responseInfo)
	f.RequestBlocker.RecordServing(replica.Incarnation(), beganAt)
	switch {
	case responseInfo.IsMisdirected:
		f.attemptCount--
		return f.handleRefusal(attempt, response, attemptMisdirected, chooser.OutcomeUnreachable)
	case responseInfo.IsRefused && response.StatusCode == http.StatusConflict:
		return f.handleRefusal(attempt, response, attemptInputsLost, chooser.OutcomeNeutral)
	case responseInfo.IsRefused:
		return f.handleRefusal(attempt, response, attemptRefused, chooser.OutcomeNeutral)
	}
	outcome := f.forwardResponse(response)
	attempt.End(replicaOutcome(outcome))
	return outcome
}

// checkSend returns an error if the request must not be sent to the replica: its client has
// left, or the replica has left since it was chosen. It is called right before the request is
// sent; all of this may have happened while the connection was opened, and the timers and
// goroutines that cancel the request may be late.
func (f *relayedRequest) checkSend(replica *server.Replica) error {
	switch {
	case f.remaining() <= 0:
		f.cancel(server.ErrDeadline)
	case fronter.IsDisconnected(f.r.Context()):
		f.cancel(context.Canceled)
	case !f.View().IsServing(replica):
		return server.ErrLeaving
	}
	if wait, _ := f.RequestBlocker.BlockedFor(f.content); wait > 0 {
		return server.ErrRequestBlocked
	}
	return context.Cause(f.ctx)
}

// errStalled is the cause with which an attempt is cancelled when its response has stalled
// and another replica may continue.
var errStalled = merry.New("the replica fell silent")

// startStallTimer stops the running stall timer and starts one that cancels the attempt with
// errStalled after the timeout. It starts none if the timeout is zero or no other replica may
// continue: a replica that is silent for a while goes on.
func (f *relayedRequest) startStallTimer(timeout time.Duration) {
	f.stopStallTimer()
	if timeout > 0 && f.route.IsRepeatable() && f.attemptCount < f.route.MaxAttempts-1 && f.hasOtherReplica() {
		f.stopStallTimer = f.Timer.After(timeout, func(time.Time) { f.cancelStalled() })
	}
}

// hasOtherReplica reports whether the request may be sent to another replica now.
func (f *relayedRequest) hasOtherReplica() bool {
	replicas := f.allowedReplicas(f.service)
	for n := range replicas {
		r := &replicas[n]
		if (f.origin == nil || r.Version == f.origin.Version) && !slices.Contains(f.attempted, r.ID) && f.pausedFor(r) == 0 {
			return true
		}
	}
	return false
}

// firstByteTimeout returns how long the start of a response may take. It returns zero, which
// means no bound, as long as the typical time of the service is unknown.
func (f *relayedRequest) firstByteTimeout() time.Duration {
	minTimeout := minStallTimeout
	if f.route.Kind == server.RouteKindStream {
		minTimeout = minStreamStallTimeout
	}
	typicalTime := f.Chooser.TypicalHeaderTime(f.service)
	if typicalTime == 0 {
		return 0
	}
	return max(stallFactor*typicalTime, minTimeout)
}

// upstreamRequest returns the request to send to a replica.
func (f *relayedRequest) upstreamRequest(replica *server.Replica) *exchanger.Request {
	forward := server.ForwardInfo{ReplicaID: replica.ID, TimeLeft: max(f.remaining(), time.Millisecond), EngineRank: -1}
	if f.workspace != nil {
		forward.Workspace = f.workspace.Name
	}
	if f.results != nil {
		forward.Inputs = f.results.Handles()
	}
	if f.route.Kind == server.RouteKindStream {
		forward.EngineRank = f.rank * engineRankCount / router.RankCount
		forward.LastEventID = f.events.lastID
	}
	return &exchanger.Request{
		Method: f.r.Method, Target: f.target, Host: f.r.Host, Header: f.Codec.ForwardHeader(f.r.Header, forward), Body: f.body,
		ID: f.info.ID, AtMostOnce: !f.route.IsRepeatable(),
	}
}

// handleNoResponse returns the outcome of an attempt that failed before a response began.
func (f *relayedRequest) handleNoResponse(attempt *chooser.Attempt, sendState server.SendState, err error) attemptOutcome {
	f.reason = err.Error()
	cause := context.Cause(f.attemptCtx)
	switch {
	case errors.Is(cause, errStalled):
		attempt.End(chooser.OutcomeFailure)
		f.reason = cause.Error()
		return attemptNoResponse
	case errors.Is(cause, context.Canceled):
		attempt.End(chooser.OutcomeNeutral)
		f.endDisconnected("client disconnected before the response")
		return attemptDisconnected
	case errors.Is(err, server.ErrWithheld):
		attempt.End(chooser.OutcomeNeutral)
		f.isWithheld = true
		return attemptUnsent
	case cause != nil && sendState != server.SendStateUnsent:
		attempt.End(chooser.OutcomeFailure)
		f.reason = "no answer in time"
		return attemptTimedOut
	case sendState == server.SendStateUnsent:
		attempt.End(chooser.OutcomeUnreachable)
		return attemptUnsent
	default:
		attempt.End(chooser.OutcomeFailure)
		return attemptNoResponse
	}
}

// handleRefusal reads the rest of a refusal, so that the connection can be reused, and
// returns outcome. It ends the attempt if the rest is late. chooserOutcome is recorded for the replica.
func (f *relayedRequest) handleRefusal(attempt *chooser.Attempt, response *exchanger.Answer, outcome attemptOutcome, chooserOutcome chooser.Outcome) attemptOutcome {
	f.reason = "the replica answered " + strconv.Itoa(response.StatusCode) + " and did not run it"
	f.stopStallTimer()
	f.stopStallTimer = f.Timer.After(refusalTimeout, func(time.Time) { f.cancelStalled() })
	// If this fails, the connection is not reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
	response.Close()
	attempt.End(chooserOutcome)
	return outcome
}

// replicaOutcome returns how the outcome of an attempt counts for the state of its replica.
func replicaOutcome(outcome attemptOutcome) chooser.Outcome {
	switch outcome {
	case attemptComplete:
		return chooser.OutcomeSuccess
	case attemptDisconnected:
		return chooser.OutcomeNeutral
	default:
		return chooser.OutcomeFailure
	}
}

// forwardResponse forwards a response to the client and returns the outcome. A server error
// is kept in lastFailure instead.
func (f *relayedRequest) forwardResponse(response *exchanger.Answer) attemptOutcome {
	if f.responseStarted && !response.ResponseInfo().IsSigned {
		response.Close()
		f.reason = "the response to a resumption, with status " + strconv.Itoa(response.StatusCode) + ", is not signed"
		return attemptStreamBroken
	}
	if f.route.Kind == server.RouteKindStream && response.StatusCode < http.StatusMultipleChoices && mayBeEventStream(response.Header) {
		return f.forwardStream(response)
	}
	if f.responseStarted {
		// The header of the response was written before, so a response without events
		// cannot be forwarded.
		response.Close()
		f.reason = "the replica responded to a resumption with status " + strconv.Itoa(response.StatusCode) + " and no events"
		return attemptStreamBroken
	}
	body, err := f.bufferResponse(response)
	isLarge := errors.Is(err, errBodyTooLarge) || errors.Is(err, errNotBuffered)
	if err != nil && !isLarge {
		response.Close()
		return f.handleTruncated(err)
	}
	f.firstByteDelay = f.Timer.Now().Sub(f.arrivedAt)
	if isLarge {
		return f.forwardLarge(response, body)
	}
	response.Close()
	header := f.Codec.ClientHeader(response.Header)
	if response.StatusCode >= http.StatusInternalServerError {
		if f.lastFailure != nil {
			f.account.Release(int64(cap(f.lastFailure.body)))
		}
		f.lastFailure = &upstreamFailure{status: response.StatusCode, header: header, body: body}
		f.reason = "the replica responded with status " + strconv.Itoa(response.StatusCode)
		return attemptFailed
	}
	f.writeComplete(response.StatusCode, header, body)
	return attemptComplete
}

// errNotBuffered means that there is no memory to buffer a response.
var errNotBuffered = merry.New("no memory to buffer the response")

// bufferResponse reads a response into memory that is reserved before. It returns errBodyTooLarge or errNotBuffered with
// the start of a response that is to be forwarded as it arrives.
func (f *relayedRequest) bufferResponse(response *exchanger.Answer) ([]byte, error) {
	reader := bodyReader{
		announced: response.ContentLength, limit: maxBufferedBytes - 1, release: f.account.Release, record: func(int) {},
		reserve: func(bytes int64) error {
			if !f.account.TryReserve(bytes) {
				return errNotBuffered
			}
			return nil
		},
	}
	if reader.announced >= maxBufferedBytes || f.r.Method == http.MethodHead {
		reader.announced = -1 // its start is buffered, or it has no body
	}
	return reader.read(response.Body)
}

// handleTruncated returns the outcome of an attempt whose response ended early, before any
// of it was forwarded.
func (f *relayedRequest) handleTruncated(err error) attemptOutcome {
	cause := context.Cause(f.attemptCtx)
	switch {
	case errors.Is(cause, errStalled):
		f.reason = cause.Error()
		return attemptTruncated
	case errors.Is(cause, context.Canceled):
		f.endDisconnected("client disconnected before the response was complete")
		return attemptDisconnected
	case cause != nil:
		f.reason = "the answer was not whole in time"
		return attemptTimedOut
	default:
		f.reason = "the answer broke off: " + err.Error()
		return attemptTruncated
	}
}

// writeComplete writes a complete response to the client.
func (f *relayedRequest) writeComplete(status int, header http.Header, body []byte) {
	f.releaseBody()
	f.copyHeader(header)
	f.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	f.status, f.outcome = status, outcomeAnswered
	f.reason = ""
	f.writeHeader(status)
	f.checkWrite(f.writeFlushed(body))
}

// releaseBody releases the body of the request, which is not sent any more.
func (f *relayedRequest) releaseBody() {
	f.account.Release(int64(cap(f.body)))
	f.body = nil
}

// forwardFailure writes the last error response of a replica to the client.
func (f *relayedRequest) forwardFailure() {
	f.writeComplete(f.lastFailure.status, f.lastFailure.header, f.lastFailure.body)
}

// copyHeader sets the headers of the response to the client.
func (f *relayedRequest) copyHeader(header http.Header) {
	target := f.w.Header()
	for name, values := range header {
		target[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		target["Content-Type"] = nil // without it net/http would guess one
	}
}

// clientWriter writes to the client.
type clientWriter struct{ f *relayedRequest }

// Write implements io.Writer.
func (w clientWriter) Write(data []byte) (int, error) { return w.f.write(data) }

// endBuffering drops what was buffered and gives its bytes back: no other attempt is possible any more.
func (f *relayedRequest) endBuffering() {
	f.body, f.lastFailure, f.streamBuffer, f.eventBytes = nil, nil, nil, 0
	f.account.ReleaseAllBut(f.headBytes)
}

// copyBuffer returns a buffer for the rest of a response. Its bytes are given back at the end of the request.
func (f *relayedRequest) copyBuffer() []byte {
	if f.account.TryReserve(copyBufferBytes) {
		return make([]byte, copyBufferBytes)
	}
	return make([]byte, minCopyBufferBytes)
}

// forwardLarge forwards a response that is not buffered completely; start is the part that was
// read. No other attempt is possible after it.
func (f *relayedRequest) forwardLarge(response *exchanger.Answer, start []byte) attemptOutcome {
	f.releaseBody()
	header := f.Codec.ClientHeader(response.Header)
	f.copyHeader(header)
	if response.ContentLength >= 0 {
		f.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	f.status, f.outcome = response.StatusCode, outcomeAnswered
	f.writeHeader(response.StatusCode)
	if _, err := f.write(start); err != nil {
		response.Close()
		f.checkWrite(err)
		return attemptDisconnected
	}
	f.endBuffering()
	_, err := io.CopyBuffer(clientWriter{f}, response.Body, f.copyBuffer())
	response.Close()
	if err == nil {
		err = f.writeFlushed(nil)
	}
	if err != nil {
		f.shouldAbort, f.outcome, f.reason = true, outcomeBroken, "the response ended early: "+err.Error()
	}
	return attemptComplete
}
