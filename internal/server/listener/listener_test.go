package listener_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/legacy"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/listener"
	"oriolemill.example/oriolemill/internal/server/runner"
	"oriolemill.example/oriolemill/pkg/parser"
)

const config = `
deployment: d
datacentres: [{name: a, region: r}]
services:
  encoders: {role: encoder, replicas: 1}
  engines: {role: engine, replicas: 1}
  desk: {role: plain, replicas: 1, operations: {dose: {repeat: false}, read: {repeat: true}}}
pipelines:
  short: {stages: [{name: encode, service: encoders}, {name: rank, service: encoders}, {name: generate, service: engines}]}
`

const contract = `
contract: w
keys: [%s]
kinds:
  ask: {pipeline: short, deadline: 4s, weight: 1, priority: normal, tokens: 8}
  dose: {service: desk, operation: dose, deadline: 4s, weight: 1, priority: urgent, effects: true}
  read: {service: desk, operation: read, deadline: 4s, weight: 1, priority: normal}
`

// fakeRunner counts requests and runs the behaviour that a test sets.
type fakeRunner struct {
	runCount    atomic.Int64
	lastRequest atomic.Pointer[server.Request]
	behaviour   atomic.Pointer[runFunc]
}

// runFunc is the behaviour of a fakeRunner.
type runFunc func(ctx context.Context, request *server.Request, handleToken server.TokenHandler) *runner.Result

// setBehaviour sets the behaviour for the following requests. It is stored
// atomically, since the race detector does not see the order that the socket
// imposes.
func (f *fakeRunner) setBehaviour(behaviour runFunc) { f.behaviour.Store(&behaviour) }

func (f *fakeRunner) Run(ctx context.Context, request *server.Request, handleToken server.TokenHandler) *runner.Result {
	f.runCount.Add(1)
	f.lastRequest.Store(request)
	return (*f.behaviour.Load())(ctx, request, handleToken)
}

func runDone(_ context.Context, _ *server.Request, handleToken server.TokenHandler) *runner.Result {
	if handleToken != nil {
		_ = handleToken(server.Token{Offset: 0, Text: "one"})
		_ = handleToken(server.Token{Offset: 1, Text: " two"})
	}
	return runner.NewResult(server.OutcomeDone, server.Answer{Output: json.RawMessage(`"one two"`), TotalTokens: 2}, nil,
		runner.WithCosts(map[string]server.Cost{"encode": {Calls: 1, BusyTime: time.Millisecond}}))
}

func runFailing(outcome server.Outcome, cause error, retry time.Duration) func(context.Context, *server.Request, server.TokenHandler) *runner.Result {
	return func(context.Context, *server.Request, server.TokenHandler) *runner.Result {
		return runner.NewResult(outcome, server.Answer{}, server.NewFault("encode", "encoders-0", cause,
			server.WithOutcome(outcome), server.WithRetryAfter(retry)))
	}
}

// fakeOrderer has one order, with the key "known" in the workspace w.
type fakeOrderer struct{ server.Orderer }

func (fakeOrderer) OrderState(_ context.Context, workspace, key string) (server.OrderState, error) {
	if workspace != "w" || key != "known" {
		return server.OrderState{}, server.NewFault("state", "table", server.ErrNotFound)
	}
	return server.OrderState{Key: key, State: "done", RequestID: server.NewID().String(), Output: json.RawMessage(`{"receipt":1}`)}, nil
}

// discardCounter is a listener.Counter that records nothing.
type discardCounter struct{}

func (discardCounter) RecordRequest(string, server.Outcome, time.Duration, map[string]server.Cost) {}

// testListener is a listener with a fake runner. Its responses are validated
// against the OpenAPI description.
type testListener struct {
	runner  *fakeRunner
	baseURL string
	router  routers.Router
}

func newTestListener(t testing.TB) *testListener {
	t.Helper()
	is := is.New(t)
	sum := sha256.Sum256([]byte("key-w"))
	deployment, err := parser.ParseDeployment("config.yaml", []byte(config))
	is.NoErr(err)
	parsedContract, err := parser.ParseContract("w.yaml", fmt.Appendf(nil, contract, hex.EncodeToString(sum[:])))
	is.NoErr(err)
	snapshot := server.NewSnapshot(time.Now(), nil,
		server.WithDocuments(1, deployment, map[string]*parser.Contract{"w": parsedContract}))
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	testRunner := &fakeRunner{}
	testRunner.setBehaviour(runDone)
	l := listener.New(socket, listener.Dependencies{
		Runner: testRunner, Orderer: fakeOrderer{}, Meter: discardCounter{},
		Snapshot: func() *server.Snapshot { return snapshot }, Now: time.Now,
	})
	is.NoErr(l.Start())
	t.Cleanup(func() { is.NoErr(l.Shutdown(context.Background())) })
	document, err := openapi3.NewLoader().LoadFromFile("../../../docs/openapi.yaml")
	is.NoErr(err)
	is.NoErr(document.Validate(t.Context()))
	router, err := legacy.NewRouter(document)
	is.NoErr(err)
	return &testListener{runner: testRunner, baseURL: "http://" + socket.Addr().String(), router: router}
}

