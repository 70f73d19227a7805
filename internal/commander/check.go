package commander

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/internal/checker"
	"oriolemill.example/oriolemill/platform"
)

// Values of check --format.
const (
	formatText = "text"
	formatJSON = "json"
)

// errFindings is the error of check after it has printed findings.
var errFindings = merry.New("the check has findings")

// checkFlags holds the flags of the check command.
type checkFlags struct {
	against, format, settings string
}

// newCheck returns the command that checks a configuration before it is sent.
func newCheck() *cobra.Command {
	var flags checkFlags
	command := &cobra.Command{
		Use:   "check NEW",
		Short: "Check a plan or documents offline, and compare them with those in force",
		Long: "Check reports what instances would refuse or ignore in a configuration, entries that never\n" +
			"match and limits that contradict each other. NEW is the plan of a relaying deployment (JSON),\n" +
			"a contract or configuration document (YAML), or a folder of such documents. The exit code\n" +
			"is 0 without findings, 1 with findings and 2 if a file or flag cannot be used.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return runCheck(command, args[0], flags) },
	}
	command.Flags().StringVar(&flags.against, "against", "", "file or folder with the configuration in force, to list the differences")
	command.Flags().StringVar(&flags.format, "format", formatText, "output format: text or json")
	command.Flags().StringVar(&flags.settings, "settings", os.Getenv(platform.SettingsVariable), "settings file of an instance, for the checks of regions and retries of a plan; the default is the value of "+platform.SettingsVariable+" in the environment")
	return command
}

// runCheck checks and compares the configurations, and prints the report.
func runCheck(command *cobra.Command, path string, flags checkFlags) error {
	if flags.format != formatText && flags.format != formatJSON {
		return withExitCode(exitUsage, merry.Errorf("--format %q is not allowed; allowed: %s or %s", flags.format, formatText, formatJSON))
	}
	report, err := checkFiles(path, flags)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	if err := printReport(command, report, flags.format); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return withExitCode(exitError, errFindings)
	}
	return nil
}

// checkFiles returns the report on the configuration at path. An error means that the input cannot be used.
func checkFiles(path string, flags checkFlags) (*checker.Report, error) {
	proposed, err := readConfiguration(path)
	if err != nil {
		return nil, err
	}
	current := &configuration{}
	if flags.against != "" {
		if current, err = readConfiguration(flags.against); err != nil {
			return nil, merry.Prepend(err, "--against")
		}
		if problem := current.problem(); problem != "" {
			return nil, merry.Errorf("--against: %s cannot be compared: %s", flags.against, problem)
		}
		if (current.plan == nil) != (proposed.plan == nil) {
			return nil, merry.Errorf("--against: %s and %s must be both plans or both documents", path, flags.against)
		}
	}
	if proposed.plan == nil {
		return checker.New().CheckDocuments(proposed.documents, current.documents), nil
	}
	var options []checker.Option
	if flags.settings != "" {
		settings, err := platform.LoadSettings(flags.settings)
		if err != nil {
			return nil, merry.Prepend(err, "--settings")
		}
		options = append(options, checker.WithSettings(checker.Settings{
			Regions: settings.Regions, RetryRatio: settings.Bounds.RetryRatio, RetrySlack: settings.Bounds.RetrySlack, RetryWindow: settings.Bounds.RetryWindow,
		}))
	}
	return checker.New(options...).CheckPlan(path, proposed.plan, current.plan), nil
}

// configuration is a plan or a set of documents.
type configuration struct {
	plan      *checker.Plan
	documents []*checker.Document
}

// problem returns why instances refuse the configuration, or "".
func (c *configuration) problem() string {
	if c.plan != nil && c.plan.Plan == nil {
		return c.plan.Errors[0].Message
	}
	for _, document := range c.documents {
		if len(document.Problems) > 0 {
			return document.File + " is not valid"
		}
	}
	return ""
}

// readConfiguration reads a file or the documents in a folder.
func readConfiguration(path string) (*configuration, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.IsDir() {
		return readFolder(path)
	}
	text, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	switch {
	case checker.IsDocument(text):
		return &configuration{documents: []*checker.Document{checker.ParseDocument(path, text)}}, nil
	case checker.IsObject(text):
		return &configuration{plan: platform.ReadPlan(text)}, nil
	default:
		return nil, merry.Errorf("%s is neither a plan (a JSON object) nor a document (YAML with the field contract or deployment)", path)
	}
}

// readFolder reads the documents in a folder and the folders below it.
func readFolder(root string) (*configuration, error) {
	var files []string
	var texts [][]byte
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if extension := filepath.Ext(path); err != nil || entry.IsDir() || extension != ".yaml" && extension != ".yml" {
			return err
		}
		text, err := os.ReadFile(path) //nolint:gosec // the operator names the folder
		if err == nil && !checker.IsDocument(text) {
			err = merry.Errorf("%s is no document (YAML with the field contract or deployment)", path)
		}
		files, texts = append(files, path), append(texts, text)
		return err
	})
	if err == nil && len(files) == 0 {
		err = merry.Errorf("%s has no documents (files named *.yaml or *.yml)", root)
	}
	if err != nil {
		return nil, err
	}
	return &configuration{documents: checker.ParseDocuments(files, texts)}, nil
}

// printReport prints a report as text or JSON.
func printReport(command *cobra.Command, report *checker.Report, format string) error {
	if format == formatJSON {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(report)
	}
	var text strings.Builder
	for _, finding := range report.Findings {
		text.WriteString(finding.String() + "\n")
	}
	if len(report.Findings) == 0 {
		text.WriteString("no findings\n")
	}
	if len(report.Differences) > 0 {
		text.WriteString("\ndifferences:\n")
	}
	for _, difference := range report.Differences {
		text.WriteString("  " + difference.String() + "\n")
	}
	for _, omitted := range report.Omitted {
		text.WriteString("not checked: " + omitted + "\n")
	}
	_, err := fmt.Fprint(command.OutOrStdout(), text.String())
	return err
}
