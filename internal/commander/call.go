package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/internal/loader"
	"oriolemill.example/oriolemill/pkg/client"
)

// callFlags holds the flags of the call command.
type callFlags struct {
	address   string
	apiKey    string
	output    outputSetting
	request   client.Request
	textFile  string
	inputJSON string
	stream    bool
}

// newCall returns the command that sends one request.
func newCall() *cobra.Command {
	var flags callFlags
	command := &cobra.Command{
		Use:   "call KIND",
		Short: "Send one request as a caller",
		Long:  "Call sends one request of a kind in the workspace's contract and does not retry.\nThe exit code is the outcome: 0 done, 3 not-run, 4 failed, 5 unknown.",
		Args:  cobra.ExactArgs(1),
	}
	flagSet := command.Flags()
	settingLoader := loader.New(flagSet)
	settingLoader.String(&flags.address, "address", "http://127.0.0.1:8080", "base address of an instance or balancer", loader.URL())
	settingLoader.String(&flags.apiKey, "api-key", "", "the workspace's API key", loader.AnyValue("a key of a contract in force"))
	flags.output.declare(settingLoader)
	flagSet.StringVar(&flags.request.Pipeline, "pipeline", "", "pipeline that serves the kind")
	flagSet.StringVar(&flags.request.Service, "service", "", "plain service that serves the kind")
	flagSet.StringVar(&flags.request.Operation, "operation", "", "operation of the plain service")
	flagSet.StringVar(&flags.request.IdempotencyKey, "idempotency-key", "", "idempotency key, required for kinds with side effects")
	flagSet.DurationVar(&flags.request.Deadline, "deadline", 0, "deadline of the whole answer, such as 2s; 0 means the contract's")
	flagSet.IntVar(&flags.request.MaxTokens, "tokens", 0, "limit of generated tokens, if below the contract's; 0 means the contract's")
	flagSet.StringVar(&flags.textFile, "text", "", "file with the input as text; - means standard input")
	flagSet.StringVar(&flags.inputJSON, "input", "", "input as JSON")
	flagSet.BoolVar(&flags.stream, "stream", false, "stream the answer token by token")
	command.MarkFlagsMutuallyExclusive("text", "input")
	command.MarkFlagsOneRequired("text", "input")
	command.MarkFlagsMutuallyExclusive("pipeline", "service")
	command.MarkFlagsOneRequired("pipeline", "service")
	command.MarkFlagsRequiredTogether("service", "operation")
	command.RunE = func(command *cobra.Command, args []string) error {
		if err := settingLoader.Load(); err != nil {
			return withExitCode(exitUsage, err)
		}
		flags.request.Kind = args[0]
		return runCall(command, &flags)
	}
	return command
}

// runCall sends the request and writes the answer and its costs.
func runCall(command *cobra.Command, flags *callFlags) error {
	input, err := readInput(command, flags)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	flags.request.Input = input
	apiClient := client.New(flags.address, client.WithToken(flags.apiKey))
	defer apiClient.Close()
	start := time.Now()
	answer, err := sendCall(command.Context(), command.OutOrStdout(), apiClient, flags)
	if err != nil {
		return withOutcomeCode(err)
	}
	duration := time.Since(start)
	return flags.output.write(command, answer, func(w io.Writer) { writeAnswer(w, answer, duration) })
}

// sendCall sends the request. With --stream it writes tokens to out as they arrive.
func sendCall(ctx context.Context, out io.Writer, apiClient *client.Client, flags *callFlags) (*client.Answer, error) {
	if !flags.stream {
		return apiClient.Call(ctx, flags.request)
	}
	answer, err := apiClient.Stream(ctx, flags.request, func(token client.Token) error {
		if flags.output.format == outputJSON {
			return json.NewEncoder(out).Encode(token)
		}
		_, err := io.WriteString(out, token.Text)
		return err
	})
	if flags.output.format == outputTable {
		_, _ = fmt.Fprintln(out)
	}
	return answer, err
}

// readInput returns the request's input from --input or --text.
func readInput(command *cobra.Command, flags *callFlags) (any, error) {
	if flags.inputJSON != "" {
		if !json.Valid([]byte(flags.inputJSON)) {
			return nil, merry.Errorf("--input %q: allowed: JSON", flags.inputJSON)
		}
		return json.RawMessage(flags.inputJSON), nil
	}
	if flags.textFile == "-" {
		data, err := io.ReadAll(command.InOrStdin())
		return string(data), err
	}
	data, err := os.ReadFile(flags.textFile)
	return string(data), merry.Prepend(err, "reading the --text file")
}

// writeAnswer writes the answer, then a table with the cost of each stage.
func writeAnswer(w io.Writer, answer *client.Answer, duration time.Duration) {
	if len(answer.Output) > 0 {
		_, _ = fmt.Fprintln(w, answer.Text())
	}
	_, _ = fmt.Fprintf(w, "%s, request %s, %d ms", answer.Outcome, answer.RequestID, duration.Milliseconds())
	if answer.TotalTokens > 0 {
		_, _ = fmt.Fprintf(w, ", %d tokens", answer.TotalTokens)
	}
	_, _ = fmt.Fprintln(w, "\nSTAGE\tCALLS\tBUSY MS\tPREFILL\tDECODE\tTOOK MS")
	for _, stage := range slices.Sorted(maps.Keys(answer.Costs)) {
		cost := answer.Costs[stage]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.1f\t%d\t%d\t%.1f\n", stage, cost.Calls, cost.BusyMillis, cost.PrefillTokens, cost.DecodeTokens, answer.StageMillis[stage])
	}
}
