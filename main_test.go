package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "write the actual output into the session scripts")

// processTimeout bounds the wait for a process to log its addresses after its
// start, and to exit after SIGTERM.
const processTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"oriolemill": main})
}

// TestSessions runs the scripts in testdata/sessions, each a complete session of
// operators and callers. In addition to the commands of testscript they can use:
//
//	start NAME PROGRAM ARGS...  starts a process and sets NAME_ADDRESS, NAME_CALLERS and NAME_OPERATORS
//	end NAME                    stops it with SIGTERM and writes its distinct log messages to the file NAME.log
//	mask OUT                    writes the output of the last command to the file OUT, with IDs, times and ports masked
func TestSessions(t *testing.T) {
	examples, err := filepath.Abs("examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/sessions",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			env.Setenv("GORACE", "atexit_sleep_ms=0") // without it each command sleeps for a second before it exits under -race
			env.Values[processesKey{}] = make(map[string]*process)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start": start, "end": end, "mask": mask,
		},
	})
}

// processesKey is the key of the processes of a script, by name.
type processesKey struct{}

// process is a background process with its log.
type process struct {
	command *exec.Cmd
	kill    context.CancelFunc
	started chan logLine
	exited  chan struct{}
	mu      sync.Mutex
	// messages holds the messages logged so far. mu guards it.
	messages []string
}

// logLine is a line of the JSON log of a process.
type logLine struct {
	Message   string `json:"msg"`
	Address   string `json:"address"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
}

// start is the command that starts a process and waits until it logs its addresses.
func start(ts *testscript.TestScript, _ bool, args []string) {
	p := newProcess(ts, args)
	select {
	case started := <-p.started:
		for suffix, address := range map[string]string{"_ADDRESS": started.Address, "_CALLERS": started.Callers, "_OPERATORS": started.Operators} {
			if address != "" {
				ts.Setenv(args[0]+suffix, "http://"+address)
			}
		}
	case <-p.exited:
		ts.Fatalf("%s exited before it logged its addresses: %s", args[0], strings.Join(p.messages, "\n"))
	case <-time.After(processTimeout):
		ts.Fatalf("%s did not log its addresses in time", args[0])
	}
}

// newProcess starts the program args[1] with the remaining arguments. The process is
// killed at the end of the script.
func newProcess(ts *testscript.TestScript, args []string) *process {
	path, err := exec.LookPath(args[1])
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{kill: cancel, started: make(chan logLine, 1), exited: make(chan struct{})}
	p.command = exec.CommandContext(ctx, path, args[2:]...)
	p.command.Dir = ts.MkAbs(".")
	p.command.Env = os.Environ()
	for _, name := range []string{"GORACE", "ORIOLEMILL_LINGER"} {
		p.command.Env = append(p.command.Env, name+"="+ts.Getenv(name))
	}
	reader, writer := io.Pipe()
	p.command.Stdout, p.command.Stderr = writer, writer
	ts.Check(p.command.Start())
	ts.Value(processesKey{}).(map[string]*process)[args[0]] = p
	ts.Defer(func() {
		cancel()
		<-p.exited
	})
	go p.readLog(reader)
	go func() {
		_ = p.command.Wait()
		_ = writer.Close()
	}()
	return p
}

// readLog collects the messages until the process exits. A line that is not JSON is
// a message as it is.
func (p *process) readLog(reader io.Reader) {
	defer close(p.exited)
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			line.Message = scanner.Text()
		}
		p.mu.Lock()
		p.messages = append(p.messages, line.Message)
		p.mu.Unlock()
		if line.Message == "started" {
			p.started <- line
		}
	}
}

// end is the command that stops a process and writes its distinct log messages to a
// file. A process that exits with another code than 0 fails the script.
func end(ts *testscript.TestScript, _ bool, args []string) {
	p := ts.Value(processesKey{}).(map[string]*process)[args[0]]
	ts.Check(p.command.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.exited:
	case <-time.After(processTimeout):
		ts.Fatalf("%s did not exit after SIGTERM in time", args[0])
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		ts.Fatalf("%s exited with code %d: %s", args[0], code, strings.Join(p.messages, "\n"))
	}
	var messages []string
	for _, message := range p.messages {
		if !slices.Contains(messages, message) {
			messages = append(messages, message)
		}
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]+".log"), []byte(strings.Join(messages, "\n")+"\n"), 0o600))
}

// masks are the parts of the output that differ from run to run, with their
// replacements.
var masks = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`[0-9a-f]{32}`), "ID"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\d+(\.\d+)?( ?m?s)\b`), "TIME"},
	// Costs of stages depend on hedged requests, caches and the load of the machine.
	{regexp.MustCompile(`(?m)^(\w+)( +[\d.]+){5}$`), "$1 ..."},
	// On a slow machine an upstream may be ejected for a while as an outlier.
	{regexp.MustCompile(`(?m)^(mill-\d +[\w-]+ +\d+)( +\d+){3}$`), "$1 ..."},
	{regexp.MustCompile(` {2,}`), "  "},
	{regexp.MustCompile(`(?m) +$`), ""},
}

// mask is the command that writes the masked output of the last command to a file.
func mask(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile("stdout") + ts.ReadFile("stderr")
	for _, m := range masks {
		text = m.pattern.ReplaceAllString(text, m.replacement)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}
