package editor

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/pkg/client"
	"oriolemill.example/oriolemill/pkg/parser"
)

// writeProblem sends the problem document of an error.
func writeProblem(c *app.RequestContext, err error) {
	status := statusOf(err)
	problem := client.OperatorProblem{Problem: client.Problem{Title: http.StatusText(status), Status: status, Detail: err.Error()}}
	var problems parser.Problems
	if errors.As(err, &problems) {
		problem.Problems = problems
	}
	var conflict *configurer.ConflictError
	if errors.As(err, &conflict) {
		difference := client.Difference(conflict.Difference)
		problem.CurrentVersion, problem.Difference = conflict.Current.Version, &difference
	}
	var unknown *configurer.OutcomeUnknownError
	if errors.As(err, &unknown) {
		problem.ChangeID = unknown.ID.String()
	}
	data, err := json.Marshal(problem)
	if err != nil {
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.Data(status, "application/problem+json", data)
}

// statusOf returns the HTTP status of an error. 504 means that it is not known
// yet whether a change was accepted; 503 means that it was not accepted.
func statusOf(err error) int {
	switch {
	case errors.Is(err, server.ErrInvalid):
		return http.StatusUnprocessableEntity
	case errors.Is(err, server.ErrConflict), errors.Is(err, configurer.ErrBehind), errors.Is(err, configurer.ErrNotBehind):
		return http.StatusConflict
	case errors.Is(err, server.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, server.ErrUncertain):
		return http.StatusGatewayTimeout
	case errors.Is(err, server.ErrUnavailable):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
