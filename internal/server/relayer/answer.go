package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/chooser"
	"oriolemill.example/oriolemill/internal/server/exchanger"
	"oriolemill.example/oriolemill/internal/server/router"
)

const (
	// wholeLimit bounds the answers that are read whole before any of it is
	// passed on, so that a cut one can still become another answer.
	wholeLimit = 256 << 10
	// copyBuffer is the size of reads of an answer.
	copyBuffer = 16 << 10
	// stalledTimes is how many times longer than usual an answer may take to begin
	// before another replica is asked, where that does no harm; stalledPlain and
	// stalledStream are the least of it.
	stalledTimes  = 8
	stalledPlain  = 400 * time.Millisecond
	stalledStream = time.Second
	// stalledGaps is how many times longer than the route's gap a stream may be
	// silent before another replica goes on with it.
	stalledGaps = 4
	// urgencies is the number of an engine's ranks.
	urgencies = 10
)

// failure is a replica's whole answer that it failed.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// send makes one attempt at a replica.
func (f *flow) send(replica *server.Replica) fate {
	f.tried = append(f.tried, replica.ID)
	f.replica = replica.ID
	use := f.Chooser.Begin(replica)
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	f.sending, f.stalled = ctx, func() { cancel(errStalled) }
	f.watch(f.firstBound())
	defer f.unwatch()
	answer, sent, err := f.Exchanger.Do(ctx, replica, f.request(replica))
	if sent != server.SentNo {
		f.attempts++
		f.arrivals++
	}
	if err != nil {
		return f.unanswered(use, sent, err)
	}
	head := answer.Head()
	use.Headed(head)
	switch {
	case head.Misdirected:
		f.attempts--
		return f.refused(use, answer, fateMisdirected, chooser.Unreached)
	case head.Refused && answer.StatusCode == http.StatusConflict:
		return f.refused(use, answer, fateStale, chooser.Neutral)
	case head.Refused:
		return f.refused(use, answer, fateRefused, chooser.Neutral)
	}
	result := f.relay(answer)
	use.End(outcomeOf(result))
	return result
}

// errStalled ends an attempt that another replica may take over.
var errStalled = merry.New("the replica fell silent")

// watch ends the attempt after a time without a word of the replica, where
// another replica may go on; zero watches nothing.
func (f *flow) watch(bound time.Duration) {
	f.unwatch()
	if bound > 0 && f.route.Repeatable() && f.attempts < f.route.Attempts-1 {
		f.unwatch = f.Timer.After(bound, func(time.Time) { f.stalled() })
	}
}

// firstBound is how long an answer may take to begin.
func (f *flow) firstBound() time.Duration {
	least := stalledPlain
	if f.route.Kind == server.KindStream {
		least = stalledStream
	}
	usual := f.Chooser.Usual(f.service)
	if usual == 0 {
		return 0
	}
	return max(stalledTimes*usual, least)
}

func (f *flow) request(replica *server.Replica) *exchanger.Request {
	send := server.Send{Replica: replica.ID, Left: max(f.left(), time.Millisecond), Urgency: -1}
	if f.workspace != nil {
		send.Workspace = f.workspace.Name
	}
	if f.results != nil {
		send.Inputs = f.results.Handles()
	}
	if f.route.Kind == server.KindStream {
		send.Urgency = f.rank * urgencies / router.RankCount
		send.Resume = f.events.last
	}
	target := f.r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = f.r.URL.RequestURI()
	}
	return &exchanger.Request{
		Method: f.r.Method, Target: target, Host: f.r.Host, Header: f.Wire.Outgoing(f.r.Header, send), Body: f.body,
		ID: f.traits.ID, Once: !f.route.Repeatable(),
	}
}

// unanswered tells what an attempt without an answer has shown.
func (f *flow) unanswered(use *chooser.Use, sent server.Sent, err error) fate {
	f.reason = err.Error()
	cause := context.Cause(f.sending)
	switch {
	case errors.Is(cause, errStalled):
		use.End(chooser.Bad)
		f.reason = cause.Error()
		return fateSilent
	case errors.Is(cause, context.Canceled):
		use.End(chooser.Neutral)
		f.leave("the client left before an answer")
		return fateGone
	case cause != nil && sent != server.SentNo:
		use.End(chooser.Bad)
		f.reason = "no answer in time"
		return fateLate
	case sent == server.SentNo:
		use.End(chooser.Unreached)
		return fateUnsent
	default:
		use.End(chooser.Bad)
		return fateSilent
	}
}

// refused reads the rest of a refusal.
func (f *flow) refused(use *chooser.Use, answer *exchanger.Answer, result fate, outcome chooser.Outcome) fate {
	f.reason = "the replica answered " + strconv.Itoa(answer.StatusCode) + " and did not run it"
	_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, wholeLimit))
	answer.Close(err == nil)
	use.End(outcome)
	return result
}

func outcomeOf(result fate) chooser.Outcome {
	switch result {
	case fateWhole:
		return chooser.Good
	case fateGone:
		return chooser.Neutral
	default:
		return chooser.Bad
	}
}

