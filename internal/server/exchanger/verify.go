package exchanger

import (
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/dialer"
)

// reportTimeout bounds the wait for a replica's report.
const reportTimeout = 400 * time.Millisecond

// connectVerified returns a connection on which the replica has stated its start. If the replica starts again,
// the connection breaks, so a request on it reaches the process that made the statement, or none. If the
// replica states nothing and the request is sent all the same, it has a connection of its own.
func (x *Exchanger) connectVerified(ctx context.Context, replica *server.Replica, request *Request) (*dialer.Conn, error) {
	connectedAt := x.timer.Now()
	conn, err := x.dialer.Open(ctx, replica)
	if err != nil {
		return nil, err
	}
	startMillis, isStated := x.readReport(ctx, conn, replica)
	if err := request.Verify(startMillis, isStated, connectedAt); err != nil {
		_ = conn.Close()
		return nil, server.NewFault("verify", replica.ID, merry.Prepend(server.ErrWithheld, err.Error()))
	}
	if isStated {
		conn.MarkUsed()
		return conn, nil
	}
	_ = conn.Close()
	return x.dialer.Open(ctx, replica)
}

// readReport reads the report of a replica. isStated is false if it does not state the start of the replica, or
// the connection cannot be used after it.
func (x *Exchanger) readReport(ctx context.Context, conn *dialer.Conn, replica *server.Replica) (startMillis int64, isStated bool) {
	sentAt := x.timer.Now()
	detach := context.AfterFunc(ctx, func() { _ = conn.Close() })
	stop := x.timer.After(reportTimeout, func(time.Time) { _ = conn.Close() })
	defer stop()
	header := http.Header(x.codec.CallHeader(replica.ID))
	header.Del("Content-Type")
	if conn.WriteRequest(http.MethodGet, x.codec.ReportPath(), replica.Address, header, nil) != nil {
		return 0, false
	}
	response, err := conn.ReadResponse(http.MethodGet, "", func(*http.Response) string { return "" })
	if err != nil {
		return 0, false
	}
	info := x.codec.ParseResponse(response.StatusCode, response.Header)
	x.recordResponse(replica, info, sentAt)
	if response.StatusCode != http.StatusOK || !isJSON(response.Header) {
		return 0, false
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStageResponseBytes))
	if err != nil || !conn.IsReusable(response) || !detach() {
		return 0, false
	}
	return x.codec.DecodeReport(body)
}

// isJSON reports whether a response states that it is JSON, or states nothing.
func isJSON(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err != nil || mediaType == "application/json"
}
