package listener

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/runner"
)

// responseBody is the JSON body of a response. Without the output, it is the data
// of the end event of a stream.
type responseBody struct {
	Request string                  `json:"request"`
	Outcome server.Outcome          `json:"outcome"`
	Output  json.RawMessage         `json:"output,omitempty"`
	Total   int                     `json:"total,omitempty"`
	Costs   map[string]stageCost    `json:"costs"`
	Times   map[string]milliseconds `json:"times_ms"`
}

// stageCost is the cost of one stage, summed over all attempts.
type stageCost struct {
	Calls   int          `json:"calls"`
	Busy    milliseconds `json:"busy_ms"`
	Prefill int          `json:"prefill_tokens"`
	Decode  int          `json:"decode_tokens"`
}

// milliseconds is a duration in the JSON of a response.
type milliseconds float64

// tokenEvent is the data of a token event of a stream.
type tokenEvent struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

func (l *Listener) servePipeline(ctx context.Context, c *app.RequestContext) {
	request, problem := l.parseRequest(c)
	if problem == nil && request.Kind.Pipeline() != c.Param("pipeline") {
		problem = newProblem(http.StatusNotFound, "the kind is not served by this pipeline", server.OutcomeNotRun)
	}
	if problem != nil {
		writeProblem(c, problem)
		return
	}
	l.serve(ctx, c, request)
}

func (l *Listener) serveService(ctx context.Context, c *app.RequestContext) {
	request, problem := l.parseRequest(c)
	if problem == nil && (request.Kind.Service() != c.Param("service") || request.Kind.Operation() != c.Param("operation")) {
		problem = newProblem(http.StatusNotFound, "the kind is not served by this operation", server.OutcomeNotRun)
	}
	if problem != nil {
		writeProblem(c, problem)
		return
	}
	l.serve(ctx, c, request)
}

func (l *Listener) serve(ctx context.Context, c *app.RequestContext, request *server.Request) {
	setRequestID(c, request)
	if strings.Contains(string(c.GetHeader("Accept")), "text/event-stream") && request.Kind.Pipeline() != "" {
		l.serveStream(ctx, c, request)
		return
	}
	result := l.run(ctx, request, nil)
	if result.Err() != nil {
		writeProblem(c, problemOf(request, result))
		return
	}
	c.Data(http.StatusOK, "application/json", encode(newResponseBody(request, result, true)))
}

// serveStream responds with server-sent events. It sends the status line with the
// first token, so that the response to a request that fails before has the status
// of the error.
func (l *Listener) serveStream(ctx context.Context, c *app.RequestContext, request *server.Request) {
	var writer *sse.Writer
	result := l.run(ctx, request, func(t server.Token) error {
		if writer == nil {
			writer = sse.NewWriter(c)
		}
		err := writer.WriteEvent(strconv.Itoa(t.Offset), "token", encode(tokenEvent{Offset: t.Offset, Text: t.Text}))
		if err != nil {
			return merry.Prepend(server.ErrCallerDisconnected, err.Error())
		}
		return nil
	})
	if result.Err() != nil {
		p := problemOf(request, result)
		if writer == nil {
			writeProblem(c, p)
			return
		}
		_ = writer.WriteEvent("", "error", encode(p))
		_ = writer.Close()
		return
	}
	if writer == nil {
		writer = sse.NewWriter(c)
	}
	_ = writer.WriteEvent("", "end", encode(newResponseBody(request, result, false)))
	_ = writer.Close()
}

// run runs a request and records its outcome, duration and costs.
func (l *Listener) run(ctx context.Context, request *server.Request, handleToken server.TokenHandler) *runner.Result {
	result := l.dependencies.Runner.Run(ctx, request, handleToken)
	duration := l.dependencies.Now().Sub(request.ArrivalTime)
	l.dependencies.Meter.RecordRequest(request.Kind.Name(), result.Outcome(), duration, result.Costs())
	return result
}

func toMilliseconds(d time.Duration) milliseconds {
	return milliseconds(float64(d) / float64(time.Millisecond))
}

// newResponseBody returns the body for a result without an error.
func newResponseBody(request *server.Request, result *runner.Result, withOutput bool) *responseBody {
	response := &responseBody{
		Request: request.ID.String(),
		Outcome: result.Outcome(),
		Total:   result.Answer().TotalTokens,
		Costs:   make(map[string]stageCost),
		Times:   make(map[string]milliseconds),
	}
	for stage, duration := range result.Durations() {
		response.Times[stage] = toMilliseconds(duration)
	}
	for stage, cost := range result.Costs() {
		response.Costs[stage] = stageCost{Calls: cost.Calls, Busy: toMilliseconds(cost.BusyTime), Prefill: cost.PrefillTokens, Decode: cost.DecodeTokens}
	}
	if withOutput {
		response.Output = result.Answer().Output
	}
	return response
}

// serveOrder responds with the state of an order of the caller's workspace. Orders
// of other workspaces are not found.
func (l *Listener) serveOrder(ctx context.Context, c *app.RequestContext) {
	workspace, problem := authenticate(c, l.dependencies.Snapshot())
	if problem != nil {
		writeProblem(c, problem)
		return
	}
	state, err := l.dependencies.Orderer.OrderState(ctx, workspace, c.Param("key"))
	if errors.Is(err, server.ErrNotFound) {
		writeProblem(c, newProblem(http.StatusNotFound, "no such order", server.OutcomeNotRun))
		return
	}
	if err != nil {
		writeProblem(c, newProblem(http.StatusServiceUnavailable, "order state cannot be read now", server.OutcomeUnknown))
		return
	}
	c.Data(http.StatusOK, "application/json", encode(state))
}
