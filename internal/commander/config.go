package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/pkg/client"
	"oriolemill.example/oriolemill/pkg/parser"
)

// configName is the name of the configuration document.
const configName = "config"

// newConfig returns the commands for the deployment's configuration.
func newConfig() *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Write, amend and compare the configuration"}
	target := &instanceTarget{}
	target.declare(command)
	documents := documentCommands{target: target, noun: "config", onlyName: configName, parseName: parseConfigName}
	command.AddCommand(documents.newApply(), documents.newValidate(), documents.newShow(), documents.newList(), documents.newDiff(), documents.newHistory(), newRestore(target))
	return command
}

// parseConfigName checks a configuration's text and returns the document's name.
func parseConfigName(file string, text []byte) (string, error) {
	_, err := parser.ParseDeployment(file, text)
	return configName, err
}

// newRestore returns the command that writes the documents in force to a table that
// was restored to an older state.
func newRestore(target *instanceTarget) *cobra.Command {
	var reason string
	command := &cobra.Command{
		Use:   "restore",
		Short: "Write the documents in force to a table that was restored to an older state",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			outcome, err := target.client().Restore(command.Context(), client.DocumentChange{Reason: reason})
			if err != nil {
				return err
			}
			return target.print(command, outcome, func() string { return fmt.Sprintf("in force again at version %d\n", outcome.Version) })
		},
	}
	command.Flags().StringVar(&reason, "reason", "", "reason for the change, recorded in the audit trail")
	_ = command.MarkFlagRequired("reason")
	return command
}
