package relayer

import (
	"context"
	"errors"
	"net/http"

	"oriolemill.example/oriolemill/internal/server"
)

// checkPrompt ends the request if its prompt has a part that crashes replicas. It reports
// whether the request goes on.
func (f *relayedRequest) checkPrompt() bool {
	wait, part := f.PromptBlocker.BlockedFor(f.sharedParts)
	if wait == 0 {
		return true
	}
	reason := server.ErrPromptBlocked.Error() + ": " + part
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

// recordPrompt records for the parts of the prompt how an attempt ended. A replica that crashes
// closes the connection; an attempt that was cancelled here, of which the cause remains, shows
// nothing.
func (f *relayedRequest) recordPrompt(outcome attemptOutcome, replica *server.Replica) {
	switch outcome {
	case attemptComplete:
		if f.outcome == outcomeAnswered && f.status < http.StatusMultipleChoices {
			f.PromptBlocker.RecordCompletion(f.service, f.sharedParts)
		}
	case attemptNoResponse, attemptTruncated, attemptStreamBroken:
		if errors.Is(context.Cause(f.attemptCtx), context.Canceled) && f.ctx.Err() == nil {
			f.PromptBlocker.RecordCrash(f.service, replica.Incarnation(), f.sharedParts)
		}
	default:
		// The replica did not begin to respond, or responded that it failed.
	}
}
