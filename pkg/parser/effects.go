package parser

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Effect is a property of a contract, or of its stages in a deployment, whose
// value a change alters.
type Effect struct {
	// Subject names the workspace, kind or stage, such as "kind upset" or "kind upset,
	// stage rerank".
	Subject string `json:"of"`
	// Property names the property, such as "rate limit" or "deadline share".
	Property string `json:"what"`
	// Before and After are the formatted values; "none" means no value or no limit.
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns the effect on one line.
func (e Effect) String() string {
	return fmt.Sprintf("%s: %s: %s -> %s", e.Subject, e.Property, e.Before, e.After)
}

// noValue is the formatted value of a property that is absent or unlimited.
const noValue = "none"

// property is one property with its formatted value.
type property struct {
	subject string
	name    string
	value   string
}

// ContractEffects returns what a change of a contract alters: limits, priorities, weights,
// API keys, and the share of the deadline of each stage. Before is nil for a new
// contract, after for a deleted one. Without a deployment, which may be nil, the
// effects on stages are left out.
func ContractEffects(before, after *Contract, deployment *Deployment) []Effect {
	return diffProperties(contractProperties(before, deployment), contractProperties(after, deployment))
}

// DeploymentEffects returns what a change of the configuration alters for one
// contract. Either deployment may be nil.
func DeploymentEffects(before, after *Deployment, contract *Contract) []Effect {
	return diffProperties(contractProperties(contract, before), contractProperties(contract, after))
}

// diffProperties returns an effect for each property whose value differs: first
// those of before, then those that only after has.
func diffProperties(before, after []property) []Effect {
	var effects []Effect
	for _, p := range before {
		value := noValue
		if i := indexOfProperty(after, p); i >= 0 {
			value = after[i].value
		}
		if value != p.value {
			effects = append(effects, Effect{Subject: p.subject, Property: p.name, Before: p.value, After: value})
		}
	}
	for _, p := range after {
		if indexOfProperty(before, p) < 0 && p.value != noValue {
			effects = append(effects, Effect{Subject: p.subject, Property: p.name, Before: noValue, After: p.value})
		}
	}
	return effects
}

// indexOfProperty returns the index of the property with the subject and name of
// target, or -1.
func indexOfProperty(properties []property, target property) int {
	return slices.IndexFunc(properties, func(p property) bool { return p.subject == target.subject && p.name == target.name })
}

// contractProperties returns the properties of a contract and of its kinds, none if
// it is nil. An API key is named by the first 8 digits of its hash.
func contractProperties(contract *Contract, deployment *Deployment) []property {
	if contract == nil {
		return nil
	}
	subject := "workspace " + contract.Workspace()
	properties := []property{
		{subject, "rate limit", formatLimit(contract.RateLimit(), "/s")},
		{subject, "concurrency limit", formatLimit(float64(contract.ConcurrencyLimit()), "")},
		{subject, "share when capacity is short", formatNumber(contract.Share())},
		{subject, "orders kept", contract.OrderRetention().String()},
		{subject, "API keys", strconv.Itoa(len(contract.KeyHashes()))},
	}
	for _, key := range contract.KeyHashes() {
		properties = append(properties, property{subject, "API key " + key[:8], "accepted"})
	}
	for _, name := range contract.KindNames() {
		properties = append(properties, kindProperties(contract, contract.Kind(name), deployment)...)
	}
	return properties
}

// kindProperties returns the properties of a kind; its limits are the effective
// ones, the lower of those of the kind and the contract.
func kindProperties(contract *Contract, kind *Kind, deployment *Deployment) []property {
	subject := "kind " + kind.Name()
	target := "pipeline " + kind.Pipeline()
	if kind.Pipeline() == "" {
		target = "service " + kind.Service() + ", operation " + kind.Operation()
	}
	properties := []property{
		{subject, "served by", target},
		{subject, "deadline", kind.Deadline().String()},
		{subject, "priority", kind.Priority()},
		{subject, "weight", formatNumber(kind.Weight())},
		{subject, "rate limit", formatLimit(lowerLimit(contract.RateLimit(), kind.RateLimit()), "/s")},
		{subject, "concurrency limit", formatLimit(lowerLimit(float64(contract.ConcurrencyLimit()), float64(kind.ConcurrencyLimit())), "")},
		{subject, "side effects", strconv.FormatBool(kind.HasSideEffects())},
		{subject, "tokens", formatLimit(float64(kind.MaxTokens()), "")},
		{subject, "model", formatName(kind.Model())},
	}
	for _, stage := range sortedKeys(kind.dailyBudget) {
		properties = append(properties, property{subject + ", stage " + stage, "budget a day", formatNumber(kind.dailyBudget[stage]) + " s"})
	}
	return append(properties, stageProperties(subject, kind, deployment)...)
}

// stageProperties returns the service and the share of the deadline of each stage.
// The shares are those that apply until stage durations have been measured: the
// remaining time is divided evenly among the remaining stages.
func stageProperties(subject string, kind *Kind, deployment *Deployment) []property {
	if deployment == nil {
		return nil
	}
	pipeline := deployment.Pipeline(kind.Pipeline())
	if pipeline == nil {
		return nil
	}
	var properties []property
	share := kind.Deadline() / time.Duration(max(len(pipeline.Stages()), 1))
	for _, stage := range pipeline.Stages() {
		stageSubject := subject + ", stage " + stage.Name()
		properties = append(properties,
			property{stageSubject, "deadline share", share.Round(time.Millisecond).String()},
			property{stageSubject, "run by", "service " + stage.Service()})
	}
	return properties
}

// lowerLimit returns the lower of two limits; zero means no limit.
func lowerLimit(a, b float64) float64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// formatLimit returns a limit with its unit, or noValue for zero.
func formatLimit(value float64, unit string) string {
	if value == 0 {
		return noValue
	}
	return formatNumber(value) + unit
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

// formatName returns a name, or noValue for "".
func formatName(name string) string {
	if name == "" {
		return noValue
	}
	return name
}
