package parser

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxDocumentBytes limits the size of a document.
const maxDocumentBytes = 256 << 10

// position is the position of a field in the document. Line and column count from
// 1; zero means unknown.
type position struct {
	line   int
	column int
}

// reader reads the YAML nodes of a document and collects its problems. A document
// is processed in two passes: the first reads the values, the second validates them.
type reader struct {
	file string
	// positions holds the position of each field and list item by its path.
	positions map[string]position
	problems  Problems
	// hasReadProblems is set during validation if the first pass found problems.
	hasReadProblems bool
}

// field is a field that a mapping may have.
type field struct {
	name string
	// required marks a field whose absence is a problem.
	required bool
	// read stores the value of the field.
	read func(path string, node ast.Node)
}

// newReader parses a document and returns a reader with the root node, which is
// nil if the document could not be parsed; the reader then has the problem.
func newReader(file string, data []byte) (*reader, ast.Node) {
	r := &reader{file: file, positions: make(map[string]position)}
	if len(data) > maxDocumentBytes {
		r.addProblem("", fmt.Sprintf("document has %d bytes", len(data)), fmt.Sprintf("at most %d", maxDocumentBytes))
		return r, nil
	}
	parsed, err := yamlparser.ParseBytes(data, 0)
	if err != nil {
		r.addSyntaxProblem(err)
		return r, nil
	}
	if len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		r.addProblem("", fmt.Sprintf("file contains %d YAML documents", countDocuments(parsed)), "one")
		return r, nil
	}
	return r, parsed.Docs[0].Body
}

// countDocuments returns the number of YAML documents that are not empty.
func countDocuments(file *ast.File) int {
	count := 0
	for _, document := range file.Docs {
		if document.Body != nil {
			count++
		}
	}
	return count
}

// addSyntaxProblem adds an error of the YAML parser, with its position if known.
func (r *reader) addSyntaxProblem(err error) {
	problem := Problem{File: r.file, Message: "invalid YAML: " + strings.SplitN(err.Error(), "\n", 2)[0]}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		problem.Message = "invalid YAML: " + yamlErr.GetMessage()
		if errToken := yamlErr.GetToken(); errToken != nil {
			problem.Line, problem.Column = errToken.Position.Line, errToken.Position.Column
		}
	}
	r.problems = append(r.problems, problem)
}

// addProblem adds a problem with a field. If the first pass found problems, addProblem
// skips a field that already has one. It also skips a field without a position: such a
// field is missing from the document, and the first pass has reported that. If there are
// several suggestions, the last one is used.
func (r *reader) addProblem(path, message, allowed string, suggestions ...string) {
	pos, known := r.positions[path]
	if r.hasReadProblems && (!known || r.hasProblem(path)) {
		return
	}
	problem := Problem{File: r.file, Line: pos.line, Column: pos.column, Field: path, Message: message, Allowed: allowed}
	for _, suggestion := range suggestions {
		problem.Suggestion = suggestion
	}
	r.problems = append(r.problems, problem)
}

// hasProblem reports whether a problem with the field was added.
func (r *reader) hasProblem(path string) bool {
	return slices.ContainsFunc(r.problems, func(p Problem) bool { return p.Field == path })
}

// setPosition records the position of a field or list item.
func (r *reader) setPosition(path string, start *token.Token) {
	if start != nil {
		r.positions[path] = position{line: start.Position.Line, column: start.Position.Column}
	}
}

// entry is a key of a mapping, the path of the field and its value.
type entry struct {
	name string
	path string
	node ast.Node
}

// mappingEntries returns the entries of a mapping in the order of the document. A
// duplicate key is a problem; its first entry is returned.
func (r *reader) mappingEntries(path string, node ast.Node) []entry {
	var values []*ast.MappingValueNode
	switch mapping := node.(type) {
	case *ast.MappingNode:
		values = mapping.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{mapping}
	default:
		r.addProblem(path, "is "+describeNode(node), "a mapping of fields")
		return nil
	}
	seen := make(map[string]bool, len(values))
	entries := make([]entry, 0, len(values))
	for _, value := range values {
		key := value.Key.GetToken()
		name := key.Value
		childPath := fieldPath(path, name)
		if seen[name] {
			r.problems = append(r.problems, Problem{File: r.file, Line: key.Position.Line, Column: key.Position.Column, Field: childPath, Message: "occurs more than once", Allowed: "once"})
			continue
		}
		seen[name] = true
		r.setPosition(childPath, key)
		entries = append(entries, entry{name: name, path: childPath, node: value.Value})
	}
	return entries
}

// readFields reads a mapping with the given fields. Unknown fields and missing
// required fields are problems.
func (r *reader) readFields(path string, node ast.Node, fields ...field) {
	if _, isMapping := node.(ast.MapNode); !isMapping {
		r.mappingEntries(path, node)
		return
	}
	names := make([]string, len(fields))
	found := make([]bool, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	for _, entry := range r.mappingEntries(path, node) {
		i := indexOf(names, entry.name)
		if i < 0 {
			r.addProblem(entry.path, "unknown field", strings.Join(names, ", "), suggestName(entry.name, names))
			continue
		}
		found[i] = true
		fields[i].read(entry.path, entry.node)
	}
	for i, f := range fields {
		if f.required && !found[i] {
			r.addProblem(path, "missing required field "+f.name, "")
		}
	}
}

// listItems returns the nodes of a list. A node of another type is a problem.
func (r *reader) listItems(path string, node ast.Node) []ast.Node {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		r.addProblem(path, "is "+describeNode(node), "a list")
		return nil
	}
	return list.Values
}

// indexOf returns the index of a name, or -1.
func indexOf(names []string, name string) int {
	for i, candidate := range names {
		if candidate == name {
			return i
		}
	}
	return -1
}

// fieldPath returns the path of a field of the mapping at path.
func fieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// itemPath returns the path of an item of the list at path.
func itemPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
