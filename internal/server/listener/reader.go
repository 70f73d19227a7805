package listener

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/parser"
)

// Headers of the callers' interface.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	headerDeadline       = "X-Deadline-Ms"
	headerTraceparent    = "Traceparent"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 200

// requestBody is the JSON body of a request.
type requestBody struct {
	Kind    string          `json:"kind"`
	Input   json.RawMessage `json:"input"`
	Options requestOptions  `json:"options"`
}

// requestOptions are the optional settings of a request.
type requestOptions struct {
	// Tokens limits the number of tokens to generate. It applies if it is below the
	// limit in the contract or the contract has none.
	Tokens int `json:"tokens,omitempty"`
}

// authenticate returns the workspace of the API key in the Authorization header.
func authenticate(c *app.RequestContext, snapshot *server.Snapshot) (string, *problem) {
	if snapshot.Version() == 0 {
		return "", newProblem(http.StatusServiceUnavailable, "no configuration in force yet", server.OutcomeNotRun)
	}
	key, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if !ok {
		return "", newProblem(http.StatusUnauthorized, "bearer key is missing", server.OutcomeNotRun)
	}
	sum := sha256.Sum256([]byte(key))
	workspace, ok := snapshot.WorkspaceByKeyHash(hex.EncodeToString(sum[:]))
	if !ok {
		return "", newProblem(http.StatusUnauthorized, "unknown key", server.OutcomeNotRun)
	}
	return workspace, nil
}

// parseRequest authenticates an HTTP request and builds the server.Request from
// its headers and body.
func (l *Listener) parseRequest(c *app.RequestContext) (*server.Request, *problem) {
	snapshot := l.dependencies.Snapshot()
	workspace, problem := authenticate(c, snapshot)
	if problem != nil {
		return nil, problem
	}
	message, problem := readBody(c)
	if problem != nil {
		return nil, problem
	}
	contract := snapshot.Contract(workspace)
	kind := contract.Kind(message.Kind)
	if kind == nil {
		return nil, newProblem(http.StatusUnprocessableEntity, fmt.Sprintf("kind: %q is not in the contract", message.Kind), server.OutcomeNotRun)
	}
	now := l.dependencies.Now()
	deadline, problem := readDeadline(c, kind, now)
	if problem != nil {
		return nil, problem
	}
	request := &server.Request{
		ID:             server.NewID(),
		Workspace:      workspace,
		Kind:           kind,
		Contract:       contract,
		Priority:       priorityOf(kind),
		ArrivalTime:    now,
		Deadline:       deadline,
		Input:          message.Input,
		IdempotencyKey: string(c.GetHeader(headerIdempotencyKey)),
		Traceparent:    readTraceparent(c),
		MaxTokens:      maxTokens(kind, message.Options),
	}
	return request, checkIdempotencyKey(snapshot, request)
}

// maxSkippedBytes bounds how much of the rest of an oversized body is read and
// dropped, so that a caller that is still writing receives the response instead of
// a connection reset.
const maxSkippedBytes = 16 << 20

// readBoundedBody reads a body of at most maxBodyBytes. If the body is longer or
// cannot be read, the connection is closed after the response.
func readBoundedBody(c *app.RequestContext) ([]byte, *problem) {
	data, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), maxBodyBytes+1))
	if err != nil {
		c.SetConnectionClose()
		return nil, newProblem(http.StatusBadRequest, "body: "+err.Error(), server.OutcomeNotRun)
	}
	if len(data) > maxBodyBytes {
		_, _ = io.CopyN(io.Discard, c.RequestBodyStream(), maxSkippedBytes)
		c.SetConnectionClose()
		return nil, newProblem(http.StatusRequestEntityTooLarge, fmt.Sprintf("body: at most %d bytes", maxBodyBytes), server.OutcomeNotRun)
	}
	return data, nil
}

