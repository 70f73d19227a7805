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

// Times of waiting for a version.
const (
	// defaultWaitTimeout is how long apply --wait waits.
	defaultWaitTimeout = 10 * time.Second
	waitPollInterval   = 100 * time.Millisecond
)

// applyFlags are the flags of apply.
type applyFlags struct {
	base    uint64
	reason  string
	wait    bool
	timeout time.Duration
}

func (d documentCommands) newApply() *cobra.Command {
	var flags applyFlags
	command := &cobra.Command{
		Use:   "apply FILE...",
		Short: "Put files in force; the version that an edit is based on stands on its first line or in --base",
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
	command.Flags().Uint64Var(&flags.base, "base", 0, "document version that the edit is based on; 0 for a new one")
	command.Flags().StringVar(&flags.reason, "reason", "", "why, for the audit trail")
	command.Flags().BoolVar(&flags.wait, "wait", false, "return when all live instances have the version in force")
	command.Flags().DurationVar(&flags.timeout, "timeout", defaultWaitTimeout, "how long --wait waits")
	_ = command.MarkFlagRequired("reason")
	return command
}

func (d documentCommands) applyFile(command *cobra.Command, file string, flags applyFlags) error {
	name, text, err := d.readFile(file)
	if err != nil {
		return err
	}
	if flags.base == 0 {
		flags.base = baseVersion(text)
	}
	reached := d.target.client()
	change := client.Change{ID: server.NewID().String(), Base: flags.base, Text: withoutVersionLine(text), Reason: flags.reason}
	outcome, err := reached.Apply(command.Context(), name, change)
	if err != nil {
		return describeOutcome(explainRefusal(err), change.ID)
	}
	if err := d.target.print(command, outcome, func() string { return fmt.Sprintf("%s accepted as version %d\n", name, outcome.Version) }); err != nil || !flags.wait {
		return err
	}
	return waitInForce(command, reached, outcome.Version, flags.timeout)
}

// explainRefusal adds to a refusal what the operator needs to go on.
func explainRefusal(err error) error {
	var refusal *client.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	text := refusal.Error()
	if len(refusal.Problems) > 0 {
		text = refusal.Detail
	}
	if refusal.Current > 0 {
		text = refusal.Detail + fmt.Sprintf("\nnow at version %d; since the edit's base others changed:\n%s", refusal.Current, formatDifference(refusal.Difference))
	}
	return &operatorError{text: strings.TrimSuffix(text, "\n"), cause: err}
}

// operatorError is an error in words for operators.
type operatorError struct {
	text  string
	cause error
}

// Error returns the words.
func (e *operatorError) Error() string { return e.text }

// Unwrap returns what was explained.
func (e *operatorError) Unwrap() error { return e.cause }

// describeOutcome names the change's ID when it is not known whether it was accepted.
func describeOutcome(err error, id string) error {
	var refusal *client.Refusal
	if errors.As(err, &refusal) && refusal.Change == "" {
		return err
	}
	if client.OutcomeOf(err) == client.OutcomeNotRun {
		return merry.Prepend(err, "not accepted, since nobody was reached")
	}
	return merry.Prependf(err, "not known yet whether it was accepted; ask with: audit change %s", id)
}

// waitInForce returns when all live instances have a version in force.
func waitInForce(command *cobra.Command, reached *client.Client, version uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(command.Context(), timeout)
	defer cancel()
	begin := time.Now()
	var missing []string
	for {
		versions, err := reached.Versions(ctx)
		var refusal *client.Refusal
		switch {
		case err == nil:
			missing = instancesBehind(versions, version)
		case errors.As(err, &refusal) && refusal.Status == http.StatusForbidden:
			return merry.Prependf(err, "version %d is accepted; this token may not ask where it is in force", version)
		default:
			missing = []string{err.Error()}
		}
		if len(missing) == 0 {
			_, err := fmt.Fprintf(command.ErrOrStderr(), "in force on all %d live instances after %s\n", countLive(versions), time.Since(begin).Round(time.Millisecond))
			return err
		}
		select {
		case <-time.After(waitPollInterval):
		case <-ctx.Done():
			return merry.Errorf("version %d is accepted, but not in force within %s on: %s", version, timeout, strings.Join(missing, ", "))
		}
	}
}

// instancesBehind names the live instances that do not have a version, with what they have.
func instancesBehind(versions *client.Versions, version uint64) []string {
	var missing []string
	if versions.Version < version {
		missing = append(missing, fmt.Sprintf("%s (has %d) %s", versions.Instance, versions.Version, versions.Reason))
	}
	for _, member := range versions.Members {
		if member.ID == versions.Instance || member.Presence != string(server.PresenceLive) || member.Version >= version {
			continue
		}
		state := fmt.Sprintf("%s (has %d)", member.ID, member.Version)
		if !member.Answers {
			state = member.ID + " (does not answer)"
		}
		missing = append(missing, state)
	}
	slices.Sort(missing)
	return missing
}

func countLive(versions *client.Versions) int {
	count := 1
	for _, member := range versions.Members {
		if member.ID != versions.Instance && member.Presence == string(server.PresenceLive) {
			count++
		}
	}
	return count
}
