package commander

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/pkg/client"
)

const (
	// auditPageSize is the number of records in one request.
	auditPageSize = 500
	// auditPollInterval is the interval between requests of audit --follow.
	auditPollInterval = 500 * time.Millisecond
)

// auditFilter selects records of the audit trail; empty fields match all records.
type auditFilter struct {
	name     string
	operator string
	// maxAge is the maximum age of a record; zero means any age.
	maxAge time.Duration
	// after is the version after which records are requested.
	after uint64
}

// matches reports whether a record has the filter's name and operator and is at most maxAge
// old at the time now.
func (f auditFilter) matches(record *client.AuditRecord, now time.Time) bool {
	return (f.name == "" || record.Name == f.name) &&
		(f.operator == "" || record.Operator == f.operator) &&
		(f.maxAge == 0 || now.Sub(record.RecordedAt) <= f.maxAge)
}

// auditReader reads and prints the audit trail.
type auditReader struct {
	target    *instanceTarget
	filter    auditFilter
	showTexts bool
}

// newAudit returns the command that prints the audit trail.
func newAudit() *cobra.Command {
	target := &instanceTarget{}
	reader := &auditReader{target: target}
	var workspace string
	var follow bool
	command := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed what, when and why",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if workspace != "" {
				reader.filter.name = contractPrefix + workspace
			}
			return reader.printRecords(command, follow)
		},
	}
	target.declare(command)
	flags := command.Flags()
	flags.StringVar(&reader.filter.name, "name", "", "only this document: config or contract/WORKSPACE")
	flags.StringVar(&workspace, "workspace", "", "only this workspace's contract")
	flags.StringVar(&reader.filter.operator, "who", "", "only this operator")
	flags.DurationVar(&reader.filter.maxAge, "since", 0, "only records younger than this, such as 24h")
	flags.Uint64Var(&reader.filter.after, "after", 0, "only versions after this one")
	flags.BoolVar(&reader.showTexts, "full", false, "show the document's text before and after each change")
	flags.BoolVarP(&follow, "follow", "f", false, "keep running and show new records as they arrive")
	command.AddCommand(newAuditChange(target))
	return command
}

// printRecords prints the matching records. With follow it keeps printing new ones
// until the command's context ends, and retries after errors.
func (r auditReader) printRecords(command *cobra.Command, follow bool) error {
	operatorClient := r.target.client()
	after := r.filter.after
	for {
		records, err := operatorClient.AuditRecords(command.Context(), after, auditPageSize)
		if err != nil && (!follow || command.Context().Err() != nil) {
			return err
		}
		for i := range records {
			after = records[i].Version
			if err := r.printRecord(command, &records[i]); err != nil {
				return err
			}
		}
		if len(records) == auditPageSize {
			continue
		}
		if !follow {
			return nil
		}
		select {
		case <-command.Context().Done():
			return nil
		case <-time.After(auditPollInterval):
		}
	}
}

// printRecord prints a matching record as a line of JSON or of text.
func (r auditReader) printRecord(command *cobra.Command, record *client.AuditRecord) error {
	if !r.filter.matches(record, time.Now()) {
		return nil
	}
	if r.target.output.format == outputJSON {
		return json.NewEncoder(command.OutOrStdout()).Encode(record)
	}
	restored := ""
	if record.IsRestored {
		restored = " (restored)"
	}
	_, err := fmt.Fprintf(command.OutOrStdout(), "%8d  %s  %-12s %-28s %s%s\n",
		record.Version, record.RecordedAt.UTC().Format(time.RFC3339), record.Operator, record.Name, record.Reason, restored)
	if err == nil && r.showTexts {
		_, err = fmt.Fprintf(command.OutOrStdout(), "--- before (version %d)\n%s--- after\n%s", record.Base, withFinalNewline(record.Before), withFinalNewline(record.After))
	}
	return err
}

// withFinalNewline adds a final newline to a text that is not empty and has none.
func withFinalNewline(text string) string {
	if text == "" || strings.HasSuffix(text, "\n") {
		return text
	}
	return text + "\n"
}

// newAuditChange returns the command that shows whether a change was accepted.
func newAuditChange(target *instanceTarget) *cobra.Command {
	var resolve bool
	command := &cobra.Command{
		Use:   "change ID",
		Short: "Show whether a change was accepted, when its response was lost",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			fetchOutcome := target.client().ChangeOutcome
			if resolve {
				fetchOutcome = target.client().ResolveChange
			}
			outcome, err := fetchOutcome(command.Context(), args[0])
			if err != nil {
				return merry.Prepend(err, "read the outcome of the change")
			}
			return target.print(command, outcome, func() string { return fmt.Sprintf("%s %s at version %d\n", outcome.ID, outcome.State, outcome.Version) })
		},
	}
	command.Flags().BoolVar(&resolve, "settle", false, "void the change if it is not recorded, so that it can no longer be accepted")
	return command
}
