package orderer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/caller"
	"oriolemill.example/oriolemill/internal/server/guarder"
	"oriolemill.example/oriolemill/internal/server/orderer"
	"oriolemill.example/oriolemill/internal/server/storer"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/parser"
)

// Timing of the pairs. No check depends on these values.
const (
	pairDeadline = 500 * time.Millisecond
	// faultFreeDeadline is far longer than an order without faults takes, so that
	// it is met on a busy machine.
	faultFreeDeadline = 30 * time.Second
	// serviceTime is the duration of one operation.
	serviceTime = time.Millisecond
	// slowFactor multiplies serviceTime beyond the deadline.
	slowFactor         = 700
	maxConcurrentPairs = 48
	maxRepeats         = 200
	repeatInterval     = 50 * time.Millisecond
)

// platformFaults are the faults of the platform. They are set either before the
// claim, or when the service is called, so that they affect the final record.
var platformFaults = map[string]standin.Fault{
	"none":      {},
	"error":     {Errors: 1},
	"errors":    {Errors: 3},
	"reset":     {Resets: 1},
	"lost":      {LostAnswers: 1},
	"lost both": {LostAnswers: 2},
	"slow":      {DelayMillis: 30},
	"outage":    {Outage: true},
	"hangs":     {Paused: true},
}

var serviceFaults = map[string]standin.Fault{
	"none":    {},
	"error":   {Errors: 1},
	"errors":  {Errors: 5},
	"reset":   {Resets: 1},
	"resets":  {Resets: 5},
	"lost":    {LostAnswers: 1},
	"short":   {WrongLengths: 1},
	"cut":     {CutAnswers: 1},
	"foreign": {ForeignAnswers: 1},
	"late":    {SlowFactor: slowFactor},
	"hangs":   {Paused: true},
	"leaving": {Leaving: true},
	"outage":  {Outage: true},
}

// faultPair is one order with a fault of the platform and one of the service.
type faultPair struct {
	platform, service string
	// afterServiceCall sets the platform's fault only when the service is called.
	afterServiceCall bool
	fenced, status   bool
	// repeat sends the order again, to the other instance.
	repeat bool
}

// isFaultFree reports whether neither the platform nor the service has a fault.
func (p faultPair) isFaultFree() bool { return p.platform == "none" && p.service == "none" }

func (p faultPair) deadline() time.Duration {
	if p.isFaultFree() {
		return faultFreeDeadline
	}
	return pairDeadline
}

// httpCluster is two orderers that use a platform and a service over HTTP on the
// loopback interface.
type httpCluster struct {
	ledger   *standin.Ledger
	platform *standin.Server
	service  *standin.Server
	// delayedPlatformFault is set at the platform when the service is called.
	delayedPlatformFault *atomic.Pointer[standin.Fault]
	cluster              *cluster
	caller               *caller.Caller
	instances            []*orderer.Orderer
}

// newHTTPCluster starts a platform, a service and two orderers.
func newHTTPCluster(p faultPair) (*httpCluster, error) {
	s := &httpCluster{ledger: standin.NewLedger(), delayedPlatformFault: &atomic.Pointer[standin.Fault]{}, caller: caller.New()}
	platformFaults, serviceFaults := standin.NewFaultInjector(), standin.NewFaultInjector()
	var err error
	if s.platform, err = standin.Listen("127.0.0.1:0", standin.NewPlatform(standin.DefaultWriteRate, standin.DefaultReadRate, nil).Handler(), platformFaults); err != nil {
		return nil, err
	}
	serviceHandler := standin.NewPlainService(serviceFaults, s.ledger, p.fenced, p.status, serviceTime).Handler()
	s.service, err = standin.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fault := s.delayedPlatformFault.Swap(nil); fault != nil && strings.HasPrefix(r.URL.Path, messenger.PathOperations) {
			platformFaults.Set(*fault)
		}
		serviceHandler.ServeHTTP(w, r)
	}), serviceFaults)
	if err != nil {
		return nil, err
	}
	deployment, err := parser.ParseDeployment("d.yaml", fmt.Appendf(nil, deploymentText, p.fenced, p.status))
	if err != nil {
		return nil, err
	}
	text := strings.Replace(fmt.Sprintf(contractText, "one", 1), "deadline: 2s", "deadline: "+p.deadline().String(), 1)
	contract, err := parser.ParseContract("c.yaml", []byte(text))
	if err != nil {
		return nil, err
	}
	upstream := server.NewUpstream(server.Listing{ID: "gate-0", Service: "gate", Address: s.service.Address(), Presence: server.PresenceLive}, &server.Gauge{})
	s.cluster = &cluster{timer: ticker.New(), contracts: map[string]*parser.Contract{"one": contract}, upstream: upstream}
	s.cluster.snapshot = server.NewSnapshot(time.Now(), nil, server.WithDocuments(1, deployment, s.cluster.contracts),
		server.WithUpstreams(map[string][]*server.Upstream{"gate": {upstream}}))
	for i := range 2 {
		o := orderer.New(orderer.Dependencies{
			RequestBlocker: noBlocker{},
			ID:             fmt.Sprintf("i-%d", i), Table: guarder.New(storer.New("http://"+s.platform.Address()), s.cluster.timer.Now), Service: s.caller,
			Picker: fixedPicker{upstream}, Timer: s.cluster.timer, Snapshot: func() *server.Snapshot { return s.cluster.snapshot },
		})
		o.Start()
		s.instances = append(s.instances, o)
	}
	return s, nil
}

