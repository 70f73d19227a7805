package charter_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/charter"
)

const chartText = `
chart: door
start: closed
states:
  closed: {do: push, on: {moved: open, stuck: broken}}
  open: {do: wait, on: {done: passed}}
  passed: {end: true}
  broken: {end: true}
`

// visitor is the subject of the test machine.
type visitor struct{ strong bool }

// actions returns the actions that chart names.
func actions() map[string]charter.Action[*visitor] {
	return map[string]charter.Action[*visitor]{
		"push": {Triggers: []string{"moved", "stuck"}, Run: func(_ context.Context, v *visitor) string {
			if v.strong {
				return "moved"
			}
			return "stuck"
		}},
		"wait": {Triggers: []string{"done"}, Run: func(context.Context, *visitor) string { return "done" }},
	}
}

func TestEmbeddedChartsAreValid(t *testing.T) {
	for _, name := range charter.Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			embeddedChart, err := charter.Load(name)
			is.NoErr(err)
			is.Equal(embeddedChart.Name(), name)
		})
	}
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	tests := map[string]struct{ old, replacement, want string }{
		"unreachable state":          {"broken: {end: true}", "broken: {end: true}\n  attic: {end: true}", "attic: cannot be reached"},
		"unknown start":              {"start: closed", "start: shut", `start: unknown state "shut"`},
		"unknown target":             {"done: passed", "done: garden", `unknown state "garden"`},
		"end state with transitions": {"open: {do: wait, ", "open: {end: true, do: wait, ", "either transitions or end"},
		"unknown field":              {"chart: door", "chart: door\ncolour: red", "colour"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := charter.Parse("door.yaml", []byte(strings.Replace(chartText, test.old, test.replacement, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}

func TestNewMachineRejectsMismatchedActions(t *testing.T) {
	tests := map[string]struct {
		old, replacement, want string
		hasUnusedAction        bool
	}{
		"unknown action":     {"do: wait", "do: sleep", `unknown action "sleep"`, false},
		"missing transition": {"moved: open, stuck: broken", "moved: open, jammed: broken", `no transition for "stuck"`, false},
		"unused transition":  {"done: passed", "done: passed, tired: broken", `"wait" never returns this trigger`, false},
		"unused action":      {"chart: door", "chart: door", `action "paint" is not used`, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			parsedChart, err := charter.Parse("door.yaml", []byte(strings.Replace(chartText, test.old, test.replacement, 1)))
			is.NoErr(err)
			registered := actions()
			if test.hasUnusedAction {
				registered["paint"] = registered["wait"]
			}
			_, err = charter.NewMachine(parsedChart, registered)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}

// TestMachineRunsSubjectsConcurrently guards against states shared between the subjects
// of one machine: each of many concurrent subjects must reach its own end state.
func TestMachineRunsSubjectsConcurrently(t *testing.T) {
	is := is.New(t)
	parsedChart, err := charter.Parse("door.yaml", []byte(chartText))
	is.NoErr(err)
	machine, err := charter.NewMachine(parsedChart, actions())
	is.NoErr(err)
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			state, err := machine.Run(t.Context(), &visitor{strong: i%2 == 0}, nil)
			if err != nil || (state == "passed") != (i%2 == 0) {
				t.Errorf("visitor %d: %s, %v", i, state, err)
			}
		})
	}
	group.Wait()
}

func BenchmarkRun(b *testing.B) {
	parsedChart, err := charter.Parse("door.yaml", []byte(chartText))
	if err != nil {
		b.Fatal(err)
	}
	machine, err := charter.NewMachine(parsedChart, actions())
	if err != nil {
		b.Fatal(err)
	}
	subject := &visitor{strong: true}
	for b.Loop() {
		if _, err := machine.Run(context.Background(), subject, nil); err != nil {
			b.Fatal(err)
		}
	}
}
