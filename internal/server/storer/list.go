package storer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
)

// listCache is the platform's list as last read, with its entity tag. It is safe
// for concurrent use.
type listCache struct {
	mu       sync.Mutex
	etag     string
	listings []server.Listing
}

// List implements server.Lister. It sends the entity tag of the cached list, so
// that the platform sends the list again only if it has changed. The response may
// be compressed. Callers must not modify the returned slice.
func (s *Storer) List(ctx context.Context) ([]server.Listing, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.baseURL+messenger.PathInstances, nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	etag, cached := s.list.get()
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, server.NewFault("list", "platform", merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return cached, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, server.NewFault("list", "platform", merry.Prependf(server.ErrUnavailable, "status %d", response.StatusCode))
	}
	var message messenger.InstancesAnswer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&message); err != nil {
		return nil, server.NewFault("list", "platform", merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	s.list.set(response.Header.Get("Etag"), message.Listings)
	return message.Listings, nil
}

func (l *listCache) get() (string, []server.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, l.listings
}

func (l *listCache) set(etag string, listings []server.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag = etag
	l.listings = listings
}
