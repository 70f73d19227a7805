package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/pkg/client"
)

// newFakeInstance starts a server that responds as an instance does, and returns its base
// address. It responds with the given versions, and to each request for audit records
// with one more of the records.
func newFakeInstance(t *testing.T, versions client.VersionStatus, records *[]client.AuditRecord) string {
	mux := http.NewServeMux()
	respond := func(value any) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(value) }
	}
	mux.HandleFunc("POST /v1/documents/contract/alvkraft", respond(client.ChangeOutcome{State: "accepted", Version: 5}))
	mux.HandleFunc("GET /v1/versions", respond(versions))
	var mu sync.Mutex
	mux.HandleFunc("GET /v1/audit", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		page := []client.AuditRecord{}
		if records != nil && len(*records) > 0 {
			page, *records = (*records)[:1], (*records)[1:]
		}
		_ = json.NewEncoder(w).Encode(page)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func TestApplyWaitsForAllLiveInstancesAndNamesThoseBehind(t *testing.T) {
	is := is.New(t)
	members := []client.Member{
		{ID: "i-1", Presence: "live", IsReachable: true, Version: 5},
		{ID: "i-2", Presence: "live", IsReachable: true, Version: 4},
		{ID: "i-3", Presence: "live", Version: 4},
		{ID: "i-4", Presence: "leaving", Version: 1},
	}
	run := func(versions client.VersionStatus) (int, string) {
		var out bytes.Buffer
		code := Execute([]string{
			"contract", "apply", "../../examples/lutvik/contracts/alvkraft.yaml", "--reason", "r",
			"--wait", "--timeout", "300ms", "--instance", newFakeInstance(t, versions, nil),
		}, &out, &out)
		return code, out.String()
	}
	code, out := run(client.VersionStatus{Instance: "i-0", Version: 5, Members: members})
	is.True(code != 0)
	is.True(strings.Contains(out, "accepted, but was not seen in force on all live instances within 300ms: i-2 (has 4), i-3 (does not answer)"))
	is.True(!strings.Contains(out, "i-1 ") && !strings.Contains(out, "i-4 "))
	code, out = run(client.VersionStatus{Instance: "i-0", Version: 5, Members: members[:1]})
	is.Equal(code, 0)
	is.True(strings.Contains(out, "in force on all 2 live instances"))
}

// TestTimeoutDuringARequestNamesTheInstancesBehind guards against an error that says nothing
// of the instances: the timeout ends a request for the versions, after one that succeeded.
func TestTimeoutDuringARequestNamesTheInstancesBehind(t *testing.T) {
	is := is.New(t)
	first := true
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/versions", func(w http.ResponseWriter, r *http.Request) {
		if !first {
			<-r.Context().Done()
			return
		}
		first = false
		_ = json.NewEncoder(w).Encode(client.VersionStatus{Instance: "i-0", Version: 5, Members: []client.Member{{ID: "i-2", Presence: "live", IsReachable: true, Version: 4}}})
	})
	instance := httptest.NewServer(mux)
	defer instance.Close()
	command := newAudit()
	command.SetContext(t.Context())
	err := waitInForce(command, client.New(instance.URL), 5, 300*time.Millisecond)
	is.True(err != nil)
	is.True(strings.HasSuffix(err.Error(), "within 300ms: i-2 (has 4)"))
}

// outputWatcher collects a command's output and calls cancel once the output contains
// the awaited text.
type outputWatcher struct {
	mu          sync.Mutex
	text        strings.Builder
	awaitedText string
	cancel      func()
}

func (l *outputWatcher) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(p)
	if strings.Contains(l.text.String(), l.awaitedText) {
		l.cancel()
	}
	return len(p), nil
}

func TestAuditFollowsAndFilters(t *testing.T) {
	is := is.New(t)
	records := []client.AuditRecord{
		{Version: 1, Operator: "anna", Name: "config", Reason: "first"},
		{Version: 2, Operator: "bo", Name: "contract/alvkraft", Reason: "second"},
		{Version: 3, Operator: "anna", Name: "contract/alvkraft", Reason: "third"},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := &outputWatcher{awaitedText: "third", cancel: cancel}
	command := newAudit()
	command.SetArgs([]string{"--follow", "--who", "anna", "--instance", newFakeInstance(t, client.VersionStatus{}, &records)})
	command.SetOut(out)
	is.NoErr(command.ExecuteContext(ctx))
	is.True(strings.Contains(out.text.String(), "first"))
	is.True(!strings.Contains(out.text.String(), "second"))
}
