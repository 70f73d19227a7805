package checker

import "oriolemill.example/oriolemill/internal/server"

// Plan is a plan as an instance decodes it, with the places of its entries in the text.
type Plan struct {
	// Plan is nil if instances refuse the text.
	Plan *server.Plan
	// Errors holds what instances refuse or ignore before the plan is put in force.
	Errors []Issue
	// Layout is nil if the syntax of the text is invalid.
	Layout *Layout
	// Locate returns the path of an entry or field.
	Locate func(Place) string
}

// Issue is what instances refuse or ignore in a plan.
type Issue struct {
	Name    Name
	Path    string
	Message string
	// Line and Column are set if the syntax is invalid.
	Line, Column int
}

// Entry is a kind of entry of a plan.
type Entry uint8

// The kinds of entries.
const (
	EntryPlan Entry = iota
	EntryRoute
	EntryService
	EntryWorkspace
)

// Field is a field of an entry.
type Field uint8

// The fields that findings refer to. FieldNone is the whole entry.
const (
	FieldNone Field = iota
	FieldVersion
	FieldHeaderBytes
	FieldBodyBytes
	FieldHeaderTimeout
	FieldIdleTimeout
	FieldTimeout
	FieldGoal
	FieldAttempts
	FieldPriority
	FieldStages
	FieldDependencies
	FieldResultBytes
	FieldRegion
	FieldKey
)

// Place refers to a field of a plan.
type Place struct {
	Entry Entry
	// Index is the index of a route or workspace in the decoded plan, Service the name of a service.
	Index   int
	Service string
	Field   Field
	// Item is the index of the item if the field is a list.
	Item int
}
