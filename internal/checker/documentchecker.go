package checker

import (
	"fmt"
	"maps"
	"slices"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/pkg/parser"
)

// CheckDocuments checks documents as if they were applied to a deployment with the current ones. Without current
// documents, of which there may be none, contracts are checked against the given configuration only.
func (c *Checker) CheckDocuments(documents, current []*Document) *Report {
	d := &documentChecker{report: &Report{}, current: byName(current), changed: make(map[string]*Document)}
	for _, document := range documents {
		d.addProblems(DocumentRefused, document.Problems)
		name := document.Name()
		if name == "" {
			continue
		}
		if first := d.changed[name]; first != nil {
			d.add(document.File, "", SeverityError, DocumentRepeated, fmt.Sprintf("the file %s holds %s too; the second one is refused as a conflict", first.File, name))
			continue
		}
		d.changed[name] = document
	}
	// Documents that are not changed stay in force.
	d.all = maps.Clone(d.current)
	maps.Copy(d.all, d.changed)
	d.checkDeployment()
	d.checkContracts()
	d.checkOrder()
	d.checkServices()
	if len(current) > 0 {
		d.report.Differences = compareDocuments(d.current, d.all)
	}
	return d.report.finish()
}

// documentChecker checks the documents of one deployment.
type documentChecker struct {
	report *Report
	// current, changed and all are the documents in force, those to be applied and the result, by name.
	current, changed, all map[string]*Document
}

// byName returns the valid documents by name.
func byName(documents []*Document) map[string]*Document {
	named := make(map[string]*Document, len(documents))
	for _, document := range documents {
		if name := document.Name(); name != "" {
			named[name] = document
		}
	}
	return named
}

// add adds a finding without a line.
func (d *documentChecker) add(file, path string, severity Severity, name Name, message string) {
	d.report.Findings = append(d.report.Findings, Finding{File: file, Path: path, Severity: severity, Name: name, Message: message})
}

// addProblems adds problems of the parser as errors.
func (d *documentChecker) addProblems(name Name, problems parser.Problems) {
	for _, problem := range problems {
		problem = hideSecret(problem)
		message := problem.Message
		if problem.Suggestion != "" {
			message += fmt.Sprintf("; did you mean %q?", problem.Suggestion)
		}
		if problem.Allowed != "" {
			message += "; allowed: " + problem.Allowed
		}
		d.report.Findings = append(d.report.Findings, Finding{
			File: problem.File, Line: problem.Line, Column: problem.Column, Path: problem.Field, Severity: SeverityError, Name: name, Message: message,
		})
	}
}

// deployment returns the configuration that the documents lead to, or nil.
func (d *documentChecker) deployment() *parser.Deployment {
	if config := d.all[configurer.ConfigName]; config != nil {
		return config.Deployment
	}
	return nil
}

// checkDeployment checks that operators remain if the configuration changes.
func (d *documentChecker) checkDeployment() {
	before, after := d.current[configurer.ConfigName], d.changed[configurer.ConfigName]
	if before == nil || after == nil {
		return
	}
	if configurer.CheckOperatorsRemain(server.Document{Name: configurer.ConfigName, Text: string(before.Text)}, after.Deployment) != nil {
		d.add(after.File, "operators", SeverityError, OperatorsRemoved, "the list is empty, and the current configuration has operators; allowed: at least one with the role write")
	}
}

// checkContracts checks the contracts against the configuration and their keys against each other.
func (d *documentChecker) checkContracts() {
	deployment := d.deployment()
	_, isDeploymentChanged := d.changed[configurer.ConfigName]
	owners := make(map[string]string)
	hasContract := false
	names := slices.Sorted(maps.Keys(d.all))
	// The changed documents come last, so that a key that an unchanged contract has is reported for them.
	slices.SortStableFunc(names, func(a, b string) int { return boolToInt(d.changed[a] != nil) - boolToInt(d.changed[b] != nil) })
	for _, name := range names {
		document := d.all[name]
		if document.Contract == nil {
			continue
		}
		_, isChanged := d.changed[name]
		hasContract = hasContract || isChanged
		if deployment != nil && (isChanged || isDeploymentChanged) {
			d.addProblems(ContractRefused, asProblems(document.File, parser.CrossCheck(document.Contract, deployment)))
		}
		for _, key := range document.Contract.KeyHashes() {
			if owner := owners[key]; owner != "" && isChanged {
				d.addProblems(KeyShared, asProblems(document.File, parser.DuplicateKeyError(document.Contract, key, owner)))
			}
			owners[key] = document.Contract.Workspace()
		}
	}
	if hasContract && deployment == nil {
		d.report.Omitted = append(d.report.Omitted, "pipelines, services and models that contracts name: they need the configuration document")
	}
}

// checkServices checks that a pipeline or a contract uses each service of a changed configuration. Plain services are used
// by contracts only, so they are not checked without contracts.
func (d *documentChecker) checkServices() {
	config := d.changed[configurer.ConfigName]
	if config == nil {
		return
	}
	deployment := config.Deployment
	used := make(map[string]bool)
	for _, name := range deployment.PipelineNames() {
		for _, stage := range deployment.Pipeline(name).Stages() {
			used[stage.Service()] = true
		}
	}
	hasContract := false
	for _, document := range d.all {
		if document.Contract == nil {
			continue
		}
		hasContract = true
		for _, kind := range document.Contract.KindNames() {
			used[document.Contract.Kind(kind).Service()] = true
		}
	}
	for _, name := range deployment.ServiceNames() {
		if !used[name] && (hasContract || deployment.Service(name).Role() != parser.RolePlain) {
			d.add(config.File, "services."+name, SeverityWarning, ServiceUnused, fmt.Sprintf("no pipeline or contract uses the service %q", name))
		}
	}
	if !hasContract {
		d.report.Omitted = append(d.report.Omitted, "services with the role plain that nothing uses: they need the contracts")
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
