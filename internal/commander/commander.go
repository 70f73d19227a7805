// Package commander implements the command line. Each command has a file of its own
// and calls the other packages for its work.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Execute runs the command in args with the given writers for standard output and standard
// error, and returns the program's exit code.
func Execute(args []string, out, errOut io.Writer) int {
	ctx, stop := watchSignals(errOut)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	started := false
	recordStart(root, &started)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "oriolemill:", err)
	if !started {
		return exitUsage
	}
	return exitCodeOf(err)
}

// recordStart makes command and its subcommands set started when they begin to run.
// cobra's errors for wrong flags and arguments have no type, so Execute treats any
// error before the start as a usage error.
func recordStart(command *cobra.Command, started *bool) {
	if run := command.RunE; run != nil {
		command.RunE = func(command *cobra.Command, args []string) error {
			*started = true
			return run(command, args)
		}
	}
	for _, child := range command.Commands() {
		recordStart(child, started)
	}
}

// watchSignals returns a context that ends with the first interrupt or SIGTERM.
// Further signals only print a line, so that a repeated signal does not cut off
// requests in progress. The returned function stops watching and ends the context.
func watchSignals(errs io.Writer) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		for s := range signals {
			if ctx.Err() != nil {
				_, _ = fmt.Fprintf(errs, "oriolemill: %s: already stopping\n", s)
			}
			cancel()
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		close(signals)
		cancel()
	}
}

// newRoot returns the root command with all commands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "oriolemill",
		Short:         "Serve multi-stage model pipelines under contracts",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newServe(),
		newEdge(),
		newCall(),
		newOrder(),
		newStatus(),
		newDemo(),
		newStandin(),
		newMeasure(),
		newContract(),
		newConfig(),
		newCheck(),
		newAudit(),
		newVersion(),
	)
	return root
}
