package assembler_test

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server/assembler"
	"oriolemill.example/oriolemill/internal/standin"
)

// Values that callers send and that must not occur in logs, metrics or the status.
// secretBearer is an API key of the example.
const (
	secretKey    = "quokka-key"
	secretInput  = "quokka-input"
	secretBearer = "demo-skoghammar"
)

// maxVerbosity enables log lines of every verbosity.
const maxVerbosity = 100

// logBuffer holds everything that is written to it. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (p *logBuffer) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

func (p *logBuffer) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

// getOperatorPage returns the body of a page of the operators' interface.
func (s *testDeployment) getOperatorPage(t *testing.T, path string) string {
	t.Helper()
	is := is.New(t)
	response, err := http.Get("http://" + s.instance.OperatorAddress() + path)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	return string(text)
}

// TestLogsMetricsAndStatusContainNoCallerData guards against keys and inputs of
// callers that leak to operators. It sends orders and pipeline requests that succeed,
// that fail at the services and the table, and that are malformed, and searches the
// logs, metrics and status for their secrets.
func TestLogsMetricsAndStatusContainNoCallerData(t *testing.T) {
	is := is.New(t)
	var logs logBuffer
	hlog.SetOutput(&logs)
	t.Cleanup(func() { hlog.SetOutput(os.Stderr) })
	environment, deployment := newStandIns(t, "lutvik", standin.DefaultSpeeds())
	log := funcr.New(func(prefix, args string) { _, _ = io.WriteString(&logs, prefix+" "+args+"\n") }, funcr.Options{Verbosity: maxVerbosity})
	s := startDeployment(is, t, environment, assembler.Settings{Datacentre: deployment.Datacentres()[0].Name(), Log: log})

	order := `{"kind":"dosing","input":{"lime_kg":120,"note":"` + secretInput + `"}}`
	sendOrder := func(key string) (int, string) {
		return s.post(t, "/v1/services/mill-gateway/dose", secretBearer, "application/json", order, "Idempotency-Key", secretKey+key)
	}
	sendPipeline := func(accept string) (int, string) {
		return s.post(t, "/v1/pipelines/boiler-log", secretBearer, accept, `{"kind":"upset","input":"`+secretInput+` falls"}`)
	}
	status, _ := sendOrder("")
	is.Equal(status, http.StatusOK)
	for _, accept := range []string{"application/json", "text/event-stream"} {
		status, text := sendPipeline(accept)
		is.Equal(status, http.StatusOK)
		is.True(strings.Contains(text, secretInput) || accept != "application/json") // the response does contain the input
	}
	for i, fault := range []standin.Fault{{Outage: true}, {Errors: 1}, {LostAnswers: 1}, {CrossedAnswers: 1}, {WrongLengths: 1}} {
		for _, service := range []string{"mill-gateway", "encoders", "oriole-pool"} {
			for _, id := range environment.Replicas(service) {
				environment.Upstream(id).Faults().Set(fault)
			}
		}
		_, _ = sendOrder(string(rune('a' + i)))
		_, _ = sendPipeline("application/json")
	}
	environment.PlatformServer().Faults().Set(standin.Fault{Outage: true})
	_, _ = sendOrder("-down")
	environment.PlatformServer().Faults().Set(standin.Fault{})
	_, _ = s.getOrder(t, secretBearer, secretKey)
	for _, body := range []string{`{"kind":"` + secretInput + `"}`, secretInput, `{"kind":"dosing","` + secretInput + `":1}`} {
		_, _ = s.post(t, "/v1/services/mill-gateway/dose", secretBearer, "application/json", body, "Idempotency-Key", secretKey)
		_, _ = s.post(t, "/v1/pipelines/"+secretInput, secretBearer+"-wrong", "application/json", body)
	}
	outputs := map[string]string{"metrics": s.getOperatorPage(t, "/metrics"), "status": s.getOperatorPage(t, "/v1/status"), "logs": logs.String()}
	is.True(strings.Contains(outputs["metrics"], "oriolemill_requests_total"))
	is.True(strings.Contains(outputs["status"], "skoghammar") || strings.Contains(outputs["status"], "i-0"))
	is.True(strings.Contains(outputs["logs"], "started"))
	for name, text := range outputs {
		for _, secret := range []string{secretKey, secretInput, secretBearer} {
			if index := strings.Index(text, secret); index >= 0 {
				t.Errorf("%s contain %s: %s", name, secret, text[max(0, index-100):min(len(text), index+100)])
			}
		}
	}
}
