package orderer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/guarder"
	"oriolemill.example/oriolemill/internal/server/orderer"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/parser"
)

const deploymentText = `deployment: test
datacentres: [{name: a, region: r}]
services:
  gate: {role: plain, replicas: 1, fenced: %v, status: %v, operations: {dose: {repeat: false}}}
  pool: {role: encoder, replicas: 1}
pipelines:
  p: {stages: [{name: a, service: pool}, {name: b, service: pool}, {name: c, service: pool}]}
`

const contractText = `contract: %s
rate: 1000
concurrency: 1000
share: 1
keep: 1h
keys: ["%064d"]
kinds:
  dosing: {service: gate, operation: dose, deadline: 2s, weight: 1, priority: urgent, effects: true}
`

// callFault is the fault of one call to the service.
type callFault uint8

const (
	faultNone callFault = iota
	// faultRefused refuses the connection, so that no byte is sent.
	faultRefused
	// faultBeforeRun loses the connection before the operation runs.
	faultBeforeRun
	// faultAfterRun loses the connection after the operation ran.
	faultAfterRun
	// faultSlow responds after 1 s, within the deadline.
	faultSlow
	// faultLate responds after 5 s, when the deadline has passed.
	faultLate
	// faultCount is the number of faults that scenarios draw from.
	faultCount
	// faultNearDeadline responds after 1.7 s, shortly before the deadline.
	faultNearDeadline
)

// fakeService is an in-process plain service with injected faults.
type fakeService struct {
	isFenced, hasStatus bool
	mu                  sync.Mutex
	faults              []callFault
	runs                map[string]int
	fences              map[string]uint64
	hasRun              map[string]bool
}

func newFakeService(isFenced, hasStatus bool) *fakeService {
	return &fakeService{isFenced: isFenced, hasStatus: hasStatus, runs: map[string]int{}, fences: map[string]uint64{}, hasRun: map[string]bool{}}
}

// nextFault removes and returns the fault of the next call.
func (s *fakeService) nextFault() callFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return faultNone
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

// clearFaults removes the remaining faults.
func (s *fakeService) clearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

// runCount returns how often an order ran.
func (s *fakeService) runCount(workspace, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[workspace+"/"+key]
}

// run runs an operation. It returns false if the fencing number is outdated.
func (s *fakeService) run(call server.Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := call.Workspace + "/" + call.IdempotencyKey
	if s.isFenced && call.Fence < s.fences[id] {
		return false
	}
	s.fences[id] = call.Fence
	s.runs[id]++
	s.hasRun[id] = true
	return true
}

// Operate implements server.Service.
func (s *fakeService) Operate(ctx context.Context, _ *server.Upstream, call server.Call) (server.Answer, server.SendState, error) {
	fault := s.nextFault()
	if fault == faultRefused {
		return server.Answer{}, server.SendStateUnsent, server.ErrUnavailable
	}
	if err := call.BeforeSend(); err != nil {
		return server.Answer{}, server.SendStateUnsent, err
	}
	if fault == faultBeforeRun {
		return server.Answer{}, server.SendStateUnknown, server.ErrUnavailable
	}
	if fault == faultSlow || fault == faultLate || fault == faultNearDeadline {
		// The service continues when the caller stops waiting.
		done := make(chan bool, 1)
		wait := map[callFault]time.Duration{faultSlow: time.Second, faultLate: 5 * time.Second, faultNearDeadline: 1700 * time.Millisecond}[fault]
		go func() {
			time.Sleep(wait)
			done <- s.run(call)
		}()
		select {
		case ok := <-done:
			return operateResult(ok)
		case <-ctx.Done():
			return server.Answer{}, server.SendStateUnknown, context.Cause(ctx)
		}
	}
	ok := s.run(call)
	if fault == faultAfterRun {
		return server.Answer{}, server.SendStateUnknown, server.ErrUnavailable
	}
	return operateResult(ok)
}

// operateResult returns the result of Operate for an operation that ran or, if
// not ok, was rejected because of its fencing number.
func operateResult(ok bool) (server.Answer, server.SendState, error) {
	if !ok {
		return server.Answer{}, server.SendStateUnknown, server.ErrConflict
	}
	return server.Answer{Output: json.RawMessage(`"ran"`)}, server.SendStateAnswered, nil
}