// sendWithFaults sets the pair's faults, sends one order and returns its outcome.
func (s *httpCluster) sendWithFaults(p faultPair) (server.Outcome, error) {
	fault := platformFaults[p.platform]
	if p.afterServiceCall {
		s.delayedPlatformFault.Store(&fault)
	} else {
		s.platform.Faults().Set(fault)
	}
	s.service.Faults().Set(serviceFaults[p.service])
	return s.cluster.call(s.instances[0], "one", "k", "1")
}

// clearFaults removes all faults.
func (s *httpCluster) clearFaults() {
	s.delayedPlatformFault.Store(nil)
	s.platform.Faults().Set(standin.Fault{})
	s.service.Faults().Set(standin.Fault{})
}

// repeat sends the same order to the other instance until the outcome is done or,
// if it was not done before, unknown. It repeats after not-run, since the table's
// breaker may still be open, and after done until it is done again, since the
// outcome is unknown while the claim's final record is being written.
func (s *httpCluster) repeat(before server.Outcome) (outcome server.Outcome, err error) {
	for range maxRepeats {
		outcome, err = s.cluster.call(s.instances[1], "one", "k", "1")
		if outcome == server.OutcomeDone || (outcome == server.OutcomeUnknown && before != server.OutcomeDone) {
			return outcome, err
		}
		time.Sleep(repeatInterval)
	}
	return outcome, err
}

// shutdown stops everything and returns how often the order ran, including runs
// after its deadline.
func (s *httpCluster) shutdown() int {
	for _, o := range s.instances {
		o.Stop()
	}
	_ = s.service.Shutdown(context.Background()) // waits for running operations
	s.cluster.timer.Close()
	s.caller.Close()
	s.platform.Close()
	return s.ledger.Runs("one", "k")
}

// run runs the pair and compares the outcomes with the runs in the service's
// ledger. It returns the first outcome.
func (p faultPair) run() (server.Outcome, error) {
	s, err := newHTTPCluster(p)
	if err != nil {
		return "", err
	}
	first, cause := s.sendWithFaults(p)
	s.clearFaults()
	last := first
	if p.repeat {
		last, cause = s.repeat(first)
	}
	runs := s.shutdown()
	switch {
	case first != server.OutcomeDone && first != server.OutcomeNotRun && first != server.OutcomeUnknown:
		return first, fmt.Errorf("unexpected outcome %q: %w", first, cause)
	case runs > 1:
		return first, fmt.Errorf("ran %d times", runs)
	case (first == server.OutcomeDone || last == server.OutcomeDone) && runs != 1:
		return first, fmt.Errorf("outcome %s, then %s, but ran %d times", first, last, runs)
	case last == server.OutcomeNotRun && runs != 0:
		return first, fmt.Errorf("outcome %s, then %s, but ran %d times", first, last, runs)
	case p.repeat && first == server.OutcomeDone && last != server.OutcomeDone:
		return first, fmt.Errorf("outcome done, then %s: %w", last, cause)
	case p.repeat && last == server.OutcomeNotRun:
		return first, fmt.Errorf("repeated order never ran after not-run: %w", cause)
	case p.isFaultFree() && first != server.OutcomeDone:
		return first, errors.Join(errors.New("outcome is not done although there was no fault"), cause)
	}
	return first, nil
}

// allPairs returns every pair, for services with each set of capabilities.
func allPairs() []faultPair {
	var pairs []faultPair
	for platform := range platformFaults {
		for service := range serviceFaults {
			for _, afterServiceCall := range []bool{false, true} {
				if afterServiceCall && platform == "none" {
					continue
				}
				for _, kind := range []struct{ fenced, status bool }{{true, true}, {false, true}, {false, false}} {
					for _, repeat := range []bool{false, true} {
						pairs = append(pairs, faultPair{platform, service, afterServiceCall, kind.fenced, kind.status, repeat})
					}
				}
			}
		}
	}
	return pairs
}

// TestPairsOfFaultsOverHTTP runs one order under every pair of a platform fault
// and a service fault, with and without a repeat at another instance.
func TestPairsOfFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	outcomes := make(map[server.Outcome]int)
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPairs)
	for _, p := range allPairs() {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			outcome, err := p.run()
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
			if err != nil {
				t.Errorf("%+v: %v", p, err)
			}
		})
	}
	group.Wait()
	summary, err := json.Marshal(outcomes)
	is.NoErr(err)
	t.Logf("%d pairs: %s", len(allPairs()), summary)
	is.True(outcomes[server.OutcomeDone] > 0 && outcomes[server.OutcomeNotRun] > 0 && outcomes[server.OutcomeUnknown] > 0)
}
