package parser

import (
	"fmt"
	"slices"
	"strings"
)

// maxListedNames limits how many names a message lists.
const maxListedNames = 12

// CrossCheck validates a contract against the deployment that is to serve it. The
// pipelines, stages, services, operations and models that the contract names must
// exist, and a kind whose operation may not be repeated must declare side effects. A
// non-nil error is of type Problems; it has positions if the contract was parsed
// from YAML.
func CrossCheck(contract *Contract, deployment *Deployment) error {
	r := &reader{file: contract.file, positions: contract.positions}
	for _, name := range contract.KindNames() {
		path := fieldPath("kinds", name)
		kind := contract.Kind(name)
		if kind.Pipeline() != "" {
			r.crossCheckPipeline(path, kind, deployment)
			continue
		}
		r.crossCheckService(path, kind, deployment)
	}
	return r.err()
}

// crossCheckPipeline checks a kind that a pipeline serves.
func (r *reader) crossCheckPipeline(path string, kind *Kind, deployment *Deployment) {
	pipeline := deployment.Pipeline(kind.Pipeline())
	if pipeline == nil {
		r.addUnknownName(path+".pipeline", "pipeline", kind.Pipeline(), deployment.PipelineNames())
		return
	}
	var stages, models []string
	for _, stage := range pipeline.Stages() {
		stages = append(stages, stage.Name())
		if service := deployment.Service(stage.Service()); service != nil {
			models = append(models, service.Models()...)
		}
	}
	for _, stage := range sortedKeys(kind.dailyBudget) {
		if !slices.Contains(stages, stage) {
			r.addUnknownName(path+".budget."+stage, "stage", stage, stages)
		}
	}
	if kind.Model() != "" && !hasModel(models, kind.Model()) {
		r.addUnknownName(path+".model", "model", kind.Model(), models)
	}
}

// hasModel reports whether the list contains a model. A name without a version
// matches every version of the model.
func hasModel(models []string, model string) bool {
	return slices.ContainsFunc(models, func(candidate string) bool {
		base, _, _ := strings.Cut(candidate, "@")
		return candidate == model || base == model
	})
}

// crossCheckService checks a kind that an operation of a plain service serves.
func (r *reader) crossCheckService(path string, kind *Kind, deployment *Deployment) {
	service := deployment.Service(kind.Service())
	if service == nil {
		r.addUnknownName(path+".service", "service", kind.Service(), deployment.ServiceNames())
		return
	}
	if service.Role() != RolePlain {
		r.addProblem(path+".service", fmt.Sprintf("%q has the role %s", kind.Service(), service.Role()), "a service with the role plain")
		return
	}
	operation, ok := service.Operation(kind.Operation())
	if !ok {
		r.addUnknownName(path+".operation", "operation", kind.Operation(), service.OperationNames())
		return
	}
	if !operation.IsRepeatable() && !kind.HasSideEffects() {
		r.addProblem(path+".operation", fmt.Sprintf("%q may not be repeated, so the kind has side effects", kind.Operation()), "effects: true")
	}
}

// DuplicateKeyError returns the error for a contract with an API key that belongs to
// another workspace, the owner. It is of type Problems.
func DuplicateKeyError(contract *Contract, key, owner string) error {
	r := &reader{file: contract.file, positions: contract.positions}
	r.addProblem(itemPath("keys", indexOf(contract.keyHashes, key)), fmt.Sprintf("key belongs to the workspace %q", owner), "a key of one workspace only")
	return r.err()
}

// listNames returns the names for a message, at most maxListedNames of them.
func listNames(names []string) string {
	if len(names) == 0 {
		return "none are configured"
	}
	if len(names) > maxListedNames {
		return strings.Join(names[:maxListedNames], ", ") + fmt.Sprintf(" and %d more", len(names)-maxListedNames)
	}
	return strings.Join(names, ", ")
}
