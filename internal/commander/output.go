package commander

import (
	"encoding/json"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/internal/loader"
)

// Forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// outputSetting is how a command writes its result.
type outputSetting struct {
	format string
}

// declare adds the setting to a command's own.
func (o *outputSetting) declare(load *loader.Loader) {
	load.String(&o.format, "output", outputTable, "form of the output", loader.Choice(outputTable, outputJSON))
}

// write writes a result as JSON, or by table.
func (o *outputSetting) write(command *cobra.Command, result any, table func(w io.Writer)) error {
	if o.format == outputJSON {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	w := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, columnGap, ' ', 0)
	table(w)
	return w.Flush()
}

// columnGap is the number of spaces between columns.
const columnGap = 2
