// Package commander holds the command line, one file for each command, thin
// over the library.
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

// Execute runs the program and returns its exit code.
func Execute(args []string, out, errs io.Writer) int {
	ctx, stop := watchSignals(errs)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	begun := false
	recordStart(root, &begun)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errs, "oriolemill:", err)
	if !begun {
		return exitUsage
	}
	return exitCodeOf(err)
}

// recordStart sets begun when a command begins to run, since cobra tells wrong
// flags and arguments by errors without a type.
func recordStart(command *cobra.Command, begun *bool) {
	if run := command.RunE; run != nil {
		command.RunE = func(command *cobra.Command, args []string) error {
			*begun = true
			return run(command, args)
		}
	}
	for _, child := range command.Commands() {
		recordStart(child, begun)
	}
}

// watchSignals ends the context with the first signal. Further ones change
// nothing but a line, so that an impatient sender cuts nothing off.
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
		newAudit(),
		newVersion(),
	)
	return root
}
