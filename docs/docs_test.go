// Package docs_test checks the documentation against the code: links point to
// existing files, blocks marked as runnable succeed, the charts page matches the
// chart files, and the pages list every package, dependency and metric. It also
// checks which packages the decisions import.
package docs_test

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/charter"
)

// root is the path of the repository's root, relative to this folder.
const root = ".."

// markdownFiles returns the paths of all Markdown files of the repository.
func markdownFiles(t *testing.T) []string {
	t.Helper()
	var found []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != root {
			return fs.SkipDir
		}
		if filepath.Ext(path) == ".md" {
			found = append(found, path)
		}
		return nil
	})
	is.New(t).NoErr(err)
	return found
}

var linkPattern = regexp.MustCompile(`\]\(([^)\s]+)\)`)

func TestLinksPointToExistingFiles(t *testing.T) {
	for _, page := range markdownFiles(t) {
		t.Run(page, func(t *testing.T) {
			data, err := os.ReadFile(page)
			is.New(t).NoErr(err)
			for _, match := range linkPattern.FindAllStringSubmatch(string(data), -1) {
				target, _, _ := strings.Cut(match[1], "#")
				if target == "" || strings.Contains(target, "://") {
					continue
				}
				if _, err := os.Stat(filepath.Join(filepath.Dir(page), target)); err != nil {
					t.Errorf("link to %s: %v", match[1], err)
				}
			}
		})
	}
}

// runnablePattern finds shell blocks that are marked as runnable.
var runnablePattern = regexp.MustCompile("(?s)```sh run\n(.*?)```")

func TestRunnableBlocksSucceed(t *testing.T) {
	folder := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(folder, "oriolemill"), ".")
	build.Dir = root
	output, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	for _, page := range markdownFiles(t) {
		data, err := os.ReadFile(page)
		is.New(t).NoErr(err)
		for i, block := range runnablePattern.FindAllStringSubmatch(string(data), -1) {
			t.Run(fmt.Sprintf("%s/%d", page, i), func(t *testing.T) {
				command := exec.Command("bash", "-euo", "pipefail", "-c", block[1])
				command.Dir = root
				command.Env = append(os.Environ(), "PATH="+folder+string(os.PathListSeparator)+os.Getenv("PATH"))
				if output, err := command.CombinedOutput(); err != nil {
					t.Errorf("%v\n%s\n%s", err, block[1], output)
				}
			})
		}
	}
}

// TestChartsPageMatchesChartFiles compares charts.md with the chart files. Set
// ORIOLEMILL_UPDATE to regenerate the page.
func TestChartsPageMatchesChartFiles(t *testing.T) {
	is := is.New(t)
	var page strings.Builder
	page.WriteString("# State charts\n\nDrawn from the files that the code interprets, `internal/charter/charts/`.\n")
	for _, name := range charter.Names() {
		chart, err := charter.Load(name)
		is.NoErr(err)
		fmt.Fprintf(&page, "\n## %s\n\n```mermaid\n%s```\n", name, chart.MermaidDiagram())
	}
	const file = "charts.md"
	if os.Getenv("ORIOLEMILL_UPDATE") != "" {
		is.NoErr(os.WriteFile(file, []byte(page.String()), 0o644))
	}
	have, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(string(have), page.String())
}
