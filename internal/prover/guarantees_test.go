package prover

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/client"
)

// workspaces are the workspaces of the example that callers use.
var workspaces = []string{"skoghammar", "norrbruk", "alvkraft"}

// responseLog records the responses to callers, for checkGuarantees. It is safe for
// concurrent use.
type responseLog struct {
	mu              sync.Mutex
	outcomesByOrder map[string][]string // by "workspace/key"
	counts          map[string]int      // by "kind outcome"
	wrongResponses  []string
	streamGaps      []string
}

func newResponseLog() *responseLog {
	return &responseLog{outcomesByOrder: make(map[string][]string), counts: make(map[string]int)}
}

// recordOrder adds an outcome of an order.
func (c *responseLog) recordOrder(workspace, key, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := workspace + "/" + key
	c.outcomesByOrder[id] = append(c.outcomesByOrder[id], outcome)
	c.counts["order "+outcome]++
}

// recordRequest counts an outcome of a request of a kind.
func (c *responseLog) recordRequest(kind, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind+" "+outcome]++
}

// recordViolation appends text to one of the lists of the log.
func (c *responseLog) recordViolation(list *[]string, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, text)
}

// caller sends requests, each with a unique marker in its input or as its key.
type caller struct {
	fleet     *fleet
	responses *responseLog
	number    int
	random    *rand.Rand
}

// run sends random requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		workspace := workspaces[c.random.IntN(len(workspaces))]
		marker := fmt.Sprintf("mark-%d-%d-end", c.number, i)
		switch c.random.IntN(3) {
		case 0:
			c.callPipeline(ctx, workspace, marker)
		case 1:
			c.streamPipeline(ctx, workspace, marker)
		default:
			c.sendOrder(ctx, workspace, marker)
		}
	}
}

// randomClient returns a client of a random instance for a workspace.
func (c *caller) randomClient(workspace string) *client.Client {
	instance := c.fleet.instances[c.random.IntN(len(c.fleet.instances))]
	return client.New("http://"+instance.callerAddress, client.WithToken("demo-"+workspace))
}

// inputWithMarker returns a prompt that ends with the marker.
func inputWithMarker(marker string) string { return "smelt bed trend of the last shift " + marker }

// callPipeline sends a request and checks that the response belongs to it.
func (c *caller) callPipeline(ctx context.Context, workspace, marker string) {
	target := c.randomClient(workspace)
	defer target.Close()
	answer, err := target.Call(ctx, client.Request{Pipeline: "boiler-log", Kind: "upset", Input: inputWithMarker(marker)})
	c.responses.recordRequest("answer", client.OutcomeOf(err))
	if err == nil && !hasOnlyMarker(answer.Text(), marker) {
		c.responses.recordViolation(&c.responses.wrongResponses, marker+" got "+answer.Text())
	}
}

// streamPipeline sends a request for a stream and checks that the stream belongs to it
// and is complete.
func (c *caller) streamPipeline(ctx context.Context, workspace, marker string) {
	target := c.randomClient(workspace)
	defer target.Close()
	var text strings.Builder
	tokens := 0
	answer, err := target.Stream(ctx, client.Request{Pipeline: "boiler-log", Kind: "trend", Input: inputWithMarker(marker)}, func(token client.Token) error {
		text.WriteString(token.Text)
		tokens++
		return nil
	})
	c.responses.recordRequest("stream", client.OutcomeOf(err))
	if err == nil && (!hasOnlyMarker(text.String(), marker) || answer.TotalTokens != tokens) {
		c.responses.recordViolation(&c.responses.wrongResponses, fmt.Sprintf("%s: %d of %d tokens: %s", marker, tokens, answer.TotalTokens, text.String()))
	}
	if errors.Is(err, client.ErrStreamGap) {
		c.responses.recordViolation(&c.responses.streamGaps, marker+": "+err.Error())
	}
}

// hasOnlyMarker reports whether text contains the request's marker and no other one.
func hasOnlyMarker(text, marker string) bool {
	return strings.Contains(text, marker) && strings.Count(text, "mark-") == strings.Count(text, marker)
}

// maxOrderAttempts bounds how often a caller sends an order with the same key.
const maxOrderAttempts = 3

// sendOrder sends an order, each time to a random instance and with the same key, until
// its outcome is done, at most maxOrderAttempts times.
func (c *caller) sendOrder(ctx context.Context, workspace, key string) {
	for range maxOrderAttempts {
		target := c.randomClient(workspace)
		_, err := target.Call(ctx, client.Request{
			Service: "mill-gateway", Operation: "dose", Kind: "dosing", IdempotencyKey: key, Input: map[string]any{"lime_kg": 120, "order": key},
		})
		target.Close()
		outcome := client.OutcomeOf(err)
		c.responses.recordOrder(workspace, key, outcome)
		if outcome == client.OutcomeDone || ctx.Err() != nil {
			return
		}
	}
}

