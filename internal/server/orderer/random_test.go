package orderer_test

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/standin"
)

// scheduledCall is one request of a scenario.
type scheduledCall struct {
	At              time.Duration
	Instance        int
	SecondWorkspace bool
	Key             int
	Body            int
}

// scenario is the requests and faults of one test run.
type scenario struct {
	Fenced, Status bool
	Calls          []scheduledCall
	ServiceFaults  []callFault
	// TableFaults are the faults of the first table calls, in order: 0 for none,
	// 1 for unavailable, 2 for a lost response, 3 for a slow call, 4 for a call
	// that returns only when its context ends.
	TableFaults []int
}

func drawScenario(t *rapid.T) scenario {
	return scenario{
		Fenced: rapid.Bool().Draw(t, "fenced"),
		Status: rapid.Bool().Draw(t, "status"),
		Calls: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scheduledCall {
			return scheduledCall{
				At:              time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond,
				Instance:        rapid.IntRange(0, 2).Draw(t, "instance"),
				SecondWorkspace: rapid.Bool().Draw(t, "workspace"),
				Key:             rapid.IntRange(0, 1).Draw(t, "key"),
				Body:            max(0, rapid.IntRange(-6, 1).Draw(t, "body")),
			}
		}), 1, 8).Draw(t, "calls"),
		ServiceFaults: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) callFault { return callFault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")) }), 0, 6).Draw(t, "service faults"),
		TableFaults:   rapid.SliceOfN(rapid.IntRange(0, 4), 0, 12).Draw(t, "table faults"),
	}
}

// tableHook returns a hook that applies the TableFaults to the table's calls.
func (s scenario) tableHook() func(context.Context, string, []server.Write) standin.CallFault {
	var mu sync.Mutex
	next := 0
	return func(ctx context.Context, _ string, _ []server.Write) standin.CallFault {
		mu.Lock()
		i := next
		next++
		mu.Unlock()
		if i >= len(s.TableFaults) {
			return standin.CallFaultNone
		}
		switch s.TableFaults[i] {
		case 1:
			return standin.CallFaultUnavailable
		case 2:
			return standin.CallFaultResponseLost
		case 3:
			time.Sleep(300 * time.Millisecond)
		case 4:
			<-ctx.Done()
		}
		return standin.CallFaultNone
	}
}

// callResult is the result of one request. begin and end are in nanoseconds since
// the start of the scenario.
type callResult struct {
	call       scheduledCall
	workspace  string
	outcome    server.Outcome
	begin, end int64
}

// run runs the scenario and describes the first violation, or returns "".
func (s scenario) run(t *testing.T) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, s.Fenced, s.Status, 3)
		defer c.close()
		c.service.faults = slices.Clone(s.ServiceFaults)
		c.memoryTable.SetHook(s.tableHook())
		results := make([]callResult, len(s.Calls))
		var group sync.WaitGroup
		begin := time.Now()
		for i, call := range s.Calls {
			group.Go(func() {
				time.Sleep(call.At)
				workspace := "one"
				if call.SecondWorkspace {
					workspace = "two"
				}
				callBegin := time.Since(begin)
				outcome, _ := c.call(c.instances[call.Instance], workspace, fmt.Sprint(call.Key), fmt.Sprint(call.Body))
				results[i] = callResult{call: call, workspace: workspace, outcome: outcome, begin: int64(callBegin), end: int64(time.Since(begin))}
			})
		}
		group.Wait()
		// The faults end, and the background tasks get time to finish.
		c.memoryTable.SetHook(nil)
		c.service.clearFaults()
		time.Sleep(time.Minute)
		violation = c.checkResults(results)
	})
	return violation
}

