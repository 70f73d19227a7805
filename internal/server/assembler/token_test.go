package assembler_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/assembler"
	"oriolemill.example/oriolemill/internal/standin"
)

const signingKey = "birch-and-lye"

// newSignedDeployment starts the deployment of an example whose services check tokens
// with signingKey, and whose instance signs with key.
func newSignedDeployment(t *testing.T, example, key string) *testDeployment {
	t.Helper()
	is := is.New(t)
	environment, deployment := newStandIns(t, example, standin.DefaultSpeeds(), standin.WithSigningKey(signingKey))
	return startDeployment(is, t, environment, assembler.Settings{Datacentre: deployment.Datacentres()[0].Name(), SigningKey: key})
}

const limeOrder = `{"kind":"dosing","input":{"lime_kg":120}}`

// signedOrders are orders for services that check tokens, one fenced and one not.
var signedOrders = []struct{ example, service, path, key, workspace, body string }{
	{"lutvik", "mill-gateway", "/v1/services/mill-gateway/dose", "demo-skoghammar", "skoghammar", limeOrder},
	{"uwazi", "jalada", "/v1/services/jalada/file", "demo-habari", "habari", `{"kind":"filing","input":{"case":7}}`},
}

// TestServiceRejectsTokensOfAnotherKey checks that an order whose token a service
// rejects has the outcome not-run and never runs.
func TestServiceRejectsTokensOfAnotherKey(t *testing.T) {
	for _, c := range signedOrders {
		for _, key := range []string{"", "another", signingKey} {
			is := is.New(t)
			s := newSignedDeployment(t, c.example, key)
			status, text := s.post(t, c.path, c.key, "application/json", c.body, "Idempotency-Key", "d-1")
			if key == signingKey {
				is.Equal(status, http.StatusOK)
				is.Equal(s.environment.Ledger(c.service).Runs(c.workspace, "d-1"), 1)
				continue
			}
			is.Equal(status, http.StatusServiceUnavailable)
			is.True(strings.Contains(text, string(server.OutcomeNotRun)))
			is.Equal(s.environment.Ledger(c.service).Runs(c.workspace, "d-1"), 0)
		}
	}
}

// TestTokenIsSentOnlyToServicesThatCheckIt guards against tokens that reach other
// services: it records the tokens in requests to a service that checks them and to one
// that does not.
func TestTokenIsSentOnlyToServicesThatCheckIt(t *testing.T) {
	is := is.New(t)
	s := newSignedDeployment(t, "lutvik", signingKey)
	tokens := make(map[string][]string)
	var mu sync.Mutex
	for _, service := range []string{"kiln-watch", "mill-gateway"} {
		handler := standin.NewPlainService(standin.NewFaultInjector(), standin.NewLedger(), false, false, 0).Handler()
		recorder, err := standin.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			var request messenger.RunRequest
			if r.Method == http.MethodPost && json.Unmarshal(body, &request) == nil {
				mu.Lock()
				tokens[service] = append(tokens[service], request.Token)
				mu.Unlock()
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			handler.ServeHTTP(w, r)
		}), standin.NewFaultInjector())
		is.NoErr(err)
		t.Cleanup(recorder.Close)
		for _, id := range s.environment.Replicas(service) {
			s.environment.Upstream(id).Close()
			s.environment.InstanceList().Put(server.Listing{
				ID: id, Service: service, Datacentre: s.instance.Snapshot().Datacentre(), Address: recorder.Address(), Presence: server.PresenceLive,
			})
		}
		for !hasRequests(&mu, tokens, service) {
			_, _ = s.post(t, "/v1/services/kiln-watch/trend", "demo-skoghammar", "application/json", `{"kind":"kiln","input":{}}`)
			_, _ = s.post(t, "/v1/services/mill-gateway/dose", "demo-skoghammar", "application/json", limeOrder, "Idempotency-Key", server.NewID().String())
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for service, received := range tokens {
		for _, token := range received {
			is.Equal(token != "", service == "mill-gateway")
		}
	}
}

// hasRequests reports whether a service has received requests; mu guards tokens.
func hasRequests(mu *sync.Mutex, tokens map[string][]string, service string) bool {
	mu.Lock()
	defer mu.Unlock()
	return len(tokens[service]) > 0
}
