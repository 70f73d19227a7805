package parser

import (
	"math"

	"github.com/goccy/go-yaml/ast"
)

// stringInto returns a function that stores a string node in dst. A number is a
// problem.
func (r *reader) stringInto(dst *string) func(string, ast.Node) {
	return func(path string, node ast.Node) {
		switch value := node.(type) {
		case *ast.StringNode:
			*dst = value.Value
		case *ast.LiteralNode:
			*dst = value.Value.Value
		default:
			r.addProblem(path, "is "+describeNode(node), "a string; numbers need quotes")
		}
	}
}

// durationInto returns a function that stores the text of a duration node in
// dst. The text is parsed later, by parseDuration.
func (r *reader) durationInto(dst *string) func(string, ast.Node) {
	return func(path string, node ast.Node) {
		switch value := node.(type) {
		case *ast.StringNode:
			*dst = value.Value
		case *ast.IntegerNode, *ast.FloatNode:
			*dst = value.GetToken().Value
		default:
			r.addProblem(path, "is "+describeNode(node), allowedDuration)
		}
	}
}

// numberInto returns a function that stores a finite number in dst.
func (r *reader) numberInto(dst *float64) func(string, ast.Node) {
	return func(path string, node ast.Node) {
		value, ok := numberValue(node)
		if !ok {
			r.addProblem(path, "is "+describeNode(node), "a number without a unit")
			return
		}
		*dst = value
	}
}

// integerInto returns a function that stores a whole number of at most 32 bits
// in dst.
func (r *reader) integerInto(dst *int) func(string, ast.Node) {
	return func(path string, node ast.Node) {
		value, ok := numberValue(node)
		if !ok || value != math.Trunc(value) || math.Abs(value) > math.MaxInt32 {
			r.addProblem(path, "is "+describeNode(node), "a whole number without a unit")
			return
		}
		*dst = int(value)
	}
}

// numberValue returns the value of a number node; ok is false if the node is no
// number or not finite.
func numberValue(node ast.Node) (float64, bool) {
	switch value := node.(type) {
	case *ast.IntegerNode:
		switch number := value.Value.(type) {
		case int64:
			return float64(number), true
		case uint64:
			return float64(number), true
		}
	case *ast.FloatNode:
		return value.Value, !math.IsInf(value.Value, 0) && !math.IsNaN(value.Value)
	}
	return 0, false
}

// boolInto returns a function that stores true or false in dst.
func (r *reader) boolInto(dst *bool) func(string, ast.Node) {
	return func(path string, node ast.Node) {
		value, ok := node.(*ast.BoolNode)
		if !ok {
			r.addProblem(path, "is "+describeNode(node), "true or false")
			return
		}
		*dst = value.Value
	}
}

// stringsInto returns a function that appends the strings of a list to dst.
func (r *reader) stringsInto(dst *[]string) func(string, ast.Node) {
	return func(path string, node ast.Node) {
		for i, itemNode := range r.listItems(path, node) {
			childPath := itemPath(path, i)
			r.setPosition(childPath, itemNode.GetToken())
			var value string
			r.stringInto(&value)(childPath, itemNode)
			*dst = append(*dst, value)
		}
	}
}

// describeNode returns the type of a node, or its value as it is written in the
// document, for use in messages.
func describeNode(node ast.Node) string {
	switch value := node.(type) {
	case nil, *ast.NullNode:
		return "empty"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.AnchorNode:
		return "an anchor"
	case *ast.AliasNode:
		return "an alias"
	case *ast.TagNode:
		return "a tag"
	case *ast.StringNode:
		return "the string \"" + value.Value + "\""
	default:
		return node.GetToken().Value
	}
}
