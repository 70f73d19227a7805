package parser

import (
	"cmp"
	"slices"
)

// ParseContract parses and validates a contract. The file name is used in
// messages only. A non-nil error is of type Problems.
func ParseContract(file string, data []byte) (*Contract, error) {
	r, body := newReader(file, data)
	if body == nil {
		return nil, r.err()
	}
	raw := &rawContract{}
	raw.read(r, body)
	r.hasReadProblems = len(r.problems) > 0
	contract := raw.build(r)
	if err := r.err(); err != nil {
		return nil, err
	}
	return contract, nil
}

// ParseDeployment parses and validates a configuration document. The file name
// is used in messages only. A non-nil error is of type Problems.
func ParseDeployment(file string, data []byte) (*Deployment, error) {
	r, body := newReader(file, data)
	if body == nil {
		return nil, r.err()
	}
	raw := &rawDeployment{}
	raw.read(r, body)
	r.hasReadProblems = len(r.problems) > 0
	deployment := raw.build(r)
	if err := r.err(); err != nil {
		return nil, err
	}
	return deployment, nil
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
