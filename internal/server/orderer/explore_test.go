package orderer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/charter"
	"oriolemill.example/oriolemill/internal/server"
)

// successors returns every state that is one step away.
func (s simulation) successors() []simulation {
	var all []simulation
	add := func(change func(*simulation)) {
		c := s.clone()
		change(&c)
		all = append(all, c)
	}
	for i := range s.holders {
		s.addHolderSteps(i, add)
		s.addIntentSteps(i, add)
		for j := range s.holders[i].delayed {
			add(func(c *simulation) {
				h := &c.holders[i]
				m := h.delayed[j]
				h.delayed = slices.Delete(h.delayed, j, j+1)
				c.deliver(i, &m)
			})
		}
	}
	s.addRecoverySteps(add)
	return all
}

// addHolderSteps adds the steps of a holder: start, crash, expiry, and the steps
// of its message or phase.
func (s simulation) addHolderSteps(i int, add func(func(*simulation))) {
	h := s.holders[i]
	if !h.started {
		// At one instance, the second request joins the execution of the first one.
		if i == 0 || !s.sameInstance || s.holders[0].order.hasEnded() && !s.holders[0].crashed {
			add(func(c *simulation) { c.holders[i].started = true })
		}
		return
	}
	if h.crashed {
		return
	}
	if s.faultsLeft > 0 && (!h.order.hasEnded() || h.intent != nil) {
		add(func(c *simulation) { c.crash(i) })
	}
	if h.order.hasEnded() {
		return
	}
	if !h.expired {
		add(func(c *simulation) { c.holders[i].expired = true })
	}
	if h.inFlight != nil {
		s.addMessageSteps(i, add)
		return
	}
	s.addPhaseSteps(i, add)
}

// addMessageSteps adds the steps of a holder's message: delivery, the return of
// its reply, and a timeout of the holder.
func (s simulation) addMessageSteps(i int, add func(func(*simulation))) {
	h := s.holders[i]
	if !h.inFlight.delivered {
		add(func(c *simulation) { c.deliver(i, c.holders[i].inFlight) })
	} else {
		add(func(c *simulation) { c.apply(i, c.holders[i].inFlight.reply) })
	}
	if s.faultsLeft == 0 {
		return
	}
	add(func(c *simulation) {
		c.faultsLeft--
		h := &c.holders[i]
		if !h.inFlight.delivered {
			h.delayed = append(h.delayed, *h.inFlight)
		}
		c.apply(i, phaseResult{err: server.ErrUncertain, sendState: server.SendStateUnknown, expired: h.expired})
	})
}

// addPhaseSteps adds the steps that start the operation of a holder's phase.
func (s simulation) addPhaseSteps(i int, add func(func(*simulation))) {
	h := s.holders[i]
	if h.expired && (h.order.phase == phaseClaiming || h.order.phase == phaseSending) {
		add(func(c *simulation) {
			c.apply(i, phaseResult{expired: true, noRetry: true, err: server.ErrDeadline, sendState: server.SendStateUnsent})
		})
		return
	}
	switch h.order.phase {
	case phaseReading:
		add(func(c *simulation) { c.apply(i, c.read(i)) })
		if s.faultsLeft > 0 {
			add(func(c *simulation) {
				c.faultsLeft--
				c.apply(i, phaseResult{err: server.ErrUnavailable, expired: h.expired})
			})
		}
	case phaseWaiting:
		add(func(c *simulation) { c.apply(i, phaseResult{expired: c.holders[i].expired}) })
	default:
		add(func(c *simulation) { c.holders[i].inFlight = c.newMessage(i) })
		if s.faultsLeft > 0 {
			for _, noRetry := range []bool{false, true} {
				add(func(c *simulation) {
					c.faultsLeft--
					c.apply(i, phaseResult{err: server.ErrUnavailable, sendState: server.SendStateUnsent, noRetry: noRetry})
				})
			}
		}
	}
}

// addIntentSteps adds the steps of the background task that writes an unconfirmed
// final record: its read and its write.
func (s simulation) addIntentSteps(i int, add func(func(*simulation))) {
	h := s.holders[i]
	if h.intent == nil || h.crashed {
		return
	}
	if h.decision == nil {
		add(func(c *simulation) {
			var err error
			if c.row.version == 0 {
				err = server.ErrNotFound
			}
			v := h.intent.decide(c.row.record, c.row.version, err)
			if !v.shouldWrite {
				c.holders[i].intent = nil
				return
			}
			c.holders[i].decision = &v
		})
		return
	}
	add(func(c *simulation) {
		if _, err := c.commit(h.decision.expectedVersion, h.decision.record); err == nil {
			c.holders[i].intent = nil
		}
		c.holders[i].decision = nil
	})
}

