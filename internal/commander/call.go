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

// callFlags are the flags of the call command.
type callFlags struct {
	address   string
	apiKey    string
	output    outputSetting
	request   client.Request
	textFile  string
	inputJSON string
	stream    bool
}

func newCall() *cobra.Command {
	var flags callFlags
	command := &cobra.Command{
		Use:   "call KIND",
		Short: "Send one request as a caller",
		Long:  "Call sends one request of a kind of the workspace's contract, once. The exit\ncode tells the outcome: 0 done, 3 not-run, 4 failed, 5 unknown.",
		Args:  cobra.ExactArgs(1),
	}
	set := command.Flags()
	load := loader.New(set)
	load.String(&flags.address, "address", "http://127.0.0.1:8080", "base address of an instance or balancer", loader.URL())
	load.String(&flags.apiKey, "api-key", "", "the workspace's API key", loader.Any("a key of a contract in force"))
	flags.output.declare(load)
	set.StringVar(&flags.request.Pipeline, "pipeline", "", "pipeline that serves the kind")
	set.StringVar(&flags.request.Service, "service", "", "plain service that serves the kind")
	set.StringVar(&flags.request.Operation, "operation", "", "operation of the plain service")
	set.StringVar(&flags.request.Key, "idempotency-key", "", "idempotency key, wanted for side effects")
	set.DurationVar(&flags.request.Deadline, "deadline", 0, "time to the whole answer, such as 2s; 0 leaves the contract's")
	set.IntVar(&flags.request.Tokens, "tokens", 0, "lowers the tokens to generate; 0 leaves the contract's")
	set.StringVar(&flags.textFile, "text", "", "file with the input as text, - for standard input")
	set.StringVar(&flags.inputJSON, "input", "", "input as JSON")
	set.BoolVar(&flags.stream, "stream", false, "stream the answer")
	command.MarkFlagsMutuallyExclusive("text", "input")
	command.MarkFlagsOneRequired("text", "input")
	command.MarkFlagsMutuallyExclusive("pipeline", "service")
	command.MarkFlagsOneRequired("pipeline", "service")
	command.MarkFlagsRequiredTogether("service", "operation")
	command.RunE = func(command *cobra.Command, args []string) error {
		if err := load.Load(); err != nil {
			return withExitCode(exitUsage, err)
		}
		flags.request.Kind = args[0]
		return runCall(command, &flags)
	}
	return command
}

// runCall sends the request and writes its answer.
func runCall(command *cobra.Command, flags *callFlags) error {
	input, err := readInput(command, flags)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	flags.request.Input = input
	caller := client.New(flags.address, client.WithToken(flags.apiKey))
	defer caller.Close()
	begin := time.Now()
	answer, err := sendCall(command.Context(), command.OutOrStdout(), caller, flags)
	if err != nil {
		return withOutcomeCode(err)
	}
	took := time.Since(begin)
	return flags.output.write(command, answer, func(w io.Writer) { writeAnswer(w, answer, took) })
}

// sendCall streams tokens as they come, or waits for the answer in one piece.
func sendCall(ctx context.Context, out io.Writer, caller *client.Client, flags *callFlags) (*client.Answer, error) {
	if !flags.stream {
		return caller.Call(ctx, flags.request)
	}
	answer, err := caller.Stream(ctx, flags.request, func(token client.Token) error {
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
	return string(data), merry.Prepend(err, "--text")
}

// writeAnswer writes the answer, and then the cost of each stage.
func writeAnswer(w io.Writer, answer *client.Answer, took time.Duration) {
	if len(answer.Output) > 0 {
		_, _ = fmt.Fprintln(w, answer.Text())
	}
	_, _ = fmt.Fprintf(w, "%s, request %s, %d ms", answer.Outcome, answer.Request, took.Milliseconds())
	if answer.Total > 0 {
		_, _ = fmt.Fprintf(w, ", %d tokens", answer.Total)
	}
	_, _ = fmt.Fprintln(w, "\nSTAGE\tCALLS\tBUSY MS\tPREFILL\tDECODE\tTOOK MS")
	for _, stage := range slices.Sorted(maps.Keys(answer.Costs)) {
		cost := answer.Costs[stage]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.1f\t%d\t%d\t%.1f\n", stage, cost.Calls, cost.Busy, cost.Prefill, cost.Decode, answer.Times[stage])
	}
}
