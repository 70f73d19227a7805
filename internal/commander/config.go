package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/pkg/client"
	"oriolemill.example/oriolemill/pkg/parser"
)

// configName is the name of the configuration document.
const configName = "config"

// newConfig returns the command for the deployment's configuration.
func newConfig() *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Write, amend and compare the configuration"}
	reach := &instanceTarget{}
	reach.declare(command)
	kind := documentCommands{target: reach, noun: "config", onlyName: configName, parseName: parseConfigName}
	command.AddCommand(kind.newApply(), kind.newValidate(), kind.newShow(), kind.newList(), kind.newDiff(), kind.newHistory(), newRestore(reach))
	return command
}

func parseConfigName(file string, text []byte) (string, error) {
	_, err := parser.ParseDeployment(file, text)
	return configName, err
}

// newRestore returns the command that publishes what is in force over a table
// that was restored to an older state.
func newRestore(reach *instanceTarget) *cobra.Command {
	var reason string
	command := &cobra.Command{
		Use:   "restore",
		Short: "Publish what is in force over a table that is behind",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			outcome, err := reach.client().Restore(command.Context(), client.Change{Reason: reason})
			if err != nil {
				return err
			}
			return reach.print(command, outcome, func() string { return fmt.Sprintf("in force again at version %d\n", outcome.Version) })
		},
	}
	command.Flags().StringVar(&reason, "reason", "", "why, for the audit trail")
	_ = command.MarkFlagRequired("reason")
	return command
}