// addRecoverySteps adds the steps of the sweep over a row whose holder crashed or
// expired: its read, its status request and its write.
func (s simulation) addRecoverySteps(add func(func(*simulation))) {
	r := s.recovery
	switch {
	case r.nextRecord != nil:
		add(func(c *simulation) {
			_, _ = c.commit(r.version, *r.nextRecord)
			c.recovery.nextRecord = nil
		})
	case r.found != nil:
		add(func(c *simulation) {
			found := r.found.record
			var response phaseResult
			if s.service.status {
				var fence uint64
				if s.service.fenced {
					fence = found.Fence + 1
				}
				response = c.status(fence)
			}
			next := recoveredRecord(found, s.service, s.service.status, response.answer, response.err, found.UpdatedAt)
			c.recovery = recovery{sweepsLeft: r.sweepsLeft, nextRecord: &next, version: r.found.version}
		})
	case r.sweepsLeft > 0 && s.row.version > 0:
		isUnresolved := s.row.record.State == StateClaimed || s.row.record.State == StateUnknown
		h := s.holders[s.row.record.Nonce[0]-'a']
		if isUnresolved && (h.crashed || h.expired) {
			add(func(c *simulation) {
				row := c.row
				c.recovery.found = &row
				c.recovery.sweepsLeft--
			})
		}
	}
}

// explore visits every reachable state. It returns the number of states, the
// final phases of holders and how often each was seen, the phases reached, and
// the first violation, at which it stops, or "".
func explore(first simulation) (states int, outcomes map[string]int, phases map[string]bool, violation string) {
	visited := map[string]bool{first.key(): true}
	queue := []simulation{first}
	outcomes = make(map[string]int)
	phases = make(map[string]bool)
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if violation := s.violation(); violation != "" {
			return len(visited), outcomes, phases, fmt.Sprintf("%s: %+v", violation, s)
		}
		for _, h := range s.holders {
			phases[h.order.phase] = true
			if h.order.hasEnded() {
				outcomes[h.order.phase]++
			}
		}
		for _, successor := range s.successors() {
			key := successor.key()
			if !visited[key] {
				visited[key] = true
				queue = append(queue, successor)
			}
		}
	}
	return len(visited), outcomes, phases, ""
}

// serviceInfos are the possible capabilities of a service.
var serviceInfos = map[string]serviceInfo{
	"plain":      {},
	"status":     {status: true},
	"fenced":     {fenced: true, status: true},
	"only-fence": {fenced: true},
}

func TestWalkOfEveryStateWithinTwoFaults(t *testing.T) {
	var mu sync.Mutex
	total := 0
	phases := make(map[string]bool)
	t.Run("walks", func(t *testing.T) {
		for name, service := range serviceInfos {
			for _, sameInstance := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s-%v", name, sameInstance), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					states, outcomes, reached, violation := explore(newSimulation(service, sameInstance, 2))
					is.Equal(violation, "")
					t.Logf("%d states, outcomes %v", states, outcomes)
					is.Equal(len(outcomes), 3) // done, not-run and unknown all occur
					mu.Lock()
					defer mu.Unlock()
					total += states
					maps.Copy(phases, reached)
				})
			}
		}
	})
	is := is.New(t)
	fmt.Printf("orders: %d states walked within two faults\n", total)
	is.Equal(len(phases), len(loadChart().States())) // every state of the chart was reached
}

// TestExplorationFindsServiceThatIgnoresFences checks that the exploration reports
// a violation if a service is configured as fenced but accepts outdated fencing
// numbers.
func TestExplorationFindsServiceThatIgnoresFences(t *testing.T) {
	is := is.New(t)
	s := newSimulation(serviceInfo{fenced: true, status: true}, false, 2)
	s.enforcesFence = false
	_, _, _, violation := explore(s)
	is.True(violation != "")
}

// TestChartHasATransitionForEveryTrigger compares the triggers that order.apply
// can return with the transitions of the chart.
func TestChartHasATransitionForEveryTrigger(t *testing.T) {
	is := is.New(t)
	triggers := map[string][]string{
		"claim":  {"claimed", "taken", "lost", "refused", "given-up"},
		"read":   {"mine", "absent", "free", "held", "blind", "recorded", "unsure", "mismatch", "given-up"},
		"wait":   {"again", "unsure", "given-up"},
		"send":   {"answered", "unsent", "stopped", "ask", "unsure"},
		"ask":    {"ran", "shut", "again", "unsure"},
		"record": {"done", "unsure"},
		"void":   {"voided"},
	}
	actions := make(map[string]charter.Action[int])
	for name, all := range triggers {
		actions[name] = charter.Action[int]{Triggers: all}
	}
	_, err := charter.NewMachine(loadChart(), actions)
	is.NoErr(err) // no transition is missing or unused
}

func BenchmarkOrderDecision(b *testing.B) {
	o := newOrder(record{Nonce: "a", BodyDigest: "body", Fence: 1}, serviceInfo{fenced: true, status: true})
	answer := server.Answer{Output: json.RawMessage(`1`)}
	for b.Loop() {
		ended := o.apply(phaseResult{version: 1}).apply(phaseResult{sendState: server.SendStateAnswered, answer: answer}).apply(phaseResult{version: 2})
		if !ended.hasEnded() {
			b.Fatal(ended.phase)
		}
	}
}
