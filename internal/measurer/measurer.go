// Package measurer measures serving policies. It runs instances of the server against
// the stand-ins on loopback and sends them a seeded open-loop load: requests are sent
// at their arrival times, without waiting for earlier responses.
//
// Each token is compared with the text that the stand-in engines generate for the
// prompt, so that only correct responses count towards attainment: the part of the
// requests, by weight, that got a complete and correct response before their deadline.
package measurer

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/standin"
)

// Policy selects how the measured instances admit, pick, retry and hedge.
type Policy string

const (
	// PolicyFull is the server's default policy.
	PolicyFull Policy = "full"
	// PolicyBaseline picks replicas round robin, has neither admission control nor
	// hedging, and retries up to three times without a delay.
	PolicyBaseline Policy = "baseline"
	// PolicyRandom is PolicyFull with replicas picked at random.
	PolicyRandom Policy = "random"
)

// MinDuration is the shortest allowed run: it holds a burst, with the load of the calm
// scenario before and after it.
const MinDuration = 12 * time.Second

// Options are the options of a measurement.
type Options struct {
	// Scenarios are the names of the scenarios to run, in order.
	Scenarios []string
	// Policies are the policies to run for each scenario, in order.
	Policies []Policy
	// Seed determines the arrival times and texts of the requests.
	Seed uint64
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// ProgressWriter receives one line for each run; nil discards them.
	ProgressWriter io.Writer
}

// Measurer runs scenarios under policies and reports the results.
type Measurer struct {
	options   Options
	scenarios []*scenario
}

// New returns a Measurer, or an error if options.Duration is below MinDuration or a
// scenario is unknown.
func New(options Options) (*Measurer, error) {
	if options.Duration < MinDuration {
		return nil, merry.Prependf(server.ErrInvalid, "length %s must be at least %s", options.Duration, MinDuration)
	}
	if options.ProgressWriter == nil {
		options.ProgressWriter = io.Discard
	}
	m := &Measurer{options: options}
	for _, name := range options.Scenarios {
		s, err := newScenario(name)
		if err != nil {
			return nil, err
		}
		m.scenarios = append(m.scenarios, s)
	}
	return m, nil
}

// Run runs each scenario under each policy, one after the other, and returns the
// results. All policies of a scenario get the same requests.
func (m *Measurer) Run(ctx context.Context) (*Report, error) {
	report := &Report{Seed: m.options.Seed, DurationSeconds: m.options.Duration.Seconds(), CapacityRequestRate: capacityRequestRate()}
	for _, s := range m.scenarios {
		arrivals := newArrivals(s, m.options.Seed, m.options.Duration)
		attainmentLimit := referenceAttainment(s, m.options.Duration, arrivals)
		for _, policy := range m.options.Policies {
			_, _ = fmt.Fprintf(m.options.ProgressWriter, "%s %s: %d requests in %s\n", s.name, policy, len(arrivals), m.options.Duration)
			row, err := m.runScenario(ctx, s, policy, arrivals)
			if err != nil {
				return nil, merry.Prependf(err, "measuring %s with policy %s", s.name, policy)
			}
			row.AttainmentLimit = attainmentLimit
			report.Rows = append(report.Rows, row)
		}
	}
	return report, nil
}

// runScenario runs one scenario under one policy on a new deployment. The faults of the
// scenario are injected after a third of the run and cleared after two thirds.
func (m *Measurer) runScenario(ctx context.Context, s *scenario, policy Policy, arrivals []arrival) (*Row, error) {
	deployment, err := newLoopbackDeployment(ctx, s, policy)
	if err != nil {
		return nil, err
	}
	defer deployment.close()
	addresses := make([]string, 0, len(deployment.instances))
	for _, instance := range deployment.instances {
		addresses = append(addresses, instance.CallerAddress())
	}
	timers := []*time.Timer{
		time.AfterFunc(m.options.Duration/3, func() { s.injectFaults(deployment.environment) }),
		time.AfterFunc(m.options.Duration*2/3, func() { s.clearFaults(deployment.environment) }),
	}
	cpuTimeAtStart := processCPUTime()
	stopSampling := sampleDecodeTokens(deployment.environment)
	results := sendArrivals(ctx, newClient(addresses), arrivals)
	cpuTime := processCPUTime() - cpuTimeAtStart
	for _, timer := range timers {
		timer.Stop()
	}
	row := newRow(s, policy, deployment.environment, results, cpuTime)
	row.DecodeTokensBySecond = stopSampling()
	return row, ctx.Err()
}

// sampleDecodeTokens records how many tokens the engines generate in each second. The
// returned function stops the recording and returns the counts.
func sampleDecodeTokens(environment *standin.Environment) func() []int {
	stop, done := make(chan struct{}), make(chan []int)
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		var tokensBySecond []int
		lastTotal := 0
		for {
			select {
			case <-ticker.C:
				_, total := countEngineTokens(environment)
				tokensBySecond = append(tokensBySecond, total-lastTotal)
				lastTotal = total
			case <-stop:
				done <- tokensBySecond
				return
			}
		}
	}()
	return func() []int {
		close(stop)
		return <-done
	}
}

// countEngineTokens returns the prompt tokens that all engines have computed and the
// tokens that they have generated.
func countEngineTokens(environment *standin.Environment) (prefill, decode int) {
	for _, id := range environment.Replicas("engines") {
		p, d := environment.Engine(id).TokenCounts()
		prefill, decode = prefill+p, decode+d
	}
	return prefill, decode
}

// sendArrivals sends each request at its arrival time and waits for all responses. It
// sends no more requests once ctx is done.
func sendArrivals(ctx context.Context, c *client, arrivals []arrival) []requestResult {
	results := make([]requestResult, len(arrivals))
	begin := time.Now()
	var requests sync.WaitGroup
	for i, a := range arrivals {
		if !sleepUntil(ctx, begin.Add(a.offset)) {
			break
		}
		requests.Add(1)
		go func() {
			defer requests.Done()
			results[i] = c.send(ctx, a)
		}()
	}
	requests.Wait()
	return results
}

// sleepUntil waits until at and returns false if ctx was done before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// processCPUTime returns the user and system CPU time of this process, or zero if it
// cannot be read.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
