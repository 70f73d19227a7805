// Package parser parses and validates contracts and configuration documents,
// which are written in YAML.
//
// Its errors give the file, the line and the path of the field, what is wrong
// and which values are allowed.
package parser
