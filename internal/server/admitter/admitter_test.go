package admitter_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/admitter"
	"oriolemill.example/oriolemill/internal/server/estimator"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/pkg/parser"
)

const deploymentText = `
deployment: test
datacentres:
  - {name: north, region: one}
services:
  encoders: {role: encoder, replicas: 1}
  retrievers: {role: retriever, replicas: 1}
  engines: {role: engine, replicas: 1, models: [small]}
pipelines:
  answer:
    stages:
      - {name: encode, service: encoders}
      - {name: retrieve, service: retrievers}
      - {name: generate, service: engines}
`

const contractText = `
contract: mill
share: 1
keys: [a7e417c13a0da4d4d30eeefca4adaa684b8cd6035e75e4e7e89c7c0573cd633f]
kinds:
  question: {pipeline: answer, deadline: 2s, weight: 2, priority: normal, tokens: 12}
`

// stageTimes are the typical estimates and, in these tests, the actual times of stages.
var stageTimes = map[string]time.Duration{"encode": 5 * time.Millisecond, "retrieve": 5 * time.Millisecond, "generate": 100 * time.Millisecond}

// fixedEstimates implements admitter.StageEstimator.
type fixedEstimates struct{}

func (fixedEstimates) EstimateStage(stage, _ string, _ int) estimator.Estimate {
	return estimator.Estimate{Median: stageTimes[stage], P95: stageTimes[stage] * 3 / 2, IsKnown: true}
}

// fixture is one instance with one replica of each service.
type fixture struct {
	timer       server.Timer
	admitter    *admitter.Admitter
	snapshot    *server.Snapshot
	contract    *parser.Contract
	mu          sync.Mutex
	outcomes    map[string]map[string]int
	retryAfters int
}

func newFixture(t *testing.T, slots int) *fixture {
	t.Helper()
	is := is.New(t)
	timer := ticker.New()
	t.Cleanup(timer.Close)
	deployment, err := parser.ParseDeployment("config.yaml", []byte(deploymentText))
	is.NoErr(err)
	contract, err := parser.ParseContract("contract.yaml", []byte(contractText))
	is.NoErr(err)
	replicas := make(map[string][]*server.Upstream)
	for _, service := range deployment.ServiceNames() {
		listing := server.Listing{ID: service + "-0", Service: service, Presence: server.PresenceLive}
		replicas[service] = []*server.Upstream{server.NewUpstream(listing, &server.Gauge{}, server.WithLoad(server.Load{ReportedAt: timer.Now(), Slots: slots}))}
	}
	snapshot := server.NewSnapshot(timer.Now(), nil, server.WithUpstreams(replicas),
		server.WithDocuments(1, deployment, map[string]*parser.Contract{"mill": contract}))
	return &fixture{timer: timer, admitter: admitter.New(timer, fixedEstimates{}), snapshot: snapshot, contract: contract, outcomes: map[string]map[string]int{}}
}

// run runs a request through its stages and records its outcome.
func (s *fixture) run(workspace string, priority server.Priority, deadline time.Duration) {
	now := s.timer.Now()
	request := &server.Request{
		Workspace: workspace, Contract: s.contract, Kind: s.contract.Kind("question"), Priority: priority,
		ArrivalTime: now, Deadline: now.Add(deadline), Input: json.RawMessage(`"x"`), MaxTokens: 12,
	}
	outcome, err := s.runStages(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomes[workspace] == nil {
		s.outcomes[workspace] = map[string]int{}
	}
	s.outcomes[workspace][outcome]++
	var fault *server.Fault
	if errors.As(err, &fault) && fault.RetryAfter() > 0 {
		s.retryAfters++
	}
}

func (s *fixture) runStages(request *server.Request) (string, error) {
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	grant, err := s.admitter.Admit(ctx, s.snapshot, request)
	if err != nil {
		return "refused", err
	}
	defer grant.Close()
	for i, stage := range [...]string{"encode", "retrieve", "generate"} {
		release, err := grant.AcquireStage(ctx, i)
		if err != nil && i == 0 {
			return "dropped", err
		}
		if err != nil {
			return "failed", err
		}
		time.Sleep(stageTimes[stage])
		release()
	}
	if s.timer.Now().After(request.Deadline) {
		return "late", nil
	}
	return "done", nil
}

// TestFloodIsRefusedBeforeFirstStage has one workspace send four times what the
// instance can serve, and another workspace send few requests. Requests must be refused before their
// first stage and not fail after it, and the small workspace must be served.
func TestFloodIsRefusedBeforeFirstStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture(t, 1)
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() { s.run("large", server.PriorityNormal, 2*time.Second) })
			if i%20 == 0 {
				group.Go(func() { s.run("small", server.PriorityNormal, 2*time.Second) })
			}
			time.Sleep(25 * time.Millisecond)
		}
		group.Wait()
		large, small := s.outcomes["large"], s.outcomes["small"]
		is.Equal(small["done"], 10)
		is.True(large["done"] >= 40) // five seconds and the queue allow for up to 68 requests
		is.Equal(large["refused"]+large["dropped"]+large["done"]+large["failed"]+large["late"], 200)
		is.True(large["failed"]+large["late"] <= 4) // at most 2 %
		is.True(s.retryAfters >= large["refused"]+large["dropped"])
	})
}

// TestStartedPatientRequestsFinish checks that patient requests that have started
// finish although normal requests keep arriving.
func TestStartedPatientRequestsFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture(t, 1)
		var group sync.WaitGroup
		for range 60 {
			group.Go(func() { s.run("patient", server.PriorityPatient, 4*time.Second) })
			group.Go(func() { s.run("normal", server.PriorityNormal, 2*time.Second) })
			time.Sleep(90 * time.Millisecond)
		}
		group.Wait()
		patient := s.outcomes["patient"]
		is.Equal(patient["failed"]+patient["late"], 0)
		is.True(patient["refused"]+patient["dropped"]+patient["done"] == 60)
	})
}

// TestFloodDoesNotDelayStartedRequests guards against patient requests that have
// started and then miss their deadline because normal requests of a flood are
// served first at each stage.
func TestFloodDoesNotDelayStartedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture(t, 8)
		var group sync.WaitGroup
		for range 11 {
			group.Go(func() { s.run("patient", server.PriorityPatient, 600*time.Millisecond) })
		}
		for range 400 {
			time.Sleep(4 * time.Millisecond)
			group.Go(func() { s.run("normal", server.PriorityNormal, 2*time.Second) })
		}
		group.Wait()
		is.Equal(s.outcomes["patient"]["done"], 11)
	})
}
