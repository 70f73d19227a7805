package watcher

import (
	"context"
	"fmt"
	"testing"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// noList is a Lister that always fails.
type noList struct{}

func (noList) List(context.Context) ([]server.Listing, error) { return nil, server.ErrUnavailable }

// noReports is a LoadFetcher that always fails.
type noReports struct{}

func (noReports) FetchLoad(context.Context, *server.Upstream) (server.Load, bool, error) {
	return server.Load{}, false, server.ErrUnavailable
}

// BenchmarkPublish measures the publication of all replicas in a snapshot.
func BenchmarkPublish(b *testing.B) {
	for _, replicas := range []int{210, 1050, 2100} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			timer := ticker.New()
			defer timer.Close()
			w := New(controller.New(timer), noList{}, noReports{})
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