// checkGuarantees compares the outcomes that callers received with the runs that the
// service counted.
func (c *responseLog) checkGuarantees(t *testing.T, ledger *standin.Ledger) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, outcomes := range c.outcomesByOrder {
		workspace, key, _ := strings.Cut(id, "/")
		runs := ledger.Runs(workspace, key)
		if runs > 1 {
			t.Errorf("%s ran %d times; outcomes %v", id, runs, outcomes)
		}
		if contains(outcomes, client.OutcomeDone) && runs != 1 {
			t.Errorf("%s has the outcome done and ran %d times", id, runs)
		}
		if allEqual(outcomes, client.OutcomeNotRun) && runs != 0 {
			t.Errorf("%s has the outcome not-run %d times and ran", id, len(outcomes))
		}
	}
	for _, text := range c.wrongResponses {
		t.Errorf("wrong or incomplete response: %s", text)
	}
	for _, text := range c.streamGaps {
		t.Errorf("gap in a stream: %s", text)
	}
	t.Logf("orders: %d keys; %v", len(c.outcomesByOrder), c.counts)
}

// contains reports whether outcomes has the given one.
func contains(outcomes []string, outcome string) bool {
	for _, o := range outcomes {
		if o == outcome {
			return true
		}
	}
	return false
}

// allEqual reports whether outcomes is not empty and has no other than the given one.
func allEqual(outcomes []string, outcome string) bool {
	for _, o := range outcomes {
		if o != outcome {
			return false
		}
	}
	return len(outcomes) > 0
}

// faultSeed is the seed of all random choices, so that each run has the same faults in
// the same order.
const faultSeed = 20261203

// TestGuaranteesHoldUnderFaults runs callers against processes while instances are
// killed and frozen, the platform is down or loses responses, and upstreams swap, cut
// or lose responses. It checks safety only, never durations.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	f := newFleet(t, "lutvik", 3)
	responses := newResponseLog()
	checkVersions := watchActiveVersions(t, f)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for i := range 8 {
		c := &caller{fleet: f, responses: responses, number: i, random: rand.New(rand.NewPCG(faultSeed, uint64(i)))}
		group.Go(func() { c.run(ctx) })
	}
	random := rand.New(rand.NewPCG(faultSeed, 1000))
	for _, step := range faultSteps(f) {
		t.Log(step.name)
		step.run(f.instances[random.IntN(len(f.instances))])
	}
	time.Sleep(faultDuration) // lets requests end after the last fault
	cancel()
	group.Wait()
	responses.checkGuarantees(t, f.standIns.Ledger("mill-gateway"))
	checkVersions(t)
}

// faultDuration is the duration of each fault.
const faultDuration = 400 * time.Millisecond

// faultStep is a fault; run injects it and returns after it has ended.
type faultStep struct {
	name string
	run  func(p *process)
}

// faultSteps returns the faults, first one by one and then in pairs.
func faultSteps(f *fleet) []faultStep {
	platform := f.standIns.PlatformServer().Faults()
	during := func(set, end func()) {
		set()
		time.Sleep(faultDuration)
		end()
	}
	onPlatform := func(fault standin.Fault) func(*process) {
		return func(*process) {
			during(func() { platform.Set(fault) }, func() { platform.Set(standin.Fault{}) })
		}
	}
	onUpstreams := func(prefix string, fault standin.Fault) func(*process) {
		return func(*process) {
			during(func() { f.setFaults(prefix, fault) }, func() { f.setFaults(prefix, standin.Fault{}) })
		}
	}
	kill := func(p *process) {
		p.killAndWait()
		f.start(p)
		f.waitReady(p)
	}
	freeze := func(p *process) {
		during(func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
	}
	both := func(a, b func(*process)) func(*process) {
		return func(p *process) {
			var group sync.WaitGroup
			group.Go(func() { a(p) })
			group.Go(func() { b(p) })
			group.Wait()
		}
	}
	platformOutage := onPlatform(standin.Fault{Outage: true})
	lostResponses := onPlatform(standin.Fault{LostAnswers: 20})
	slowPlatform := onPlatform(standin.Fault{DelayMillis: 300})
	lostOrderResponses := onUpstreams("mill-gateway", standin.Fault{LostAnswers: 3})
	return []faultStep{
		{"calm", func(*process) { time.Sleep(faultDuration) }},
		{"instance killed", kill},
		{"instance frozen", freeze},
		{"platform down", platformOutage},
		{"platform loses responses", lostResponses},
		{"platform slow", slowPlatform},
		{"responses swapped", onUpstreams("rerankers", standin.Fault{CrossedAnswers: 20})},
		{"responses of another workspace", onUpstreams("retrievers", standin.Fault{ForeignAnswers: 20})},
		{"responses cut", onUpstreams("encoders", standin.Fault{CutAnswers: 20})},
		{"streams cut", onUpstreams("oriole-pool", standin.Fault{CutAnswers: 2})},
		{"orders' responses lost", lostOrderResponses},
		{"orders' connections reset", onUpstreams("mill-gateway", standin.Fault{Resets: 3})},
		{"killed while the platform loses responses", both(lostResponses, kill)},
		{"frozen while the platform is down", both(platformOutage, freeze)},
		{"killed while orders' responses are lost", both(lostOrderResponses, kill)},
		{"frozen while the platform is slow", both(slowPlatform, freeze)},
	}
}
