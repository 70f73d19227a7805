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
	var states []simulation
	add := func(change func(*simulation)) {
		c := s.clone()
		change(&c)
		states = append(states, c)
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
	return states
}

// addHolderSteps adds the steps of a holder: start, crash, expiry, and the steps
// of its message or phase.
func (s simulation) addHolderSteps(i int, add func(func(*simulation))) {
	h := s.holders[i]
	if !h.isStarted {
		// At one instance, the second request joins the execution of the first one.
		if i == 0 || !s.sameInstance || s.holders[0].order.hasEnded() && !s.holders[0].isCrashed {
			add(func(c *simulation) { c.holders[i].isStarted = true })
		}
		return
	}
	if h.isCrashed {
		return
	}
	if s.faultsLeft > 0 && (!h.order.hasEnded() || h.intent != nil) {
		add(func(c *simulation) { c.crash(i) })
	}
	if h.order.hasEnded() {
		return
	}
	if !h.isExpired {
		add(func(c *simulation) { c.holders[i].isExpired = true })
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
	if !h.inFlight.isDelivered {
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
		if !h.inFlight.isDelivered {
			h.delayed = append(h.delayed, *h.inFlight)
		}
		c.apply(i, phaseResult{err: server.ErrUncertain, sendState: server.SendStateUnknown, isExpired: h.isExpired})
	})
}

// addPhaseSteps adds the steps that start the operation of a holder's phase.
func (s simulation) addPhaseSteps(i int, add func(func(*simulation))) {
	h := s.holders[i]
	if h.isExpired && (h.order.phase == phaseClaiming || h.order.phase == phaseSending) {
		add(func(c *simulation) {
			c.apply(i, phaseResult{isExpired: true, noRetry: true, err: server.ErrDeadline, sendState: server.SendStateUnsent})
		})
		return
	}
	switch h.order.phase {
	case phaseReading:
		add(func(c *simulation) { c.apply(i, c.read(i)) })
		if s.faultsLeft > 0 {
			add(func(c *simulation) {
				c.faultsLeft--
				c.apply(i, phaseResult{err: server.ErrUnavailable, isExpired: h.isExpired})
			})
		}
	case phaseWaiting:
		add(func(c *simulation) { c.apply(i, phaseResult{isExpired: c.holders[i].isExpired}) })
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
	if h.intent == nil || h.isCrashed {
		return
	}
	if h.decision == nil {
		add(func(c *simulation) {
			var err error
			if c.row.version == 0 {
				err = server.ErrNotFound
			}
			decision := h.intent.decide(c.row.record, c.row.version, err)
			if !decision.shouldWrite {
				c.holders[i].intent = nil
				return
			}
			c.holders[i].decision = &decision
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
	case r.foundRow != nil:
		add(func(c *simulation) {
			found := r.foundRow.record
			var response phaseResult
			if s.service.hasStatus {
				var fence uint64
				if s.service.isFenced {
					fence = found.Fence + 1
				}
				response = c.status(fence)
			}
			next := recoveredRecord(found, s.service, s.service.hasStatus, response.answer, response.err, found.UpdatedAt)
			c.recovery = recovery{sweepsLeft: r.sweepsLeft, nextRecord: &next, version: r.foundRow.version}
		})
	case r.sweepsLeft > 0 && s.row.version > 0:
		isUnresolved := s.row.record.State == StateClaimed || s.row.record.State == StateUnknown
		h := s.holders[s.row.record.Nonce[0]-'a']
		if isUnresolved && (h.isCrashed || h.isExpired) {
			add(func(c *simulation) {
				row := c.row
				c.recovery.foundRow = &row
				c.recovery.sweepsLeft--
			})
		}
	}
}

// explore visits every reachable state. It returns the number of states, the
// final phases of holders and how often each was seen, the phases reached, and
// the first violation, at which it stops, or "".
func explore(start simulation) (states int, outcomes map[string]int, phases map[string]bool, violation string) {
	visited := map[string]bool{start.key(): true}
	queue := []simulation{start}
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
	"status":     {hasStatus: true},
	"fenced":     {isFenced: true, hasStatus: true},
	"only-fence": {isFenced: true},
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
	s := newSimulation(serviceInfo{isFenced: true, hasStatus: true}, false, 2)
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
	o := newOrder(record{Nonce: "a", BodyDigest: "body", Fence: 1}, serviceInfo{isFenced: true, hasStatus: true})
	answer := server.Answer{Output: json.RawMessage(`1`)}
	for b.Loop() {
		ended := o.apply(phaseResult{version: 1}).apply(phaseResult{sendState: server.SendStateAnswered, answer: answer}).apply(phaseResult{version: 2})
		if !ended.hasEnded() {
			b.Fatalf("order has not ended; it is in phase %s", ended.phase)
		}
	}
}
