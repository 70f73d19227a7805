package checker

import (
	"maps"
	"slices"

	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/pkg/parser"
)

// checkOrder checks that documents that fit together can be applied one by one: an instance checks each against those that
// are in force at that time. It is left out if there are errors, since their documents cannot be applied at all.
func (d *documentChecker) checkOrder() {
	if slices.ContainsFunc(d.report.Findings, func(f Finding) bool { return f.Severity == SeverityError }) {
		return
	}
	s := newOrderSimulation(d.current)
	waiting := slices.Sorted(maps.Keys(d.changed))
	// What can be applied is applied at once. It prevents no other change, since all fit together in the end.
	for count := -1; count != len(waiting); {
		count = len(waiting)
		waiting = slices.DeleteFunc(waiting, func(name string) bool { return s.apply(name, d.changed[name]) })
	}
	for _, name := range waiting {
		d.add(d.changed[name].File, "", SeverityError, ApplyOrder, "instances refuse the document in each order: it needs or removes a pipeline, service or key in conflict with documents that are still in force")
	}
}

// orderSimulation holds the documents in force while changes are applied one by one.
type orderSimulation struct {
	documents map[string]*Document
	// owners holds the name of the contract with each key.
	owners map[string]string
}

func newOrderSimulation(current map[string]*Document) *orderSimulation {
	s := &orderSimulation{documents: maps.Clone(current), owners: make(map[string]string)}
	for name, document := range current {
		if document.Contract != nil {
			for _, key := range document.Contract.KeyHashes() {
				s.owners[key] = name
			}
		}
	}
	return s
}

// apply puts a document in force and reports true, unless an instance refuses it now.
func (s *orderSimulation) apply(name string, document *Document) bool {
	if document.Deployment != nil {
		for _, other := range s.documents {
			if other.Contract != nil && parser.CrossCheck(other.Contract, document.Deployment) != nil {
				return false
			}
		}
		s.documents[name] = document
		return true
	}
	// Without a configuration, it is not known what the contract is checked against.
	if config := s.documents[configurer.ConfigName]; config != nil && parser.CrossCheck(document.Contract, config.Deployment) != nil {
		return false
	}
	keys := document.Contract.KeyHashes()
	if slices.ContainsFunc(keys, func(key string) bool { return s.owners[key] != "" && s.owners[key] != name }) {
		return false
	}
	if former := contractOf(s.documents[name]); former != nil {
		for _, key := range former.KeyHashes() {
			delete(s.owners, key)
		}
	}
	for _, key := range keys {
		s.owners[key] = name
	}
	s.documents[name] = document
	return true
}
