package runner_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/admitter"
	"oriolemill.example/oriolemill/internal/server/estimator"
	"oriolemill.example/oriolemill/internal/server/limiter"
	"oriolemill.example/oriolemill/internal/server/picker"
	"oriolemill.example/oriolemill/internal/server/retrier"
	"oriolemill.example/oriolemill/internal/server/runner"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/pkg/parser"
)

const config = `
deployment: test
datacentres:
  - {name: north, region: one}
services:
  encoders: {role: encoder, replicas: 3}
  retrievers: {role: retriever, replicas: 3}
  engines: {role: engine, replicas: 3, models: [small]}
  desks: {role: plain, replicas: 3, operations: {look: {repeat: true}}}
pipelines:
  answer:
    stages:
      - {name: encode, service: encoders}
      - {name: retrieve, service: retrievers}
      - {name: generate, service: engines}
`

const contract = `
contract: mill
share: 1
keys: [a7e417c13a0da4d4d30eeefca4adaa684b8cd6035e75e4e7e89c7c0573cd633f]
kinds:
  question: {pipeline: answer, deadline: 30s, weight: 2, priority: normal, tokens: 12}
  look: {service: desks, operation: look, deadline: 30s, weight: 1, priority: normal}
`

const tokenCount = 12

// fakeUpstreams fakes all upstreams. Attempts at pools and engines randomly fail,
// are slow, break off or respond late. It also records observations.
type fakeUpstreams struct {
	mu     sync.Mutex
	random *rand.Rand
	// refusals is the number of calls that a plain service refuses first.
	refusals     int
	observations []server.Observation
	// beganAt are the software versions at which the streams of the prompts began;
	// mixedVersions counts the streams that went on at another one.
	beganAt       map[string]string
	mixedVersions int
}

// recordVersion records at which software version a stream begins or goes on.
func (u *fakeUpstreams) recordVersion(prompt string, upstream *server.Upstream, isResumed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.beganAt == nil {
		u.beganAt = make(map[string]string)
	}
	if !isResumed {
		u.beganAt[prompt] = upstream.Version()
	}
	if u.beganAt[prompt] != upstream.Version() {
		u.mixedVersions++
	}
}

// Observe records the observation of an attempt.
func (u *fakeUpstreams) Observe(o server.Observation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observations = append(u.observations, o)
}

// Operate refuses the first calls as a leaving replica does, and then responds
// with the input.
func (u *fakeUpstreams) Operate(_ context.Context, upstream *server.Upstream, call server.Call) (server.Answer, server.SendState, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.refusals > 0 {
		u.refusals--
		return server.Answer{}, server.SendStateAnswered, server.NewFault(call.Stage, upstream.ID(), server.ErrLeaving)
	}
	return server.Answer{Output: call.Input}, server.SendStateAnswered, nil
}

// Status is not called, since plain calls that may be repeated are not orders.
func (u *fakeUpstreams) OrderStatus(context.Context, *server.Upstream, string, string, uint64) (server.Answer, error) {
	return server.Answer{}, server.ErrNotFound
}

// intN returns a random number below n.
func (u *fakeUpstreams) intN(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.IntN(n)
}

// Run responds with the input of the attempt. Some attempts respond late, even
// after they were cancelled.
func (u *fakeUpstreams) Run(_ context.Context, _ *server.Upstream, call server.Call) (server.Answer, error) {
	switch u.intN(6) {
	case 0:
		time.Sleep(time.Duration(u.intN(200)) * time.Millisecond)
		return server.Answer{}, server.NewFault(call.Stage, "", server.ErrUnavailable)
	case 1:
		time.Sleep(time.Duration(200+u.intN(2000)) * time.Millisecond)
	default:
		time.Sleep(time.Duration(10+u.intN(10)) * time.Millisecond)
	}
	return server.Answer{Output: call.Input}, nil
}

