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

// statusPollInterval is the interval between requests of status --wait.
const statusPollInterval = 50 * time.Millisecond

// statusFlags holds the flags of the status command.
type statusFlags struct {
	instances []string
	token     string
	output    outputSetting
	// waitVersion is the version to wait for; zero means no wait.
	waitVersion uint64
	timeout     time.Duration
}

// newStatus returns the command that shows the status of instances.
func newStatus() *cobra.Command {
	var flags statusFlags
	command := &cobra.Command{
		Use:   "status",
		Short: "Show instances with the versions in force, their peers and their upstreams",
		Args:  cobra.NoArgs,
	}
	flagSet := command.Flags()
	settingLoader := loader.New(flagSet)
	flagSet.StringSliceVar(&flags.instances, "instances", []string{"http://127.0.0.1:8081"}, "base addresses of the instances for operators, comma separated")
	settingLoader.String(&flags.token, "token", "", "operator's token", loader.AnyValue("a token of an operator in the configuration in force"))
	flags.output.declare(settingLoader)
	flagSet.Uint64Var(&flags.waitVersion, "wait", 0, "wait until all instances have this version or a newer one in force")
	flagSet.DurationVar(&flags.timeout, "timeout", 10*time.Second, "timeout of the whole command")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := settingLoader.Load(); err != nil {
			return withExitCode(exitUsage, err)
		}
		return runStatus(command, &flags)
	}
	return command
}

// runStatus requests the status of each instance and writes all of them.
func runStatus(command *cobra.Command, flags *statusFlags) error {
	ctx, cancel := context.WithTimeout(command.Context(), flags.timeout)
	defer cancel()
	statuses := make([]*client.Status, 0, len(flags.instances))
	for _, address := range flags.instances {
		status, err := awaitStatus(ctx, client.New(address, client.WithToken(flags.token)), flags.waitVersion)
		if err != nil {
			return merry.Prepend(err, address)
		}
		statuses = append(statuses, status)
	}
	return flags.output.write(command, statuses, func(w io.Writer) { writeStatus(w, statuses) })
}

// awaitStatus returns an instance's status as soon as the instance has the version or
// a newer one in force and knows at least one service. Version zero means no wait.
func awaitStatus(ctx context.Context, operatorClient *client.Client, version uint64) (*client.Status, error) {
	defer operatorClient.Close()
	for {
		status, err := operatorClient.Status(ctx)
		if err != nil {
			return nil, err
		}
		if version == 0 || status.Version >= version && len(status.Services) > 0 {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return nil, merry.Errorf("timed out: version %d is in force, want version %d or newer and at least one known service", status.Version, version)
		case <-time.After(statusPollInterval):
		}
	}
}

// writeStatus writes a table of the instances, then one of each instance's services
// with the numbers of their replicas by state.
func writeStatus(w io.Writer, statuses []*client.Status) {
	_, _ = fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tSTATE\tVERSION\tTABLE\tMEMBERS")
	for _, status := range statuses {
		members := make([]string, 0, len(status.Members))
		for _, member := range status.Members {
			state := "silent"
			if member.IsReachable {
				state = "answers"
			}
			members = append(members, fmt.Sprintf("%s@%d %s", member.ID, member.Version, state))
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", status.ID, status.Datacentre, status.State,
			status.Version, status.TableState, strings.Join(members, ", "))
	}
	_, _ = fmt.Fprintln(w, "\nINSTANCE\tSERVICE\tREPLICAS\tLIVE\tLEAVING\tEJECTED")
	for _, status := range statuses {
		for _, service := range status.Services {
			counts := make(map[string]int)
			for _, replica := range service.Replicas {
				counts[replica.State]++
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", status.ID, service.Name, len(service.Replicas), counts["live"], counts["leaving"], counts["ejected"])
		}
	}
}
