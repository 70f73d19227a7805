package parser

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Values and defaults of document fields.
const (
	priorityUrgent  = "urgent"
	priorityNormal  = "normal"
	priorityPatient = "patient"
	roleRead        = "read"
	roleWrite       = "write"
	// defaultShare is the share of a workspace whose contract sets none.
	defaultShare = 1
	// defaultWeight is the weight of a kind that sets none.
	defaultWeight = 1
	// defaultMinModelReplicas is the minimum number of replicas with a model loaded,
	// per data centre, of an engine service that sets none.
	defaultMinModelReplicas = 1
	// defaultModelLoads is both the rate (models per second) and the burst of a
	// weight store that sets none.
	defaultModelLoads = 1
	// defaultOrderRetention is how long order records are retained if the contract sets
	// no time.
	defaultOrderRetention = "72h"
)

// Limits of document fields. maxWeightBurst and maxMinModelReplicas bound the
// fields weights.burst and floor.
const (
	maxNameLength       = 63
	maxDeadline         = 24 * time.Hour
	maxOrderRetention   = 10 * 366 * 24 * time.Hour
	maxTokens           = 1 << 20
	maxReplicas         = 100_000
	minStages           = 3
	maxStages           = 6
	maxLoadedModels     = 64
	maxMinModelReplicas = 1000
	maxWeightBurst      = 10_000
	keyDigits           = 64
)

// Allowed values as messages describe them.
const (
	allowedDuration = "a duration with its unit, such as 250ms, 4s or 72h"
	allowedName     = "lower-case letters, digits and inner hyphens, at most 63"
	allowedModel    = "letters, digits and . _ : / + -, at most 128, optionally followed by @ and a version"
	allowedHash     = "64 lower-case hexadecimal digits, the SHA-256 hash"
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/+-]{0,127}(@[A-Za-z0-9._-]{1,32})?$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checkName checks the value of a field that holds a name.
func (r *reader) checkName(path, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		r.addProblem(path, fmt.Sprintf("%q is not a valid name", name), allowedName)
	}
}

// checkOneOf checks that a value is one of the allowed ones.
func (r *reader) checkOneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		r.addProblem(path, fmt.Sprintf("unknown value %q", value), strings.Join(allowed, ", "), suggestName(value, allowed))
	}
}

// parseDuration parses a duration with its unit, which must be above zero and at
// most limit.
func (r *reader) parseDuration(path, text string, limit time.Duration) time.Duration {
	value, err := time.ParseDuration(text)
	switch {
	case err != nil:
		r.addProblem(path, fmt.Sprintf("%q is not a duration", text), allowedDuration, suggestDuration(text))
	case value <= 0:
		r.addProblem(path, text+" is not above zero", allowedDuration)
	case value > limit:
		r.addProblem(path, text+" is too long", "at most "+limit.String())
	}
	return value
}

// unitSpellings maps other spellings of units, which operators use, to the units
// of durations. A spelling must come before each of its own suffixes.
var unitSpellings = []struct{ spelling, unit string }{
	{"milliseconds", "ms"},
	{"millis", "ms"},
	{"msec", "ms"},
	{"seconds", "s"},
	{"second", "s"},
	{"secs", "s"},
	{"sec", "s"},
	{"minutes", "m"},
	{"minute", "m"},
	{"mins", "m"},
	{"min", "m"},
	{"hours", "h"},
	{"hour", "h"},
	{"hrs", "h"},
}

// suggestDuration returns the valid duration that was probably meant, or "". It
// corrects the spelling of the unit, converts days to hours and reads a bare number
// as seconds.
func suggestDuration(text string) string {
	text = strings.ReplaceAll(strings.ToLower(text), " ", "")
	for _, u := range unitSpellings {
		if amount, ok := strings.CutSuffix(text, u.spelling); ok {
			text = amount + u.unit
			break
		}
	}
	if amount, ok := strings.CutSuffix(text, "d"); ok {
		if days, err := time.ParseDuration(amount + "h"); err == nil {
			text = fmt.Sprintf("%gh", days.Hours()*24)
		}
	}
	if _, err := time.ParseDuration(text); err != nil {
		if _, err := time.ParseDuration(text + "s"); err != nil {
			return ""
		}
		text += "s"
	}
	return text
}

// checkNotNegative checks that a limit is zero, which means no limit, or more.
func (r *reader) checkNotNegative(path string, value float64) {
	if value < 0 {
		r.addProblem(path, fmt.Sprintf("%g is below zero", value), "zero, which means no limit, or more")
	}
}

// checkPositive checks that a number is above zero.
func (r *reader) checkPositive(path string, value float64) {
	if value <= 0 {
		r.addProblem(path, fmt.Sprintf("%g is not above zero", value), "above zero")
	}
}

// checkRange checks that a whole number is between two limits, both included.
func (r *reader) checkRange(path string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		r.addProblem(path, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("%d to %d", minimum, maximum))
	}
}

// err sorts the problems by position and returns them, or nil if there are none.
func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		if a.Column != b.Column {
			return a.Column - b.Column
		}
		return strings.Compare(a.Field, b.Field)
	})
	return r.problems
}
