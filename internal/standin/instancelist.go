package standin

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
)

// InstanceList is the platform's instance list, where changes become visible after a lag.
// Over HTTP, PUT of a listing adds or replaces an entry, DELETE with ?id= removes
// it and GET returns all. It is safe for concurrent use.
type InstanceList struct {
	mu      sync.Mutex
	lag     time.Duration
	pending []pendingChange
	visible map[string]server.Listing
}

// pendingChange is a change that is not visible yet.
type pendingChange struct {
	visibleAt time.Time
	listing   server.Listing
	isRemoval bool
}

// NewInstanceList returns an empty list whose changes become visible after lag.
func NewInstanceList(lag time.Duration) *InstanceList {
	return &InstanceList{lag: lag, visible: make(map[string]server.Listing)}
}

// Put adds or replaces an entry.
func (l *InstanceList) Put(listing server.Listing) { l.schedule(listing, false) }

// Remove removes the entry with the given ID.
func (l *InstanceList) Remove(id string) { l.schedule(server.Listing{ID: id}, true) }

// schedule adds a change that becomes visible after the lag.
func (l *InstanceList) schedule(listing server.Listing, isRemoval bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{visibleAt: time.Now().Add(l.lag), listing: listing, isRemoval: isRemoval})
}

// Listings returns the visible entries, sorted by ID.
func (l *InstanceList) Listings() []server.Listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue(time.Now())
	listings := make([]server.Listing, 0, len(l.visible))
	for _, listing := range l.visible {
		listings = append(listings, listing)
	}
	slices.SortFunc(listings, func(a, b server.Listing) int { return strings.Compare(a.ID, b.ID) })
	return listings
}

// applyDue applies the changes whose lag has passed. The caller holds mu.
func (l *InstanceList) applyDue(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		change := l.pending[0]
		l.pending = l.pending[1:]
		if change.isRemoval {
			delete(l.visible, change.listing.ID)
			continue
		}
		l.visible[change.listing.ID] = change.listing
	}
}

// RegisterListing adds an entry to the list of the platform at the given base
// address.
func RegisterListing(ctx context.Context, platform string, listing server.Listing) error {
	body, err := json.Marshal(listing)
	if err != nil {
		return merry.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, platform+messenger.PathInstances, bytes.NewReader(body))
	if err != nil {
		return merry.Prepend(err, "register in the instance list")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Prepend(err, "register in the instance list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return merry.Errorf("register in the instance list: status %s", response.Status)
	}
	return nil
}

// serveListings sends the list, compressed with gzip if the client accepts it, or
// status 304 if the client's entity tag is that of the current list.
func (l *InstanceList) serveListings(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(messenger.InstancesAnswer{Listings: l.Listings()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("Etag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	writer := gzip.NewWriter(w)
	_, _ = writer.Write(body)
	_ = writer.Close()
}

// ServeHTTP serves GET, PUT and DELETE of entries.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		l.serveListings(w, r)
	case http.MethodPut:
		var listing server.Listing
		if readJSON(w, r, &listing) {
			l.Put(listing)
			w.WriteHeader(http.StatusNoContent)
		}
	case http.MethodDelete:
		l.Remove(r.URL.Query().Get("id"))
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
