package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
)

// FetchLoad fetches an upstream's load report, and whether the upstream is leaving.
// The report's time is the current time minus the age that the upstream states.
func (c *Caller) FetchLoad(ctx context.Context, upstream *server.Upstream) (server.Load, bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+upstream.Address()+messenger.PathLoad, nil)
	if err != nil {
		return server.Load{}, false, merry.Wrap(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return server.Load{}, false, server.NewFault("load", upstream.ID(), transportError(ctx, err))
	}
	defer discardBody(response.Body)
	if err := statusError(response); err != nil {
		return server.Load{}, false, server.NewFault("load", upstream.ID(), err)
	}
	var message messenger.Load
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&message); err != nil {
		return server.Load{}, false, server.NewFault("load", upstream.ID(), merry.Prepend(server.ErrMismatch, err.Error()))
	}
	load := server.Load{
		ReportedAt:      c.now().Add(-time.Duration(message.AgeMillis) * time.Millisecond),
		Running:         message.Running,
		Waiting:         message.Waiting,
		Slots:           message.Slots,
		PrefillRate:     message.PrefillRate,
		DecodeRate:      message.DecodeRate,
		Models:          message.Models,
		Role:            message.Role,
		RequestsByModel: message.RequestsByModel,
	}
	return load, message.IsLeaving, nil
}
