package client

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// Entry is an order as shown to operators, without the input and the output.
type Entry struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// State is "claimed", "done", "not-run" or "unknown".
	State string `json:"state"`
	// Request is the ID of the request and Holder the instance that claimed the order.
	Request   string `json:"request"`
	Holder    string `json:"holder"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	// Upstream is the replica that the order was sent to, or "".
	Upstream string `json:"upstream,omitempty"`
	// Who is the operator who resolved the order and Reason the stated reason, or "".
	Who    string `json:"who,omitempty"`
	Reason string `json:"reason,omitempty"`
	// At is the time at which the state was recorded.
	At time.Time `json:"at"`
}

// Listing is a page of orders. After is the cursor of the next page, or "" on the
// last one.
type Listing struct {
	Orders []Entry `json:"orders"`
	After  string  `json:"after,omitempty"`
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
// The page starts after a cursor; "" gives the first one. The error is a *Refusal
// if the instance rejected the request.
func (c *Client) Orders(ctx context.Context, state, after string) (*Listing, error) {
	query := url.Values{"state": {state}, "after": {after}}
	listing := &Listing{}
	return listing, c.sendOperatorRequest(ctx, http.MethodGet, "/v1/orders?"+query.Encode(), nil, listing)
}

// Resolve records the outcome of an unknown order and returns the order. The error
// is a *Refusal if the instance rejected the request, with status 409 if the outcome
// of the order is not unknown.
func (c *Client) Resolve(ctx context.Context, resolution Resolution) (*Entry, error) {
	entry := &Entry{}
	return entry, c.sendOperatorRequest(ctx, http.MethodPost, "/v1/orders/resolve", resolution, entry)
}

// OrderChange is the record of a change that an operator made to an order.
type OrderChange struct {
	At time.Time `json:"at"`
	// Who is the name of the operator, What the change.
	Who       string `json:"who"`
	What      string `json:"what"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Reason    string `json:"reason"`
}

// OrderChanges is a page of changes, oldest first. After is the cursor of the next
// page, or "" on the last one.
type OrderChanges struct {
	Changes []OrderChange `json:"changes"`
	After   string        `json:"after,omitempty"`
}

// OrderHistory returns a page of the changes that operators made to the orders of a
// workspace with a key; "" selects all workspaces or all keys. The page starts after a cursor; ""
// gives the first one. The error is a *Refusal if the instance rejected the
// request.
func (c *Client) OrderHistory(ctx context.Context, workspace, key, after string) (*OrderChanges, error) {
	query := url.Values{"workspace": {workspace}, "key": {key}, "after": {after}}
	changes := &OrderChanges{}
	return changes, c.sendOperatorRequest(ctx, http.MethodGet, "/v1/orders/history?"+query.Encode(), nil, changes)
}
