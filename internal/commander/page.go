package commander

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"oriolemill.example/oriolemill/internal/server/assembler"
)

// settingsPage returns the contents of docs/operating/settings.md.
func settingsPage() []byte {
	settingLoader := declareServeSettings(pflag.NewFlagSet("serve", pflag.ContinueOnError), &assembler.Settings{})
	return settingLoader.Markdown("Settings of an instance", `These are the settings of `+"`oriolemill serve`"+`. A flag takes
precedence over its environment variable, and the variable over the default.
Each is checked at start; the error for an invalid one states its value and what
is allowed, and the program exits with code 2. `+"`oriolemill serve --check`"+` checks and exits.

This page is generated from the flags by
`+"`go test ./internal/commander -run TestPages -update`.")
}

// commandsPage returns the contents of docs/operating/commands.md.
func commandsPage() []byte {
	var b strings.Builder
	b.WriteString(`# Commands

` + "`--help`" + ` lists the flags of a command. Results are written to standard
output, as a table or, with ` + "`--output json`" + `, as JSON; errors and log lines go to
standard error. ` + "`oriolemill completion SHELL`" + ` writes a completion script for
bash, zsh, fish or powershell. See [checking](checking.md) for what ` + "`check`" + ` reports.

## Exit codes

| code | meaning |
| --- | --- |
`)
	for _, entry := range exitCodes() {
		fmt.Fprintf(&b, "| %d | %s |\n", entry.code, entry.meaning)
	}
	b.WriteString("\n## All commands\n\n| command | what it does |\n| --- | --- |\n")
	listCommands(&b, newRoot())
	b.WriteString("\nThis page is generated from the commands by\n`go test ./internal/commander -run TestPages -update`.\n")
	return []byte(b.String())
}

// listCommands writes a table row for each runnable command below command.
func listCommands(b *strings.Builder, command *cobra.Command) {
	for _, child := range command.Commands() {
		if child.Runnable() {
			path := strings.TrimPrefix(child.CommandPath(), "oriolemill ")
			fmt.Fprintf(b, "| `%s` | %s |\n", path, child.Short)
		}
		listCommands(b, child)
	}
}
