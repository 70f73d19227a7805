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

// measureFlags are the flags of the measure command.
type measureFlags struct {
	scenarios []string
	policy    string
	seed      uint64
	length    time.Duration
	jsonFile  string
	plotFile  string
}

func newMeasure() *cobra.Command {
	var flags measureFlags
	command := &cobra.Command{
		Use:   "measure",
		Short: "Measure the policy with real instances against the stand-ins",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runMeasure(command, flags)
		},
	}
	set := command.Flags()
	set.StringSliceVar(&flags.scenarios, "scenario", measurer.Scenarios(), "scenarios to run")
	set.StringVar(&flags.policy, "policy", "both", "full, baseline, random, both (baseline and full) or all")
	set.Uint64Var(&flags.seed, "seed", 1, "seed of the arrivals")
	set.DurationVar(&flags.length, "length", 20*time.Second, "time during which requests arrive")
	set.StringVar(&flags.jsonFile, "json", "", "file for the result as JSON")
	set.StringVar(&flags.plotFile, "plot", "", "file for the plot, ending in .svg or .png")
	return command
}

func runMeasure(command *cobra.Command, flags measureFlags) error {
	policies, err := parsePolicies(flags.policy)
	if err != nil {
		return err
	}
	m, err := measurer.New(measurer.Options{
		Scenarios: flags.scenarios, Policies: policies, Seed: flags.seed, Length: flags.length, Progress: command.ErrOrStderr(),
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

func parsePolicies(word string) ([]measurer.Policy, error) {
	switch word {
	case "both":
		return []measurer.Policy{measurer.PolicyBaseline, measurer.PolicyFull}, nil
	case "all":
		return []measurer.Policy{measurer.PolicyBaseline, measurer.PolicyRandom, measurer.PolicyFull}, nil
	case string(measurer.PolicyFull), string(measurer.PolicyBaseline), string(measurer.PolicyRandom):
		return []measurer.Policy{measurer.Policy(word)}, nil
	default:
		return nil, merry.Prependf(server.ErrInvalid, "policy: %q is not full, baseline, random, both or all", word)
	}
}

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
