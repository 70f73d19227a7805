package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
)

// FetchEvents fetches an engine's cache events with sequence numbers above since.
func (c *Caller) FetchEvents(ctx context.Context, upstream *server.Upstream, since uint64) (*messenger.CacheEventsAnswer, error) {
	endpoint := "http://" + upstream.Address() + messenger.PathEvents + "?since=" + strconv.FormatUint(since, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint, nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, server.NewFault("events", upstream.ID(), transportError(ctx, err))
	}
	defer discardBody(response.Body)
	if err := statusError(response); err != nil {
		return nil, server.NewFault("events", upstream.ID(), err)
	}
	var events messenger.CacheEventsAnswer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&events); err != nil {
		return nil, server.NewFault("events", upstream.ID(), merry.Prepend(server.ErrMismatch, err.Error()))
	}
	return &events, nil
}
