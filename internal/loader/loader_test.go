package loader_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/pflag"

	"oriolemill.example/oriolemill/internal/loader"
)

// load declares settings with four different rules, parses args and returns the loaded
// values by name.
func load(environment map[string]string, args ...string) (map[string]string, error) {
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	l := loader.New(flags, loader.WithEnvironment(func(name string) (string, bool) {
		value, ok := environment[name]
		return value, ok
	}))
	values := make([]string, 4)
	l.String(&values[0], "id", "mill-1", "name", loader.Name())
	l.String(&values[1], "callers", "127.0.0.1:8080", "address", loader.Address())
	l.String(&values[2], "platform", "http://127.0.0.1:7000", "platform", loader.URL())
	l.String(&values[3], "exit-wait", "short", "choice", loader.Choice("short", "long"))
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	err := l.Load()
	return map[string]string{"id": values[0], "callers": values[1], "platform": values[2], "exit-wait": values[3]}, err
}

func TestLoadPrefersFlagThenVariableThenDefault(t *testing.T) {
	is := is.New(t)
	environment := map[string]string{"ORIOLEMILL_ID": "from-variable", "ORIOLEMILL_EXIT_WAIT": "long"}
	values, err := load(environment, "--id", "from-flag")
	is.NoErr(err)
	is.Equal(values["id"], "from-flag")
	is.Equal(values["exit-wait"], "long")
	is.Equal(values["callers"], "127.0.0.1:8080")
}

func TestLoadRejectsInvalidValues(t *testing.T) {
	cases := map[string]struct {
		environment map[string]string
		args        []string
		want        string
	}{
		"name":     {nil, []string{"--id", "Mill 1"}, `--id "Mill 1" is not allowed; allowed: 1 to 63 small letters, digits, dots and dashes, the first a letter or digit`},
		"address":  {nil, []string{"--callers", "localhost"}, `--callers "localhost" is not allowed; allowed: IP:PORT, such as 127.0.0.1:8080; port 0 takes a free one`},
		"port":     {nil, []string{"--callers", "127.0.0.1:70000"}, `--callers "127.0.0.1:70000" is not allowed; allowed: IP:PORT, such as 127.0.0.1:8080; port 0 takes a free one`},
		"url":      {nil, []string{"--platform", "127.0.0.1:7000"}, `--platform "127.0.0.1:7000" is not allowed; allowed: http://HOST:PORT or https://HOST:PORT, without a path`},
		"variable": {map[string]string{"ORIOLEMILL_EXIT_WAIT": "none"}, nil, `--exit-wait (from ORIOLEMILL_EXIT_WAIT) "none" is not allowed; allowed: short or long`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := load(c.environment, c.args...)
			is.True(err != nil)
			is.Equal(err.Error(), c.want)
		})
	}
}

func TestLoadReportsAllInvalidValues(t *testing.T) {
	is := is.New(t)
	_, err := load(nil, "--id", "", "--platform", "x")
	is.Equal(err.Error(), "--id \"\" is not allowed; allowed: 1 to 63 small letters, digits, dots and dashes, the first a letter or digit\n"+
		"--platform \"x\" is not allowed; allowed: http://HOST:PORT or https://HOST:PORT, without a path")
}
