package relayer

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// checkBlocked ends the request if it, or a part of its prompt, crashes replicas. It reports
// whether the request goes on.
func (f *relayedRequest) checkBlocked() bool {
	wait, part := f.RequestBlocker.BlockedFor(f.content)
	if wait == 0 {
		return true
	}
	reason := server.ErrRequestBlocked.Error() + ": " + part
	switch {
	case f.responseStarted:
		f.shouldAbort, f.outcome, f.reason = true, outcomeBroken, reason
		return false
	case f.mayHaveRun:
		return f.fail(http.StatusBadGateway, reason)
	default:
		return f.refuse(reason, wait)
	}
}

// recordContent records for what the request holds how an attempt ended. A replica that crashes
// closes the connection; an attempt that was cancelled here, of which the cause remains, shows
// nothing.
func (f *relayedRequest) recordContent(outcome attemptOutcome, replica *server.Replica, beganAt time.Time) {
	switch outcome {
	case attemptComplete:
		if f.outcome == outcomeAnswered && f.status < http.StatusMultipleChoices {
			f.RequestBlocker.RecordCompletion(f.service, f.content)
		}
	case attemptNoResponse, attemptTruncated, attemptStreamBroken:
		if errors.Is(context.Cause(f.attemptCtx), context.Canceled) && f.ctx.Err() == nil {
			f.RequestBlocker.RecordCrash(f.service, replica.Incarnation(), f.content, beganAt)
		}
	default:
		// The replica did not begin to respond, or responded that it failed.
	}
}

// contentKeys returns the keys of the request: with its prompt, if it states one, and without. Either
// may be what requests that come again have in common.
func (f *relayedRequest) contentKeys() []string {
	fields := [][]byte{[]byte(f.r.Method), []byte(f.r.Host), []byte(f.r.RequestURI), []byte(f.info.APIKey), f.body}
	keys := []string{server.ContentKeyOfBytes(fields...)}
	if len(f.info.PromptParts) == 0 {
		return keys
	}
	for _, part := range f.info.PromptParts {
		fields = append(fields, []byte(part.ID))
	}
	return []string{server.ContentKeyOfBytes(fields...), keys[0]}
}

// loggedContent returns the most specific key of the request, for the log line.
func (f *relayedRequest) loggedContent() string {
	if len(f.content.Keys) == 0 {
		return ""
	}
	return f.content.Keys[0]
}

// loggedParts returns the IDs of the first shared parts of the prompt, for the log line.
func (f *relayedRequest) loggedParts() string {
	return loggedText(strings.Join(f.content.Parts[:min(len(f.content.Parts), maxLoggedParts)], ","))
}