// Generate streams the tokens after the prefix. The stream may be slow or break
// off.
func (u *fakeUpstreams) Generate(ctx context.Context, upstream *server.Upstream, call server.Call, handleToken server.TokenHandler) (server.Answer, error) {
	var prompt string
	if err := json.Unmarshal(call.Input, &prompt); err != nil {
		return server.Answer{}, err
	}
	u.recordVersion(prompt, upstream, len(call.ResumePrefix) > 0)
	want := expectedTokens(prompt)
	breakAt, tokenMillis := tokenCount+u.intN(tokenCount), 5+u.intN(10)
	if u.intN(3) == 0 {
		breakAt, tokenMillis = u.intN(tokenCount), 1+u.intN(800)
	}
	for i := len(call.ResumePrefix); i < tokenCount; i++ {
		select {
		case <-time.After(time.Duration(tokenMillis) * time.Millisecond):
		case <-ctx.Done():
			return server.Answer{}, server.NewFault(call.Stage, "", context.Cause(ctx))
		}
		if i == breakAt {
			return server.Answer{}, server.NewFault(call.Stage, "", server.ErrUnavailable)
		}
		if err := handleToken(server.Token{Offset: i, Text: want[i]}); err != nil {
			return server.Answer{}, err
		}
	}
	return server.Answer{Output: call.Input, TotalTokens: tokenCount}, nil
}

// expectedTokens returns the tokens of a prompt. Each contains the prompt's last
// word, so that tokens of different requests differ.
func expectedTokens(prompt string) []string {
	word := prompt[strings.LastIndex(prompt, " ")+1:]
	all := make([]string, tokenCount)
	for i := range all {
		all[i] = fmt.Sprint(word, "-", i)
	}
	return all
}

// unlimited is a Limiter that grants every request.
type unlimited struct{}

func (unlimited) Acquire(*server.Snapshot, *server.Request) (func(map[string]server.Cost), error) {
	return func(map[string]server.Cost) {}, nil
}

// noOrders is an Orderer for requests without side effects.
type noOrders struct{ server.Orderer }

// newSnapshot returns a snapshot with three replicas of each service, of two software versions.
func newSnapshot(t testing.TB, timer server.Timer) *server.Snapshot {
	t.Helper()
	is := is.New(t)
	deployment, err := parser.ParseDeployment("config.yaml", []byte(config))
	is.NoErr(err)
	millContract, err := parser.ParseContract("mill.yaml", []byte(contract))
	is.NoErr(err)
	replicas := make(map[string][]*server.Upstream)
	for _, service := range deployment.ServiceNames() {
		for i := range 3 {
			listing := server.Listing{ID: fmt.Sprint(service, "-", i), Service: service, Datacentre: "north", Version: fmt.Sprint("v", i%2), Presence: server.PresenceLive}
			replicas[service] = append(replicas[service], server.NewUpstream(listing, &server.Gauge{}))
		}
	}
	return server.NewSnapshot(timer.Now(), nil, server.WithDatacentre("north"), server.WithUpstreams(replicas),
		server.WithDocuments(1, deployment, map[string]*parser.Contract{"mill": millContract}))
}

// newRunner returns a runner that uses the fake upstreams, and its snapshot.
func newRunner(t *testing.T, fake *fakeUpstreams, timer server.Timer) (*runner.Runner, *server.Snapshot) {
	t.Helper()
	snapshot := newSnapshot(t, timer)
	estimates := estimator.New()
	retryPolicy := retrier.New(estimates)
	requestRunner, err := runner.New(runner.Dependencies{
		Picker: picker.New(nil), Admitter: admitter.New(timer, estimates), Limiter: limiter.New("i-0", timer, limiter.Standalone("i-0"), func() *server.Snapshot { return snapshot }), Retrier: retryPolicy,
		Orderer: noOrders{}, Pool: fake, Engine: fake, Service: fake, Observer: observers{estimates, retryPolicy, fake}, Timer: timer,
		RequestBlocker: noBlocker{},
	}, func() *server.Snapshot { return snapshot })
	is.New(t).NoErr(err)
	return requestRunner, snapshot
}

// observers passes each observation to several observers.
type observers []server.Observer

func (o observers) Observe(observation server.Observation) {
	for _, observer := range o {
		observer.Observe(observation)
	}
}

