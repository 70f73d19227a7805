package client

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// OrderSummary is an order as shown to operators, without the input and the output.
type OrderSummary struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// State is "claimed", "done", "not-run" or "unknown".
	State string `json:"state"`
	// RequestID is the ID of the request and Holder the instance that claimed the order.
	RequestID string `json:"request"`
	Holder    string `json:"holder"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	// Upstream is the replica that the order was sent to, or "".
	Upstream string `json:"upstream,omitempty"`
	// ResolvedBy is the operator who resolved the order and Reason the stated reason, or "".
	ResolvedBy string `json:"who,omitempty"`
	Reason     string `json:"reason,omitempty"`
	// RecordedAt is the time at which the state was recorded.
	RecordedAt time.Time `json:"at"`
}

// OrderPage is a page of orders. NextCursor is the cursor of the next page, or "" on the
// last one.
type OrderPage struct {
	Orders     []OrderSummary `json:"orders"`
	NextCursor string         `json:"after,omitempty"`
}

// Resolution is the decision of an operator about an order whose outcome is
// unknown.
type Resolution struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// State is the outcome to record: "done" or "not-run".
	State string `json:"state"`
	// Reason is stored with the order and in the audit trail.
	Reason string `json:"reason"`
}

// Orders returns a page of the orders in a state, or in all states if state is "".
// The page starts after a cursor; "" gives the first one. The error is a *OperatorProblem
// if the instance rejected the request.
func (c *Client) Orders(ctx context.Context, state, after string) (*OrderPage, error) {
	query := url.Values{"state": {state}, "after": {after}}
	page := &OrderPage{}
	return page, c.sendOperatorRequest(ctx, http.MethodGet, "/v1/orders?"+query.Encode(), nil, page)
}

// ResolveOrder records the outcome of an unknown order and returns the order. The error
// is a *OperatorProblem if the instance rejected the request, with status 409 if the outcome
// of the order is not unknown.
func (c *Client) ResolveOrder(ctx context.Context, resolution Resolution) (*OrderSummary, error) {
	summary := &OrderSummary{}
	return summary, c.sendOperatorRequest(ctx, http.MethodPost, "/v1/orders/resolve", resolution, summary)
}

// OrderChange is the record of a change that an operator made to an order.
type OrderChange struct {
	// ChangedAt is the time of the change.
	ChangedAt time.Time `json:"at"`
	// Operator is the name of the operator, Action the change.
	Operator  string `json:"who"`
	Action    string `json:"what"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Reason    string `json:"reason"`
}

// OrderChangePage is a page of changes, oldest first. NextCursor is the cursor of the next
// page, or "" on the last one.
type OrderChangePage struct {
	Changes    []OrderChange `json:"changes"`
	NextCursor string        `json:"after,omitempty"`
}

// OrderHistory returns a page of the changes that operators made to the orders of a
// workspace with a key; "" selects all workspaces or all keys. The page starts after a
// cursor; "" gives the first one. The error is a *OperatorProblem if the instance rejected
// the request.
func (c *Client) OrderHistory(ctx context.Context, workspace, key, after string) (*OrderChangePage, error) {
	query := url.Values{"workspace": {workspace}, "key": {key}, "after": {after}}
	page := &OrderChangePage{}
	return page, c.sendOperatorRequest(ctx, http.MethodGet, "/v1/orders/history?"+query.Encode(), nil, page)
}
