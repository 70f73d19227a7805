package commander

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// newVersion returns the command that prints the program's version.
func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), "oriolemill", version)
			return err
		},
	}
}
