package charter

import (
	"context"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/qmuntal/stateless"
)

// Action is the code that runs when a subject enters a state.
type Action[T any] struct {
	// Run does the work of the state for the subject, such as a request, an order or an
	// upstream, and returns one of Triggers.
	Run func(ctx context.Context, subject T) string
	// Triggers are all triggers that Run can return.
	Triggers []string
}

// Machine runs a chart for many subjects. It is safe for concurrent use: the state of
// each subject is kept in the context of its Run.
type Machine[T any] struct {
	chart   *Chart
	machine *stateless.StateMachine
	actions map[string]Action[T]
}

// subjectStateKey is the context key of a *subjectState.
type subjectStateKey struct{}

// subjectState holds the current state of one subject.
type subjectState struct {
	state string
}

// NewMachine returns a machine that runs the chart with the given actions. The chart
// and the actions must match: each state but the end states has one of the actions, the
// state's transitions are for exactly the triggers of its action, and each action is
// used by a state.
func NewMachine[T any](chart *Chart, actions map[string]Action[T]) (*Machine[T], error) {
	usedActions := make(map[string]bool)
	for _, name := range chart.States() {
		s := chart.states[name]
		if s.IsEnd {
			continue
		}
		action, ok := actions[s.Action]
		if !ok {
			return nil, merry.Errorf("%s: states.%s.do: unknown action %q", chart.name, name, s.Action)
		}
		usedActions[s.Action] = true
		if err := validateTriggers(chart.name, name, s, action.Triggers); err != nil {
			return nil, err
		}
	}
	for name := range actions {
		if !usedActions[name] {
			return nil, merry.Errorf("%s: action %q is not used", chart.name, name)
		}
	}
	return &Machine[T]{chart: chart, machine: newStateMachine(chart), actions: actions}, nil
}

// validateTriggers checks that the state has a transition for each of triggers, which are
// those of its action, and no others.
func validateTriggers(chartName, stateName string, s state, triggers []string) error {
	for _, trigger := range triggers {
		if _, ok := s.Transitions[trigger]; !ok {
			return merry.Errorf("%s: states.%s.on: no transition for %q", chartName, stateName, trigger)
		}
	}
	for trigger := range s.Transitions {
		if !slices.Contains(triggers, trigger) {
			return merry.Errorf("%s: states.%s.on.%s: action %q never returns this trigger", chartName, stateName, trigger, s.Action)
		}
	}
	return nil
}

// newStateMachine returns a state machine with the chart's transitions that keeps the
// current state in the subjectState of the context.
func newStateMachine(chart *Chart) *stateless.StateMachine {
	readState := func(ctx context.Context) (stateless.State, error) {
		return ctx.Value(subjectStateKey{}).(*subjectState).state, nil
	}
	writeState := func(ctx context.Context, next stateless.State) error {
		ctx.Value(subjectStateKey{}).(*subjectState).state = next.(string)
		return nil
	}
	machine := stateless.NewStateMachineWithExternalStorage(readState, writeState, stateless.FiringImmediate)
	for name, s := range chart.states {
		configuration := machine.Configure(name)
		for trigger, target := range s.Transitions {
			if target == name {
				configuration.PermitReentry(trigger)
				continue
			}
			configuration.Permit(trigger, target)
		}
	}
	return machine
}

// Run runs the actions for a subject from the start state until an end state is reached,
// and returns that state. onEnter, if not nil, is called with each state that is
// entered, before its action runs. If an action returns a trigger without a transition,
// Run returns an error and the state it was in.
func (m *Machine[T]) Run(ctx context.Context, subject T, onEnter func(state string)) (string, error) {
	current := &subjectState{state: m.chart.start}
	ctx = context.WithValue(ctx, subjectStateKey{}, current)
	for {
		if onEnter != nil {
			onEnter(current.state)
		}
		if m.chart.IsEndState(current.state) {
			return current.state, nil
		}
		trigger := m.actions[m.chart.states[current.state].Action].Run(ctx, subject)
		if err := m.machine.FireCtx(ctx, trigger); err != nil {
			return current.state, merry.Prependf(err, "%s: leaving state %s", m.chart.name, current.state)
		}
	}
}

// Target returns the state that the trigger leads to from the given state, and false if
// there is no such transition.
func (c *Chart) Target(state, trigger string) (string, bool) {
	next, ok := c.states[state].Transitions[trigger]
	return next, ok
}

// Triggers returns the sorted triggers of the transitions from the given state.
func (c *Chart) Triggers(state string) []string {
	triggers := make([]string, 0, len(c.states[state].Transitions))
	for trigger := range c.states[state].Transitions {
		triggers = append(triggers, trigger)
	}
	slices.Sort(triggers)
	return triggers
}
