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

// refuse answers with the problem document of an error.
func refuse(c *app.RequestContext, err error) {
	status := statusOf(err)
	refusal := client.Refusal{Problem: client.Problem{Title: http.StatusText(status), Status: status, Detail: err.Error()}}
	var problems parser.Problems
	if errors.As(err, &problems) {
		refusal.Problems = problems
	}
	var conflict *configurer.ConflictError
	if errors.As(err, &conflict) {
		difference := client.Difference(conflict.Difference)
		refusal.Current, refusal.Difference = conflict.Current.Version, &difference
	}
	var unknown *configurer.UnknownError
	if errors.As(err, &unknown) {
		refusal.Change = unknown.ID.String()
	}
	data, err := json.Marshal(refusal)
	if err != nil {
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.Data(status, "application/problem+json", data)
}

// statusOf returns the HTTP status of an error. 504 says that it is not known
// yet whether a change was accepted; 503 that it was not.
func statusOf(err error) int {
	switch {
	case errors.Is(err, server.ErrInvalid):
		return http.StatusUnprocessableEntity
	case errors.Is(err, server.ErrConflict), errors.Is(err, configurer.ErrBehind), errors.Is(err, configurer.ErrCurrent):
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
