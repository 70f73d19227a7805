package listener

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/runner"
)

// problem is an RFC 9457 problem document.
type problem struct {
	Type       string         `json:"type"`
	Title      string         `json:"title"`
	Status     int            `json:"status"`
	Detail     string         `json:"detail,omitempty"`
	Outcome    server.Outcome `json:"outcome"`
	Step       string         `json:"step,omitempty"`
	Peer       string         `json:"peer,omitempty"`
	Request    string         `json:"request,omitempty"`
	retryAfter time.Duration
}

func newProblem(status int, detail string, outcome server.Outcome) *problem {
	return &problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Outcome: outcome}
}

// problemOf returns the problem document for the error of a result.
func problemOf(request *server.Request, result *runner.Result) *problem {
	err := result.Err()
	p := newProblem(statusOf(err, result.Outcome()), err.Error(), result.Outcome())
	p.Request = request.ID.String()
	var fault *server.Fault
	if errors.As(err, &fault) {
		p.Step = fault.Step()
		p.Peer = fault.Peer()
		p.retryAfter = fault.RetryAfter()
	}
	return p
}

// statusOf returns the HTTP status for an error and the outcome of the request.
func statusOf(err error, outcome server.Outcome) int {
	switch {
	case errors.Is(err, server.ErrLimited):
		return http.StatusTooManyRequests
	case errors.Is(err, server.ErrInvalid):
		return http.StatusUnprocessableEntity
	case errors.Is(err, server.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, server.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, server.ErrNoUpstream), errors.Is(err, server.ErrRequestBlocked):
		return http.StatusServiceUnavailable
	case errors.Is(err, server.ErrOverload), errors.Is(err, server.ErrUnavailable) && outcome == server.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case errors.Is(err, server.ErrDeadline) && outcome == server.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case errors.Is(err, server.ErrDeadline):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func writeProblem(c *app.RequestContext, p *problem) {
	if p.retryAfter > 0 {
		seconds := int(math.Ceil(p.retryAfter.Seconds()))
		c.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	c.Data(p.Status, "application/problem+json", encode(p))
}

// encode marshals a message of this package. These types cannot fail to
// marshal, so it panics on an error.
func encode(message any) []byte {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return data
}
