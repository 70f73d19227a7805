package commander

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"oriolemill.example/oriolemill/pkg/client"
)

// newOrder returns the commands for orders.
func newOrder() *cobra.Command {
	command := &cobra.Command{Use: "order", Short: "List and resolve orders, and show who resolved which"}
	target := &instanceTarget{}
	target.declare(command)
	command.AddCommand(newOrderList(target), newOrderResolve(target), newOrderHistory(target))
	return command
}

// newOrderList returns the command that lists orders.
func newOrderList(target *instanceTarget) *cobra.Command {
	var state string
	command := &cobra.Command{
		Use:   "list",
		Short: "List orders, one per line",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return listOrders(command, target, state)
		},
	}
	command.Flags().StringVar(&state, "state", "", "only orders in this state: claimed, done, not-run or unknown")
	return command
}

// listOrders prints orders page by page, so that the output of a long list starts at
// once. As JSON it prints one array for each page.
func listOrders(command *cobra.Command, target *instanceTarget, state string) error {
	after := ""
	for {
		page, err := target.client().Orders(command.Context(), state, after)
		if err != nil {
			return err
		}
		if err := target.print(command, page.Orders, func() string { return formatOrders(page.Orders) }); err != nil {
			return err
		}
		if after = page.NextCursor; after == "" {
			return nil
		}
	}
}

// formatOrders returns one line of tab-separated fields for each order.
func formatOrders(summaries []client.OrderSummary) string {
	var lines strings.Builder
	for _, e := range summaries {
		fmt.Fprintf(&lines, "%s\t%s\t%s\t%s\t%s/%s\t%s\t%s\n", e.State, e.Workspace, e.Key,
			e.RecordedAt.UTC().Format(time.RFC3339), e.Service, e.Operation, e.RequestID, e.Reason)
	}
	return lines.String()
}

// newOrderResolve returns the command that records the outcome of an unknown order.
func newOrderResolve(target *instanceTarget) *cobra.Command {
	var resolution client.Resolution
	command := &cobra.Command{
		Use:   "resolve WORKSPACE KEY",
		Short: "Record the outcome of an unknown order",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			resolution.Workspace, resolution.Key = args[0], args[1]
			summary, err := target.client().ResolveOrder(command.Context(), resolution)
			if err != nil {
				return err
			}
			return target.print(command, summary, func() string {
				return fmt.Sprintf("%s\t%s\t%s\tby %s\n", summary.State, summary.Workspace, summary.Key, summary.ResolvedBy)
			})
		},
	}
	command.Flags().StringVar(&resolution.State, "state", "", "outcome of the order: done or not-run")
	command.Flags().StringVar(&resolution.Reason, "reason", "", "reason, recorded in the audit trail")
	return command
}

// newOrderHistory returns the command that lists what operators changed in orders.
func newOrderHistory(target *instanceTarget) *cobra.Command {
	var workspace, key string
	command := &cobra.Command{
		Use:   "history",
		Short: "Show operators' changes of orders, oldest first, one per line",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return listOrderChanges(command, target, workspace, key)
		},
	}
	command.Flags().StringVar(&workspace, "workspace", "", "only this workspace's orders")
	command.Flags().StringVar(&key, "key", "", "only orders with this key")
	return command
}

// listOrderChanges prints operators' changes of orders page by page, like listOrders.
func listOrderChanges(command *cobra.Command, target *instanceTarget, workspace, key string) error {
	after := ""
	for {
		page, err := target.client().OrderHistory(command.Context(), workspace, key, after)
		if err != nil {
			return err
		}
		if err := target.print(command, page.Changes, func() string { return formatOrderChanges(page.Changes) }); err != nil {
			return err
		}
		if after = page.NextCursor; after == "" {
			return nil
		}
	}
}

// formatOrderChanges returns one line of tab-separated fields for each change.
func formatOrderChanges(changes []client.OrderChange) string {
	var lines strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&lines, "%s\t%s\t%s\t%s\t%s\t%s\n", c.ChangedAt.UTC().Format(time.RFC3339), c.Operator, c.Action, c.Workspace, c.Key, c.Reason)
	}
	return lines.String()
}
