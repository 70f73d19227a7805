package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/client"
)

// Times of apply --wait.
const (
	// defaultWaitTimeout bounds the wait until a version is in force.
	defaultWaitTimeout = 10 * time.Second
	// waitPollInterval is the interval between requests for the instances' versions.
	waitPollInterval = 100 * time.Millisecond
)

// applyFlags holds the flags of the apply command.
type applyFlags struct {
	base    uint64
	reason  string
	wait    bool
	timeout time.Duration
}

// newApply returns the command that applies files as new versions of documents.
func (d documentCommands) newApply() *cobra.Command {
	var flags applyFlags
	command := &cobra.Command{
		Use:   "apply FILE...",
		Short: "Apply files as new versions of documents; the base version is on a file's first line or in --base",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			for _, file := range args {
				if err := d.applyFile(command, file, flags); err != nil {
					return err
				}
			}
			return nil
		},
	}
	command.Flags().Uint64Var(&flags.base, "base", 0, "version of the document that the edit is based on; 0 takes it from the file's first line, or creates the document")
	command.Flags().StringVar(&flags.reason, "reason", "", "reason for the change, recorded in the audit trail")
	command.Flags().BoolVar(&flags.wait, "wait", false, "wait until all live instances have the version in force")
	command.Flags().DurationVar(&flags.timeout, "timeout", defaultWaitTimeout, "timeout of --wait")
	_ = command.MarkFlagRequired("reason")
	return command
}

// applyFile applies one file as a new version of its document.
func (d documentCommands) applyFile(command *cobra.Command, file string, flags applyFlags) error {
	name, text, err := d.readFile(file)
	if err != nil {
		return err
	}
	if flags.base == 0 {
		flags.base = baseVersion(text)
	}
	operatorClient := d.target.client()
	change := client.DocumentChange{ID: server.NewID().String(), Base: flags.base, Text: withoutVersionLine(text), Reason: flags.reason}
	outcome, err := operatorClient.ApplyChange(command.Context(), name, change)
	if err != nil {
		return describeOutcome(explainRefusal(err), change.ID)
	}
	if err := d.target.print(command, outcome, func() string { return fmt.Sprintf("%s accepted as version %d\n", name, outcome.Version) }); err != nil || !flags.wait {
		return err
	}
	return waitInForce(command, operatorClient, outcome.Version, flags.timeout)
}

// explainRefusal adds to a refusal what the operator needs to correct the edit: the
// problems found, or the changes that others made meanwhile.
func explainRefusal(err error) error {
	var problem *client.OperatorProblem
	if !errors.As(err, &problem) {
		return err
	}
	text := problem.Error()
	if len(problem.Problems) > 0 {
		text = problem.Detail
	}
	if problem.CurrentVersion > 0 {
		text = problem.Detail + fmt.Sprintf("\nnow at version %d; changes by others since the edit's base version:\n%s", problem.CurrentVersion, formatDifference(problem.Difference))
	}
	return &operatorError{text: strings.TrimSuffix(text, "\n"), cause: err}
}

// operatorError is an error with a text for operators.
type operatorError struct {
	text  string
	cause error
}

// Error returns the text for operators.
func (e *operatorError) Error() string { return e.text }

// Unwrap returns the cause.
func (e *operatorError) Unwrap() error { return e.cause }

// describeOutcome adds to the error of a change whether the change was accepted. If
// that is unknown, it names the command that finds out.
func describeOutcome(err error, id string) error {
	var problem *client.OperatorProblem
	if errors.As(err, &problem) && problem.ChangeID == "" {
		return err
	}
	if client.OutcomeOf(err) == client.OutcomeNotRun {
		return merry.Prepend(err, "the change was not accepted, since no instance was reached")
	}
	return merry.Prependf(err, "not known yet whether the change was accepted (to find out, run \"audit change %s\")", id)
}

// waitInForce waits until all live instances have a version in force. After the timeout it
// returns an error that names the instances that do not have it in force, or the error of
// the last request for the versions if that request failed. A request that the timeout ended
// does not count if an earlier one succeeded.
func waitInForce(command *cobra.Command, operatorClient *client.Client, version uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(command.Context(), timeout)
	defer cancel()
	start := time.Now()
	var behind []string
	for {
		versions, err := operatorClient.VersionStatus(ctx)
		var problem *client.OperatorProblem
		switch {
		case err == nil:
			behind = instancesBehind(versions, version)
		case errors.As(err, &problem) && problem.Status == http.StatusForbidden:
			return merry.Prependf(err, "version %d is accepted, but this token may not read which instances have it in force", version)
		case ctx.Err() == nil || behind == nil:
			behind = []string{err.Error()}
		}
		if len(behind) == 0 {
			_, err := fmt.Fprintf(command.ErrOrStderr(), "in force on all %d live instances after %s\n", countLive(versions), time.Since(start).Round(time.Millisecond))
			return err
		}
		select {
		case <-time.After(waitPollInterval):
		case <-ctx.Done():
			return merry.Errorf("version %d is accepted, but was not seen in force on all live instances within %s: %s", version, timeout, strings.Join(behind, ", "))
		}
	}
}

// instancesBehind describes the live instances that do not have the version yet, each
// with the version that it has.
func instancesBehind(versions *client.VersionStatus, version uint64) []string {
	var behind []string
	if versions.Version < version {
		behind = append(behind, fmt.Sprintf("%s (has %d) %s", versions.Instance, versions.Version, versions.Reason))
	}
	for _, member := range versions.Members {
		if member.ID == versions.Instance || member.Presence != string(server.PresenceLive) || member.Version >= version {
			continue
		}
		state := fmt.Sprintf("%s (has %d)", member.ID, member.Version)
		if !member.IsReachable {
			state = member.ID + " (does not answer)"
		}
		behind = append(behind, state)
	}
	slices.Sort(behind)
	return behind
}

// countLive returns the number of live instances; the one that responded counts as
// live.
func countLive(versions *client.VersionStatus) int {
	count := 1
	for _, member := range versions.Members {
		if member.ID != versions.Instance && member.Presence == string(server.PresenceLive) {
			count++
		}
	}
	return count
}
