// Package checker checks a configuration before it is sent: a plan of a relaying deployment, or contracts and the
// configuration document. It reports what instances would refuse or ignore, entries that never match, limits that
// contradict each other, and the differences from another configuration.
//
// It works on decoded plans and documents. What an instance refuses is found by the code that instances run.
package checker

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

// Severity states what a finding means for an instance.
type Severity string

// The severities of findings.
const (
	// SeverityError marks what an instance refuses or ignores.
	SeverityError Severity = "error"
	// SeverityWarning marks entries that never match and limits that contradict each other.
	SeverityWarning Severity = "warning"
)

// Name is the stable name of a kind of finding.
type Name string

// The findings of plans.
const (
	PlanRefused           Name = "plan-refused"
	PlanNotNewer          Name = "plan-not-newer"
	FieldUnknown          Name = "field-unknown"
	FieldRepeated         Name = "field-repeated"
	ValueIgnored          Name = "value-ignored"
	RouteIgnored          Name = "route-ignored"
	ServiceIgnored        Name = "service-ignored"
	WorkspaceIgnored      Name = "workspace-ignored"
	KeyIgnored            Name = "key-ignored"
	StageIgnored          Name = "stage-ignored"
	RouteHidden           Name = "route-hidden"
	RouteWithoutService   Name = "route-without-service"
	RouteWithoutWorkspace Name = "route-without-workspace"
	RegionUnknown         Name = "region-unknown"
	GoalExceedsTimeout    Name = "goal-exceeds-timeout"
	TimeoutBelowStages    Name = "timeout-below-stages"
	AttemptsExceedBudget  Name = "attempts-exceed-budget"
	StagesCyclic          Name = "stages-cyclic"
	ResultExceedsMemory   Name = "result-exceeds-memory"
)

// The findings of documents. KeyShared and ServiceUnused are also findings of plans.
const (
	DocumentRefused  Name = "document-refused"
	DocumentRepeated Name = "document-repeated"
	ContractRefused  Name = "contract-refused"
	ApplyOrder       Name = "apply-order"
	OperatorsRemoved Name = "operators-removed"
	KeyShared        Name = "key-shared"
	ServiceUnused    Name = "service-unused"
)

// Finding is one result of a check.
type Finding struct {
	File string `json:"file"`
	// Line and Column count from 1; zero means that they are unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the path of the field, such as "Routes[3].GoalMs"; "" for the whole file.
	Path     string   `json:"path,omitempty"`
	Severity Severity `json:"severity"`
	Name     Name     `json:"finding"`
	Message  string   `json:"message"`
	// offset orders findings on one line.
	offset int64
}

// String returns the finding on one line that begins with its place.
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place += fmt.Sprintf(":%d", f.Line)
	}
	if f.Column > 0 {
		place += fmt.Sprintf(":%d", f.Column)
	}
	if f.Path != "" {
		place += ": " + f.Path
	}
	return fmt.Sprintf("%s: %s: %s (%s)", place, f.Severity, f.Message, f.Name)
}

// Report is the result of a check.
type Report struct {
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences"`
	// Omitted describes the checks that need what was not given.
	Omitted []string `json:"omitted"`
}

// finish sorts the findings by place, and replaces absent lists by empty ones for the JSON form.
func (r *Report) finish() *Report {
	r.Findings = append([]Finding{}, r.Findings...)
	r.Differences = append([]Difference{}, r.Differences...)
	r.Omitted = append([]string{}, r.Omitted...)
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.offset, b.offset), cmp.Compare(a.Column, b.Column))
	})
	return r
}

// Checker checks configurations. It is immutable and safe for concurrent use.
type Checker struct {
	settings *Settings
}

// Settings are the settings of an instance that the checks of plans need.
type Settings struct {
	// Regions maps data centres to regions.
	Regions map[string]string
	// RetryRatio, RetrySlack and RetryWindow are the retry budget; see package budgeter.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}

// Option sets a property of a Checker.
type Option func(*Checker)

// WithSettings sets the settings of the instances that are to serve a plan. Without them, allowed regions and numbers of
// attempts are not checked.
func WithSettings(settings Settings) Option { return func(c *Checker) { c.settings = &settings } }

// New returns a Checker.
func New(options ...Option) *Checker {
	c := &Checker{}
	for _, option := range options {
		option(c)
	}
	return c
}

// hashDigits is the number of digits of a key's hash that are printed.
const hashDigits = 8

// ShortHash returns the first digits of the hexadecimal SHA-256 hash of an API key.
func ShortHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])[:hashDigits]
}
