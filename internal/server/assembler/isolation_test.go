package assembler_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/standin"
)

const doseOrder = `{"kind":"dosing","input":{"lime_kg":120}}`

// TestWorkspacesWithTheSameKeyHaveSeparateOrders sends concurrent orders of two workspaces
// with the same key. Each workspace must get one run and its own output.
func TestWorkspacesWithTheSameKeyHaveSeparateOrders(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, "lutvik")
	var group sync.WaitGroup
	var mu sync.Mutex
	responses := map[string][]string{}
	for _, workspace := range []string{"skoghammar", "storfors"} {
		for range 3 {
			group.Go(func() {
				_, text := s.post(t, "/v1/services/mill-gateway/dose", "demo-"+workspace, "application/json", doseOrder, "Idempotency-Key", "same")
				mu.Lock()
				defer mu.Unlock()
				responses[workspace] = append(responses[workspace], text)
			})
		}
	}
	group.Wait()
	outputs := map[string]string{}
	for workspace, bodies := range responses {
		is.Equal(s.environment.Ledger("mill-gateway").Runs(workspace, "same"), 1)
		for _, text := range bodies {
			var response struct {
				Outcome string
				Output  json.RawMessage
			}
			is.NoErr(json.Unmarshal([]byte(text), &response))
			is.Equal(response.Outcome, "done")
			if outputs[workspace] == "" {
				outputs[workspace] = string(response.Output)
			}
			is.Equal(string(response.Output), outputs[workspace]) // every duplicate gets the recorded output
		}
	}
	is.True(outputs["skoghammar"] != outputs["storfors"])
}

// TestOrderOfAnotherWorkspaceLooksAbsent guards against responses that reveal the
// orders of another workspace: they must equal those for a missing order byte by byte.
func TestOrderOfAnotherWorkspaceLooksAbsent(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, "lutvik")
	status, _ := s.post(t, "/v1/services/mill-gateway/dose", "demo-skoghammar", "application/json", doseOrder, "Idempotency-Key", "mine")
	is.Equal(status, http.StatusOK)
	ownStatus, _ := s.getOrder(t, "demo-skoghammar", "mine")
	is.Equal(ownStatus, http.StatusOK)
	foreignStatus, foreignBody := s.getOrder(t, "demo-storfors", "mine")
	absentStatus, absentBody := s.getOrder(t, "demo-storfors", "nobody")
	is.Equal(foreignStatus, http.StatusNotFound)
	is.Equal(absentStatus, http.StatusNotFound)
	is.Equal(foreignBody, absentBody)
	traversalStatus, _ := s.getOrder(t, "demo-storfors", "..%2Fskoghammar%2Fmine")
	is.Equal(traversalStatus, http.StatusNotFound)
}

// getOrder requests the state of an order and returns the status and body of the
// response.
func (s *testDeployment) getOrder(t *testing.T, key, order string) (int, string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(http.MethodGet, "http://"+s.instance.CallerAddress()+"/v1/orders/"+order, nil)
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	var b strings.Builder
	_, err = io.Copy(&b, response.Body)
	is.NoErr(err)
	return response.StatusCode, b.String()
}

// TestForeignAndCrossedResponsesAreRejected has the service respond with the output of
// another workspace or request, or with a broken response. The instance must then request
// the state of the order and never return the output of another one.
func TestForeignAndCrossedResponsesAreRejected(t *testing.T) {
	for name, fault := range map[string]standin.Fault{
		"foreign": {ForeignAnswers: 1}, "crossed": {CrossedAnswers: 1}, "short": {WrongLengths: 1}, "cut": {CutAnswers: 1}, "lost": {LostAnswers: 1}, "reset": {Resets: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newDeployment(t, "lutvik")
			// Gives every replica a previous response that belongs to another workspace.
			for range 12 {
				s.post(t, "/v1/services/mill-gateway/dose", "demo-storfors", "application/json", doseOrder, "Idempotency-Key", "warm")
			}
			for _, id := range s.environment.Replicas("mill-gateway") {
				s.environment.Upstream(id).Faults().Set(fault)
			}
			status, text := s.post(t, "/v1/services/mill-gateway/dose", "demo-skoghammar", "application/json", doseOrder, "Idempotency-Key", "d")
			runs := s.environment.Ledger("mill-gateway").Runs("skoghammar", "d")
			is.True(runs <= 1)
			is.True(!strings.Contains(text, "warm")) // no part of the other workspace's response
			if status == http.StatusOK {
				is.Equal(runs, 1)
			} else if strings.Contains(text, `"not-run"`) {
				is.Equal(runs, 0)
			}
			for _, id := range s.environment.Replicas("mill-gateway") {
				s.environment.Upstream(id).Faults().Set(standin.Fault{})
			}
			status, _ = s.post(t, "/v1/services/mill-gateway/dose", "demo-skoghammar", "application/json", doseOrder, "Idempotency-Key", "d")
			is.Equal(status, http.StatusOK) // the service is fenced and reports the state of orders, so the repeat has a certain outcome
			is.Equal(s.environment.Ledger("mill-gateway").Runs("skoghammar", "d"), 1)
		})
	}
}

// TestCallsWithoutOrdersNeedNoTable runs repeatable calls and a pipeline while the
// platform is down. Orders must be refused meanwhile without a run.
func TestCallsWithoutOrdersNeedNoTable(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, "lutvik")
	s.environment.PlatformServer().Faults().Set(standin.Fault{Outage: true})
	for range 20 {
		status, _ := s.post(t, "/v1/services/kiln-watch/trend", "demo-storfors", "application/json", `{"kind":"kiln","input":1}`)
		is.Equal(status, http.StatusOK)
		status, _ = s.post(t, "/v1/pipelines/boiler-log", "demo-skoghammar", "application/json", upsetRequest)
		is.Equal(status, http.StatusOK)
	}
	before := s.environment.Platform().CommitCount()
	for range 6 {
		status, text := s.post(t, "/v1/services/mill-gateway/dose", "demo-skoghammar", "application/json", doseOrder, "Idempotency-Key", "down")
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(strings.Contains(text, `"not-run"`))
	}
	is.Equal(s.environment.Platform().CommitCount(), before)
	s.environment.PlatformServer().Faults().Set(standin.Fault{})
}

// TestMetricsContainNoKeysOrInputs guards against metrics that contain the key or the
// input of an order.
func TestMetricsContainNoKeysOrInputs(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, "lutvik")
	s.post(t, "/v1/services/mill-gateway/dose", "demo-skoghammar", "application/json", `{"kind":"dosing","input":"marker-input"}`, "Idempotency-Key", "marker-key")
	response, err := http.Get("http://" + s.instance.OperatorAddress() + "/metrics")
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	var b strings.Builder
	_, err = io.Copy(&b, response.Body)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(strings.Contains(b.String(), "oriolemill_requests_total"))
	is.True(!strings.Contains(b.String(), "marker-"))
}
