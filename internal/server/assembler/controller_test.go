package assembler_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestRequestsSucceedWhileControllerIsBlocked guards against requests that wait for
// the controller goroutine: it blocks that goroutine in an event and sends requests of
// every kind.
func TestRequestsSucceedWhileControllerIsBlocked(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, "lutvik")
	defer s.instance.BlockController()()
	for range 10 {
		status, _ := s.post(t, "/v1/pipelines/boiler-log", "demo-skoghammar", "application/json", upsetRequest)
		is.Equal(status, http.StatusOK)
		status, _ = s.post(t, "/v1/pipelines/boiler-log", "demo-norrbruk", "text/event-stream", upsetRequest)
		is.Equal(status, http.StatusOK)
		status, _ = s.post(t, "/v1/services/kiln-watch/trend", "demo-skoghammar", "application/json", `{"kind":"kiln","input":1}`)
		is.Equal(status, http.StatusOK)
	}
	status, _ := s.post(t, "/v1/services/mill-gateway/dose", "demo-skoghammar", "application/json",
		`{"kind":"dosing","input":{"lime_kg":120}}`, "Idempotency-Key", "held-1")
	is.Equal(status, http.StatusOK)
	is.Equal(s.environment.Ledger("mill-gateway").Runs("skoghammar", "held-1"), 1)
}
