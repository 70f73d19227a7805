package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/operator"
	"oriolemill.example/oriolemill/pkg/client"
	"oriolemill.example/oriolemill/pkg/parser"
)

// testServer is an operator interface with a snapshot that tests replace.
type testServer struct {
	operator *operator.Operator
	snapshot atomic.Pointer[server.Snapshot]
	baseURL  string
}

func newTestServer(t *testing.T, options ...operator.Option) *testServer {
	t.Helper()
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	d := &testServer{baseURL: "http://" + socket.Addr().String()}
	d.snapshot.Store(server.NewSnapshot(time.Now(), nil, server.WithDatacentre("dar-a")))
	registry := prometheus.NewRegistry()
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "example_total", Help: "Example."})
	registry.MustRegister(counter)
	d.operator = operator.New(socket, operator.Dependencies{ID: "i-1", Snapshot: d.snapshot.Load, Gatherer: registry, Now: time.Now}, options...)
	is.NoErr(d.operator.Start())
	t.Cleanup(func() { is.NoErr(d.operator.Shutdown(context.Background())) })
	return d
}

func (d *testServer) get(t *testing.T, path, token string) (int, string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(http.MethodGet, d.baseURL+path, nil)
	is.NoErr(err)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(text)
}

// publish activates a small deployment with two operators.
func (d *testServer) publish(t *testing.T, version uint64, options ...server.SnapshotOption) {
	t.Helper()
	hash := func(token string) string {
		sum := sha256.Sum256([]byte(token))
		return hex.EncodeToString(sum[:])
	}
	deployment, err := parser.ParseDeployment("config.yaml", []byte(`deployment: uwazi
datacentres:
  - {name: dar-a, region: dar}
services:
  jalada: {role: plain, replicas: 1, operations: {file: {repeat: false}}}
  encoders: {role: encoder, replicas: 1}
  retrievers: {role: retriever, replicas: 1}
  mwandishi: {role: engine, replicas: 1, models: [barua-7b]}
pipelines:
  drafting:
    stages:
      - {name: encode, service: encoders}
      - {name: retrieve, service: retrievers}
      - {name: generate, service: mwandishi}
operators:
  - {name: asha, role: write, token: `+hash("t-asha")+`}
  - {name: neema, role: read, token: `+hash("t-neema")+`}
`))
	is.New(t).NoErr(err)
	options = append(options, server.WithDocuments(version, deployment, nil))
	d.snapshot.Store(server.NewSnapshot(time.Now(), d.snapshot.Load(), options...))
}

func TestReadinessFollowsState(t *testing.T) {
	is := is.New(t)
	d := newTestServer(t)
	status, text := d.get(t, "/readyz", "")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(text, "starting\n")
	d.publish(t, 3)
	status, _ = d.get(t, "/readyz", "")
	is.Equal(status, http.StatusOK)
	d.operator.BeginDrain()
	status, text = d.get(t, "/readyz", "")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(text, "stopping\n")
	status, _ = d.get(t, "/healthz", "")
	is.Equal(status, http.StatusOK) // a stopping instance is not ready, but healthy
}

func TestRoutesRequireTokens(t *testing.T) {
	is := is.New(t)
	writeRoute := operator.Route{Method: http.MethodGet, Path: "/v1/write", Access: operator.AccessWrite, Serve: func(_ context.Context, c *app.RequestContext) {
		c.String(http.StatusOK, operator.NameOf(c))
	}}
	d := newTestServer(t, operator.WithRoutes(writeRoute))
	status, text := d.get(t, "/v1/write", "")
	is.Equal(status, http.StatusOK) // no operators are configured yet
	is.Equal(text, "anyone")
	d.publish(t, 1)
	for _, path := range []string{"/v1/status", "/metrics", "/debug/pprof/cmdline", "/v1/write"} {
		status, _ = d.get(t, path, "")
		is.Equal(status, http.StatusUnauthorized)
		status, _ = d.get(t, path, "wrong")
		is.Equal(status, http.StatusForbidden)
		status, _ = d.get(t, path, "t-asha")
		is.Equal(status, http.StatusOK)
	}
	status, text = d.get(t, "/v1/write", "t-neema")
	is.Equal(status, http.StatusForbidden)
	is.True(strings.Contains(text, "neema may only read"))
	_, text = d.get(t, "/v1/write", "t-asha")
	is.Equal(text, "asha")
	_, text = d.get(t, "/metrics", "t-neema")
	is.True(strings.Contains(text, "example_total 0"))
}

func TestStatusShowsSnapshot(t *testing.T) {
	is := is.New(t)
	d := newTestServer(t, operator.WithTableState(func() string { return "up" }))
	listing := func(id string, presence server.Presence) server.Listing {
		return server.Listing{ID: id, Service: "jalada", Datacentre: "dar-b", Address: "127.0.0.1:1", Presence: presence}
	}
	upstreams := map[string][]*server.Upstream{"jalada": {
		server.NewUpstream(listing("jalada-2", server.PresenceLeaving), &server.Gauge{}),
		server.NewUpstream(listing("jalada-1", server.PresenceLive), &server.Gauge{}, server.WithEjected(true)),
		server.NewUpstream(listing("jalada-0", server.PresenceLive), &server.Gauge{}, server.WithLoad(server.Load{ReportedAt: time.Now(), Slots: 4})),
	}}
	member := server.Member{Listing: server.Listing{ID: "i-2", Datacentre: "dar-b"}, IsReachable: true, Version: 6}
	d.publish(t, 7, server.WithUpstreams(upstreams), server.WithMembers([]server.Member{member}))
	_, text := d.get(t, "/v1/status", "t-neema")
	var status client.Status
	is.NoErr(json.Unmarshal([]byte(text), &status))
	is.Equal(status.ID, "i-1")
	is.Equal(status.Version, uint64(7))
	is.Equal(status.State, "ready")
	is.Equal(status.TableState, "up")
	is.Equal(status.Members[0].Version, uint64(6))
	replicas := status.Services[0].Replicas
	is.Equal([]string{replicas[0].State, replicas[1].State, replicas[2].State}, []string{"live", "ejected", "leaving"})
	is.Equal(replicas[0].Slots, 4)
	is.Equal(replicas[1].ReportAgeMillis, int64(-1))
}
