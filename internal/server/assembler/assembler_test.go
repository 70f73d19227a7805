package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/assembler"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/server/storer"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/client"
	"oriolemill.example/oriolemill/pkg/parser"
)

// testDeployment is a deployment on loopback: stand-ins for the platform and the
// services, and one instance.
type testDeployment struct {
	environment *standin.Environment
	instance    *assembler.Instance
}

// newDeployment starts the deployment of an example.
func newDeployment(t testing.TB, example string) *testDeployment {
	t.Helper()
	return newDeploymentWithSpeeds(t, example, standin.DefaultSpeeds())
}

// newStandIns starts the stand-ins of an example and applies its documents.
func newStandIns(t testing.TB, example string, speeds standin.Speeds, options ...standin.EnvironmentOption) (*standin.Environment, *parser.Deployment) {
	t.Helper()
	is := is.New(t)
	folder := filepath.Join("..", "..", "..", "examples", example)
	config, err := os.ReadFile(filepath.Join(folder, "config.yaml"))
	is.NoErr(err)
	deployment, err := parser.ParseDeployment("config.yaml", config)
	is.NoErr(err)
	environment, err := standin.NewEnvironment(deployment, speeds, 0, options...)
	is.NoErr(err)
	t.Cleanup(environment.Close)
	applyDocument(t, environment, configurer.ConfigName, config)
	contracts, err := filepath.Glob(filepath.Join(folder, "contracts", "*.yaml"))
	is.NoErr(err)
	for _, file := range contracts {
		text, err := os.ReadFile(file)
		is.NoErr(err)
		applyDocument(t, environment, configurer.ContractName(strings.TrimSuffix(filepath.Base(file), ".yaml")), text)
	}
	return environment, deployment
}

// newDeploymentWithSpeeds starts the deployment of an example whose stand-ins have the
// given speeds. In benchmarks it lifts the limits of the workspace that they use.
func newDeploymentWithSpeeds(t testing.TB, example string, speeds standin.Speeds) *testDeployment {
	t.Helper()
	is := is.New(t)
	environment, deployment := newStandIns(t, example, speeds)
	if _, bench := t.(*testing.B); bench {
		liftLimits(t, environment, map[string]string{"lutvik": "skoghammar", "uwazi": "habari"}[example])
	}
	return startDeployment(is, t, environment, assembler.Settings{Datacentre: deployment.Datacentres()[0].Name()})
}

// startDeployment starts instance i-0 on a set of stand-ins and waits until it is
// ready.
func startDeployment(is *is.I, t testing.TB, environment *standin.Environment, settings assembler.Settings) *testDeployment {
	t.Helper()
	settings.ID, settings.CallerAddress, settings.PlatformURL = "i-0", "127.0.0.1:0", environment.PlatformURL()
	instance, err := assembler.New(settings)
	is.NoErr(err)
	is.NoErr(instance.Start())
	t.Cleanup(func() { is.NoErr(instance.Stop(context.Background())) })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(instance.WaitReady(ctx))
	return &testDeployment{environment: environment, instance: instance}
}

// applyDocument writes the first version of a document.
func applyDocument(t testing.TB, environment *standin.Environment, name string, text []byte) {
	t.Helper()
	is := is.New(t)
	writer := configurer.New(storer.New(environment.PlatformURL()), time.Now)
	_, err := writer.Apply(context.Background(), configurer.Change{ID: server.NewID(), Name: name, Text: string(text), Operator: "test", Reason: "example"})
	is.NoErr(err)
}

// post sends a request with an API key and returns the status and body of the
// response. headers lists names and values alternately.
func (s *testDeployment) post(t *testing.T, path, key, accept, body string, headers ...string) (int, string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(http.MethodPost, "http://"+s.instance.CallerAddress()+path, bytes.NewReader([]byte(body)))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Accept", accept)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(text)
}

const upsetRequest = `{"kind":"upset","input":"smelt bed temperature falls, reduction efficiency 91.2 %"}`

func TestPipelineRespondsWithJSON(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, "lutvik")
	status, text := s.post(t, "/v1/pipelines/boiler-log", "demo-skoghammar", "application/json", upsetRequest)
	is.Equal(status, http.StatusOK)
	var response struct {
		Outcome string
		Output  string
		Total   int
		Costs   map[string]any
	}
	is.NoErr(json.Unmarshal([]byte(text), &response))
	is.Equal(response.Outcome, "done")
	is.True(strings.Contains(response.Output, "reduction efficiency 91.2 %")) // the input of the caller
	is.Equal(len(response.Costs), 4)                                          // the costs of every stage
}

func TestPipelineRespondsWithStream(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, "uwazi")
	status, text := s.post(t, "/v1/pipelines/drafting", "demo-habari", "text/event-stream",
		`{"kind":"appeal","input":"the ministry did not answer within the period"}`)
	is.Equal(status, http.StatusOK)
	is.True(strings.HasPrefix(text, "id: 0\n") || strings.HasPrefix(text, "id:0\n") || strings.Contains(text, "event: token"))
	is.True(strings.Contains(text, "event: end") || strings.Contains(text, "event:end"))
}

func TestRepeatedOrderRunsOnce(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, "lutvik")
	for range 2 {
		status, _ := s.post(t, "/v1/services/mill-gateway/dose", "demo-skoghammar", "application/json",
			`{"kind":"dosing","input":{"lime_kg":120}}`, "Idempotency-Key", "d-1")
		is.Equal(status, http.StatusOK)
	}
	is.Equal(s.environment.Ledger("mill-gateway").Runs("skoghammar", "d-1"), 1)
}

func TestOperatorsListAndResolveOrders(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, "lutvik")
	claim := `{"state":"unknown","request":"r","nonce":"n","service":"mill-gateway","operation":"dose","until":"2999-01-01T00:00:00Z","expires":"2999-01-01T00:00:00Z"}`
	_, conflict := s.environment.Platform().Commit([]server.Write{{Key: server.Key{Table: "orders", Row: "skoghammar/d-9"}, Value: json.RawMessage(claim)}})
	is.True(conflict == nil)
	operatorClient := client.New("http://" + s.instance.OperatorAddress())
	defer operatorClient.Close()
	page, err := operatorClient.Orders(t.Context(), "unknown", "")
	is.NoErr(err)
	is.Equal(len(page.Orders), 1)
	is.Equal(page.Orders[0].Key, "d-9")
	is.Equal(page.NextCursor, "")
	expectRefusal := func(resolution client.Resolution, status int) {
		_, err := operatorClient.ResolveOrder(t.Context(), resolution)
		var problem *client.OperatorProblem
		is.True(errors.As(err, &problem))
		is.Equal(problem.Status, status)
	}
	resolution := client.Resolution{Workspace: "skoghammar", Key: "d-9", State: "done"}
	expectRefusal(resolution, http.StatusUnprocessableEntity) // no reason
	resolution.Reason = "seen at the pump"
	summary, err := operatorClient.ResolveOrder(t.Context(), resolution)
	is.NoErr(err)
	is.Equal(summary.State, "done")
	is.Equal(summary.Reason, resolution.Reason)
	expectRefusal(resolution, http.StatusConflict) // the state is no longer unknown
	resolution.Key = "absent"
	expectRefusal(resolution, http.StatusNotFound)
	page, err = operatorClient.Orders(t.Context(), "unknown", "")
	is.NoErr(err)
	is.Equal(len(page.Orders), 0)
}
