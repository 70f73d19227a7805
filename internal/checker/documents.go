package checker

import (
	"bytes"
	"errors"
	"regexp"
	"runtime"

	"golang.org/x/sync/errgroup"

	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/pkg/parser"
)

// Document is a contract or a configuration document, as instances parse it.
type Document struct {
	File string
	Text []byte
	// Contract or Deployment is set unless Problems are.
	Contract   *parser.Contract
	Deployment *parser.Deployment
	// Problems are the reasons why instances refuse the document.
	Problems parser.Problems
}

// Name returns the name of the document in the table of documents, or "" if it cannot be parsed.
func (d *Document) Name() string {
	switch {
	case d.Deployment != nil:
		return configurer.ConfigName
	case d.Contract != nil:
		return configurer.ContractName(d.Contract.Workspace())
	default:
		return ""
	}
}

// documentPattern matches the field by which contracts and configuration documents are told apart.
var documentPattern = regexp.MustCompile(`(?m)^["']?(contract|deployment)["']?[ \t]*:`)

// IsObject reports whether a text begins as a JSON object.
func IsObject(text []byte) bool { return bytes.HasPrefix(bytes.TrimLeft(text, " \t\r\n"), []byte("{")) }

// IsDocument reports whether a text is a contract or a configuration document, rather than a plan. Text that begins with
// a brace is one only if it is valid.
func IsDocument(text []byte) bool {
	if IsObject(text) {
		if !bytes.Contains(text, []byte("contract")) && !bytes.Contains(text, []byte("deployment")) {
			return false
		}
		_, contractErr := parser.ParseContract("", text)
		_, deploymentErr := parser.ParseDeployment("", text)
		return contractErr == nil || deploymentErr == nil
	}
	return documentPattern.Match(text)
}

// ParseDocument parses a text for which IsDocument holds.
func ParseDocument(file string, text []byte) *Document {
	d := &Document{File: file, Text: text}
	isDeployment := false
	if match := documentPattern.FindSubmatch(text); match != nil {
		isDeployment = string(match[1]) == "deployment"
	} else {
		_, err := parser.ParseContract(file, text)
		isDeployment = err != nil
	}
	var err error
	if isDeployment {
		d.Deployment, err = parser.ParseDeployment(file, text)
	} else {
		d.Contract, err = parser.ParseContract(file, text)
	}
	if err != nil {
		d.Contract, d.Deployment, d.Problems = nil, nil, asProblems(file, err)
	}
	return d
}

// ParseDocuments parses texts by file, on all processors.
func ParseDocuments(files []string, texts [][]byte) []*Document {
	documents := make([]*Document, len(files))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range files {
		group.Go(func() error {
			documents[i] = ParseDocument(files[i], texts[i])
			return nil
		})
	}
	_ = group.Wait()
	return documents
}

// asProblems returns the problems in an error; an error of another type becomes one problem of the file.
func asProblems(file string, err error) parser.Problems {
	var problems parser.Problems
	switch {
	case err == nil:
		return nil
	case errors.As(err, &problems):
		return problems
	default:
		return parser.Problems{{File: file, Message: err.Error()}}
	}
}

var (
	// secretPattern matches the paths of fields that hold API keys or tokens, or their hashes.
	secretPattern = regexp.MustCompile(`^keys(\[|$)|^operators\[[0-9]+\]\.token$`)
	// safeMessagePattern matches the parser's messages about such fields that do not quote the value.
	safeMessagePattern = regexp.MustCompile(`^(key occurs more than once|key belongs to the workspace "[a-z0-9-]*"|is (empty|a mapping|a list|an anchor|an alias|a tag)|is not the hash of a token|is also the token of another operator)$`)
)

// hideSecret returns a problem without the value of a field that should hold the hash of a key: it may hold the key.
func hideSecret(problem parser.Problem) parser.Problem {
	if secretPattern.MatchString(problem.Field) && !safeMessagePattern.MatchString(problem.Message) {
		problem.Message, problem.Suggestion = "has a value that is not allowed", ""
	}
	return problem
}