// checkResults compares the outcomes that callers got with the runs at the
// service, and describes the first violation or returns "". It repeats every
// order whose requests all ended not-run. The repeated request must run if they all
// had the same body.
func (s *cluster) checkResults(results []callResult) string {
	type order struct{ workspace, key string }
	byOrder := map[order][]callResult{}
	for _, r := range results {
		o := order{r.workspace, fmt.Sprint(r.call.Key)}
		byOrder[o] = append(byOrder[o], r)
	}
	for o, calls := range byOrder {
		runs := s.service.runCount(o.workspace, o.key)
		outcomes := map[server.Outcome]int{}
		for _, c := range calls {
			outcomes[c.outcome]++
		}
		switch {
		case runs > 1:
			return fmt.Sprintf("%v ran %d times", o, runs)
		case outcomes[server.OutcomeDone] > 0 && runs == 0:
			return fmt.Sprintf("%v: outcome done without a run", o)
		case outcomes[server.OutcomeNotRun] == len(calls) && runs > 0:
			return fmt.Sprintf("%v: outcome not-run after a run", o)
		case outcomes[server.OutcomeDone]+outcomes[server.OutcomeNotRun]+outcomes[server.OutcomeUnknown] != len(calls):
			return fmt.Sprintf("%v: unexpected outcomes %v", o, outcomes)
		}
		if !isLinearizable(calls, runs) {
			return fmt.Sprintf("%v: no sequence of the calls explains %+v and %d runs", o, calls, runs)
		}
		if outcomes[server.OutcomeNotRun] != len(calls) {
			continue
		}
		outcome, err := s.call(s.instances[0], o.workspace, o.key, fmt.Sprint(calls[0].call.Body))
		if len(distinctBodies(calls)) == 1 && (outcome != server.OutcomeDone || s.service.runCount(o.workspace, o.key) != 1) {
			return fmt.Sprintf("%v: repeated after not-run: outcome %s, %v", o, outcome, err)
		}
	}
	return ""
}

// distinctBodies returns the set of bodies that the calls sent.
func distinctBodies(calls []callResult) map[int]bool {
	bodies := map[int]bool{}
	for _, c := range calls {
		bodies[c.call.Body] = true
	}
	return bodies
}

// orderModel is the sequential specification of one key. Its state is the body
// that ran, or -1.
var orderModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{-1} },
	Step: func(state, input, output any) []any {
		ran, body := state.(int), input.(int)
		switch output.(server.Outcome) {
		case server.OutcomeDone:
			if ran == -1 || ran == body {
				return []any{body}
			}
			return nil
		case server.OutcomeNotRun:
			return []any{ran}
		case server.OutcomeUnknown:
			if ran == -1 {
				return []any{-1, body}
			}
			return []any{ran}
		default:
			// The final check: the input is the number of runs.
			if (ran == -1) == (body == 0) {
				return []any{ran}
			}
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// isLinearizable reports whether the calls of one key, together with the final
// number of runs, are linearizable. An order with unknown outcome may take effect
// at any time after its call.
func isLinearizable(calls []callResult, runs int) bool {
	history := make([]porcupine.Operation, 0, len(calls)+1)
	for i, c := range calls {
		end := c.end
		if c.outcome == server.OutcomeUnknown {
			end = math.MaxInt64 - 2
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: c.call.Body, Output: c.outcome, Call: c.begin, Return: end})
	}
	history = append(history, porcupine.Operation{
		ClientId: len(calls), Input: runs, Output: server.Outcome("look"), Call: math.MaxInt64 - 1, Return: math.MaxInt64,
	})
	return porcupine.CheckOperations(orderModel.ToModel(), history)
}

func TestOrdersRunAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		if violation := drawScenario(r).run(t); violation != "" {
			r.Fatal(violation)
		}
	})
}

func TestLinearizabilityCheckRejectsInvalidHistory(t *testing.T) {
	is := is.New(t)
	done := callResult{outcome: server.OutcomeDone, begin: 1, end: 2}
	is.True(isLinearizable([]callResult{done}, 1))
	is.True(!isLinearizable([]callResult{done}, 0))
	is.True(!isLinearizable([]callResult{done, {outcome: server.OutcomeDone, call: scheduledCall{Body: 1}, begin: 3, end: 4}}, 1))
}
