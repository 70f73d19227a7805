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
	conn, err := x.dialer.Open(ctx, replica)
	if err != nil {
		return nil, err
	}
	statement, _, isReusable := x.readStatement(ctx, conn, replica)
	// What it states says nothing of the next connection.
	statement.IsStated = statement.IsStated && isReusable
	if err := request.Verify(statement); err != nil {
		_ = conn.Close()
		return nil, server.NewFault("verify", replica.ID, merry.Prepend(server.ErrWithheld, err.Error()))
	}
	if statement.IsStated {
		conn.MarkUsed()
		return conn, nil
	}
	_ = conn.Close()
	return x.dialer.Open(ctx, replica)
}

// AskStart asks a replica for its start. What it returns is empty if the replica does not answer in time, or
// wants no requests now.
func (x *Exchanger) AskStart(ctx context.Context, replica *server.Replica) server.Statement {
	if x.checkPause(replica) != nil {
		return server.Statement{}
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	conn, err := x.dialer.Open(ctx, replica)
	if err != nil {
		return server.Statement{}
	}
	statement, info, isReusable := x.readStatement(ctx, conn, replica)
	if isReusable {
		x.dialer.Put(conn, info.IdleTimeout)
	} else {
		_ = conn.Close()
	}
	return statement
}

// readStatement asks for the start of a replica on a new connection. isReusable is false if the connection
// cannot be used after it.
func (x *Exchanger) readStatement(ctx context.Context, conn *dialer.Conn, replica *server.Replica) (statement server.Statement, info server.ResponseInfo, isReusable bool) {
	statement.AskedAt = x.timer.Now()
	detach := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer detach()
	stop := x.timer.After(reportTimeout, func(time.Time) { _ = conn.Close() })
	defer stop()
	header := http.Header(x.codec.CallHeader(replica.ID))
	header.Del("Content-Type")
	if conn.WriteRequest(http.MethodGet, x.codec.ReportPath(), replica.Address, header, nil) != nil {
		return statement, info, false
	}
	response, err := conn.ReadResponse(http.MethodGet, "", func(*http.Response) string { return "" })
	if err != nil {
		return statement, info, false
	}
	info = x.codec.ParseResponse(response.StatusCode, response.Header)
	x.recordResponse(replica, info, statement.AskedAt)
	if info.IsMisdirected {
		return statement, info, false
	}
	statement.IsAnswered = true
	if response.StatusCode != http.StatusOK || !isJSON(response.Header) {
		return statement, info, false
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStageResponseBytes))
	if err != nil {
		return statement, info, false
	}
	statement.StartMillis, statement.IsStated = x.codec.DecodeReport(body)
	return statement, info, conn.IsReusable(response) && detach()
}

// isJSON reports whether a response states that it is JSON, or states nothing.
func isJSON(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err != nil || mediaType == "application/json"
}
