package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"oriolemill.example/oriolemill/internal/server/batcher"
	"oriolemill.example/oriolemill/internal/server/composer"
	"oriolemill.example/oriolemill/internal/server/rater"
	"oriolemill.example/oriolemill/platform"
)

// newEdge returns the command that runs a relaying instance.
func newEdge() *cobra.Command {
	var settingsPath string
	var metricsPort int
	var names policyNames
	var limits composer.ClientLimits
	var checkOnly bool
	command := &cobra.Command{
		Use:   "edge",
		Short: "Run one relaying instance on the users' platform",
		Long: "Edge runs one instance that relays clients' requests until SIGTERM or an interrupt.\n" +
			"The platform writes its settings file; SIGHUP makes the instance read it again.",
		Args: cobra.NoArgs,
	}
	command.Flags().StringVar(&settingsPath, "settings", os.Getenv(platform.SettingsVariable), "settings file; the default is the value of "+platform.SettingsVariable+" in the environment")
	command.Flags().IntVar(&metricsPort, "metrics", 0, "port that metrics are served on; 0 means none")
	names.declare(command.Flags())
	declareClientLimits(command.Flags(), &limits)
	command.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	command.RunE = func(command *cobra.Command, _ []string) error {
		// SIGHUP is caught before anything else, since it ends a process that has no
		// handler for it.
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
		chosen, err := names.parse()
		if err != nil {
			return withExitCode(exitUsage, err)
		}
		settings, err := platform.LoadSettings(settingsPath)
		if err != nil {
			return withExitCode(exitUsage, err)
		}
		settings.MetricsPort, settings.ClientLimits = metricsPort, limits
		settings.Shares, settings.Returning, settings.Speeds = chosen.shares, chosen.returning, chosen.speeds
		if err := checkClientLimits(command.Flags(), &settings); err != nil {
			return withExitCode(exitUsage, err)
		}
		if checkOnly {
			_, err := fmt.Fprintln(command.OutOrStdout(), "settings are valid")
			return err
		}
		return runEdge(command.Context(), settings, settingsPath, hangups, command.OutOrStdout())
	}
	return command
}

// policyNames are the values of the flags that name policies.
type policyNames struct {
	shares, returning, speeds string
}

// declare declares the flags.
func (p *policyNames) declare(flags *pflag.FlagSet) {
	flags.StringVar(&p.shares, "shares", string(batcher.SharesOfRanks), "between whom stage services are shared in a backlog: ranks, or workspaces within each rank")
	flags.StringVar(&p.returning, "returning", string(batcher.ReturningAtPatient), "at which stage services clients that were refused and return are served late, with left-over capacity: patient (those that a route uses whose goal is at least half of its timeout), all or none")
	flags.StringVar(&p.speeds, "speeds", string(rater.ModeStated), "what the speeds of replicas are learned from: stated (the paces that they state), inferred (also latencies) or off")
}

// parse returns the named policies.
func (p *policyNames) parse() (parsed policies, err error) {
	if parsed.shares, err = batcher.ParseSharePolicy(p.shares); err != nil {
		return parsed, err
	}
	if parsed.returning, err = batcher.ParseReturningPolicy(p.returning); err != nil {
		return parsed, err
	}
	parsed.speeds, err = rater.ParseMode(p.speeds)
	return parsed, err
}

// policies are the policies of an instance.
type policies struct {
	shares    batcher.SharePolicy
	returning batcher.ReturningPolicy
	speeds    rater.Mode
}

// runEdge runs the instance until ctx ends, and reloads the settings on each SIGHUP.
func runEdge(ctx context.Context, settings composer.Settings, settingsPath string, hangups <-chan os.Signal, out io.Writer) error {
	store := platform.NewStore(settings.StoreAddress)
	instance, err := composer.New(settings, composer.Adapter{Codec: platform.Codec{}, RowDecoder: platform.RowDecoder{}, Store: store}, out)
	if err != nil {
		return err
	}
	instance.Start()
	instance.WatchSettings(hangups, func() (composer.Settings, error) { return platform.LoadSettings(settingsPath) }, store.SetAddress)
	<-ctx.Done()
	return instance.Stop()
}