// testRequest is one HTTP request of a caller.
type testRequest struct {
	method, path, body string
	header             map[string]string
}

// send sends a request and validates the response against the OpenAPI
// description.
func (f *testListener) send(t *testing.T, r testRequest) (*http.Response, []byte) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), r.method, f.baseURL+r.path, bytes.NewReader([]byte(r.body)))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer key-w")
	request.Header.Set("Content-Type", "application/json")
	for name, value := range r.header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	route, params, err := f.router.FindRoute(request)
	if err != nil {
		return response, body // not a path of the description
	}
	requestInput := &openapi3filter.RequestValidationInput{Request: request, PathParams: params, Route: route}
	responseInput := &openapi3filter.ResponseValidationInput{
		RequestValidationInput: requestInput, Status: response.StatusCode, Header: response.Header,
	}
	responseInput.SetBodyBytes(body)
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		is.NoErr(openapi3filter.ValidateResponse(t.Context(), responseInput))
	}
	return response, body
}

func outcomeOf(t *testing.T, body []byte) string {
	t.Helper()
	var message struct{ Outcome string }
	is.New(t).NoErr(json.Unmarshal(body, &message))
	return message.Outcome
}

const validBody = `{"kind":"ask","input":"words"}`

func TestInvalidRequestsAreNotRun(t *testing.T) {
	f := newTestListener(t)
	post := func(body string) testRequest {
		return testRequest{method: http.MethodPost, path: "/v1/pipelines/short", body: body}
	}
	withHeader := func(r testRequest, name, value string) testRequest {
		r.header = map[string]string{name: value}
		return r
	}
	dose := testRequest{method: http.MethodPost, path: "/v1/services/desk/dose", body: `{"kind":"dose","input":1}`}
	tests := map[string]struct {
		request testRequest
		status  int
	}{
		"empty body":        {post(""), 400},
		"not JSON":          {post("{"), 400},
		"two values":        {post(validBody + validBody), 400},
		"unknown field":     {post(`{"kind":"ask","input":1,"extra":2}`), 400},
		"no input":          {post(`{"kind":"ask"}`), 422},
		"null input":        {post(`{"kind":"ask","input":null}`), 422},
		"unknown kind":      {post(`{"kind":"none","input":1}`), 422},
		"negative tokens":   {post(`{"kind":"ask","input":1,"options":{"tokens":-1}}`), 422},
		"kind elsewhere":    {post(`{"kind":"read","input":1}`), 404},
		"unknown pipeline":  {testRequest{method: http.MethodPost, path: "/v1/pipelines/none", body: validBody}, 404},
		"unknown path":      {testRequest{method: http.MethodPost, path: "/v2/none", body: validBody}, 404},
		"wrong method":      {testRequest{method: http.MethodDelete, path: "/v1/pipelines/short"}, 405},
		"no key":            {withHeader(post(validBody), "Authorization", ""), 401},
		"wrong key":         {withHeader(post(validBody), "Authorization", "Bearer other"), 401},
		"negative deadline": {withHeader(post(validBody), "X-Deadline-Ms", "-5"), 400},
		"zero deadline":     {withHeader(post(validBody), "X-Deadline-Ms", "0"), 400},
		"word for deadline": {withHeader(post(validBody), "X-Deadline-Ms", "soon"), 400},
		"order without key": {dose, 400},
		"order key length":  {withHeader(dose, "Idempotency-Key", strings.Repeat("k", 201)), 400},
		"unknown operation": {testRequest{method: http.MethodPost, path: "/v1/services/desk/none", body: `{"kind":"read","input":1}`}, 404},
		"huge body":         {post(`{"kind":"ask","input":"` + strings.Repeat("x", 2<<20) + `"}`), 413},
		"unknown order":     {testRequest{method: http.MethodGet, path: "/v1/orders/none"}, 404},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, body := f.send(t, test.request)
			is.Equal(response.StatusCode, test.status)
			is.Equal(outcomeOf(t, body), "not-run")
			is.Equal(f.runner.runCount.Load(), int64(0))
		})
	}
}

