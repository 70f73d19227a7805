// Command oriolemill is a serving system for multi-stage model pipelines. It also
// has the commands for operators, callers, tests and demonstrations.
package main

import (
	"os"

	"oriolemill.example/oriolemill/internal/commander"
)

func main() {
	os.Exit(commander.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
