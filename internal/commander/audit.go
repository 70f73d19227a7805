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

// Reading the trail.
const (
	auditPageSize     = 500
	auditPollInterval = 500 * time.Millisecond
)

// auditFilter chooses records of the trail; empty fields let everything through.
type auditFilter struct {
	name  string
	who   string
	since time.Duration
	after uint64
}

func (f auditFilter) matches(record *client.Record, now time.Time) bool {
	return (f.name == "" || record.Name == f.name) &&
		(f.who == "" || record.Who == f.who) &&
		(f.since == 0 || now.Sub(record.At) <= f.since)
}

// auditReader reads the audit trail.
type auditReader struct {
	target    *instanceTarget
	filter    auditFilter
	showTexts bool
}

// newAudit returns the command for the audit trail.
func newAudit() *cobra.Command {
	reach := &instanceTarget{}
	trail := &auditReader{target: reach}
	var workspace string
	var follow bool
	command := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed what, when and why",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if workspace != "" {
				trail.filter.name = contractPrefix + workspace
			}
			return trail.printRecords(command, follow)
		},
	}
	reach.declare(command)
	flags := command.Flags()
	flags.StringVar(&trail.filter.name, "name", "", "only this document: config or contract/WORKSPACE")
	flags.StringVar(&workspace, "workspace", "", "only this workspace's contract")
	flags.StringVar(&trail.filter.who, "who", "", "only this operator")
	flags.DurationVar(&trail.filter.since, "since", 0, "only what is younger, such as 24h")
	flags.Uint64Var(&trail.filter.after, "after", 0, "only versions after this one")
	flags.BoolVar(&trail.showTexts, "full", false, "show the texts before and after")
	flags.BoolVarP(&follow, "follow", "f", false, "go on and show new records as they come")
	command.AddCommand(newAuditChange(reach))
	return command
}

// printRecords prints the trail; with follow it goes on until the command is ended.
func (t auditReader) printRecords(command *cobra.Command, follow bool) error {
	reached := t.target.client()
	after := t.filter.after
	for {
		records, err := reached.Audit(command.Context(), after, auditPageSize)
		if err != nil && (!follow || command.Context().Err() != nil) {
			return err
		}
		for i := range records {
			after = records[i].Version
			if err := t.printRecord(command, &records[i]); err != nil {
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

// printRecord prints one record: a line of JSON, or a line of text.
func (t auditReader) printRecord(command *cobra.Command, record *client.Record) error {
	if !t.filter.matches(record, time.Now()) {
		return nil
	}
	if t.target.output.format == outputJSON {
		return json.NewEncoder(command.OutOrStdout()).Encode(record)
	}
	restored := ""
	if record.Restored {
		restored = " (restored)"
	}
	_, err := fmt.Fprintf(command.OutOrStdout(), "%8d  %s  %-12s %-28s %s%s\n",
		record.Version, record.At.UTC().Format(time.RFC3339), record.Who, record.Name, record.Reason, restored)
	if err == nil && t.showTexts {
		_, err = fmt.Fprintf(command.OutOrStdout(), "--- before (version %d)\n%s--- after\n%s", record.Base, withFinalNewline(record.Before), withFinalNewline(record.After))
	}
	return err
}

// withFinalNewline returns a text that ends with a new line, unless it is empty.
func withFinalNewline(text string) string {
	if text == "" || strings.HasSuffix(text, "\n") {
		return text
	}
	return text + "\n"
}

// newAuditChange returns the command that asks what became of one change.
func newAuditChange(reach *instanceTarget) *cobra.Command {
	var settle bool
	command := &cobra.Command{
		Use:   "change ID",
		Short: "Tell whether a change was accepted whose answer was lost",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			ask := reach.client().Outcome
			if settle {
				ask = reach.client().Settle
			}
			outcome, err := ask(command.Context(), args[0])
			if err != nil {
				return merry.Prepend(err, "change")
			}
			return reach.print(command, outcome, func() string { return fmt.Sprintf("%s %s at version %d\n", outcome.ID, outcome.State, outcome.Version) })
		},
	}
	command.Flags().BoolVar(&settle, "settle", false, "void the change when nothing is known of it, so that it can't be accepted any more")
	return command
}
