package commander

import (
	"encoding/json"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/internal/loader"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// outputSetting holds the format in which a command writes its result.
type outputSetting struct {
	format string
}

// declare adds the setting --output to a command's settings.
func (o *outputSetting) declare(settingLoader *loader.Loader) {
	settingLoader.String(&o.format, "output", outputTable, "output format", loader.Choice(outputTable, outputJSON))
}

// write writes a result as JSON, or calls table to write tab-separated columns, which
// it aligns.
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
