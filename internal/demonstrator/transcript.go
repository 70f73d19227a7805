package demonstrator

import (
	"fmt"
	"io"
	"strings"
	"time"

	"oriolemill.example/oriolemill/pkg/client"
)

// transcript prints the results of the steps, one line each.
type transcript struct {
	out io.Writer
	// step is the name of the current step, which begins each line.
	step string
}

func (t *transcript) printTitle(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format+"\n", args...)
}

func (t *transcript) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, "  %-7s %s\n", t.step, fmt.Sprintf(format, args...))
}

// formatMillis returns a duration as text in whole milliseconds.
func formatMillis(duration time.Duration) string {
	return fmt.Sprintf("%d ms", duration.Milliseconds())
}

// formatCosts returns the costs of the stages as text, in the given order.
func formatCosts(answer *client.Answer, stages []string) string {
	parts := make([]string, 0, len(stages))
	for _, stage := range stages {
		cost := answer.Costs[stage]
		part := fmt.Sprintf("%s %.0f ms", stage, cost.BusyMillis)
		if cost.PrefillTokens+cost.DecodeTokens > 0 {
			part += fmt.Sprintf(" (%d+%d tokens)", cost.PrefillTokens, cost.DecodeTokens)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}
