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

// standinFlags are the flags of the stand-ins of one process.
type standinFlags struct {
	listen     string
	listLag    time.Duration
	configFile string
	// signingKey is the key of services that check who calls.
	signingKey string
}

// startMessage is the line by which a stand-in tells its address.
type startMessage struct {
	Message string `json:"msg"`
	Address string `json:"address"`
}

func newStandin() *cobra.Command {
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins for the platform and upstreams, for trials",
		Long:  "Standin runs small stand-ins until it is interrupted. Each writes its address\nas a line of JSON; PUT /faults there sets faults.",
	}
	command.AddCommand(
		newStandinSet(),
		newStandinServer("table", "the platform's table, objects and list", func(_ *standin.Faults, f *standinFlags) http.Handler {
			return standin.NewTable(standin.DefaultWrites, standin.DefaultReads, standin.NewList(f.listLag)).Handler()
		}),
		newStandinServer("list", "the platform's list alone", func(_ *standin.Faults, f *standinFlags) http.Handler {
			return standin.NewList(f.listLag)
		}),
		newStandinEngine(),
		newStandinServer("pool", "one encoder, retriever or reranker", func(faults *standin.Faults, _ *standinFlags) http.Handler {
			speeds := standin.DefaultSpeeds()
			return standin.NewPool(faults, speeds.Slots, speeds.Pool, standin.Echo).Handler()
		}),
		newStandinServer("service", "one plain service, fenced and with a status of orders", func(faults *standin.Faults, _ *standinFlags) http.Handler {
			return standin.NewPlainService(faults, standin.NewLedger(), true, true, standin.DefaultSpeeds().Service).Handler()
		}),
	)
	return command
}

// newStandinEngine returns the command of a model engine with its models.
func newStandinEngine() *cobra.Command {
	var models []string
	command := newStandinServer("engine", "one model engine", func(faults *standin.Faults, _ *standinFlags) http.Handler {
		return standin.NewEngine(faults, standin.DefaultSpeeds().Engine, standin.WithModels(models...)).Handler()
	})
	command.Flags().StringSliceVar(&models, "models", nil, "models that are loaded, comma separated")
	return command
}

// newStandinServer returns the command of one stand-in on an address of its own.
func newStandinServer(name, short string, handler func(*standin.Faults, *standinFlags) http.Handler) *cobra.Command {
	var flags standinFlags
	command := &cobra.Command{Use: name, Short: "Run " + short, Args: cobra.NoArgs}
	load := loader.New(command.Flags())
	load.String(&flags.listen, "listen", "127.0.0.1:0", "address to listen on", loader.Address())
	command.Flags().DurationVar(&flags.listLag, "lag", 0, "time after which the list shows a change")
	var register server.Listing
	var platform string
	set := command.Flags()
	set.StringVar(&platform, "platform", "", "platform's base address whose list is to name this stand-in")
	set.StringVar(&register.ID, "id", name+"-0", "name in the list")
	set.StringVar(&register.Service, "service", name, "service in the list")
	set.StringVar(&register.Datacentre, "datacentre", "", "data centre in the list")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := load.Load(); err != nil {
			return withExitCode(exitUsage, err)
		}
		faults := standin.NewFaults()
		one, err := standin.Listen(flags.listen, handler(faults, &flags), faults)
		if err != nil {
			return err
		}
		defer one.Close()
		register.Address = one.Address()
		register.Presence = server.PresenceLive
		if err := registerListing(command.Context(), platform, register); err != nil {
			return err
		}
		return announceAndWait(command, one.Address())
	}
	return command
}

// registerListing names a stand-in in the platform's list; without a platform it does nothing.
func registerListing(ctx context.Context, platform string, listing server.Listing) error {
	if platform == "" {
		return nil
	}
	return standin.RegisterListing(ctx, platform, listing)
}

func newStandinSet() *cobra.Command {
	var flags standinFlags
	command := &cobra.Command{
		Use:   "set",
		Short: "Run the platform and every replica that a configuration names",
		Args:  cobra.NoArgs,
	}
	load := loader.New(command.Flags())
	load.String(&flags.listen, "listen", "127.0.0.1:0", "address of the platform", loader.Address())
	load.String(&flags.signingKey, "signing-key", "", "key by which services that check know who calls; without it they take everything", loader.Any("any text, or nothing"))
	command.Flags().StringVar(&flags.configFile, "config", "", "file of the configuration")
	command.Flags().DurationVar(&flags.listLag, "lag", 0, "time after which the list shows a change")
	_ = command.MarkFlagRequired("config")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := load.Load(); err != nil {
			return withExitCode(exitUsage, err)
		}
		text, err := os.ReadFile(flags.configFile)
		if err != nil {
			return withExitCode(exitUsage, merry.Prepend(err, "--config"))
		}
		deployment, err := parser.ParseDeployment(flags.configFile, text)
		if err != nil {
			return withExitCode(exitUsage, err)
		}
		set, err := standin.NewSet(deployment, standin.DefaultSpeeds(), flags.listLag, standin.WithPlatformAddress(flags.listen), standin.WithSigning(flags.signingKey))
		if err != nil {
			return err
		}
		defer set.Close()
		return announceAndWait(command, set.PlatformServer().Address())
	}
	return command
}

// announceAndWait writes the address and waits for the end.
func announceAndWait(command *cobra.Command, address string) error {
	if err := writeStartMessage(command.OutOrStdout(), address); err != nil {
		return err
	}
	<-command.Context().Done()
	return nil
}

func writeStartMessage(out io.Writer, address string) error {
	return json.NewEncoder(out).Encode(startMessage{Message: "started", Address: address})
}
