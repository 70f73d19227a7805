package parser_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"oriolemill.example/oriolemill/pkg/parser"
)

const examples = "../../examples"

func readFile(t testing.TB, parts ...string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(parts...))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func parseContract(t testing.TB, parts ...string) *parser.Contract {
	t.Helper()
	parsed, err := parser.ParseContract(parts[len(parts)-1], readFile(t, parts...))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func parseDeployment(t testing.TB, example string) *parser.Deployment {
	t.Helper()
	parsed, err := parser.ParseDeployment("config.yaml", readFile(t, examples, example, "config.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// parse parses a document and returns the error; names of configuration documents
// begin with "config".
func parse(name string, data []byte) error {
	if strings.HasPrefix(name, "config") {
		_, err := parser.ParseDeployment(name, data)
		return err
	}
	_, err := parser.ParseContract(name, data)
	return err
}

func TestProblemsReportPositionFieldAndAllowedValues(t *testing.T) {
	files, err := filepath.Glob("testdata/problems/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no documents with problems found", err)
	}
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/problems"))
	for _, file := range files {
		name := filepath.Base(file)
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := parse(name, readFile(t, file))
			var problems parser.Problems
			is.True(errors.As(err, &problems)) // rejected as a whole
			golden.Assert(t, strings.TrimSuffix(name, ".yaml"), []byte(err.Error()+"\n"))
		})
	}
}

func TestCrossCheckReportsMissingTargets(t *testing.T) {
	is := is.New(t)
	err := parser.CrossCheck(parseContract(t, "testdata", "cross", "contract.yaml"), parseDeployment(t, "lutvik"))
	is.True(err != nil)
	goldie.New(t, goldie.WithFixtureDir("testdata/cross")).Assert(t, "contract", []byte(err.Error()+"\n"))
}

func TestExamplesAreValid(t *testing.T) {
	for _, example := range []string{"lutvik", "uwazi"} {
		config := parseDeployment(t, example)
		files, _ := filepath.Glob(filepath.Join(examples, example, "contracts", "*.yaml"))
		is.New(t).Equal(len(files), 5)
		for _, file := range files {
			is.New(t).NoErr(parser.CrossCheck(parseContract(t, file), config))
		}
	}
}

func TestCheckedFormYieldsSameContract(t *testing.T) {
	is := is.New(t)
	text := readFile(t, examples, "lutvik", "contracts", "alvkraft.yaml")
	fromText := parseContract(t, examples, "lutvik", "contracts", "alvkraft.yaml")
	form, err := parser.EncodeCheckedForm(fromText, text)
	is.NoErr(err)
	fromForm, err := parser.ParseCheckedForm("alvkraft.yaml", form, text)
	is.NoErr(err)
	is.Equal(parser.ContractEffects(fromText, fromForm, parseDeployment(t, "lutvik")), nil)
	is.Equal(fromForm.Kind("upset").Deadline(), 4*time.Second)
	_, err = parser.ParseCheckedForm("alvkraft.yaml", form, append(text, '\n'))
	is.True(errors.Is(err, parser.ErrCheckedFormMismatch)) // the hash of another text
	_, err = parser.ParseCheckedForm("alvkraft.yaml", []byte(strings.Replace(string(form), `"rate"`, `"rates"`, 1)), text)
	is.True(errors.Is(err, parser.ErrCheckedFormMismatch)) // a field that this program version does not know
}

func TestEffectsListChangedProperties(t *testing.T) {
	before := parseContract(t, examples, "lutvik", "contracts", "alvkraft.yaml")
	after := parseContract(t, "testdata", "cross", "amended.yaml")
	var lines strings.Builder
	for _, effect := range parser.ContractEffects(before, after, parseDeployment(t, "lutvik")) {
		lines.WriteString(effect.String() + "\n")
	}
	goldie.New(t, goldie.WithFixtureDir("testdata/cross")).Assert(t, "effects", []byte(lines.String()))
}

func FuzzParseContract(f *testing.F) {
	files, _ := filepath.Glob("testdata/problems/contract-*.yaml")
	exampleFiles, _ := filepath.Glob(filepath.Join(examples, "*", "contracts", "*.yaml"))
	for _, file := range append(files, exampleFiles...) {
		f.Add(readFile(f, file))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := parser.ParseContract("fuzz.yaml", data)
		if err != nil {
			var problems parser.Problems
			if !errors.As(err, &problems) || len(problems) == 0 {
				t.Fatalf("error is not a non-empty list of problems: %v", err)
			}
			return
		}
		form, err := parser.EncodeCheckedForm(parsed, data)
		if err != nil {
			t.Fatal(err)
		}
		fromForm, err := parser.ParseCheckedForm("fuzz.yaml", form, data)
		if err != nil {
			t.Fatalf("checked form of a valid contract is rejected: %v\n%s", err, form)
		}
		if effects := parser.ContractEffects(parsed, fromForm, nil); len(effects) > 0 {
			t.Fatal("contract from the checked form differs from the contract from text", effects)
		}
		for _, name := range parsed.KindNames() {
			if parsed.Kind(name).Deadline() <= 0 {
				t.Fatal("accepted a deadline that is not above zero")
			}
		}
	})
}

func FuzzParseDeployment(f *testing.F) {
	files, _ := filepath.Glob(filepath.Join(examples, "*", "config.yaml"))
	for _, file := range append(files, "testdata/problems/config-values.yaml") {
		f.Add(readFile(f, file))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := parser.ParseDeployment("fuzz.yaml", data)
		if err != nil {
			return
		}
		for _, name := range parsed.PipelineNames() {
			stages := parsed.Pipeline(name).Stages()
			if len(stages) < 3 || len(stages) > 6 {
				t.Fatal("accepted a pipeline with", len(stages), "stages")
			}
			for _, stage := range stages {
				if parsed.Service(stage.Service()) == nil {
					t.Fatal("accepted a stage with an unknown service")
				}
			}
		}
	})
}

// TestContractInDocumentationIsValid checks the contract that the documentation for
// operators explains.
func TestContractInDocumentationIsValid(t *testing.T) {
	is := is.New(t)
	page := string(readFile(t, "..", "..", "docs", "operating", "contracts.md"))
	_, block, found := strings.Cut(page, "```yaml\n")
	is.True(found)
	block, _, _ = strings.Cut(block, "```")
	parsed, err := parser.ParseContract("contracts.md", []byte(block))
	is.NoErr(err)
	is.NoErr(parser.CrossCheck(parsed, parseDeployment(t, "lutvik")))
}
