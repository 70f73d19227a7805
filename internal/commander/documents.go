package commander

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/pkg/client"
)

// documentCommands makes the commands that contracts and the configuration share.
type documentCommands struct {
	target *instanceTarget
	noun   string
	// onlyName is the name of the only document, or "" when arguments name them.
	onlyName string
	// parseName checks a text and returns the name of its document.
	parseName func(file string, text []byte) (string, error)
}

// basePattern is the first line of a text that show printed.
var basePattern = regexp.MustCompile(`^# version ([0-9]+) of \S+\n`)

// baseVersion returns the version that a text which show printed is based on, or zero.
func baseVersion(text []byte) uint64 {
	match := basePattern.FindSubmatch(text)
	if match == nil {
		return 0
	}
	version, err := strconv.ParseUint(string(match[1]), 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// withoutVersionLine returns a text without the line that show put before it.
func withoutVersionLine(text []byte) string { return string(basePattern.ReplaceAll(text, nil)) }

// withVersionLine returns a document's text with its version on the first line.
func withVersionLine(name string, version uint64, text string) string {
	return fmt.Sprintf("# version %d of %s\n%s", version, name, text)
}

// documentName returns the document name of an argument, or that of the only one.
func (d documentCommands) documentName(args []string) string {
	if d.onlyName != "" {
		return d.onlyName
	}
	return contractPrefix + strings.TrimPrefix(args[0], contractPrefix)
}

func (d documentCommands) argumentUsage() (string, cobra.PositionalArgs) {
	if d.onlyName != "" {
		return "", cobra.NoArgs
	}
	return " WORKSPACE", cobra.ExactArgs(1)
}

func (d documentCommands) newShow() *cobra.Command {
	var version uint64
	usage, args := d.argumentUsage()
	command := &cobra.Command{
		Use:   "show" + usage,
		Short: "Print a " + d.noun + " with its version on the first line",
		Args:  args,
		RunE: func(command *cobra.Command, args []string) error {
			document, err := d.fetchVersion(command, d.documentName(args), version)
			if err != nil {
				return err
			}
			return d.target.print(command, document, func() string { return withVersionLine(document.Name, document.Version, document.Text) })
		},
	}
	command.Flags().Uint64Var(&version, "version", 0, "an earlier version; its first line names the version it would replace")
	return command
}

// fetchVersion returns a document as it is, or an earlier text headed by the version
// that is in the table now, so that it can be applied to go back.
func (d documentCommands) fetchVersion(command *cobra.Command, name string, version uint64) (*client.Document, error) {
	reached := d.target.client()
	document, err := reached.Document(command.Context(), name)
	if err != nil || version == 0 || version == document.Version {
		return document, err
	}
	records, err := reached.Audit(command.Context(), version-1, 1)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 || records[0].Version != version || records[0].Name != name {
		return nil, merry.Errorf("--version %d: is no version of %s; see the history", version, name)
	}
	document.Text = records[0].After
	return document, nil
}

func (d documentCommands) newList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List documents with their versions",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			all, err := d.target.client().Documents(command.Context())
			if err != nil {
				return err
			}
			listed := make([]client.Document, 0, len(all))
			var lines strings.Builder
			for _, document := range all {
				if (document.Name == configName) == (d.onlyName == configName) {
					listed = append(listed, document)
					fmt.Fprintf(&lines, "%8d  %s\n", document.Version, strings.TrimPrefix(document.Name, contractPrefix))
				}
			}
			return d.target.print(command, listed, lines.String)
		},
	}
}

func (d documentCommands) newDiff() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Compare a file with what is in the table, and show what would follow",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			name, text, err := d.readFile(args[0])
			if err != nil {
				return err
			}
			difference, err := d.target.client().Diff(command.Context(), name, withoutVersionLine(text))
			if err != nil {
				return explainRefusal(err)
			}
			return d.target.print(command, difference, func() string { return formatDifference(difference) })
		},
	}
}

// readFile reads and checks a file and returns its document's name.
func (d documentCommands) readFile(file string) (string, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", nil, err
	}
	name, err := d.parseName(file, text)
	return name, text, err
}

// formatDifference shows the texts' difference and what follows from it.
func formatDifference(difference *client.Difference) string {
	if difference == nil {
		return ""
	}
	var lines strings.Builder
	lines.WriteString(difference.Text)
	if len(difference.Effects) > 0 {
		lines.WriteString("\nwhat follows:\n")
	}
	for _, effect := range difference.Effects {
		lines.WriteString("  " + effect.String() + "\n")
	}
	return lines.String()
}

func (d documentCommands) newHistory() *cobra.Command {
	usage, args := d.argumentUsage()
	return &cobra.Command{
		Use:   "history" + usage,
		Short: "List all versions with who made them, when and why",
		Args:  args,
		RunE: func(command *cobra.Command, args []string) error {
			trail := auditReader{target: d.target, filter: auditFilter{name: d.documentName(args)}}
			return trail.printRecords(command, false)
		},
	}
}
