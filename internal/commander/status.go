package commander

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/internal/loader"
	"oriolemill.example/oriolemill/pkg/client"
)

// statusPollInterval is the wait between looks with --wait.
const statusPollInterval = 50 * time.Millisecond

// statusFlags are the flags of the status command.
type statusFlags struct {
	instances   []string
	token       string
	output      outputSetting
	waitVersion uint64
	timeout     time.Duration
}

func newStatus() *cobra.Command {
	var flags statusFlags
	command := &cobra.Command{
		Use:   "status",
		Short: "Show what instances have in force and know of each other and of upstreams",
		Args:  cobra.NoArgs,
	}
	set := command.Flags()
	load := loader.New(set)
	set.StringSliceVar(&flags.instances, "instances", []string{"http://127.0.0.1:8081"}, "operators' base addresses of instances, comma separated")
	load.String(&flags.token, "token", "", "operator's token", loader.Any("a token of an operator in the configuration in force"))
	flags.output.declare(load)
	set.Uint64Var(&flags.waitVersion, "wait", 0, "wait until all instances have this version or a newer one in force")
	set.DurationVar(&flags.timeout, "timeout", 10*time.Second, "bound of the wait")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := load.Load(); err != nil {
			return withExitCode(exitUsage, err)
		}
		return runStatus(command, &flags)
	}
	return command
}

func runStatus(command *cobra.Command, flags *statusFlags) error {
	ctx, cancel := context.WithTimeout(command.Context(), flags.timeout)
	defer cancel()
	all := make([]*client.Status, 0, len(flags.instances))
	for _, address := range flags.instances {
		one, err := awaitStatus(ctx, client.New(address, client.WithToken(flags.token)), flags.waitVersion)
		if err != nil {
			return merry.Prepend(err, address)
		}
		all = append(all, one)
	}
	return flags.output.write(command, all, func(w io.Writer) { writeStatus(w, all) })
}

// awaitStatus returns the status once the version is in force and upstreams
// are known; version zero does not wait.
func awaitStatus(ctx context.Context, operator *client.Client, version uint64) (*client.Status, error) {
	defer operator.Close()
	for {
		status, err := operator.Status(ctx)
		if err != nil {
			return nil, err
		}
		if version == 0 || status.Version >= version && len(status.Services) > 0 {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return nil, merry.Errorf("version %d is in force, not %d", status.Version, version)
		case <-time.After(statusPollInterval):
		}
	}
}

// writeStatus writes a line for each instance, then the upstreams by service.
func writeStatus(w io.Writer, all []*client.Status) {
	_, _ = fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tSTATE\tVERSION\tTABLE\tMEMBERS")
	for _, status := range all {
		members := make([]string, 0, len(status.Members))
		for _, member := range status.Members {
			state := "silent"
			if member.Answers {
				state = "answers"
			}
			members = append(members, fmt.Sprintf("%s@%d %s", member.ID, member.Version, state))
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", status.ID, status.Datacentre, status.State,
			status.Version, status.Table, strings.Join(members, ", "))
	}
	_, _ = fmt.Fprintln(w, "\nINSTANCE\tSERVICE\tREPLICAS\tLIVE\tLEAVING\tEJECTED")
	for _, status := range all {
		for _, service := range status.Services {
			counts := make(map[string]int)
			for _, replica := range service.Replicas {
				counts[replica.State]++
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", status.ID, service.Name, len(service.Replicas), counts["live"], counts["leaving"], counts["ejected"])
		}
	}
}
