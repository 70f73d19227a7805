package caller

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
)

// Operate implements server.Service. A call with an idempotency key uses its own
// connection, so that it is certain whether any byte was sent; see sendCheck.
func (c *Caller) Operate(ctx context.Context, upstream *server.Upstream, call server.Call) (server.Answer, server.SendState, error) {
	path := messenger.PathOperations + url.PathEscape(call.Stage)
	check := &sendCheck{check: call.BeforeSend}
	ctx = withSendCheck(ctx, check)
	client := c.singleUse
	if call.IdempotencyKey == "" {
		client = c.client
	}
	response, err := c.postWith(ctx, client, upstream, path, call.Traceparent, c.runRequest(upstream, call))
	if err != nil {
		if call.IdempotencyKey == "" {
			return server.Answer{}, server.SendStateUnknown, server.NewFault(call.Stage, upstream.ID(), check.responseError(ctx, err))
		}
		if refusal := check.refusal(); refusal != nil {
			return server.Answer{}, server.SendStateUnsent, server.NewFault(call.Stage, upstream.ID(), refusal)
		}
		return server.Answer{}, check.sendState(), server.NewFault(call.Stage, upstream.ID(), check.responseError(ctx, err))
	}
	defer discardBody(response.Body)
	answer, err := readOperation(ctx, response, call)
	if err != nil {
		return server.Answer{}, server.SendStateUnknown, server.NewFault(call.Stage, upstream.ID(), err)
	}
	return answer, server.SendStateAnswered, nil
}

// readOperation reads the response to an operation. Status 409 means that the
// service rejected an outdated fencing number.
func readOperation(ctx context.Context, response *http.Response, call server.Call) (server.Answer, error) {
	if response.StatusCode == http.StatusConflict {
		return server.Answer{}, merry.Wrap(server.ErrConflict)
	}
	return readAnswer(ctx, response, call)
}

// OrderStatus implements server.Service.
func (c *Caller) OrderStatus(ctx context.Context, upstream *server.Upstream, workspace, key string, fence uint64) (server.Answer, error) {
	endpoint := "http://" + upstream.Address() + messenger.PathOrders + url.PathEscape(workspace) + "/" + url.PathEscape(key)
	if fence > 0 {
		endpoint += "?fence=" + strconv.FormatUint(fence, 10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint, nil)
	if err != nil {
		return server.Answer{}, merry.Wrap(err)
	}
	// The response does not state its order, so it must be the first one on its connection.
	response, err := c.singleUse.Do(request)
	if err != nil {
		return server.Answer{}, server.NewFault("status", upstream.ID(), transportError(ctx, err))
	}
	defer discardBody(response.Body)
	answer, err := readStatus(response, workspace)
	if err != nil {
		return server.Answer{}, server.NewFault("status", upstream.ID(), err)
	}
	return answer, nil
}
