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

// documentCommands builds the commands that contracts and the configuration share.
type documentCommands struct {
	target *instanceTarget
	// noun names the kind of document in help texts.
	noun string
	// onlyName is the name of the only document of this kind, or "" when commands
	// take the document as an argument.
	onlyName string
	// parseName checks a document's text and returns the document's name.
	parseName func(file string, text []byte) (string, error)
}

// basePattern matches the version line, which the show command prints above a text.
var basePattern = regexp.MustCompile(`^# version ([0-9]+) of \S+\n`)

// baseVersion returns the version in a text's version line, or zero without one.
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

// withoutVersionLine returns a text without its version line.
func withoutVersionLine(text []byte) string { return string(basePattern.ReplaceAll(text, nil)) }

// withVersionLine returns a document's text with a version line above it.
func withVersionLine(name string, version uint64, text string) string {
	return fmt.Sprintf("# version %d of %s\n%s", version, name, text)
}

// documentName returns onlyName or, without one, the name of the contract of the
// workspace in args.
func (d documentCommands) documentName(args []string) string {
	if d.onlyName != "" {
		return d.onlyName
	}
	return contractPrefix + strings.TrimPrefix(args[0], contractPrefix)
}

// argumentUsage returns the usage text and the check of a command's argument.
func (d documentCommands) argumentUsage() (string, cobra.PositionalArgs) {
	if d.onlyName != "" {
		return "", cobra.NoArgs
	}
	return " WORKSPACE", cobra.ExactArgs(1)
}

// newShow returns the command that prints a document.
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
	command.Flags().Uint64Var(&version, "version", 0, "print an earlier version; its first line still names the current version, so that it can be applied again")
	return command
}

// fetchVersion returns a document at a version; zero means the current one. For an
// earlier version it returns the earlier text with the current version number, so that
// applying the result restores that text.
func (d documentCommands) fetchVersion(command *cobra.Command, name string, version uint64) (*client.Document, error) {
	operatorClient := d.target.client()
	document, err := operatorClient.Document(command.Context(), name)
	if err != nil || version == 0 || version == document.Version {
		return document, err
	}
	records, err := operatorClient.AuditRecords(command.Context(), version-1, 1)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 || records[0].Version != version || records[0].Name != name {
		return nil, merry.Errorf("--version %d: not a version of %s; the history command lists them", version, name)
	}
	document.Text = records[0].After
	return document, nil
}

// newList returns the command that lists documents.
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
			documents := make([]client.Document, 0, len(all))
			var lines strings.Builder
			for _, document := range all {
				if (document.Name == configName) == (d.onlyName == configName) {
					documents = append(documents, document)
					fmt.Fprintf(&lines, "%8d  %s\n", document.Version, strings.TrimPrefix(document.Name, contractPrefix))
				}
			}
			return d.target.print(command, documents, lines.String)
		},
	}
}

// newDiff returns the command that compares a file with its document.
func (d documentCommands) newDiff() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Compare a file with the document in the table, and show the effects of applying it",
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

// readFile reads and checks a file, and returns its document's name and the text.
func (d documentCommands) readFile(file string) (string, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", nil, err
	}
	name, err := d.parseName(file, text)
	return name, text, err
}

// formatDifference returns the difference of two texts and a list of its effects.
func formatDifference(difference *client.Difference) string {
	if difference == nil {
		return ""
	}
	var lines strings.Builder
	lines.WriteString(difference.Text)
	if len(difference.Effects) > 0 {
		lines.WriteString("\neffects:\n")
	}
	for _, effect := range difference.Effects {
		lines.WriteString("  " + effect.String() + "\n")
	}
	return lines.String()
}

// newHistory returns the command that lists a document's versions.
func (d documentCommands) newHistory() *cobra.Command {
	usage, args := d.argumentUsage()
	return &cobra.Command{
		Use:   "history" + usage,
		Short: "List all versions with author, time and reason",
		Args:  args,
		RunE: func(command *cobra.Command, args []string) error {
			reader := auditReader{target: d.target, filter: auditFilter{name: d.documentName(args)}}
			return reader.printRecords(command, false)
		},
	}
}
