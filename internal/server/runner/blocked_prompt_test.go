package runner_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/admitter"
	"oriolemill.example/oriolemill/internal/server/blocker"
	"oriolemill.example/oriolemill/internal/server/estimator"
	"oriolemill.example/oriolemill/internal/server/limiter"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/picker"
	"oriolemill.example/oriolemill/internal/server/retrier"
	"oriolemill.example/oriolemill/internal/server/runner"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// noBlocker blocks no prompt.
type noBlocker struct{}

func (noBlocker) BlockedFor(server.RequestContent) (time.Duration, string)     { return 0, "" }
func (noBlocker) RecordCrash(string, string, server.RequestContent, time.Time) {}
func (noBlocker) RecordServing(string, time.Time)                              {}
func (noBlocker) RecordCompletion(string, server.RequestContent)               {}

// noLinks are the links of an instance without others.
type noLinks struct{}

func (noLinks) HolderIDs(string, int) []string                     { return nil }
func (noLinks) Send(context.Context, string, *encoder.Frame) error { return nil }

// maxLateCalls is how many calls with a part that crashes engines may reach them once they had
// allowedCrashes crashes and the instance had time to learn it.
const (
	allowedCrashes = 5
	maxLateCalls   = 3
)

// crashingEngines crash on prompts that begin with badPrompt. Pools respond at once, with no
// output, so that prompts begin alike.
type crashingEngines struct {
	*fakeUpstreams
	mu        sync.Mutex
	crashedAt []time.Time
}

var badPrompt = strings.Repeat("bad ", 100)

func (e *crashingEngines) Run(context.Context, *server.Upstream, server.Call) (server.Answer, error) {
	return server.Answer{}, nil
}

func (e *crashingEngines) Generate(_ context.Context, upstream *server.Upstream, call server.Call, _ server.TokenHandler) (server.Answer, error) {
	if err := call.BeforeSend(); err != nil {
		return server.Answer{}, server.NewFault(call.Stage, upstream.ID(), err)
	}
	time.Sleep(20 * time.Millisecond)
	var prompt string
	_ = json.Unmarshal(call.Input, &prompt)
	if strings.HasPrefix(strings.TrimSpace(prompt), badPrompt) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.crashedAt = append(e.crashedAt, time.Now())
		return server.Answer{}, server.NewFault(call.Stage, upstream.ID(), errors.Join(server.ErrUnavailable, server.ErrConnectionLost))
	}
	return server.Answer{Output: call.Input}, nil
}

// TestPromptThatCrashesEnginesIsBlocked guards against requests that crash one engine after the
// other on the path of pipelines, by first attempts and by retries.
func TestPromptThatCrashesEnginesIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		snapshot := newSnapshot(t, timer)
		upstreams := &crashingEngines{fakeUpstreams: &fakeUpstreams{random: rand.New(rand.NewPCG(1, 1))}}
		estimates := estimator.New()
		promptBlocker := blocker.New(logr.Discard(), timer, noLinks{}, blocker.WithRestartTime(500*time.Millisecond))
		defer promptBlocker.Close()
		requestRunner, err := runner.New(runner.Dependencies{
			Picker: picker.New(nil), Admitter: admitter.New(timer, estimates), Limiter: limiter.New("i-0", timer, limiter.Standalone("i-0"), func() *server.Snapshot { return snapshot }),
			Retrier: retrier.New(estimates), Orderer: noOrders{}, Pool: upstreams, Engine: upstreams, Service: upstreams, Observer: observers{upstreams}, Timer: timer,
			RequestBlocker: promptBlocker,
		}, func() *server.Snapshot { return snapshot })
		is.NoErr(err)
		run := func(i int, text string) error {
			request := newRequest(snapshot, timer, i)
			request.Input, _ = json.Marshal(text + fmt.Sprint(i))
			return requestRunner.Run(t.Context(), request, nil).Err()
		}
		for i := range 60 {
			time.Sleep(200 * time.Millisecond)
			is.NoErr(run(2*i, strings.Repeat("good ", 40)))
			is.True(run(2*i+1, badPrompt) != nil)
		}
		late := 0
		for _, at := range upstreams.crashedAt {
			if at.Sub(upstreams.crashedAt[allowedCrashes-1]) > 3*time.Second {
				late++
			}
		}
		is.True(late <= maxLateCalls)
		blocked := run(1000, badPrompt)
		is.True(errors.Is(blocked, server.ErrRequestBlocked))
		var fault *server.Fault
		is.True(errors.As(blocked, &fault) && fault.RetryAfter() > time.Second)
	})
}
