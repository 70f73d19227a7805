package parser

import (
	"fmt"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	// File is the file or the name of the document.
	File string `json:"file"`
	// Line and Column count from 1; zero means that the position is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the path of the field, such as "kinds.upset.deadline".
	Field string `json:"field,omitempty"`
	// Message describes the error.
	Message string `json:"what"`
	// Allowed describes the allowed values, or is "".
	Allowed string `json:"allowed,omitempty"`
	// Suggestion is the value that was probably meant, or "".
	Suggestion string `json:"suggestion,omitempty"`
}

// Error returns the problem on one line that begins with file:line:column.
func (p Problem) Error() string {
	var text strings.Builder
	text.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&text, ":%d:%d", p.Line, p.Column)
	}
	text.WriteString(": ")
	if p.Field != "" {
		text.WriteString(p.Field + ": ")
	}
	text.WriteString(p.Message)
	if p.Suggestion != "" {
		fmt.Fprintf(&text, "; did you mean %q?", p.Suggestion)
	}
	if p.Allowed != "" {
		text.WriteString("; allowed: " + p.Allowed)
	}
	return text.String()
}

// Problems holds all errors of a document, ordered by position.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
