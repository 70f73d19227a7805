package editor

import (
	"context"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/operator"
	"oriolemill.example/oriolemill/internal/server/orderer"
	"oriolemill.example/oriolemill/pkg/client"
)

// Limits of a request for a page of orders or of their changes.
const (
	defaultListLimit = 100
	maxListLimit     = 1000
	listTimeout      = 5 * time.Second
)

// Orders lists and resolves orders for operators.
type Orders interface {
	// List reads up to limit orders in a state, or in all states with "".
	List(ctx context.Context, state, after string, limit int) (orderer.OrderPage, error)
	// Resolve stores an operator's decision on an order whose outcome is unknown.
	Resolve(ctx context.Context, operatorName string, resolution orderer.Resolution) (orderer.OrderSummary, error)
	// History reads up to limit changes that operators made to orders.
	History(ctx context.Context, filter orderer.ChangeFilter, after string, limit int) (orderer.OrderChangePage, error)
}

// parseLimit reads the query parameter "limit" of a page.
func parseLimit(c *app.RequestContext) (int, error) {
	limit, err := strconv.Atoi(c.DefaultQuery("limit", strconv.Itoa(defaultListLimit)))
	if err != nil || limit < 1 || limit > maxListLimit {
		return 0, merry.Prependf(server.ErrInvalid, "limit: allowed: 1 to %d", maxListLimit)
	}
	return limit, nil
}

func (e *Editor) listOrders(ctx context.Context, c *app.RequestContext) (any, error) {
	limit, err := parseLimit(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := e.dependencies.Orders.List(ctx, c.Query("state"), c.Query("after"), limit)
	if err != nil {
		return nil, err
	}
	response := client.OrderPage{Orders: make([]client.OrderSummary, 0, len(page.Orders)), NextCursor: page.NextCursor}
	for _, summary := range page.Orders {
		response.Orders = append(response.Orders, client.OrderSummary(summary))
	}
	return response, nil
}

func (e *Editor) resolveOrder(ctx context.Context, c *app.RequestContext) (any, error) {
	var resolution client.Resolution
	if err := c.BindJSON(&resolution); err != nil {
		return nil, merry.Prepend(server.ErrInvalid, err.Error())
	}
	summary, err := e.dependencies.Orders.Resolve(ctx, operator.NameOf(c), orderer.Resolution(resolution))
	return client.OrderSummary(summary), err
}

func (e *Editor) listOrderChanges(ctx context.Context, c *app.RequestContext) (any, error) {
	limit, err := parseLimit(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	filter := orderer.ChangeFilter{Workspace: c.Query("workspace"), Key: c.Query("key")}
	page, err := e.dependencies.Orders.History(ctx, filter, c.Query("after"), limit)
	if err != nil {
		return nil, err
	}
	response := client.OrderChangePage{Changes: make([]client.OrderChange, 0, len(page.Changes)), NextCursor: page.NextCursor}
	for _, change := range page.Changes {
		response.Changes = append(response.Changes, client.OrderChange(change))
	}
	return response, nil
}
