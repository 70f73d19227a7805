package commander_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"oriolemill.example/oriolemill/internal/commander"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/assembler"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/parser"
)

// lutvik is the folder of the example deployment that the tests use.
const lutvik = "../../examples/lutvik"

// hash returns the hash of a token as the configuration holds it.
func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// fixture runs commands against an instance without any applied document, and holds
// the files that they read.
type fixture struct {
	t  *testing.T
	is *is.I
	// root is the folder of the files.
	root string
	// operators is the instance's base address for operators.
	operators   string
	environment *standin.Environment
}

// newFixture starts the stand-ins and an instance, and writes a configuration with the
// operators anna, who may write, and bo, who may read.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile(filepath.Join(lutvik, "config.yaml"))
	is.NoErr(err)
	deployment, err := parser.ParseDeployment("config.yaml", text)
	is.NoErr(err)
	environment, err := standin.NewEnvironment(deployment, standin.DefaultSpeeds(), 0)
	is.NoErr(err)
	t.Cleanup(environment.Close)
	instance, err := assembler.New(assembler.Settings{
		ID: "i-0", Datacentre: "sundsvall-a", CallerAddress: "127.0.0.1:0", PlatformURL: environment.PlatformURL(), BootstrapHash: hash("first"),
	})
	is.NoErr(err)
	is.NoErr(instance.Start())
	t.Cleanup(func() { is.NoErr(instance.Stop(context.Background())) })
	f := &fixture{t: t, is: is, root: t.TempDir(), operators: "http://" + instance.OperatorAddress(), environment: environment}
	f.write("config.yaml", string(text)+"operators:\n"+
		"  - {name: anna, role: write, token: "+hash("anna")+"}\n"+
		"  - {name: bo, role: read, token: "+hash("bo")+"}\n")
	return f
}

// write writes a file into the fixture's folder.
func (f *fixture) write(name, text string) {
	f.is.NoErr(os.WriteFile(filepath.Join(f.root, name), []byte(text), 0o600))
}

// run runs a command with an operator's token and returns its exit code and output.
// Names of files are relative to the fixture's folder.
func (f *fixture) run(token string, args ...string) (int, string) {
	f.t.Helper()
	args = slices.Clone(args)
	for i, arg := range args {
		if strings.HasSuffix(arg, ".yaml") {
			args[i] = filepath.Join(f.root, arg)
		}
	}
	var out bytes.Buffer
	code := commander.Execute(append(args, "--instance", f.operators, "--token", token), &out, &out)
	return code, strings.ReplaceAll(out.String(), f.root+"/", "")
}

// mustRun runs a command that must succeed and returns its output.
func (f *fixture) mustRun(token string, args ...string) string {
	f.t.Helper()
	code, out := f.run(token, args...)
	if code != 0 {
		f.t.Fatalf("command %q exited with code %d:\n%s", args, code, out)
	}
	return out
}

