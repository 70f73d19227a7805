package editor

import (
	"net/http"
	"strings"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/configurer"
)

// TestStatusShowsOutcomeOfChange checks that the outcomes accepted, refused and not known
// yet have different statuses.
func TestStatusShowsOutcomeOfChange(t *testing.T) {
	id := server.NewID()
	cases := map[int]error{
		http.StatusUnprocessableEntity: merry.Prepend(server.ErrInvalid, "kinds"),
		http.StatusConflict:            &configurer.ConflictError{Name: "config"},
		http.StatusNotFound:            server.NewFault("document", "x", server.ErrNotFound),
		http.StatusServiceUnavailable:  server.NewFault("apply", "table", server.ErrUnavailable),
		http.StatusGatewayTimeout:      &configurer.OutcomeUnknownError{ID: id},
		http.StatusInternalServerError: merry.New("other"),
	}
	for status, err := range cases {
		is := is.New(t)
		c := app.NewContext(0)
		writeProblem(c, err)
		is.Equal(c.Response.StatusCode(), status)
		if status == http.StatusGatewayTimeout {
			is.True(strings.Contains(string(c.Response.Body()), `"change":"`+id.String()+`"`)) // to request the outcome with
		}
	}
}