// relay passes an answer on.
func (f *flow) relay(answer *exchanger.Answer) fate {
	if f.route.Kind == server.KindStream && answer.StatusCode < http.StatusMultipleChoices {
		return f.stream(answer)
	}
	if f.begun {
		// A resumption that fails has no head to give.
		answer.Close(false)
		f.reason = "the replica answered " + strconv.Itoa(answer.StatusCode) + " to a resumption"
		return fateBroken
	}
	var body bytes.Buffer
	_, err := body.ReadFrom(io.LimitReader(answer.Body, wholeLimit))
	if err != nil {
		answer.Close(false)
		return f.cut(err)
	}
	f.first = f.Timer.Now().Sub(f.arrived)
	if body.Len() == wholeLimit {
		return f.large(answer, body.Bytes())
	}
	answer.Close(true)
	header := f.Wire.Incoming(answer.Header)
	if answer.StatusCode >= http.StatusInternalServerError {
		f.passed = &failure{status: answer.StatusCode, header: header, body: body.Bytes()}
		f.reason = "the replica answered " + strconv.Itoa(answer.StatusCode)
		return fateFailed
	}
	f.write(answer.StatusCode, header, body.Bytes())
	return fateWhole
}

// cut tells what an answer that broke off has shown; nothing was passed on.
func (f *flow) cut(err error) fate {
	cause := context.Cause(f.sending)
	switch {
	case errors.Is(cause, errStalled):
		f.reason = cause.Error()
		return fateCut
	case errors.Is(cause, context.Canceled):
		f.leave("the client left before the answer was whole")
		return fateGone
	case cause != nil:
		f.reason = "the answer was not whole in time"
		return fateLate
	default:
		f.reason = "the answer broke off: " + err.Error()
		return fateCut
	}
}

// write passes a whole answer on.
func (f *flow) write(status int, header http.Header, body []byte) {
	f.copyHeader(header)
	f.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	f.status, f.outcome = status, outcomeAnswered
	f.reason = ""
	f.head(status)
	_, err := f.w.Write(body)
	f.wrote(err)
}

// pass passes a replica's failure on.
func (f *flow) pass() { f.write(f.passed.status, f.passed.header, f.passed.body) }

func (f *flow) copyHeader(header http.Header) {
	to := f.w.Header()
	for name, values := range header {
		to[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		to["Content-Type"] = nil // else the server guesses one
	}
}

// large passes an answer on that is too long to be read whole first.
func (f *flow) large(answer *exchanger.Answer, begin []byte) fate {
	header := f.Wire.Incoming(answer.Header)
	f.copyHeader(header)
	if answer.ContentLength >= 0 {
		f.w.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	f.status, f.outcome = answer.StatusCode, outcomeAnswered
	f.head(answer.StatusCode)
	if _, err := f.w.Write(begin); err != nil {
		answer.Close(false)
		f.wrote(err)
		return fateGone
	}
	_, err := io.Copy(f.w, answer.Body)
	answer.Close(err == nil)
	if err != nil {
		f.abort, f.outcome, f.reason = true, outcomeBroken, "the answer broke off: "+err.Error()
	}
	return fateWhole
}

// stream passes events on as they come. The head waits for the first event, so
// that a run without events can still become another answer.
func (f *flow) stream(answer *exchanger.Answer) fate {
	f.timeUp()
	f.timeUp = f.Timer.After(f.left()+streamGrace, func(time.Time) { f.cancel(server.ErrLate) })
	buffer := make([]byte, copyBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		whole, count := f.events.take(buffer[:n])
		if count > 0 {
			if !f.emit(answer, whole) {
				answer.Close(false)
				return fateGone
			}
			f.watch(max(stalledGaps*f.route.Gap, stalledStream))
		}
		if len(f.events.rest()) > eventsLimit {
			err = errors.New("an event is longer than the limit")
		}
		if errors.Is(err, io.EOF) {
			answer.Close(true)
			return f.complete(answer)
		}
		if err != nil {
			answer.Close(false)
			return f.interrupted(err)
		}
	}
}

// emit passes whole events on and reports whether the client took them.
func (f *flow) emit(answer *exchanger.Answer, whole []byte) bool {
	if !f.begun {
		f.first = f.Timer.Now().Sub(f.arrived)
		f.copyHeader(f.Wire.Incoming(answer.Header))
		f.w.Header().Del("Content-Length")
		f.status = answer.StatusCode
		f.head(answer.StatusCode)
		if f.results != nil && !f.route.Resumable {
			// The engine has read its inputs.
			f.results.Free()
		}
	}
	f.deadlineWrite()
	_, err := f.w.Write(whole)
	if err == nil {
		err = http.NewResponseController(f.w).Flush()
	}
	f.wrote(err)
	return err == nil
}

// complete ends a stream that its replica ended.
func (f *flow) complete(answer *exchanger.Answer) fate {
	if rest := f.events.rest(); len(rest) > 0 && !f.emit(answer, rest) {
		return fateGone
	}
	if !f.begun && !f.emit(answer, nil) {
		return fateGone
	}
	f.outcome, f.reason = outcomeAnswered, ""
	return fateWhole
}

// interrupted tells what a stream that broke off has shown.
func (f *flow) interrupted(err error) fate {
	if !f.begun {
		return f.cut(err)
	}
	f.reason = "the stream broke off: " + err.Error()
	switch cause := context.Cause(f.sending); {
	case errors.Is(cause, errStalled):
		f.reason = cause.Error()
		return fateBroken
	case errors.Is(cause, context.Canceled):
		f.leave("the client left during the stream")
		return fateGone
	case cause != nil:
		f.reason = "the stream did not end in time"
		return fateBroken
	default:
		return fateBroken
	}
}
