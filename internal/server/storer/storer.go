// Package storer is the HTTP client of the platform's table, object store and list
// of instances.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/validator"
)

// Limits of the platform client.
const (
	// dialTimeout bounds the establishment of a connection.
	dialTimeout = time.Second
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// maxResponseBytes bounds the size of a response.
	maxResponseBytes = 64 << 20
)

// Storer is a client of the platform. It implements server.Table and server.Lister;
// Objects makes it a server.ObjectStore. It is safe for concurrent use.
type Storer struct {
	baseURL string
	client  *http.Client
	list    listCache
}

// New returns a client of the platform at a base URL such as
// "http://127.0.0.1:7000".
func New(baseURL string) *Storer {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Storer{baseURL: baseURL, client: &http.Client{Transport: validator.NewTransport(transport)}}
}

// Get implements server.Table.
func (s *Storer) Get(ctx context.Context, key server.Key) (server.Row, error) {
	var row server.Row
	path := messenger.PathRows + url.PathEscape(key.Table) + "/" + url.PathEscape(key.Row)
	err := s.getJSON(ctx, path, &row)
	return row, err
}

// Scan implements server.Table.
func (s *Storer) Scan(ctx context.Context, table, after string, limit int) ([]server.Row, error) {
	query := url.Values{"after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows messenger.RowsAnswer
	err := s.getJSON(ctx, messenger.PathRows+url.PathEscape(table)+"?"+query.Encode(), &rows)
	return rows.Rows, err
}

// Commit implements server.Table. GetBody is cleared, so that the client never
// sends the transaction twice on its own.
func (s *Storer) Commit(ctx context.Context, writes []server.Write) ([]uint64, error) {
	body, err := json.Marshal(messenger.CommitRequest{Writes: writes})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.baseURL+messenger.PathCommit, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return nil, server.NewFault("commit", "table", writeError(err))
	}
	defer func() { _ = response.Body.Close() }()
	var answer messenger.CommitAnswer
	if err := decodeWriteResponse(response, &answer); err != nil {
		return nil, server.NewFault("commit", "table", err)
	}
	return answer.Versions, nil
}

// PutObject stores an object. The error is ErrUncertain if the object may have been
// stored; after any other error nothing was written.
func (s *Storer) PutObject(ctx context.Context, name string, data []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, s.baseURL+messenger.PathObjects+url.PathEscape(name), bytes.NewReader(data))
	if err != nil {
		return merry.Wrap(err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return server.NewFault("put", "objects", writeError(err))
	}
	defer func() { _ = response.Body.Close() }()
	if err := decodeWriteResponse(response, nil); err != nil {
		return server.NewFault("put", "objects", err)
	}
	return nil
}

// GetObject returns an object. The error is ErrNotFound if there is none, and otherwise
// ErrUnavailable.
func (s *Storer) GetObject(ctx context.Context, name string) ([]byte, error) {
	body, isFramed, err := s.getBody(ctx, messenger.PathObjects+url.PathEscape(name))
	if err != nil {
		return nil, server.NewFault("get", "objects", err)
	}
	if !isFramed {
		return nil, server.NewFault("get", "objects", merry.Prepend(server.ErrUnavailable, "the response states no length, so the object may be incomplete"))
	}
	return body, nil
}

// getJSON sends a GET request and decodes the response.
func (s *Storer) getJSON(ctx context.Context, path string, into any) error {
	// JSON shows where it ends, so the framing does not matter.
	body, _, err := s.getBody(ctx, path)
	if err != nil {
		return server.NewFault("read", "platform", err)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return server.NewFault("read", "platform", merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	return nil
}

// getBody sends a GET request and returns the body, and whether the response states where it
// ends. The error is ErrNotFound for status 404, and otherwise ErrUnavailable.
func (s *Storer) getBody(ctx context.Context, path string) (body []byte, isFramed bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.baseURL+path, nil)
	if err != nil {
		return nil, false, merry.Wrap(err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, false, merry.Prepend(server.ErrUnavailable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return nil, false, merry.Wrap(server.ErrNotFound)
	}
	if response.StatusCode != http.StatusOK {
		return nil, false, merry.Prependf(server.ErrUnavailable, "status %d", response.StatusCode)
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = merry.Errorf("the response is longer than %d bytes", maxResponseBytes)
	}
	if err != nil {
		return nil, false, merry.Prepend(server.ErrUnavailable, err.Error())
	}
	return body, response.ContentLength >= 0 || len(response.TransferEncoding) > 0, nil
}

// writeError returns ErrUnavailable if the connection could not be established, so
// that nothing was sent, and otherwise ErrUncertain.
func writeError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return merry.Prepend(server.ErrUnavailable, err.Error())
	}
	return merry.Prepend(server.ErrUncertain, err.Error())
}

// decodeWriteResponse reads the response to a write. After status 400, 409, 429 and
// 503, nothing was written. After any other failure the write may have been applied,
// and the error is ErrUncertain.
func decodeWriteResponse(response *http.Response, into any) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusConflict:
		return merry.Wrap(server.ErrConflict)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest:
		return merry.Prependf(server.ErrUnavailable, "status %d", response.StatusCode)
	default:
		return merry.Prependf(server.ErrUncertain, "status %d", response.StatusCode)
	}
	if into == nil {
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes)); err != nil {
			return merry.Prepend(server.ErrUncertain, err.Error())
		}
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(into); err != nil {
		return merry.Prepend(server.ErrUncertain, err.Error())
	}
	return nil
}
