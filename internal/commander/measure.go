package commander

import (
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/internal/measurer"
	"oriolemill.example/oriolemill/internal/server"
)

// measureFlags holds the flags of the measure command.
type measureFlags struct {
	scenarios []string
	policy    string
	seed      uint64
	duration  time.Duration
	jsonFile  string
	plotFile  string
}

// newMeasure returns the command that measures the policies.
func newMeasure() *cobra.Command {
	var flags measureFlags
	command := &cobra.Command{
		Use:   "measure",
		Short: "Measure the policies with real instances against the stand-ins",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runMeasure(command, flags)
		},
	}
	flagSet := command.Flags()
	flagSet.StringSliceVar(&flags.scenarios, "scenario", measurer.Scenarios(), "scenarios to run")
	flagSet.StringVar(&flags.policy, "policy", "both", "policies to measure: full, baseline, random, both (baseline and full) or all")
	flagSet.Uint64Var(&flags.seed, "seed", 1, "seed of the random arrival times")
	flagSet.DurationVar(&flags.duration, "length", 20*time.Second, "time during which requests arrive")
	flagSet.StringVar(&flags.jsonFile, "json", "", "file for the result as JSON")
	flagSet.StringVar(&flags.plotFile, "plot", "", "file for the plot, ending in .svg or .png")
	return command
}

// runMeasure measures the policies and writes the results.
func runMeasure(command *cobra.Command, flags measureFlags) error {
	policies, err := parsePolicies(flags.policy)
	if err != nil {
		return err
	}
	m, err := measurer.New(measurer.Options{
		Scenarios: flags.scenarios, Policies: policies, Seed: flags.seed, Duration: flags.duration, ProgressWriter: command.ErrOrStderr(),
	})
	if err != nil {
		return err
	}
	report, err := m.Run(command.Context())
	if err != nil {
		return err
	}
	if err := report.WriteTable(command.OutOrStdout()); err != nil {
		return err
	}
	if flags.jsonFile != "" {
		if err := writeFile(flags.jsonFile, report.WriteJSON); err != nil {
			return err
		}
	}
	if flags.plotFile != "" {
		return report.WritePlot(flags.plotFile)
	}
	return nil
}

// parsePolicies returns the policies that a value of --policy names.
func parsePolicies(name string) ([]measurer.Policy, error) {
	switch name {
	case "both":
		return []measurer.Policy{measurer.PolicyBaseline, measurer.PolicyFull}, nil
	case "all":
		return []measurer.Policy{measurer.PolicyBaseline, measurer.PolicyRandom, measurer.PolicyFull}, nil
	case string(measurer.PolicyFull), string(measurer.PolicyBaseline), string(measurer.PolicyRandom):
		return []measurer.Policy{measurer.Policy(name)}, nil
	default:
		return nil, merry.Prependf(server.ErrInvalid, "policy: %q is not full, baseline, random, both or all", name)
	}
}

// writeFile creates a file and fills it by calling write.
func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return merry.Wrap(err)
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return merry.Wrap(file.Close())
}
