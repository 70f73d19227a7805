package parser

import (
	"fmt"
	"slices"
)

// build validates the configuration and returns the deployment. The result is
// usable only if the reader has no problems.
func (d *rawDeployment) build(r *reader) *Deployment {
	deployment := &Deployment{
		name:      d.Deployment,
		services:  make(map[string]*Service, len(d.Services)),
		pipelines: make(map[string]*Pipeline, len(d.Pipelines)),
	}
	r.checkName("deployment", d.Deployment)
	d.buildDatacentres(r, deployment)
	d.buildOperators(r, deployment)
	deployment.weightStore = d.Weights.build(r)
	for _, name := range sortedKeys(d.Services) {
		deployment.services[name] = d.Services[name].build(r, name)
	}
	for _, name := range sortedKeys(d.Pipelines) {
		deployment.pipelines[name] = d.Pipelines[name].build(r, name, deployment.services)
	}
	return deployment
}

// buildDatacentres validates the data centres and adds them to the deployment.
func (d *rawDeployment) buildDatacentres(r *reader, deployment *Deployment) {
	if len(d.Datacentres) == 0 {
		r.addProblem("datacentres", "has no data centres", "at least one")
	}
	seen := make(map[string]bool)
	for i, datacentre := range d.Datacentres {
		path := itemPath("datacentres", i)
		r.checkName(path+".name", datacentre.Name)
		r.checkName(path+".region", datacentre.Region)
		if seen[datacentre.Name] {
			r.addProblem(path+".name", fmt.Sprintf("%q occurs more than once", datacentre.Name), "once")
		}
		seen[datacentre.Name] = true
		deployment.datacentres = append(deployment.datacentres, Datacentre{name: datacentre.Name, region: datacentre.Region})
	}
}

// buildOperators validates the operators and adds them to the deployment. Names
// and tokens must be unique. If there are any operators, one must have write
// access, since otherwise nobody could change the configuration.
func (d *rawDeployment) buildOperators(r *reader, deployment *Deployment) {
	names, tokens := make(map[string]bool), make(map[string]bool)
	if len(d.Operators) > 0 && !slices.ContainsFunc(d.Operators, func(o rawOperator) bool { return o.Role == roleWrite }) {
		r.addProblem("operators", "no operator has write access", "at least one with the role write")
	}
	for i, operator := range d.Operators {
		path := itemPath("operators", i)
		r.checkName(path+".name", operator.Name)
		r.checkOneOf(path+".role", operator.Role, roleRead, roleWrite)
		if !hashPattern.MatchString(operator.Token) {
			r.addProblem(path+".token", "is not the hash of a token", allowedHash)
		}
		if names[operator.Name] {
			r.addProblem(path+".name", fmt.Sprintf("%q occurs more than once", operator.Name), "once")
		}
		if tokens[operator.Token] {
			r.addProblem(path+".token", "is also the token of another operator", "one token for each operator")
		}
		names[operator.Name], tokens[operator.Token] = true, true
		deployment.operators = append(deployment.operators, Operator{name: operator.Name, role: operator.Role, tokenHash: operator.Token})
	}
}

// build validates a service and returns it.
func (s rawService) build(r *reader, name string) *Service {
	path := fieldPath("services", name)
	r.checkName(path, name)
	r.checkOneOf(path+".role", s.Role, string(RoleEncoder), string(RoleRetriever), string(RoleReranker), string(RoleEngine), string(RolePlain))
	r.checkRange(path+".replicas", s.Replicas, 1, maxReplicas)
	service := &Service{
		name:           name,
		role:           Role(s.Role),
		replicaCount:   s.Replicas,
		isFenced:       s.Fenced,
		hasOrderStatus: s.Status,
		hasTokenCheck:  s.Checks,
		models:         s.Models,
		operations:     make(map[string]Operation, len(s.Operations)),
	}
	s.buildEngine(r, path, service)
	if len(s.Models) > 0 && service.role != RoleEngine {
		r.addProblem(path+".models", "is set for a service that is not an engine", "models only with role engine")
	}
	for i, model := range s.Models {
		if !modelPattern.MatchString(model) {
			r.addProblem(itemPath(path+".models", i), fmt.Sprintf("%q is not a valid model name", model), allowedModel)
		}
	}
	if len(s.Operations) > 0 && service.role != RolePlain {
		r.addProblem(path+".operations", "is set for a service that is not plain", "operations only with role plain")
	}
	for operation, raw := range s.Operations {
		r.checkName(path+".operations."+operation, operation)
		service.operations[operation] = Operation{name: operation, isRepeatable: raw.Repeat}
	}
	return service
}

// buildEngine validates the fields that only engines may have. An engine without
// hold can have all models of the service loaded.
func (s rawService) buildEngine(r *reader, path string, service *Service) {
	if service.role != RoleEngine {
		if s.Hold != 0 || s.Floor != 0 || s.Roles {
			r.addProblem(path, "sets hold, floor or roles but is not an engine", "these fields only with role engine")
		}
		return
	}
	service.maxLoadedModels, service.minModelReplicas, service.canChangeRole = s.Hold, s.Floor, s.Roles
	if service.maxLoadedModels == 0 {
		service.maxLoadedModels = max(len(s.Models), 1)
	}
	if service.minModelReplicas == 0 {
		service.minModelReplicas = defaultMinModelReplicas
	}
	r.checkRange(path+".hold", service.maxLoadedModels, 1, maxLoadedModels)
	r.checkRange(path+".floor", service.minModelReplicas, 1, maxMinModelReplicas)
}

// build validates the load limits of the weight store and returns them.
func (w rawWeights) build(r *reader) WeightStore {
	weightStore := WeightStore{rate: w.Rate, burst: w.Burst}
	if weightStore.rate == 0 {
		weightStore.rate = defaultModelLoads
	}
	if weightStore.burst == 0 {
		weightStore.burst = defaultModelLoads
	}
	r.checkPositive("weights.rate", weightStore.rate)
	r.checkRange("weights.burst", weightStore.burst, 1, maxWeightBurst)
	return weightStore
}

// build validates a pipeline, whose stages must name existing services, and
// returns it.
func (p rawPipeline) build(r *reader, name string, services map[string]*Service) *Pipeline {
	path := fieldPath("pipelines", name)
	r.checkName(path, name)
	if len(p.Stages) < minStages || len(p.Stages) > maxStages {
		r.addProblem(path+".stages", fmt.Sprintf("has %d stages", len(p.Stages)), fmt.Sprintf("%d to %d", minStages, maxStages))
	}
	pipeline := &Pipeline{name: name}
	seen := make(map[string]bool)
	for i, stage := range p.Stages {
		stagePath := itemPath(path+".stages", i)
		r.checkName(stagePath+".name", stage.Name)
		if seen[stage.Name] {
			r.addProblem(stagePath+".name", fmt.Sprintf("%q occurs more than once", stage.Name), "once in a pipeline")
		}
		seen[stage.Name] = true
		service := services[stage.Service]
		if service == nil {
			r.addUnknownName(stagePath+".service", "service", stage.Service, sortedKeys(services))
			continue
		}
		pipeline.stages = append(pipeline.stages, Stage{name: stage.Name, service: stage.Service, role: service.role})
	}
	return pipeline
}

// addUnknownName adds the problem that a field names a thing that does not exist.
// The kind of thing is such as "service"; existing holds the names of that kind.
func (r *reader) addUnknownName(path, kind, name string, existing []string) {
	r.addProblem(path, fmt.Sprintf("there is no %s %q", kind, name), listNames(existing), suggestName(name, existing))
}
