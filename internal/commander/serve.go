package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"oriolemill.example/oriolemill/internal/loader"
	"oriolemill.example/oriolemill/internal/server/assembler"
)

// newServe returns the command that runs an instance.
func newServe() *cobra.Command {
	var settings assembler.Settings
	var checkOnly bool
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run one instance",
		Long:  "Serve runs one instance until SIGTERM or an interrupt. The instance then stops\nafter every request in progress has ended. The settings are checked at start.",
		Args:  cobra.NoArgs,
	}
	settingLoader := declareServeSettings(command.Flags(), &settings)
	command.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := settingLoader.Load(); err != nil {
			return withExitCode(exitUsage, err)
		}
		if checkOnly {
			_, err := fmt.Fprintln(command.OutOrStdout(), "settings are valid")
			return err
		}
		settings.Log = newLog(command.ErrOrStderr())
		return runServe(command.Context(), settings)
	}
	return command
}

// declareServeSettings declares the settings of an instance as flags and variables.
func declareServeSettings(flags *pflag.FlagSet, settings *assembler.Settings) *loader.Loader {
	settingLoader := loader.New(flags)
	settingLoader.String(&settings.ID, "id", "", "unique name of the instance", loader.Name())
	settingLoader.String(&settings.Datacentre, "datacentre", "", "data centre that the instance runs in", loader.Name())
	settingLoader.String(&settings.CallerAddress, "callers", "127.0.0.1:8080", "address that callers connect to", loader.Address())
	settingLoader.String(&settings.OperatorAddress, "operators", "127.0.0.1:8081", "address that operators and collectors of metrics connect to", loader.Address())
	settingLoader.String(&settings.BootstrapHash, "bootstrap", "", "hash of the only token that may apply the first configuration, as long as no configuration names operators; empty lets anyone apply it", loader.OptionalSHA256())
	settingLoader.String(&settings.Peers.Deployment, "deployment", "", "name that all instances of the deployment share", loader.AnyValue("a name, or nothing without peers"))
	settingLoader.String(&settings.Peers.Address, "peers", "", "address that the other instances connect to; empty for a single instance", loader.AnyValue("host:port by IP number, or nothing"))
	settingLoader.String(&settings.Peers.Files.Certificate, "peer-certificate", "", "PEM file with this instance's certificate for peers", loader.AnyValue("a file"))
	settingLoader.String(&settings.Peers.Files.Key, "peer-key", "", "PEM file with the certificate's key", loader.AnyValue("a file"))
	settingLoader.String(&settings.Peers.Files.Authority, "peer-authority", "", "PEM file with the certificates that sign those of peers", loader.AnyValue("a file"))
	settingLoader.String(&settings.Peers.Security, "peer-security", "tls", "security of connections between instances; plain only where nobody else can connect", loader.Choice("tls", "plain"))
	settingLoader.String(&settings.PlatformURL, "platform", "", "base address of the platform's table, objects and list", loader.URL())
	settingLoader.String(&settings.SigningKey, "signing-key", "", "key that signs orders for services that check them; set it by the variable rather than the flag", loader.AnyValue("any text, or nothing"))
	settingLoader.Duration(&settings.LingerTime, "linger", defaultLinger, "how long new requests are still served after SIGTERM, so that the load balancer can stop sending them")
	return settingLoader
}

// defaultLinger is long enough for a load balancer to check readiness a few times and
// stop sending requests.
const defaultLinger = 5 * time.Second

// newLog returns a logger that writes JSON lines.
func newLog(out io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(out, nil))
}

// runServe runs an instance until ctx ends, and then drains and stops it.
func runServe(ctx context.Context, settings assembler.Settings) error {
	instance, err := assembler.New(settings)
	if err != nil {
		return err
	}
	if err := instance.Start(); err != nil {
		return errors.Join(err, instance.Stop(context.Background()))
	}
	<-ctx.Done()
	return instance.Stop(context.Background())
}
