package orderer

import (
	"context"
	"encoding/json"
	"time"
)

// Change is an operator's change to an order.
type Change struct {
	At time.Time
	// Who is the operator, and What the action.
	Who       string
	What      string
	Workspace string
	// Key is the order's idempotency key.
	Key    string
	Reason string
}

// Changes is a page of changes, oldest first. After is the row key after which
// the next page starts, or "" on the last page.
type Changes struct {
	Changes []Change
	After   string
}

// Search filters changes. An empty field matches every change.
type Search struct {
	Workspace string
	Key       string
}

// matches reports whether a change matches the filter.
func (s Search) matches(c Change) bool {
	return (s.Workspace == "" || s.Workspace == c.Workspace) && (s.Key == "" || s.Key == c.Key)
}

// History returns up to limit matching changes after the given row key. Errors
// are those of the table.
func (o *Orderer) History(ctx context.Context, search Search, after string, limit int) (Changes, error) {
	page := Changes{Changes: []Change{}}
	for {
		rows, err := o.parts.Table.Scan(ctx, tableAudit, after, sweepPageRows)
		if err != nil {
			return page, err
		}
		for _, row := range rows {
			after = row.Row
			change, ok := decodeChange(row.Value)
			if !ok || !search.matches(change) {
				continue
			}
			page.Changes = append(page.Changes, change)
			if len(page.Changes) == limit {
				page.After = after
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
func decodeChange(value []byte) (Change, bool) {
	var found auditEntry
	if json.Unmarshal(value, &found) != nil || found.OrderRow == "" {
		return Change{}, false
	}
	workspace, key := splitRow(found.OrderRow)
	return Change{At: found.ChangedAt, Who: found.Operator, What: found.Action, Workspace: workspace, Key: key, Reason: found.Reason}, true
}
