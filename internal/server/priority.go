package server

// Priority orders waiting work; lower values are served first.
type Priority uint8

// Priorities that a contract can give to a kind.
const (
	PriorityUrgent Priority = iota
	PriorityNormal
	PriorityPatient
)

// PriorityCount is the number of priorities.
const PriorityCount = 3

// String returns the name used in contracts.
func (p Priority) String() string {
	return [...]string{"urgent", "normal", "patient"}[p]
}
