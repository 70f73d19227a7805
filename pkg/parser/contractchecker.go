package parser

import "fmt"

// build validates the contract without a deployment and returns it.
// The result is usable only if the reader has no problems.
func (c *rawContract) build(r *reader) *Contract {
	r.checkName("contract", c.Contract)
	r.checkNotNegative("rate", c.Rate)
	r.checkNotNegative("concurrency", float64(c.Concurrency))
	r.checkPositive("share", c.Share)
	contract := &Contract{
		workspace:      c.Contract,
		rate:           c.Rate,
		concurrency:    c.Concurrency,
		share:          c.Share,
		orderRetention: r.parseDuration("keep", c.Keep, maxOrderRetention),
		keyHashes:      c.Keys,
		kinds:          make(map[string]*Kind, len(c.Kinds)),
		raw:            c,
		file:           r.file,
		positions:      r.positions,
	}
	c.checkKeyHashes(r)
	if len(c.Kinds) == 0 {
		r.addProblem("kinds", "has no kinds", "at least one")
	}
	for _, name := range sortedKeys(c.Kinds) {
		contract.kinds[name] = c.Kinds[name].build(r, name)
	}
	return contract
}

// checkKeyHashes checks that the items of keys are valid hashes without duplicates.
func (c *rawContract) checkKeyHashes(r *reader) {
	for i, key := range c.Keys {
		path := itemPath("keys", i)
		if !hashPattern.MatchString(key) {
			r.addProblem(path, fmt.Sprintf("%q is not the hash of a key", key), allowedHash)
		}
		if indexOf(c.Keys, key) < i {
			r.addProblem(path, "key occurs more than once", "once")
		}
	}
}

// build validates the terms of one kind and returns them.
func (k rawKind) build(r *reader, name string) *Kind {
	path := fieldPath("kinds", name)
	r.checkName(path, name)
	k.checkTarget(r, path)
	r.checkPositive(path+".weight", k.Weight)
	r.checkOneOf(path+".priority", k.Priority, priorityUrgent, priorityNormal, priorityPatient)
	r.checkNotNegative(path+".rate", k.Rate)
	r.checkNotNegative(path+".concurrency", float64(k.Concurrency))
	r.checkRange(path+".tokens", k.Tokens, 0, maxTokens)
	if k.Model != "" && !modelPattern.MatchString(k.Model) {
		r.addProblem(path+".model", fmt.Sprintf("%q is not a valid model name", k.Model), allowedModel)
	}
	for _, stage := range sortedKeys(k.Budget) {
		r.checkName(path+".budget."+stage, stage)
		r.checkPositive(path+".budget."+stage, k.Budget[stage])
	}
	return &Kind{
		name:           name,
		pipeline:       k.Pipeline,
		service:        k.Service,
		operation:      k.Operation,
		deadline:       r.parseDuration(path+".deadline", k.Deadline, maxDeadline),
		weight:         k.Weight,
		priority:       k.Priority,
		rate:           k.Rate,
		concurrency:    k.Concurrency,
		hasSideEffects: k.Effects,
		maxTokens:      k.Tokens,
		model:          k.Model,
		dailyBudget:    k.Budget,
	}
}

// checkTarget checks that the kind names either a pipeline or an operation of a
// service.
func (k rawKind) checkTarget(r *reader, path string) {
	const allowedTargets = "either pipeline, or service with operation"
	switch {
	case k.Pipeline == "" && k.Service == "" && k.Operation == "":
		r.addProblem(path, "names neither a pipeline nor a service", allowedTargets)
	case k.Pipeline != "" && (k.Service != "" || k.Operation != ""):
		r.addProblem(path, "names both a pipeline and a service", allowedTargets)
	case k.Pipeline == "" && k.Service == "":
		r.addProblem(path, "names an operation without a service", allowedTargets)
	case k.Pipeline == "" && k.Operation == "":
		r.addProblem(path, "names a service without an operation", allowedTargets)
	}
}
