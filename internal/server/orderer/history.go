package orderer

import (
	"context"
	"encoding/json"
	"time"
)

// OrderChange is an operator's change to an order.
type OrderChange struct {
	ChangedAt time.Time
	// Operator is the name of the operator, and Action the change.
	Operator  string
	Action    string
	Workspace string
	// Key is the order's idempotency key.
	Key    string
	Reason string
}

// OrderChangePage is a page of changes, oldest first. NextCursor is the row key after
// which the next page starts. It is "" if the last row was read before the page was
// full.
type OrderChangePage struct {
	Changes    []OrderChange
	NextCursor string
}

// ChangeFilter filters changes. An empty field matches every change.
type ChangeFilter struct {
	Workspace string
	Key       string
}

// matches reports whether a change matches the filter.
func (f ChangeFilter) matches(c OrderChange) bool {
	return (f.Workspace == "" || f.Workspace == c.Workspace) && (f.Key == "" || f.Key == c.Key)
}

// History returns up to limit matching changes after the given row key. Errors
// are those of the table.
func (o *Orderer) History(ctx context.Context, filter ChangeFilter, after string, limit int) (OrderChangePage, error) {
	page := OrderChangePage{Changes: []OrderChange{}}
	for {
		rows, err := o.dependencies.Table.Scan(ctx, tableAudit, after, sweepPageRows)
		if err != nil {
			return page, err
		}
		for _, row := range rows {
			after = row.Row
			change, ok := decodeChange(row.Value)
			if !ok || !filter.matches(change) {
				continue
			}
			page.Changes = append(page.Changes, change)
			if len(page.Changes) == limit {
				page.NextCursor = after
				return page, nil
			}
		}
		if len(rows) < sweepPageRows {
			return page, nil
		}
	}
}

// decodeChange decodes an audit row. It returns false if the row does not
// contain an audit entry of an order.
func decodeChange(value []byte) (OrderChange, bool) {
	var found auditEntry
	if json.Unmarshal(value, &found) != nil || found.OrderRow == "" {
		return OrderChange{}, false
	}
	workspace, key := splitRow(found.OrderRow)
	return OrderChange{ChangedAt: found.ChangedAt, Operator: found.Operator, Action: found.Action, Workspace: workspace, Key: key, Reason: found.Reason}, true
}
