// Package examples provides the example deployments. They are embedded, so that
// the program has them wherever it runs.
package examples

import (
	"embed"
	"io/fs"
	"path"
	"strings"

	"github.com/ansel1/merry/v2"
)

//go:embed lutvik uwazi
var files embed.FS

// Example is an example deployment with its contracts and with texts to send as
// input.
type Example struct {
	name      string
	config    string
	contracts map[string]string
	texts     map[string]string
}

// Names returns the names of all examples in alphabetical order.
func Names() []string { return []string{"lutvik", "uwazi"} }

// Load returns an example by name, or an error that lists the known names.
func Load(name string) (*Example, error) {
	config, err := files.ReadFile(path.Join(name, "config.yaml"))
	if err != nil {
		return nil, merry.Errorf("example %q: want one of %s", name, strings.Join(Names(), ", "))
	}
	contracts, err := readTexts(name, "contracts", ".yaml")
	if err != nil {
		return nil, err
	}
	texts, err := readTexts(name, "texts", ".txt")
	if err != nil {
		return nil, err
	}
	return &Example{name: name, config: string(config), contracts: contracts, texts: texts}, nil
}

// readTexts returns the contents of the files in a folder that have a suffix, by
// file name without the suffix.
func readTexts(example, folder, suffix string) (map[string]string, error) {
	names, err := fs.Glob(files, path.Join(example, folder, "*"+suffix))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	texts := make(map[string]string, len(names))
	for _, name := range names {
		data, err := files.ReadFile(name)
		if err != nil {
			return nil, merry.Wrap(err)
		}
		texts[strings.TrimSuffix(path.Base(name), suffix)] = string(data)
	}
	return texts, nil
}

// Name returns the name of the example.
func (e *Example) Name() string { return e.name }

// Config returns the YAML text of the configuration document.
func (e *Example) Config() string { return e.config }

// Contracts returns the YAML texts of the contracts by workspace.
func (e *Example) Contracts() map[string]string { return e.contracts }

// Texts returns the input texts by kind.
func (e *Example) Texts() map[string]string { return e.texts }

// APIKey returns the API key of a workspace; the contract holds its hash.
func APIKey(workspace string) string { return "demo-" + workspace }
