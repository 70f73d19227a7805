// Package charter reads state charts from embedded YAML files and runs them as state
// machines.
//
// A chart defines states. Each state has the name of an action, which runs when the
// state is entered and returns a trigger, and transitions, which map each trigger to the
// next state. The code that runs a chart provides the actions by name. Parse rejects a
// chart with an unreachable state or a transition to an unknown state; NewMachine
// rejects a chart whose actions and triggers differ from those of the code.
package charter

import (
	"bytes"
	"embed"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
)

//go:embed charts/*.yaml
var chartFiles embed.FS

// Chart is a state chart. It is immutable and safe for concurrent use.
type Chart struct {
	name   string
	start  string
	states map[string]state
}

// state is a state as defined in the file.
type state struct {
	// Action is the name of the action that runs when the state is entered; it is
	// ignored in an end state.
	Action string `yaml:"do"`
	// Transitions maps each trigger to the next state.
	Transitions map[string]string `yaml:"on"`
	IsEnd       bool              `yaml:"end"`
}

// chartFile is the content of a chart's file.
type chartFile struct {
	Chart  string           `yaml:"chart"`
	Start  string           `yaml:"start"`
	States map[string]state `yaml:"states"`
}

// Load reads the embedded chart with the given name.
func Load(name string) (*Chart, error) {
	data, err := chartFiles.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		return nil, merry.Prepend(err, "read chart")
	}
	return Parse(name+".yaml", data)
}

// Names returns the sorted names of all embedded charts.
func Names() []string {
	entries, err := chartFiles.ReadDir("charts")
	if err != nil {
		panic(err) // cannot happen: the folder is embedded
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".yaml"))
	}
	return names
}

// Parse reads a chart from YAML and checks that each transition leads to a state of the
// chart and that each state can be reached. file names the source in errors.
func Parse(file string, data []byte) (*Chart, error) {
	var raw chartFile
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&raw); err != nil {
		return nil, merry.Prepend(err, file)
	}
	chart := &Chart{name: raw.Chart, start: raw.Start, states: raw.States}
	if err := chart.validate(); err != nil {
		return nil, merry.Prepend(err, file)
	}
	return chart, nil
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// StartState returns the state in which each subject begins.
func (c *Chart) StartState() string { return c.start }

// States returns the sorted names of all states.
func (c *Chart) States() []string {
	names := make([]string, 0, len(c.states))
	for name := range c.states {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// IsEndState reports whether the named state is an end state.
func (c *Chart) IsEndState(name string) bool { return c.states[name].IsEnd }

// validate checks the chart by itself; NewMachine compares it with the code's actions.
func (c *Chart) validate() error {
	if _, ok := c.states[c.start]; !ok {
		return merry.Errorf("start: unknown state %q", c.start)
	}
	for _, name := range c.States() {
		if err := c.validateState(name); err != nil {
			return err
		}
	}
	reached := c.reachableStates()
	for _, name := range c.States() {
		if !reached[name] {
			return merry.Errorf("states.%s: cannot be reached from %q", name, c.start)
		}
	}
	return nil
}

func (c *Chart) validateState(name string) error {
	s := c.states[name]
	if s.IsEnd != (len(s.Transitions) == 0) {
		return merry.Errorf("states.%s: must have either transitions or end: true", name)
	}
	for trigger, target := range s.Transitions {
		if _, ok := c.states[target]; !ok {
			return merry.Errorf("states.%s.on.%s: unknown state %q", name, trigger, target)
		}
	}
	return nil
}

// reachableStates returns the states that can be reached from the start.
func (c *Chart) reachableStates() map[string]bool {
	reached := map[string]bool{c.start: true}
	queue := []string{c.start}
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		for _, target := range c.states[current].Transitions {
			if !reached[target] {
				reached[target] = true
				queue = append(queue, target)
			}
		}
	}
	return reached
}

// MermaidDiagram returns the chart as a Mermaid state diagram.
func (c *Chart) MermaidDiagram() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.start)
	for _, name := range c.States() {
		s := c.states[name]
		triggers := make([]string, 0, len(s.Transitions))
		for trigger := range s.Transitions {
			triggers = append(triggers, trigger)
		}
		slices.Sort(triggers)
		for _, trigger := range triggers {
			fmt.Fprintf(&b, "    %s --> %s: %s\n", name, s.Transitions[trigger], trigger)
		}
		if s.IsEnd {
			fmt.Fprintf(&b, "    %s --> [*]\n", name)
		}
	}
	return b.String()
}