func TestErrorsSetStatusAndOutcome(t *testing.T) {
	f := newTestListener(t)
	tests := map[string]struct {
		outcome server.Outcome
		cause   error
		status  int
	}{
		"limited":       {server.OutcomeNotRun, server.ErrLimited, 429},
		"overload":      {server.OutcomeNotRun, server.ErrOverload, 503},
		"late, not run": {server.OutcomeNotRun, server.ErrDeadline, 503},
		"late":          {server.OutcomeFailed, server.ErrDeadline, 504},
		"broken":        {server.OutcomeFailed, server.ErrMismatch, 502},
		"unknown":       {server.OutcomeUnknown, server.ErrUnavailable, 502},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f.runner.setBehaviour(runFailing(test.outcome, test.cause, 1500*time.Millisecond))
			response, body := f.send(t, testRequest{method: http.MethodPost, path: "/v1/pipelines/short", body: validBody})
			is.Equal(response.StatusCode, test.status)
			is.Equal(outcomeOf(t, body), string(test.outcome))
			is.Equal(response.Header.Get("Retry-After"), "2") // rounded up, so that it is never earlier than the runner's delay
			is.True(bytes.Contains(body, []byte(`"step":"encode"`)))
			is.True(bytes.Contains(body, []byte(`"peer":"encoders-0"`)))
		})
	}
}

func TestResponsesMatchOpenAPI(t *testing.T) {
	is := is.New(t)
	f := newTestListener(t)
	trace := "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	response, body := f.send(t, testRequest{
		method: http.MethodPost, path: "/v1/pipelines/short", body: `{"kind":"ask","input":"w","options":{"tokens":3}}`,
		header: map[string]string{"X-Request-Id": "mine-1", "Traceparent": trace, "X-Deadline-Ms": "100"},
	})
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(outcomeOf(t, body), "done")
	is.Equal(response.Header.Get("X-Request-Id"), "mine-1")
	request := f.runner.lastRequest.Load()
	is.Equal(request.Traceparent, trace)
	is.Equal(request.MaxTokens, 3)
	is.Equal(request.Deadline.Sub(request.ArrivalTime), 100*time.Millisecond) // the earlier one of contract and request
	response, _ = f.send(t, testRequest{method: http.MethodGet, path: "/v1/orders/known"})
	is.Equal(response.StatusCode, http.StatusOK)
	response, _ = f.send(t, testRequest{
		method: http.MethodPost, path: "/v1/services/desk/dose", body: `{"kind":"dose","input":1}`,
		header: map[string]string{"Idempotency-Key": "k-1"},
	})
	is.Equal(response.StatusCode, http.StatusOK)
}

func TestStreamHasOneFinalEvent(t *testing.T) {
	is := is.New(t)
	f := newTestListener(t)
	stream := testRequest{method: http.MethodPost, path: "/v1/pipelines/short", body: validBody, header: map[string]string{"Accept": "text/event-stream"}}
	_, body := f.send(t, stream)
	is.Equal(strings.Count(string(body), "event: token")+strings.Count(string(body), "event:token"), 2)
	is.Equal(strings.Count(string(body), "event: end")+strings.Count(string(body), "event:end"), 1)
	is.True(bytes.Contains(body, []byte(`"total":2`)))
	f.runner.setBehaviour(func(ctx context.Context, _ *server.Request, handleToken server.TokenHandler) *runner.Result {
		_ = handleToken(server.Token{Offset: 0, Text: "one"})
		return runFailing(server.OutcomeFailed, server.ErrDeadline, 0)(ctx, nil, nil)
	})
	_, body = f.send(t, stream)
	is.True(!bytes.Contains(body, []byte("event: end")) && !bytes.Contains(body, []byte("event:end")))
	is.True(bytes.Contains(body, []byte(`"outcome":"failed"`)))
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	is := is.New(t)
	f := newTestListener(t)
	started := make(chan struct{})
	ended := make(chan struct{})
	f.runner.setBehaviour(func(ctx context.Context, _ *server.Request, _ server.TokenHandler) *runner.Result {
		close(started)
		<-ctx.Done()
		close(ended)
		return runFailing(server.OutcomeFailed, server.ErrCallerDisconnected, 0)(ctx, nil, nil)
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.baseURL+"/v1/pipelines/short", strings.NewReader(validBody))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer key-w")
	go func() {
		<-started
		cancel()
	}()
	_, err = http.DefaultClient.Do(request)
	is.True(err != nil)
	<-ended // the context of the handler ends when the caller disconnects
}
