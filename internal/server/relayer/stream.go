package relayer

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/exchanger"
)

// mayBeEventStream reports whether a response with this header may consist of events; one
// without a content type may.
func mayBeEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err != nil || mediaType == "text/event-stream"
}

// forwardStream forwards events as they arrive. The header is written with the first event,
// so that after a stream without events another attempt is still possible.
func (f *relayedRequest) forwardStream(response *exchanger.Answer) attemptOutcome {
	f.cancelTimeout()
	f.cancelTimeout = f.Timer.After(f.remaining()+streamGrace, func(time.Time) { f.cancel(server.ErrDeadline) })
	if f.streamBuffer == nil {
		f.streamBuffer = f.copyBuffer()
	}
	buffer := f.streamBuffer
	for {
		n, err := response.Body.Read(buffer)
		complete, count := f.events.add(buffer[:n])
		if count > 0 {
			if !f.forwardEvents(response, complete) {
				response.Close()
				return attemptDisconnected
			}
			f.startStallTimer(max(stallGapFactor*f.route.EventGap, minStreamStallTimeout))
		}
		switch {
		case f.events.isForeign:
			err = errForeignEvent
		case len(f.events.remainder()) > maxEventBytes:
			err = errors.New("an event is longer than the limit")
		}
		if errors.Is(err, io.EOF) {
			if err = f.events.checkEnd(response.Framing()); err == nil {
				response.Close()
				return f.finishStream(response)
			}
		}
		if err != nil {
			response.Close()
			return f.handleBrokenStream(err)
		}
		if err := f.reserveEvent(); err != nil {
			response.Close()
			f.shouldAbort, f.outcome, f.reason = true, outcomeBroken, "no memory for an event became free in time"
			return attemptDisconnected
		}
	}
}

// reserveEvent reserves bytes for the event that is incomplete: twice as much as the next read may make of it, since it is
// copied once it is complete. It gives bytes back that are not needed any more. The wait for bytes is not the replica's.
func (f *relayedRequest) reserveEvent() error {
	needed := int64(0)
	if length := len(f.events.remainder()); length > minCopyBufferBytes {
		needed = 2 * int64(length+len(f.streamBuffer))
	}
	missing := needed - f.eventBytes
	if missing <= 0 {
		f.account.Release(-missing)
		f.eventBytes = needed
		return nil
	}
	if !f.account.TryReserve(missing) {
		f.stopStallTimer()
		if err := f.account.Reserve(f.ctx, missing); err != nil {
			return err
		}
		f.startStallTimer(max(stallGapFactor*f.route.EventGap, minStreamStallTimeout))
	}
	f.eventBytes = needed
	return nil
}

// forwardEvents writes complete events to the client and reports whether that succeeded.
func (f *relayedRequest) forwardEvents(response *exchanger.Answer, events []byte) bool {
	if !f.responseStarted {
		f.confirmVersion()
		f.firstByteDelay = f.Timer.Now().Sub(f.arrivedAt)
		f.copyHeader(f.Codec.ClientHeader(response.Header))
		f.w.Header().Del("Content-Length")
		f.status = response.StatusCode
		f.origin = &server.StreamOrigin{Service: f.service, Version: f.version}
		if f.route.IsResumable && f.info.ID != "" {
			f.Origins.Record(f.info.ID, *f.origin)
		}
		f.writeHeader(response.StatusCode)
		f.releaseInputs()
	}
	err := f.writeFlushed(events)
	f.checkWrite(err)
	return err == nil
}

// finishStream ends a stream whose replica has ended it. Blank lines after the last event
// are forwarded as well.
func (f *relayedRequest) finishStream(response *exchanger.Answer) attemptOutcome {
	if remainder := f.events.remainder(); len(remainder) > 0 && !f.forwardEvents(response, remainder) {
		return attemptDisconnected
	}
	if !f.responseStarted && !f.forwardEvents(response, nil) {
		return attemptDisconnected
	}
	f.outcome, f.reason = outcomeAnswered, ""
	return attemptComplete
}

// handleBrokenStream returns the outcome of an attempt whose stream ended early.
func (f *relayedRequest) handleBrokenStream(err error) attemptOutcome {
	if !f.responseStarted {
		return f.handleTruncated(err)
	}
	f.reason = "the stream ended early: " + err.Error()
	switch cause := context.Cause(f.attemptCtx); {
	case errors.Is(cause, errStalled):
		f.reason = cause.Error()
		return attemptStreamBroken
	case errors.Is(cause, context.Canceled):
		f.endDisconnected("client disconnected during the stream")
		return attemptDisconnected
	case cause != nil:
		f.reason = "the stream did not end in time"
		return attemptStreamBroken
	default:
		return attemptStreamBroken
	}
}
