package orderer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// OrderSummary is an order as shown to operators. It omits the request's input and the
// service's output.
type OrderSummary struct {
	Workspace string
	// Key is the idempotency key.
	Key   string
	State string
	// RequestID is the ID of the request that claimed the order.
	RequestID string
	// Holder is the ID of the instance that claimed the order.
	Holder    string
	Service   string
	Operation string
	// Upstream is the replica that was last picked for the order.
	Upstream string
	// ResolvedBy is the operator that resolved the order, and Reason is why.
	ResolvedBy string
	Reason     string
	// RecordedAt is when the state was recorded.
	RecordedAt time.Time
}

// OrderPage is a page of orders. NextCursor is the row key after which the next page
// starts. It is "" if the last row was read before the page was full.
type OrderPage struct {
	Orders     []OrderSummary
	NextCursor string
}

// Resolution is an operator's decision about an order in state unknown.
type Resolution struct {
	Workspace string
	Key       string
	// State is done or not-run.
	State string
	// Reason is stored in the order's row and in the audit trail.
	Reason string
}

// tableAudit holds one row per resolution. It is separate from the documents'
// audit trail, whose rows form a hash chain.
const tableAudit = "order-audit"

// auditEntry is one row of the audit trail.
type auditEntry struct {
	Operator string `json:"who"`
	Action   string `json:"what"`
	// OrderRow is the key of the order's row.
	OrderRow  string    `json:"order"`
	Reason    string    `json:"reason"`
	ChangedAt time.Time `json:"at"`
}

// List returns up to limit orders in the given state, or in any state if it is
// "", after the given row key. Errors are those of the table.
func (o *Orderer) List(ctx context.Context, state, after string, limit int) (OrderPage, error) {
	page := OrderPage{Orders: []OrderSummary{}}
	for {
		rows, err := o.dependencies.Table.Scan(ctx, tableOrders, after, sweepPageRows)
		if err != nil {
			return page, err
		}
		for _, row := range rows {
			after = row.Row
			found, err := decodeRecord(row.Value)
			if err != nil || state != "" && found.State != state {
				continue
			}
			page.Orders = append(page.Orders, summaryOf(row.Row, found))
			if len(page.Orders) == limit {
				page.NextCursor = after
				return page, nil
			}
		}
		if len(rows) < sweepPageRows {
			return page, nil
		}
	}
}

// summaryOf returns the summary of the order in a row.
func summaryOf(row string, r record) OrderSummary {
	workspace, key := splitRow(row)
	return OrderSummary{
		Workspace: workspace, Key: key, State: r.State, RequestID: r.RequestID, Holder: r.Holder,
		Service: r.Service, Operation: r.Operation, Upstream: r.Upstream, ResolvedBy: r.ResolvedBy, Reason: r.Reason, RecordedAt: r.UpdatedAt,
	}
}

// Resolve sets the state of an unknown order to the operator's decision and adds an
// audit entry in the same transaction. The error is ErrInvalid for a malformed
// resolution, ErrNotFound if there is no such order, ErrConflict if the order is not
// in state unknown, or that of the table.
func (o *Orderer) Resolve(ctx context.Context, operator string, resolution Resolution) (OrderSummary, error) {
	if resolution.State != StateDone && resolution.State != StateNotRun {
		return OrderSummary{}, merry.Prepend(server.ErrInvalid, "state: must be done or not-run")
	}
	if resolution.Reason == "" {
		return OrderSummary{}, merry.Prepend(server.ErrInvalid, "reason: must not be empty")
	}
	key := rowKey(resolution.Workspace, resolution.Key)
	row, err := o.dependencies.Table.Get(ctx, key)
	if err != nil {
		return OrderSummary{}, err
	}
	found, err := decodeRecord(row.Value)
	if err != nil {
		return OrderSummary{}, err
	}
	if found.State != StateUnknown {
		return OrderSummary{}, merry.Prependf(server.ErrConflict, "order is in state %s, not unknown", found.State)
	}
	now := o.dependencies.Timer.Now().Round(0)
	found.State, found.ResolvedBy, found.Reason, found.UpdatedAt = resolution.State, operator, resolution.Reason, now
	if found.State == StateDone {
		found.Output = json.RawMessage("null")
	}
	writes, err := resolveWrites(row, found, auditEntry{
		Operator: operator, Action: "order resolve " + resolution.State, OrderRow: row.Row, Reason: resolution.Reason, ChangedAt: now,
	})
	if err != nil {
		return OrderSummary{}, err
	}
	if _, err := o.dependencies.Table.Commit(ctx, writes); err != nil {
		return OrderSummary{}, err
	}
	return summaryOf(row.Row, found), nil
}

// resolveWrites returns the writes of the resolved order and of its audit entry.
func resolveWrites(row server.Row, r record, audit auditEntry) ([]server.Write, error) {
	write, err := r.write(row.Key, row.Version)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(audit)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	name := audit.ChangedAt.UTC().Format("20060102T150405.000000000Z") + "-" + server.NewID().String()
	return []server.Write{write, {Key: server.Key{Table: tableAudit, Row: name}, Value: value}}, nil
}
