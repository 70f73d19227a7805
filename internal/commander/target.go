package commander

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/internal/loader"
	"oriolemill.example/oriolemill/pkg/client"
)

// instanceTarget is how a command reaches an instance and prints what it got.
type instanceTarget struct {
	address string
	token   string
	output  outputSetting
}

// declare adds the settings to a command and those below it.
func (r *instanceTarget) declare(command *cobra.Command) {
	load := loader.New(command.PersistentFlags())
	load.String(&r.address, "instance", "http://127.0.0.1:8081", "operators' base address of an instance", loader.URL())
	load.String(&r.token, "token", "", "operator's token", loader.Any("a token of an operator in the configuration in force"))
	r.output.declare(load)
	command.PersistentPreRunE = func(*cobra.Command, []string) error {
		if err := load.Load(); err != nil {
			return withExitCode(exitUsage, err)
		}
		return nil
	}
}

func (r *instanceTarget) client() *client.Client {
	return client.New(r.address, client.WithToken(r.token))
}

// print writes a value as JSON, or the text that is made of it.
func (r *instanceTarget) print(command *cobra.Command, value any, text func() string) error {
	if r.output.format == outputJSON {
		return r.output.write(command, value, func(io.Writer) {})
	}
	_, err := fmt.Fprint(command.OutOrStdout(), text())
	return err
}
