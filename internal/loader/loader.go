// Package loader reads settings from flags and environment variables and validates them.
// A flag takes precedence over its environment variable, and the variable over the
// default.
package loader

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/pflag"
)

// variablePrefix is the prefix of the names of environment variables.
const variablePrefix = "ORIOLEMILL_"

// Setting is a flag with its environment variable and the rule for its values.
type Setting struct {
	flag *pflag.Flag
	rule Rule
}

// Name returns the name of the flag, without the leading dashes.
func (s Setting) Name() string { return s.flag.Name }

// EnvironmentVariable returns the name of the environment variable, such as
// ORIOLEMILL_EXIT_WAIT for the flag exit-wait.
func (s Setting) EnvironmentVariable() string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(s.flag.Name, "-", "_"))
}

// DefaultValue returns the value that is used if neither the flag nor the variable is set.
func (s Setting) DefaultValue() string { return s.flag.DefValue }

// Usage returns the description of the setting.
func (s Setting) Usage() string { return s.flag.Usage }

// AllowedValues returns the description of the allowed values.
func (s Setting) AllowedValues() string { return s.rule.allowedValues }

// Loader loads settings into variables. Settings are declared before the command line is
// parsed, and Load is called after it. A Loader is not safe for concurrent use.
type Loader struct {
	flags          *pflag.FlagSet
	settings       []Setting
	lookupVariable func(name string) (string, bool)
}

// Option sets a property of a Loader.
type Option func(*Loader)

// WithEnvironment sets the function that looks up environment variables; the default is
// os.LookupEnv.
func WithEnvironment(lookup func(name string) (string, bool)) Option {
	return func(l *Loader) { l.lookupVariable = lookup }
}

// New returns a Loader that adds a flag to flags for each setting.
func New(flags *pflag.FlagSet, options ...Option) *Loader {
	l := &Loader{flags: flags, lookupVariable: os.LookupEnv}
	for _, option := range options {
		option(l)
	}
	return l
}

// String declares a text setting that is stored in target and must satisfy the rule.
func (l *Loader) String(target *string, name, defaultValue, usage string, rule Rule) {
	l.flags.StringVar(target, name, defaultValue, usage)
	l.settings = append(l.settings, Setting{flag: l.flags.Lookup(name), rule: rule})
}

// Duration declares a setting that is stored in target and must be a duration of zero or
// more.
func (l *Loader) Duration(target *time.Duration, name string, defaultValue time.Duration, usage string) {
	l.flags.DurationVar(target, name, defaultValue, usage)
	l.settings = append(l.settings, Setting{flag: l.flags.Lookup(name), rule: nonNegativeDuration()})
}

// Settings returns all settings in the order of declaration.
func (l *Loader) Settings() []Setting { return l.settings }

// Load sets each setting whose flag is not on the command line from its environment
// variable, if that is set, and validates all settings. The error lists every invalid
// setting with its value and the allowed values.
func (l *Loader) Load() error {
	var errs []error
	for _, setting := range l.settings {
		if err := l.loadSetting(setting); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// loadSetting loads and validates one setting.
func (l *Loader) loadSetting(setting Setting) error {
	source := "--" + setting.Name()
	if value, ok := l.lookupVariable(setting.EnvironmentVariable()); ok && !setting.flag.Changed {
		source += " (from " + setting.EnvironmentVariable() + ")"
		if err := setting.flag.Value.Set(value); err != nil {
			return merry.Errorf("%s %q: %s", source, value, err)
		}
	}
	value := setting.flag.Value.String()
	if !setting.rule.accepts(value) {
		return merry.Errorf("%s %q is not allowed; allowed: %s", source, value, setting.rule.allowedValues)
	}
	return nil
}

// Markdown returns the reference page of the settings for operators, in Markdown.
func (l *Loader) Markdown(title, introduction string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n", title, introduction)
	for _, setting := range l.settings {
		fmt.Fprintf(&b, "\n## --%s\n\n%s.\n\n", setting.Name(), capitalize(setting.Usage()))
		fmt.Fprintf(&b, "- variable: `%s`\n", setting.EnvironmentVariable())
		fmt.Fprintf(&b, "- allowed: %s\n", setting.AllowedValues())
		if setting.DefaultValue() == "" {
			b.WriteString("- default: none\n")
			continue
		}
		fmt.Fprintf(&b, "- default: `%s`\n", setting.DefaultValue())
	}
	return []byte(b.String())
}

// capitalize returns text with its first letter in upper case. The letter must be ASCII.
func capitalize(text string) string { return strings.ToUpper(text[:1]) + text[1:] }
