package checker

import (
	"cmp"
	"fmt"
	"slices"
)

// Change is a kind of difference.
type Change string

// The kinds of differences.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeChanged Change = "changed"
)

// noValue is the formatted value of a property that is absent or unlimited.
const noValue = "none"

// Difference is one difference between two configurations, with its effects.
type Difference struct {
	// Subject names what differs, such as "route a.example/x/".
	Subject string `json:"of"`
	Change  Change `json:"change"`
	// Property, Before and After are set if a property of the subject has changed.
	Property string `json:"property,omitempty"`
	Before   string `json:"before,omitempty"`
	After    string `json:"after,omitempty"`
	// InProgress and Following describe the effects on requests that are in progress when the change takes effect,
	// and on those that arrive later.
	InProgress string `json:"requests_in_progress"`
	Following  string `json:"following_requests"`
}

// String returns the difference on one line.
func (d Difference) String() string {
	text := d.Subject + ": " + string(d.Change)
	if d.Property != "" {
		text = fmt.Sprintf("%s: %s: %s -> %s", d.Subject, d.Property, d.Before, d.After)
	}
	return fmt.Sprintf("%s; in progress: %s; following: %s", text, d.InProgress, d.Following)
}

// property is one property of a subject with its formatted value.
type property struct{ name, value string }

// effectsFunc returns the effects of a difference.
type effectsFunc func(subject, property string, change Change) (inProgress, following string)

// compareSubjects returns the differences between two sets of subjects, sorted by subject.
func compareSubjects(before, after map[string][]property, effects effectsFunc) []Difference {
	var differences []Difference
	add := func(d Difference) {
		d.InProgress, d.Following = effects(d.Subject, d.Property, d.Change)
		differences = append(differences, d)
	}
	for _, subject := range sortedSubjects(before, after) {
		was, existed := before[subject]
		is, exists := after[subject]
		switch {
		case !existed:
			add(Difference{Subject: subject, Change: ChangeAdded})
		case !exists:
			add(Difference{Subject: subject, Change: ChangeRemoved})
		default:
			for _, name := range propertyNames(was, is) {
				if from, to := valueOf(was, name), valueOf(is, name); from != to {
					add(Difference{Subject: subject, Change: ChangeChanged, Property: name, Before: from, After: to})
				}
			}
		}
	}
	return differences
}

// propertyNames returns the names of the properties in either list, each once.
func propertyNames(before, after []property) []string {
	var names []string
	for _, p := range slices.Concat(before, after) {
		if !slices.Contains(names, p.name) {
			names = append(names, p.name)
		}
	}
	return names
}

// valueOf returns the value of a property, or noValue.
func valueOf(properties []property, name string) string {
	i := slices.IndexFunc(properties, func(p property) bool { return p.name == name })
	if i < 0 {
		return noValue
	}
	return cmp.Or(properties[i].value, noValue)
}
