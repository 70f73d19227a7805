package client

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// Outcomes of a request, in answers, in problem documents and from OutcomeOf.
const (
	// OutcomeDone means that the complete answer was received.
	OutcomeDone = "done"
	// OutcomeNotRun means that the request was certainly not run.
	OutcomeNotRun = "not-run"
	// OutcomeFailed means that the request was run in part, without side effects.
	OutcomeFailed = "failed"
	// OutcomeUnknown means that the request may or may not have been run, and that a
	// side effect may have happened.
	OutcomeUnknown = "unknown"
)

var (
	// ErrIncompleteStream means that a stream ended without an end event, went on after
	// it, or that the end event reports another number of tokens than were received.
	ErrIncompleteStream = merry.New("incomplete stream")
	// ErrStreamGap means that the token offsets of a stream are not consecutive.
	ErrStreamGap = merry.New("gap in token offsets")
)

// maxProblemBytes limits the size of a problem document.
const maxProblemBytes = 64 << 10

// Problem is the RFC 9457 problem document with which an instance responds to a
// request that it rejected or failed to serve.
type Problem struct {
	// Title is the text of the HTTP status.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail describes the error.
	Detail string `json:"detail"`
	// Outcome is "not-run", "failed" or "unknown"; it is "" in the interface for
	// operators.
	Outcome string `json:"outcome"`
	// Step is the processing step that failed, such as the name of a stage.
	Step string `json:"step"`
	// Peer is the upstream or the part of the platform that caused the error, or "".
	Peer string `json:"peer"`
	// RequestID is the ID of the request, or "".
	RequestID string `json:"request"`

	retryAfter time.Duration
}

// Error returns the status, its text and the detail.
func (p *Problem) Error() string {
	text := strconv.Itoa(p.Status) + " " + p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	return text
}

// RetryAfter returns the delay after which a retry may succeed, or zero if the
// response gave none.
func (p *Problem) RetryAfter() time.Duration { return p.retryAfter }

// OutcomeOf returns the outcome of a request whose call returned err. Without a
// problem document only a failure to connect proves that the request was not run;
// after any other error the outcome is unknown.
func OutcomeOf(err error) string {
	var problem *Problem
	var opErr *net.OpError
	switch {
	case err == nil:
		return OutcomeDone
	case errors.As(err, &problem) && problem.Outcome != "":
		return problem.Outcome
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// readProblem reads a response with another status than 200 and returns it as a
// *Problem; a body that is no problem document becomes the detail.
func readProblem(response *http.Response) error {
	p := &Problem{Title: http.StatusText(response.StatusCode), Status: response.StatusCode}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err != nil {
		return merry.Wrap(err)
	}
	if json.Unmarshal(data, p) != nil {
		p.Detail = string(data)
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		p.retryAfter = time.Duration(seconds) * time.Second
	}
	return p
}

// readAnswer reads a complete answer. A truncated body is an error.
func readAnswer(response *http.Response) (*Answer, error) {
	if response.StatusCode != http.StatusOK {
		return nil, readProblem(response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, merry.Prepend(err, "reading the response")
	}
	answer := &Answer{}
	if err := json.Unmarshal(data, answer); err != nil {
		return nil, merry.Prepend(err, "decoding the response")
	}
	return answer, nil
}
