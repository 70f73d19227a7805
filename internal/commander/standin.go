package commander

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/internal/loader"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/parser"
)

// standinFlags holds the flags of the standin commands.
type standinFlags struct {
	listen     string
	listLag    time.Duration
	configFile string
	// signingKey verifies the tokens of calls at the services that check them.
	signingKey string
}

// startMessage is the line of JSON that a stand-in prints when it listens.
type startMessage struct {
	Message string `json:"msg"`
	Address string `json:"address"`
}

// newStandin returns the commands that run stand-ins.
func newStandin() *cobra.Command {
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins for the platform and upstreams, for trials",
		Long:  "Standin runs small stand-ins until it is interrupted. Each prints its address\nas a line of JSON; PUT /faults at that address sets its faults.",
	}
	command.AddCommand(
		newStandinSet(),
		newStandinServer("table", "the platform's table, object store and instance list", func(_ *standin.FaultInjector, f *standinFlags) http.Handler {
			return standin.NewPlatform(standin.DefaultWriteRate, standin.DefaultReadRate, standin.NewInstanceList(f.listLag)).Handler()
		}),
		newStandinServer("list", "the platform's instance list alone", func(_ *standin.FaultInjector, f *standinFlags) http.Handler {
			return standin.NewInstanceList(f.listLag)
		}),
		newStandinEngine(),
		newStandinServer("pool", "one encoder, retriever or reranker", func(faultInjector *standin.FaultInjector, _ *standinFlags) http.Handler {
			speeds := standin.DefaultSpeeds()
			return standin.NewPool(faultInjector, speeds.PoolSlots, speeds.PoolAttemptTime, standin.Echo).Handler()
		}),
		newStandinServer("service", "one plain service that checks fencing numbers and serves the status of orders", func(faultInjector *standin.FaultInjector, _ *standinFlags) http.Handler {
			return standin.NewPlainService(faultInjector, standin.NewLedger(), true, true, standin.DefaultSpeeds().OperationTime).Handler()
		}),
	)
	return command
}

// newStandinEngine returns the command that runs one model engine.
func newStandinEngine() *cobra.Command {
	var models []string
	command := newStandinServer("engine", "one model engine", func(faultInjector *standin.FaultInjector, _ *standinFlags) http.Handler {
		return standin.NewEngine(faultInjector, standin.DefaultSpeeds().Engine, standin.WithModels(models...)).Handler()
	})
	command.Flags().StringSliceVar(&models, "models", nil, "models that are loaded at the start, comma separated")
	return command
}

// newStandinServer returns the command that runs one stand-in on its own address. handler
// is called after the flags were read and returns the stand-in's handler.
func newStandinServer(name, short string, handler func(*standin.FaultInjector, *standinFlags) http.Handler) *cobra.Command {
	var flags standinFlags
	command := &cobra.Command{Use: name, Short: "Run " + short, Args: cobra.NoArgs}
	settingLoader := loader.New(command.Flags())
	settingLoader.String(&flags.listen, "listen", "127.0.0.1:0", "address to listen on", loader.Address())
	command.Flags().DurationVar(&flags.listLag, "lag", 0, "delay until a change is visible in the instance list")
	var listing server.Listing
	var platform string
	flagSet := command.Flags()
	flagSet.StringVar(&platform, "platform", "", "base address of the platform whose instance list this stand-in is added to")
	flagSet.StringVar(&listing.ID, "id", name+"-0", "this stand-in's ID in the list")
	flagSet.StringVar(&listing.Service, "service", name, "this stand-in's service in the list")
	flagSet.StringVar(&listing.Datacentre, "datacentre", "", "this stand-in's data centre in the list")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := settingLoader.Load(); err != nil {
			return withExitCode(exitUsage, err)
		}
		faultInjector := standin.NewFaultInjector()
		standinServer, err := standin.Listen(flags.listen, handler(faultInjector, &flags), faultInjector)
		if err != nil {
			return err
		}
		defer standinServer.Close()
		listing.Address = standinServer.Address()
		listing.Presence = server.PresenceLive
		if err := registerListing(command.Context(), platform, listing); err != nil {
			return err
		}
		return announceAndWait(command, standinServer.Address())
	}
	return command
}

// registerListing adds a stand-in to the platform's instance list. It does nothing
// without a platform.
func registerListing(ctx context.Context, platform string, listing server.Listing) error {
	if platform == "" {
		return nil
	}
	return standin.RegisterListing(ctx, platform, listing)
}

// newStandinSet returns the command that runs the platform and all upstreams of a
// configuration.
func newStandinSet() *cobra.Command {
	var flags standinFlags
	command := &cobra.Command{
		Use:   "set",
		Short: "Run the platform and every replica that a configuration names",
		Args:  cobra.NoArgs,
	}
	settingLoader := loader.New(command.Flags())
	settingLoader.String(&flags.listen, "listen", "127.0.0.1:0", "address of the platform", loader.Address())
	settingLoader.String(&flags.signingKey, "signing-key", "", "key that verifies calls at the services that check them; without it they accept all calls", loader.AnyValue("any text, or nothing"))
	command.Flags().StringVar(&flags.configFile, "config", "", "configuration file")
	command.Flags().DurationVar(&flags.listLag, "lag", 0, "delay until a change is visible in the instance list")
	_ = command.MarkFlagRequired("config")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := settingLoader.Load(); err != nil {
			return withExitCode(exitUsage, err)
		}
		text, err := os.ReadFile(flags.configFile)
		if err != nil {
			return withExitCode(exitUsage, merry.Prepend(err, "reading the --config file"))
		}
		deployment, err := parser.ParseDeployment(flags.configFile, text)
		if err != nil {
			return withExitCode(exitUsage, err)
		}
		environment, err := standin.NewEnvironment(deployment, standin.DefaultSpeeds(), flags.listLag, standin.WithPlatformAddress(flags.listen), standin.WithSigningKey(flags.signingKey))
		if err != nil {
			return err
		}
		defer environment.Close()
		return announceAndWait(command, environment.PlatformServer().Address())
	}
	return command
}

// announceAndWait prints the address and waits until the command's context ends.
func announceAndWait(command *cobra.Command, address string) error {
	if err := writeStartMessage(command.OutOrStdout(), address); err != nil {
		return err
	}
	<-command.Context().Done()
	return nil
}

// writeStartMessage prints a startMessage as a line of JSON.
func writeStartMessage(out io.Writer, address string) error {
	return json.NewEncoder(out).Encode(startMessage{Message: "started", Address: address})
}
