package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/internal/server/composer"
	"oriolemill.example/oriolemill/platform"
)

func newEdge() *cobra.Command {
	var path string
	var metrics int
	var check bool
	command := &cobra.Command{
		Use:   "edge",
		Short: "Run one relaying instance on the users' platform",
		Long: "Edge runs one instance that relays clients' requests, until SIGTERM or an interrupt.\n" +
			"Its settings are in the file that the platform writes; SIGHUP makes it read them again.",
		Args: cobra.NoArgs,
	}
	command.Flags().StringVar(&path, "settings", os.Getenv(platform.Variable), "settings file; default: what "+platform.Variable+" names")
	command.Flags().IntVar(&metrics, "metrics", 0, "port that counters are served at; 0 serves none")
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	command.RunE = func(command *cobra.Command, _ []string) error {
		// From the first moment on, since the signal ends a process that ignores it.
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
		settings, err := platform.Load(path)
		if err != nil {
			return withExitCode(exitUsage, err)
		}
		if check {
			_, err := fmt.Fprintln(command.OutOrStdout(), "settings are valid")
			return err
		}
		settings.Metrics = metrics
		return runEdge(command.Context(), settings, path, hangups, command.OutOrStdout())
	}
	return command
}

func runEdge(ctx context.Context, settings composer.Settings, path string, hangups <-chan os.Signal, out io.Writer) error {
	store := platform.NewStore(settings.Store)
	instance, err := composer.New(settings, composer.Adapter{Wire: platform.Wire{}, Decoder: platform.Decoder{}, Feed: store}, out)
	if err != nil {
		return err
	}
	instance.Start()
	instance.Watch(hangups, func() (composer.Settings, error) { return platform.Load(path) }, store.Move)
	<-ctx.Done()
	return instance.Stop()
}
