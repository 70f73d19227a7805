package commander

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/internal/loader"
	"oriolemill.example/oriolemill/pkg/client"
)

// instanceTarget holds the settings with which a command of operators connects to an
// instance and prints the response.
type instanceTarget struct {
	address string
	token   string
	output  outputSetting
}

// declare adds the settings to a command and its subcommands.
func (t *instanceTarget) declare(command *cobra.Command) {
	settingLoader := loader.New(command.PersistentFlags())
	settingLoader.String(&t.address, "instance", "http://127.0.0.1:8081", "operators' base address of an instance", loader.URL())
	settingLoader.String(&t.token, "token", "", "operator's token", loader.AnyValue("a token of an operator in the configuration in force"))
	t.output.declare(settingLoader)
	command.PersistentPreRunE = func(*cobra.Command, []string) error {
		if err := settingLoader.Load(); err != nil {
			return withExitCode(exitUsage, err)
		}
		return nil
	}
}

// client returns an operator's client of the instance.
func (t *instanceTarget) client() *client.Client {
	return client.New(t.address, client.WithToken(t.token))
}

// print writes a value as JSON, or the text that the function returns for it.
func (t *instanceTarget) print(command *cobra.Command, value any, text func() string) error {
	if t.output.format == outputJSON {
		return t.output.write(command, value, func(io.Writer) {})
	}
	_, err := fmt.Fprint(command.OutOrStdout(), text())
	return err
}