// runUntilSuccess repeats a command until it succeeds, for at most a minute.
func (f *fixture) runUntilSuccess(token string, args ...string) {
	f.t.Helper()
	deadline := time.Now().Add(time.Minute)
	for {
		code, out := f.run(token, args...)
		if code == 0 {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("command %q did not succeed within a minute; last exit code %d:\n%s", args, code, out)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestDocumentsAreAppliedComparedAndRestored applies contracts as several operators:
// an edit whose base version is outdated is rejected with the changes since then, and
// an earlier version can be applied again.
func TestDocumentsAreAppliedComparedAndRestored(t *testing.T) {
	f := newFixture(t)
	contract, err := os.ReadFile(filepath.Join(lutvik, "contracts", "alvkraft.yaml"))
	f.is.NoErr(err)
	f.write("alvkraft.yaml", string(contract))
	code, out := f.run("wrong", "config", "apply", "config.yaml", "--reason", "begin")
	f.is.True(code != 0 && strings.Contains(out, "403"))
	f.runUntilSuccess("first", "config", "apply", "config.yaml", "--reason", "begin") // once the instance has read the table
	f.runUntilSuccess("anna", "config", "list")                                       // once the configuration with her token is in force
	code, out = f.run("first", "config", "list")
	f.is.True(code != 0 && strings.Contains(out, "403")) // the bootstrap token is void once the configuration names operators
	out = f.mustRun("anna", "contract", "apply", "alvkraft.yaml", "--reason", "new customer", "--wait")
	f.is.True(strings.Contains(out, "contract/alvkraft accepted as version 2"))
	f.is.True(strings.Contains(out, "in force on all 1 live instances"))

	shown := f.mustRun("bo", "contract", "show", "alvkraft")
	f.is.Equal(shown, "# version 2 of contract/alvkraft\n"+string(contract))
	f.write("mine.yaml", strings.Replace(shown, "rate: 20", "rate: 10", 1))
	f.write("theirs.yaml", strings.Replace(shown, "deadline: 4s", "deadline: 6s", 1))
	golden := goldie.New(t)
	golden.Assert(t, "diff", []byte(f.mustRun("bo", "contract", "diff", "theirs.yaml")))
	code, out = f.run("bo", "contract", "apply", "mine.yaml", "--reason", "may not")
	f.is.True(code != 0 && strings.Contains(out, "bo may only read"))
	f.mustRun("anna", "contract", "apply", "theirs.yaml", "--reason", "longer upsets")
	code, out = f.run("anna", "contract", "apply", "mine.yaml", "--reason", "too fast")
	f.is.True(code != 0)
	golden.Assert(t, "conflict", []byte(out))

	f.write("back.yaml", f.mustRun("anna", "contract", "show", "alvkraft", "--version", "2"))
	f.mustRun("anna", "contract", "apply", "back.yaml", "--reason", "back", "--wait")
	f.is.Equal(f.mustRun("anna", "contract", "show", "alvkraft"), "# version 4 of contract/alvkraft\n"+string(contract))
	f.is.Equal(f.mustRun("anna", "contract", "list"), "       4  alvkraft\n")

	history := f.mustRun("bo", "contract", "history", "alvkraft")
	f.is.Equal(strings.Count(history, "\n"), 3)
	f.is.True(strings.Contains(history, "longer upsets"))
	f.is.Equal(strings.Count(f.mustRun("bo", "audit"), "\n"), 4)
	f.is.Equal(strings.Count(f.mustRun("bo", "audit", "--who", "bootstrap"), "\n"), 1)
	f.is.True(strings.Contains(f.mustRun("bo", "audit", "--workspace", "alvkraft", "--after", "3", "--full"), "deadline: 6s"))
	code, out = f.run("anna", "config", "restore", "--reason", "no need")
	f.is.True(code != 0 && strings.Contains(out, "not behind"))
}

// TestOrderHistoryShowsWhoResolvedWhat resolves orders of two workspaces and filters
// the history by workspace and key.
func TestOrderHistoryShowsWhoResolvedWhat(t *testing.T) {
	f := newFixture(t)
	f.runUntilSuccess("first", "config", "apply", "config.yaml", "--reason", "begin")
	f.runUntilSuccess("anna", "config", "list")
	f.is.Equal(f.mustRun("bo", "order", "history"), "")
	unknown := []byte(`{"state":"unknown","nonce":"n","service":"handover-desk","until":"2000-01-01T00:00:00Z","expires":"2100-01-01T00:00:00Z"}`)
	for _, row := range []string{"skoghammar/a", "skoghammar/b", "storfors/a"} {
		_, conflict := f.environment.Platform().Commit([]server.Write{{Key: server.Key{Table: "orders", Row: row}, Value: unknown}})
		f.is.True(conflict == nil)
	}
	f.mustRun("anna", "order", "resolve", "skoghammar", "a", "--state", "done", "--reason", "seen at the pump")
	f.mustRun("anna", "order", "resolve", "skoghammar", "b", "--state", "not-run", "--reason", "pump was off")
	f.mustRun("anna", "order", "resolve", "storfors", "a", "--state", "done", "--reason", "asked Eva")
	code, _ := f.run("bo", "order", "resolve", "storfors", "a", "--state", "done", "--reason", "may not")
	f.is.True(code != 0)
	lines := strings.Split(strings.TrimSpace(f.mustRun("bo", "order", "history")), "\n")
	f.is.Equal(len(lines), 3) // the rejected resolution is not recorded
	f.is.True(strings.HasSuffix(lines[0], "\tanna\torder resolve done\tskoghammar\ta\tseen at the pump"))
	f.is.True(strings.HasSuffix(lines[1], "\tanna\torder resolve not-run\tskoghammar\tb\tpump was off"))
	f.is.Equal(strings.Count(f.mustRun("bo", "order", "history", "--workspace", "skoghammar"), "\n"), 2)
	f.is.Equal(strings.Count(f.mustRun("bo", "order", "history", "--key", "a"), "\n"), 2)
	f.is.Equal(f.mustRun("bo", "order", "history", "--workspace", "storfors", "--key", "a"), lines[2]+"\n")
	f.is.Equal(f.mustRun("bo", "order", "history", "--workspace", "storfors", "--key", "b"), "")
	code, _ = f.run("wrong", "order", "history")
	f.is.True(code != 0)
}

func TestValidateReportsProblemsOffline(t *testing.T) {
	for _, example := range []string{"lutvik", "uwazi"} {
		var out bytes.Buffer
		files, _ := filepath.Glob(filepath.Join("../../examples", example, "contracts", "*.yaml"))
		args := append([]string{"contract", "validate", "--config", filepath.Join("../../examples", example, "config.yaml")}, files...)
		is.New(t).Equal(commander.Execute(args, &out, &out), 0)
	}
	var out bytes.Buffer
	code := commander.Execute([]string{"contract", "validate", "--config", lutvik + "/config.yaml", "testdata/wrong.yaml", "testdata/taken.yaml", lutvik + "/contracts/alvkraft.yaml"}, &out, &out)
	is.New(t).True(code != 0)
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "validate", out.Bytes())
}
