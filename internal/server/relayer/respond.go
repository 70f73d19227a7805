package relayer

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// refuse responds that the request did not run and when to repeat it. It returns false.
func (f *relayedRequest) refuse(reason string, wait time.Duration) bool {
	f.w.Header().Set("Retry-After", strconv.FormatFloat(max(wait, minRetryAfter).Seconds(), 'f', 2, 64))
	return f.respond(http.StatusServiceUnavailable, outcomeRefused, reason)
}

// reject responds that the request is invalid. It returns false.
func (f *relayedRequest) reject(status int, reason string) bool {
	return f.respond(status, outcomeRejected, reason)
}

// fail responds with an error that leaves open whether the request ran. It returns false.
func (f *relayedRequest) fail(status int, reason string) bool {
	return f.respond(status, outcomeFailed, reason)
}

// endDisconnected ends a request whose client has disconnected. It returns false.
func (f *relayedRequest) endDisconnected(reason string) bool {
	f.outcome, f.reason, f.shouldAbort = outcomeDisconnected, reason, true
	return false
}

// respond writes a response of this instance. It returns false, for its callers to return.
func (f *relayedRequest) respond(status int, outcome, reason string) bool {
	f.outcome, f.reason, f.status = outcome, reason, status
	header := f.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := reason + "\n"
	if f.hasUnreadBody() {
		// The server reads the rest of a short body before it responds.
		f.setReadDeadline(time.Now().Add(discardTimeout))
	}
	header.Set("Content-Length", strconv.Itoa(len(text)))
	f.writeHeader(status)
	f.checkWrite(f.writeFlushed([]byte(text)))
	return false
}

// writeHeader writes the status and the headers of the response.
func (f *relayedRequest) writeHeader(status int) {
	if f.drain.Load() != nil {
		f.w.Header().Set("Connection", "close")
	}
	f.setWriteDeadline()
	f.w.WriteHeader(status)
	f.responseStarted = true
}

// setWriteDeadline bounds the next write to the client by WriteTimeout.
func (f *relayedRequest) setWriteDeadline() {
	// On a connection without support for deadlines, a write is bounded by the
	// client's own timeout.
	_ = http.NewResponseController(f.w).SetWriteDeadline(time.Now().Add(f.WriteTimeout))
}

// write writes a part of the response to the client, in pieces of up to copyBufferBytes: each has its own deadline, so that a
// client is given up for lack of progress and not for the size of a part. A write may be ended early if the client does not
// read while memory or connections are scarce.
func (f *relayedRequest) write(data []byte) (n int, err error) {
	for piece := range slices.Chunk(data, copyBufferBytes) {
		written, err := f.writePiece(piece)
		n += written
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// writePiece writes a piece of the response to the client.
func (f *relayedRequest) writePiece(piece []byte) (int, error) {
	f.setWriteDeadline()
	f.beginSending()
	defer f.account.EndSending()
	n, err := f.w.Write(piece)
	f.recordWrite(err)
	return n, err
}

// beginSending begins a write that may be ended early.
func (f *relayedRequest) beginSending() {
	if f.abortWrite == nil {
		// The error means that the connection supports no deadlines, as only those of tests do.
		f.abortWrite = func() { _ = http.NewResponseController(f.w).SetWriteDeadline(time.Unix(1, 0)) }
	}
	f.account.BeginSending(f.abortWrite)
}

// writeFlushed writes a part of the response and flushes it. The server would flush the last one after the end of the
// request, when a client that reads nothing can't be terminated any more.
func (f *relayedRequest) writeFlushed(data []byte) error {
	if _, err := f.write(data); err != nil {
		return err
	}
	f.setWriteDeadline()
	f.beginSending()
	defer f.account.EndSending()
	err := http.NewResponseController(f.w).Flush()
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	f.recordWrite(err)
	return err
}

// checkWrite aborts the request if a write to the client failed.
func (f *relayedRequest) checkWrite(err error) {
	if err != nil {
		f.outcome, f.reason, f.shouldAbort = outcomeDisconnected, "writing the response to the client failed: "+err.Error(), true
	}
}
