package checker

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"strings"

	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/pkg/parser"
)

// Effects of differences between documents on requests.
const (
	effectNewTerms        = "use the new terms"
	effectContractKeyGone = "refused with 401 with this key"
)

// compareDocuments returns the differences between two sets of documents by name.
func compareDocuments(before, after map[string]*Document) []Difference {
	deploymentBefore, deploymentAfter := deploymentOf(before), deploymentOf(after)
	isDeploymentSame := bytes.Equal(textOf(before[configurer.ConfigName]), textOf(after[configurer.ConfigName]))
	differences := compareSubjects(deploymentProperties(deploymentBefore), deploymentProperties(deploymentAfter), documentEffects)
	for _, name := range slices.Sorted(maps.Keys(after)) {
		contract, former := after[name].Contract, contractOf(before[name])
		switch {
		case contract == nil:
		case former == nil:
			differences = append(differences, newDocumentDifference("workspace "+contract.Workspace(), ChangeAdded))
		case isDeploymentSame && bytes.Equal(before[name].Text, after[name].Text):
		default:
			effects := joinEffects(parser.DeploymentEffects(deploymentBefore, deploymentAfter, former), parser.ContractEffects(former, contract, deploymentAfter))
			differences = append(differences, contractDifferences(contract.Workspace(), effects)...)
		}
	}
	return append(differences, compareSubjects(keyProperties(before), keyProperties(after), contractKeyEffects)...)
}

// joinEffects returns the effects of two changes, one after the other, as those of one change.
func joinEffects(first, second []parser.Effect) []parser.Effect {
	joined := slices.Clone(first)
	for _, effect := range second {
		i := slices.IndexFunc(first, func(e parser.Effect) bool { return e.Subject == effect.Subject && e.Property == effect.Property })
		if i < 0 {
			joined = append(joined, effect)
			continue
		}
		joined[i].After = effect.After
	}
	return slices.DeleteFunc(joined, func(e parser.Effect) bool { return e.Before == e.After })
}

// contractDifferences returns the differences for the effects of a change on one workspace. Its keys are left out: they are
// compared over all workspaces.
func contractDifferences(workspace string, effects []parser.Effect) []Difference {
	var differences []Difference
	for _, effect := range effects {
		if strings.HasPrefix(effect.Property, "API key") {
			continue
		}
		subject := "workspace " + workspace
		if effect.Subject != subject {
			subject += ", " + effect.Subject
		}
		d := newDocumentDifference(subject, ChangeChanged)
		d.Property, d.Before, d.After = effect.Property, effect.Before, effect.After
		differences = append(differences, d)
	}
	return differences
}

// keyProperties returns the workspace of each API key.
func keyProperties(documents map[string]*Document) map[string][]property {
	subjects := make(map[string][]property)
	for _, name := range slices.Sorted(maps.Keys(documents)) {
		document := documents[name]
		if document.Contract == nil {
			continue
		}
		for _, key := range document.Contract.KeyHashes() {
			subjects["key "+key[:hashDigits]] = []property{{"workspace", document.Contract.Workspace()}}
		}
	}
	return subjects
}

// contractKeyEffects returns the effects of a change of an API key in contracts.
func contractKeyEffects(subject, property string, change Change) (inProgress, following string) {
	if change == ChangeRemoved {
		return effectFinish, effectContractKeyGone
	}
	return keyEffects(subject, property, change)
}

func newDocumentDifference(subject string, change Change) Difference {
	inProgress, following := documentEffects(subject, "", change)
	return Difference{Subject: subject, Change: change, InProgress: inProgress, Following: following}
}

// documentEffects returns the effects of a difference. Requests in progress use the snapshot in which they began.
func documentEffects(_, _ string, change Change) (inProgress, following string) {
	switch change {
	case ChangeAdded:
		return effectNone, effectNewTerms
	case ChangeRemoved:
		return effectFinish, effectNoLongerUsed
	default:
		return effectFinish, effectNewTerms
	}
}

func contractOf(document *Document) *parser.Contract {
	if document == nil {
		return nil
	}
	return document.Contract
}

func textOf(document *Document) []byte {
	if document == nil {
		return nil
	}
	return document.Text
}

func deploymentOf(documents map[string]*Document) *parser.Deployment {
	if document := documents[configurer.ConfigName]; document != nil {
		return document.Deployment
	}
	return nil
}

// deploymentProperties returns the properties of a configuration by subject. Tokens of operators are left out.
func deploymentProperties(d *parser.Deployment) map[string][]property {
	subjects := make(map[string][]property)
	if d == nil {
		return subjects
	}
	for _, datacentre := range d.Datacentres() {
		subjects["data centre "+datacentre.Name()] = []property{{"region", datacentre.Region()}}
	}
	for _, operator := range d.Operators() {
		subjects["operator "+operator.Name()] = []property{{"role", operator.Role()}, {"token", operator.TokenHash()[:hashDigits]}}
	}
	for _, name := range d.ServiceNames() {
		s := d.Service(name)
		var operations []string
		for _, operation := range s.OperationNames() {
			o, _ := s.Operation(operation)
			operations = append(operations, operation+" (repeatable: "+strconv.FormatBool(o.IsRepeatable())+")")
		}
		subjects["service "+name] = []property{
			{"role", string(s.Role())},
			{"replicas", strconv.Itoa(s.ReplicaCount())},
			{"fenced", strconv.FormatBool(s.IsFenced())},
			{"order status", strconv.FormatBool(s.HasOrderStatus())},
			{"token check", strconv.FormatBool(s.HasTokenCheck())},
			{"models", formatNames(s.Models())},
			{"models held", strconv.Itoa(s.MaxLoadedModels())},
			{"replicas with a model", strconv.Itoa(s.MinModelReplicas())},
			{"changes role", strconv.FormatBool(s.CanChangeRole())},
			{"operations", formatNames(operations)},
		}
	}
	for _, name := range d.PipelineNames() {
		var stages []string
		for _, stage := range d.Pipeline(name).Stages() {
			stages = append(stages, stage.Name()+" at "+stage.Service())
		}
		subjects["pipeline "+name] = []property{{"stages", formatNames(stages)}}
	}
	store := d.WeightStore()
	subjects["weight store"] = []property{{"models a second", strconv.FormatFloat(store.Rate(), 'g', -1, 64)}, {"models at a time", strconv.Itoa(store.Burst())}}
	return subjects
}
