package watcher

import (
	"context"
	"fmt"
	"testing"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// failingLister is a Lister that always fails.
type failingLister struct{}

func (failingLister) List(context.Context) ([]server.Listing, error) {
	return nil, server.ErrUnavailable
}

// failingFetcher is a LoadFetcher that always fails.
type failingFetcher struct{}

func (failingFetcher) FetchLoad(context.Context, *server.Upstream) (server.Load, bool, error) {
	return server.Load{}, false, server.ErrUnavailable
}

// BenchmarkPublish measures the publication of all replicas in a snapshot.
func BenchmarkPublish(b *testing.B) {
	for _, replicas := range []int{210, 1050, 2100} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			timer := ticker.New()
			defer timer.Close()
			w := New(controller.New(timer), failingLister{}, failingFetcher{})
			for i := range replicas {
				w.applyListing(server.Listing{
					ID: fmt.Sprintf("pool-%d", i), Service: fmt.Sprintf("pool-%d", i%4), Datacentre: fmt.Sprintf("dc-%d", i%20),
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				w.publish()
			}
		})
	}
}