// Status implements server.Service.
func (s *fakeService) OrderStatus(_ context.Context, _ *server.Upstream, workspace, key string, fence uint64) (server.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := workspace + "/" + key
	if s.isFenced {
		s.fences[id] = max(s.fences[id], fence)
	}
	if !s.hasRun[id] {
		return server.Answer{}, server.ErrNotFound
	}
	return server.Answer{Output: json.RawMessage(`"ran"`)}, nil
}

// fixedPicker always picks the same replica.
type fixedPicker struct{ upstream *server.Upstream }

// Pick implements server.Picker.
func (f fixedPicker) Pick(*server.Snapshot, *server.PickRequest, time.Time, *rand.Rand) *server.Upstream {
	return f.upstream
}

// cluster is several orderers that share one table and one service, in virtual
// time.
type cluster struct {
	service     *fakeService
	table       *standin.Platform
	memoryTable *standin.MemoryTable
	timer       *ticker.Ticker
	snapshot    *server.Snapshot
	contracts   map[string]*parser.Contract
	upstream    *server.Upstream
	instances   []*orderer.Orderer
}

func newCluster(t *testing.T, isFenced, hasStatus bool, instances int) *cluster {
	t.Helper()
	is := is.New(t)
	deployment, err := parser.ParseDeployment("d.yaml", fmt.Appendf(nil, deploymentText, isFenced, hasStatus))
	is.NoErr(err)
	c := &cluster{
		service: newFakeService(isFenced, hasStatus), table: standin.NewPlatform(standin.DefaultWriteRate, standin.DefaultReadRate, nil),
		timer: ticker.New(), contracts: map[string]*parser.Contract{},
	}
	for i, workspace := range []string{"one", "two"} {
		c.contracts[workspace], err = parser.ParseContract("c.yaml", fmt.Appendf(nil, contractText, workspace, i+1))
		is.NoErr(err)
	}
	c.memoryTable = standin.NewMemoryTable(c.table)
	c.upstream = server.NewUpstream(server.Listing{ID: "gate-0", Service: "gate", Presence: server.PresenceLive}, &server.Gauge{})
	c.snapshot = server.NewSnapshot(time.Now(), nil, server.WithDocuments(1, deployment, c.contracts),
		server.WithUpstreams(map[string][]*server.Upstream{"gate": {c.upstream}}))
	for i := range instances {
		c.add(fmt.Sprintf("i-%d", i))
	}
	return c
}

// add starts an instance. An ID that is in use stands for a restarted instance.
func (c *cluster) add(id string) *orderer.Orderer {
	o := orderer.New(orderer.Dependencies{
		RequestBlocker: noBlocker{},
		ID:             id, Table: guarder.New(c.memoryTable, c.timer.Now), Service: c.service, Picker: fixedPicker{c.upstream},
		Timer: c.timer, Snapshot: func() *server.Snapshot { return c.snapshot },
	})
	o.Start()
	c.instances = append(c.instances, o)
	return o
}

func (c *cluster) close() {
	for _, o := range c.instances {
		o.Stop()
	}
	// Let the background tasks that the last ticks started finish first.
	time.Sleep(10 * time.Second)
	c.timer.Close()
}

// call sends one request and returns its outcome.
func (c *cluster) call(o *orderer.Orderer, workspace, key, body string) (server.Outcome, error) {
	contract := c.contracts[workspace]
	kind := contract.Kind("dosing")
	now := time.Now()
	request := &server.Request{
		ID: server.NewID(), Workspace: workspace, Kind: kind, Contract: contract, ArrivalTime: now,
		Deadline: now.Add(kind.Deadline()), Input: json.RawMessage(body), IdempotencyKey: key,
	}
	ctx, cancel := context.WithDeadlineCause(context.Background(), request.Deadline, server.ErrDeadline)
	defer cancel()
	_, err := o.Order(ctx, c.snapshot, request)
	if err == nil {
		return server.OutcomeDone, nil
	}
	var fault *server.Fault
	if !errors.As(err, &fault) {
		return "", err
	}
	return fault.Outcome(), err
}

// noBlocker blocks no order.
type noBlocker struct{}

func (noBlocker) BlockedFor(server.RequestContent) (time.Duration, string)     { return 0, "" }
func (noBlocker) RecordCrash(string, string, server.RequestContent, time.Time) {}
func (noBlocker) RecordServing(string, time.Time)                              {}
func (noBlocker) RecordCompletion(string, server.RequestContent)               {}