func newRequest(snapshot *server.Snapshot, timer server.Timer, i int) *server.Request {
	millContract := snapshot.Contract("mill")
	input, _ := json.Marshal(fmt.Sprint("question ", i))
	now := timer.Now()
	return &server.Request{
		ID: server.NewID(), Workspace: "mill", Contract: millContract, Kind: millContract.Kind("question"), Priority: server.PriorityNormal,
		ArrivalTime: now, Deadline: now.Add(30 * time.Second), Input: input, MaxTokens: tokenCount,
	}
}

// TestTokensAreNeverLostDuplicatedOrMixed checks that, under any interleaving of
// broken streams, slow attempts, hedges and late responses, each caller receives
// its own tokens, in order, none lost or duplicated, all of one software version. A request that is done has
// all its tokens, and no attempt remains counted as inflight.
func TestTokensAreNeverLostDuplicatedOrMixed(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		synctest.Test(t, func(t *testing.T) {
			checkInterleaving(t, seed)
		})
	})
}

// checkInterleaving runs concurrent requests with faults drawn from a seed.
func checkInterleaving(t *testing.T, seed uint64) {
	is := is.New(t)
	timer := ticker.New()
	defer timer.Close()
	upstreams := &fakeUpstreams{random: rand.New(rand.NewPCG(seed, 1))}
	requestRunner, snapshot := newRunner(t, upstreams, timer)
	var group sync.WaitGroup
	var doneCount, resumedCount atomic.Int64
	for i := range 24 {
		group.Add(1)
		time.Sleep(time.Duration(upstreams.intN(30)) * time.Millisecond)
		go func() {
			defer group.Done()
			want := expectedTokens(fmt.Sprint("question ", i))
			var got []string
			result := requestRunner.Run(context.Background(), newRequest(snapshot, timer, i), func(token server.Token) error {
				if token.Offset != len(got) {
					t.Errorf("request %d: offset %d after %d tokens", i, token.Offset, len(got))
				}
				got = append(got, token.Text)
				return nil
			})
			for j, text := range got {
				if j >= len(want) || text != want[j] {
					t.Errorf("request %d: token %d is %q of %q", i, j, text, want)
				}
			}
			if result.Outcome() == server.OutcomeDone {
				doneCount.Add(1)
			}
			if result.Costs()["generate"].Calls > 1 {
				resumedCount.Add(1)
			}
			if result.Outcome() == server.OutcomeDone && (len(got) != tokenCount || result.Answer().TotalTokens != tokenCount) {
				t.Errorf("request %d: done with %d of %d tokens", i, len(got), tokenCount)
			}
		}()
	}
	group.Wait()
	is.Equal(upstreams.mixedVersions, 0) // no stream holds tokens of two software versions
	is.True(doneCount.Load() > 0)        // the test covers complete responses
	is.True(resumedCount.Load() > 0)     // the test covers resumed streams
	time.Sleep(time.Minute)              // wait for late responses to cancelled attempts
	for _, replicas := range snapshot.Services() {
		for _, replica := range replicas {
			is.Equal(replica.Gauge().Inflight(), int64(0))
		}
	}
}

// TestRefusedCallIsObservedWithItsCauseAndRetried checks that the observer can
// distinguish a plain replica that refuses a call because it is leaving from one
// that fails, and that the call is retried at another replica.
func TestRefusedCallIsObservedWithItsCauseAndRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		upstreams := &fakeUpstreams{random: rand.New(rand.NewPCG(1, 1)), refusals: 1}
		requestRunner, snapshot := newRunner(t, upstreams, timer)
		request := newRequest(snapshot, timer, 1)
		request.Kind = request.Contract.Kind("look")
		result := requestRunner.Run(context.Background(), request, nil)
		is.NoErr(result.Err())
		is.Equal(result.Costs()["look"].Calls, 2)
		is.Equal(len(upstreams.observations), 2)
		is.True(errors.Is(upstreams.observations[0].Err, server.ErrLeaving))
		is.NoErr(upstreams.observations[1].Err)
		is.True(upstreams.observations[0].Upstream != upstreams.observations[1].Upstream)
	})
}
