package planner

import (
	"time"
)

// Action is what an instruction makes an engine do.
type Action string

// The actions of an instruction.
const (
	// ActionLoad loads a model, adapter or version.
	ActionLoad Action = "load"
	// ActionUnload unloads a model that is drained.
	ActionUnload Action = "unload"
	// ActionCopyBlocks copies cached prompt blocks from another engine.
	ActionCopyBlocks Action = "move"
	// ActionRole changes the role of an engine.
	ActionRole Action = "role"
)

// Instruction is one change that one engine is to make. Instructions are declarative:
// an engine that is already in the requested state does nothing.
type Instruction struct {
	// Replica is the engine's ID.
	Replica string
	// Action is the kind of change.
	Action Action
	// Model is the model to load, unload or copy blocks of; empty for a role.
	Model string
	// Role is prefill, decode or both; empty for other actions.
	Role string
	// From is the engine that cached blocks are copied from; only for ActionCopyBlocks.
	From string
}

// Replica is an engine as described by its last report.
type Replica struct {
	// ID is the engine's ID and Datacentre where it runs.
	ID         string
	Datacentre string
	// Version is that of the engine's software.
	Version string
	// Models are the loaded models.
	Models []string
	// Role is the reported role; empty means both.
	Role string
	// Slots is the number of requests that the engine runs at a time.
	Slots int
	// RequestsByModel is the number of requests in progress and waiting, by model.
	RequestsByModel map[string]int
	// ReportedAt is the time of the report.
	ReportedAt time.Time
	// IsLeaving means that the engine accepts no new requests.
	IsLeaving bool
}

// Retirement is a model for which a replica gets no new requests. All instances apply
// the list of retirements; the model is unloaded once its requests have ended.
type Retirement struct {
	Replica string    `json:"replica"`
	Model   string    `json:"model"`
	Since   time.Time `json:"since"`
	// NextVersion is the version that replaces the model at the replica; the entry stays
	// until it is loaded.
	NextVersion string `json:"next,omitempty"`
}

// Input is everything that a plan depends on.
type Input struct {
	// Models are the wanted models, the most important first. A name may end in
	// "@" and a version; two versions of one name serve the same requests.
	Models []string
	// MaxModels is the number of models that an engine can have loaded.
	MaxModels int
	// MinReplicasPerDatacentre is the minimum number of replicas of each model in each data
	// centre.
	MinReplicasPerDatacentre int
	// Replicas are the engines of the service, in any order.
	Replicas []Replica
	// Demand is the smoothed number of requests in progress and waiting, by model.
	Demand map[string]float64
	// PromptShare is the smoothed fraction of prompt work in all work, from 0 to 1. It
	// is used if CanChangeRoles is set.
	PromptShare float64
	// CanChangeRoles means that the roles of engines can be changed.
	CanChangeRoles bool
	// EnginesCheckFence means that engines refuse old fencing numbers. If they do not, a
	// paused holder's unload instruction may arrive late, so retirements are never
	// cancelled.
	EnginesCheckFence bool
	// Retirements is the active retirement list.
	Retirements []Retirement
	// LoadingModels are the models being loaded that have not appeared in a report, by
	// replica.
	LoadingModels map[string][]string
	// NewModels are the models that appeared in a report since the last plan, by
	// replica.
	NewModels map[string][]string
	// ChangedAt is when the number of replicas of each model last changed.
	ChangedAt map[string]time.Time
	// DrainTime is the minimum time for which a retired model stays loaded: the time
	// until every instance has read the list.
	DrainTime time.Duration
	// Now is the time of the plan.
	Now time.Time
}

// Output is the result of a plan.
type Output struct {
	// Instructions are to be sent now; sending one twice does no harm.
	Instructions []Instruction
	// Retirements is the retirement list to activate before any model is unloaded.
	Retirements []Retirement
	// ChangedModels are the models whose number of replicas changes.
	ChangedModels []string
	// TargetReplicas is the target number of replicas, by model.
	TargetReplicas map[string]int
}
