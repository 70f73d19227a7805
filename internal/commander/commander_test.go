package commander

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

// TestPagesAreCurrent compares the generated pages for operators with those that the
// program generates now.
func TestPagesAreCurrent(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../../docs/operating"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "settings", settingsPage())
	g.Assert(t, "commands", commandsPage())
}

func TestExecuteReturnsExitCodes(t *testing.T) {
	cases := map[string]struct {
		args []string
		code int
		text string
	}{
		"version":                {[]string{"version"}, exitOK, ""},
		"completion":             {[]string{"completion", "bash"}, exitOK, ""},
		"valid settings":         {[]string{"serve", "--check", "--id", "i-1", "--datacentre", "dar-a", "--platform", "http://127.0.0.1:1"}, exitOK, ""},
		"wrong setting":          {[]string{"serve", "--check", "--id", "i-1", "--datacentre", "Dar A", "--platform", "http://127.0.0.1:1"}, exitUsage, `--datacentre "Dar A" is not allowed; allowed: 1 to 63`},
		"unknown flag":           {[]string{"serve", "--speed"}, exitUsage, "--speed"},
		"unknown command":        {[]string{"fly"}, exitUsage, `"fly"`},
		"missing kind":           {[]string{"call"}, exitUsage, "arg"},
		"missing input":          {[]string{"call", "upset", "--pipeline", "boiler-log"}, exitUsage, "input"},
		"wrong output":           {[]string{"status", "--output", "xml"}, exitUsage, `--output "xml" is not allowed; allowed: table or json`},
		"call without instance":  {[]string{"call", "upset", "--pipeline", "boiler-log", "--input", `"x"`, "--address", "http://127.0.0.1:1"}, exitNotRun, "refused"},
		"apply without instance": {[]string{"contract", "apply", "--reason", "x", "--instance", "http://127.0.0.1:1", "../../examples/uwazi/contracts/haki.yaml"}, exitError, "not accepted"},
		"unknown example":        {[]string{"demo", "nowhere"}, exitError, `example "nowhere": want one of lutvik, uwazi`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(Execute(c.args, &out, &errs), c.code)
			is.True(strings.Contains(errs.String(), c.text))
		})
	}
}
