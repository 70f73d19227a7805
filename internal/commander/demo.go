package commander

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/examples"
	"oriolemill.example/oriolemill/internal/demonstrator"
)

// newDemo returns the command that runs the demonstration.
func newDemo() *cobra.Command {
	return &cobra.Command{
		Use:       "demo [EXAMPLE...]",
		Short:     "Run a demonstration on loopback with the example deployments",
		Long:      "Demo starts stand-ins and three instances for each example deployment, sends\ntexts, orders and configuration changes, and checks each statement that it\nprints.",
		ValidArgs: examples.Names(),
		RunE: func(command *cobra.Command, names []string) error {
			if len(names) == 0 {
				names = examples.Names()
			}
			start := time.Now()
			if err := demonstrator.New(command.OutOrStdout()).Run(command.Context(), names...); err != nil {
				return err
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "all checks passed, %.1f s\n", time.Since(start).Seconds())
			return err
		},
	}
}
