package docs_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// modulePath is the path of the Go module.
const modulePath = "oriolemill.example/oriolemill"

// goOutput returns the output of a go command run at the root.
func goOutput(t *testing.T, arguments ...string) []byte {
	t.Helper()
	command := exec.Command("go", arguments...)
	command.Dir = root
	output, err := command.Output()
	is.New(t).NoErr(err)
	return output
}

// readPage returns a page by its path from the root.
func readPage(t *testing.T, page string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, page))
	is.New(t).NoErr(err)
	return string(data)
}

var quotedPattern = regexp.MustCompile("`([^`]+)`")

// firstColumn returns the quoted names in the first column of a section's table.
func firstColumn(t *testing.T, page, section string) []string {
	t.Helper()
	_, text, found := strings.Cut(readPage(t, page), "\n## "+section+"\n")
	is.New(t).True(found) // the page has the section
	text, _, _ = strings.Cut(text, "\n## ")
	var names []string
	for line := range strings.Lines(text) {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			for _, match := range quotedPattern.FindAllStringSubmatch(cells[1], -1) {
				names = append(names, match[1])
			}
		}
	}
	return names
}

// compareNames reports the names that are in only one of the lists.
func compareNames(t *testing.T, page string, listed, actual []string) {
	t.Helper()
	for _, name := range actual {
		if !slices.Contains(listed, name) {
			t.Errorf("%s has no row for %s", page, name)
		}
	}
	for _, name := range listed {
		if !slices.Contains(actual, name) {
			t.Errorf("%s has a row for %s, which does not exist", page, name)
		}
	}
}

func TestArchitectureListsEachPackage(t *testing.T) {
	listed := firstColumn(t, "docs/ARCHITECTURE.md", "Packages")
	for i, name := range listed {
		listed[i] = path.Base(name)
	}
	var actual []string
	for _, name := range strings.Fields(string(goOutput(t, "list", "./..."))) {
		switch local := strings.TrimPrefix(name, modulePath+"/"); local {
		case modulePath:
			actual = append(actual, "main")
		case "docs", "examples": // no code but tests and embedded files
		default:
			actual = append(actual, path.Base(local))
		}
	}
	compareNames(t, "docs/ARCHITECTURE.md", listed, actual)
}

var majorPattern = regexp.MustCompile(`/v[0-9]+$`)

func TestArchitectureListsEachDependency(t *testing.T) {
	var file struct {
		Require []struct {
			Path     string
			Indirect bool
		}
	}
	is.New(t).NoErr(json.Unmarshal(goOutput(t, "mod", "edit", "-json"), &file))
	var actual []string
	for _, required := range file.Require {
		if !required.Indirect {
			actual = append(actual, strings.TrimPrefix(majorPattern.ReplaceAllString(required.Path, ""), "github.com/"))
		}
	}
	compareNames(t, "docs/ARCHITECTURE.md", firstColumn(t, "docs/ARCHITECTURE.md", "Dependencies"), actual)
}

// TestEachPageIsReachableFromREADME follows the links from the README to every page.
func TestEachPageIsReachableFromREADME(t *testing.T) {
	reached := map[string]bool{"README.md": true}
	queue := []string{"README.md"}
	for len(queue) > 0 {
		page := queue[0]
		queue = queue[1:]
		for _, match := range linkPattern.FindAllStringSubmatch(readPage(t, page), -1) {
			target, _, _ := strings.Cut(match[1], "#")
			target = path.Join(path.Dir(page), target)
			if strings.HasSuffix(target, ".md") && !strings.Contains(match[1], "://") && !reached[target] {
				reached[target] = true
				queue = append(queue, target)
			}
		}
	}
	for _, page := range markdownFiles(t) {
		local, err := filepath.Rel(root, page)
		is.New(t).NoErr(err)
		if strings.HasPrefix(local, "docs/") && !reached[filepath.ToSlash(local)] {
			t.Errorf("%s is linked from no page", local)
		}
	}
}

// transportPattern matches the packages that communicate with other processes.
var transportPattern = regexp.MustCompile(`^(net|net/http)$|/hertz/|/yamux$|/client_golang/|/internal/server/(caller|listener|operator|peerer|storer)$`)

func TestDecisionsImportNoTransports(t *testing.T) {
	for _, name := range []string{"picker", "admitter", "retrier", "estimator", "ejector", "limiter", "orderer", "planner"} {
		for _, imported := range strings.Fields(string(goOutput(t, "list", "-deps", "./internal/server/"+name))) {
			if transportPattern.MatchString(imported) {
				t.Errorf("%s imports %s", name, imported)
			}
		}
	}
}

var (
	optionsPattern = regexp.MustCompile(`prometheus\.(Counter|Gauge|Histogram|Summary)Opts\{`)
	namePattern    = regexp.MustCompile(`prometheus\.(?:Counter|Gauge|Histogram|Summary)Opts\{\s*Name:\s*"([a-z_]+)"`)
	metricPattern  = regexp.MustCompile(`\boriolemill_[a-z_]+`)
)

// TestMetricsPageListsEachMetric compares the metrics in the code with the table of the
// metrics page. It also checks that every metric that any page names exists.
func TestMetricsPageListsEachMetric(t *testing.T) {
	const page = "docs/operating/metrics.md"
	var actual []string
	optionsCount := 0
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(file string, _ os.DirEntry, err error) error {
		if err != nil || filepath.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go") {
			return err
		}
		data, err := os.ReadFile(file)
		optionsCount += len(optionsPattern.FindAll(data, -1))
		for _, match := range namePattern.FindAllSubmatch(data, -1) {
			actual = append(actual, string(match[1]))
		}
		return err
	})
	is := is.New(t)
	is.NoErr(err)
	is.True(optionsCount > 0)
	is.Equal(len(actual), optionsCount) // each metric's name was read
	text, _, found := strings.Cut(readPage(t, page), "\n## Alerts\n")
	is.True(found)
	var listed []string
	for line := range strings.Lines(text) {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			listed = append(listed, metricPattern.FindAllString(cells[1], -1)...)
		}
	}
	compareNames(t, page, listed, actual)
	for _, other := range markdownFiles(t) {
		data, err := os.ReadFile(other)
		is.NoErr(err)
		for _, name := range metricPattern.FindAllString(string(data), -1) {
			if !slices.Contains(actual, strings.TrimSuffix(name, "_bucket")) {
				t.Errorf("%s names %s, which is not a metric", other, name)
			}
		}
	}
}