// readBody decodes the body strictly: one JSON value without unknown fields,
// and nothing after it.
func readBody(c *app.RequestContext) (requestBody, *problem) {
	var message requestBody
	data, problem := readBoundedBody(c)
	if problem != nil {
		return message, problem
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&message); err != nil {
		return message, newProblem(http.StatusBadRequest, "body: "+err.Error(), server.OutcomeNotRun)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return message, newProblem(http.StatusBadRequest, "body: more than one JSON value", server.OutcomeNotRun)
	}
	if len(message.Input) == 0 || string(message.Input) == "null" {
		return message, newProblem(http.StatusUnprocessableEntity, "input: is missing", server.OutcomeNotRun)
	}
	if message.Options.Tokens < 0 {
		return message, newProblem(http.StatusUnprocessableEntity, "options.tokens: must not be negative", server.OutcomeNotRun)
	}
	return message, nil
}

// maxTokens returns the smaller one of the token limits in the contract and in the
// request; 0 if neither has one.
func maxTokens(kind *parser.Kind, requested requestOptions) int {
	if requested.Tokens > 0 && (kind.MaxTokens() == 0 || requested.Tokens < kind.MaxTokens()) {
		return requested.Tokens
	}
	return kind.MaxTokens()
}

// traceparentPattern matches the W3C form of the Traceparent header. Other values
// are ignored.
var traceparentPattern = regexp.MustCompile(`^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$`)

// readTraceparent returns the Traceparent header, or "" if it is absent or malformed.
func readTraceparent(c *app.RequestContext) string {
	traceparent := c.GetHeader(headerTraceparent)
	if !traceparentPattern.Match(traceparent) {
		return ""
	}
	return string(traceparent)
}

// requestIDPattern matches the request IDs that are accepted from callers.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// setRequestID sets the request ID header of the response: the ID that the caller
// sent, or request.ID if the caller sent none or an invalid one.
func setRequestID(c *app.RequestContext, request *server.Request) {
	requestID := c.GetHeader(headerRequestID)
	if requestIDPattern.Match(requestID) {
		c.Response.Header.Set(headerRequestID, string(requestID))
		return
	}
	c.Response.Header.Set(headerRequestID, request.ID.String())
}

// checkIdempotencyKey returns a problem if the idempotency key is too long, or is
// missing for a request that must run at most once.
func checkIdempotencyKey(snapshot *server.Snapshot, request *server.Request) *problem {
	if len(request.IdempotencyKey) > maxKeyBytes {
		return newProblem(http.StatusBadRequest, headerIdempotencyKey+": too long", server.OutcomeNotRun)
	}
	if request.IdempotencyKey == "" && server.RunsAtMostOnce(snapshot.Deployment(), request.Kind) {
		return newProblem(http.StatusBadRequest, headerIdempotencyKey+": wanted for what may run only once", server.OutcomeNotRun)
	}
	return nil
}

// readDeadline returns the earlier one of the deadlines in the contract and in
// the request.
func readDeadline(c *app.RequestContext, kind *parser.Kind, now time.Time) (time.Time, *problem) {
	deadline := now.Add(kind.Deadline())
	header := string(c.GetHeader(headerDeadline))
	if header == "" {
		return deadline, nil
	}
	millis, err := strconv.ParseInt(header, 10, 32)
	if err != nil || millis <= 0 {
		return deadline, newProblem(http.StatusBadRequest, headerDeadline+": must be a positive whole number of milliseconds", server.OutcomeNotRun)
	}
	requested := now.Add(time.Duration(millis) * time.Millisecond)
	if requested.Before(deadline) {
		return requested, nil
	}
	return deadline, nil
}

// priorityOf returns the priority of a kind, PriorityNormal if its name is unknown.
func priorityOf(kind *parser.Kind) server.Priority {
	for p := server.PriorityUrgent; p < server.PriorityCount; p++ {
		if p.String() == kind.Priority() {
			return p
		}
	}
	return server.PriorityNormal
}
