package demonstrator

import (
	"fmt"
	"io"
	"strings"
	"time"

	"oriolemill.example/oriolemill/pkg/client"
)

// transcript writes what was done, one line each.
type transcript struct {
	out  io.Writer
	step string
}

func (a *transcript) printTitle(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format+"\n", args...)
}

func (a *transcript) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, "  %-7s %s\n", a.step, fmt.Sprintf(format, args...))
}

// formatMillis writes a duration in whole milliseconds.
func formatMillis(took time.Duration) string { return fmt.Sprintf("%d ms", took.Milliseconds()) }

// formatCosts writes the cost of each stage in the order given.
func formatCosts(answer *client.Answer, stages []string) string {
	parts := make([]string, 0, len(stages))
	for _, stage := range stages {
		cost := answer.Costs[stage]
		part := fmt.Sprintf("%s %.0f ms", stage, cost.Busy)
		if cost.Prefill+cost.Decode > 0 {
			part += fmt.Sprintf(" (%d+%d tokens)", cost.Prefill, cost.Decode)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}
