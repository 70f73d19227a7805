package watcher

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// readListFor applies readings of the list, and load reports of an upstream that still
// responds, at the usual intervals for a duration.
func readListFor(w *Watcher, duration time.Duration, listings ...server.Listing) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(listInterval) {
		w.applyList(listings, nil)
		w.applyLoads([]loadReport{{id: "u", load: server.Load{ReportedAt: time.Now()}}})
	}
}

// TestUnlistedUpstreamIsRemovedThoughItResponds guards against work for upstreams that have
// left: one that is no longer listed was in use for as long as it responded to polls.
func TestUnlistedUpstreamIsRemovedThoughItResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		w := New(controller.New(timer), failingLister{}, failingFetcher{})
		listing := server.Listing{ID: "u", Service: "pool", Address: "a"}
		readListFor(w, time.Second, listing)
		readListFor(w, 2*time.Second)
		is.True(w.upstreams["u"] != nil) // a reading of the list may lack it for a moment
		readListFor(w, time.Second, listing)
		readListFor(w, unlistedTTL+time.Second)
		is.True(w.upstreams["u"] == nil)
	})
}

// TestFailedReadingsOfTheListKeepUpstreams guards against a deployment without upstreams
// while the platform's list is unavailable.
func TestFailedReadingsOfTheListKeepUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		w := New(controller.New(timer), failingLister{}, failingFetcher{})
		listing := server.Listing{ID: "u", Service: "pool", Address: "a"}
		w.applyList([]server.Listing{listing}, nil)
		for range 100 {
			time.Sleep(listInterval)
			w.applyList(nil, server.ErrUnavailable)
		}
		is.True(w.upstreams["u"] != nil)
		w.applyLoads([]loadReport{{id: "u", load: server.Load{ReportedAt: time.Now()}}})
		w.applyList(nil, nil)
		is.True(w.upstreams["u"] != nil) // the first reading after the failed ones may lack it for a moment too
	})
}
