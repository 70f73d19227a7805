package controller_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// maxStepDuration is the stated bound on the duration of a typical control event.
const maxStepDuration = 50 * time.Microsecond

func newMembers(n int) []server.Member {
	list := make([]server.Member, n)
	for i := range list {
		list[i] = server.Member{Listing: server.Listing{ID: fmt.Sprintf("i-%03d", i)}, IsReachable: true}
	}
	return list
}

// BenchmarkStep measures an event that publishes a changed snapshot, including the
// queue and the switch to the control goroutine. The snapshot has the 390 instances of
// the largest deployment that the design allows for.
func BenchmarkStep(b *testing.B) {
	timer := ticker.New()
	defer timer.Close()
	c := controller.New(timer)
	c.Start()
	defer c.Stop()
	list := newMembers(390)
	for b.Loop() {
		done := make(chan struct{})
		c.Post(controller.EventFunc(func() {
			c.Publish(server.WithMembers(list))
			close(done)
		}))
		<-done
	}
	if duration := b.Elapsed() / time.Duration(b.N); duration > maxStepDuration {
		b.Fatalf("an event took %v, the bound is %v", duration, maxStepDuration)
	}
}

// TestOfferAndSnapshotNeverBlock blocks the control goroutine and calls Snapshot and
// Offer, as goroutines that serve requests do. Neither may block; Offer must drop what
// does not fit into the queue and count it.
func TestOfferAndSnapshotNeverBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		c := controller.New(timer)
		c.Start()
		unblock := make(chan struct{})
		c.Post(controller.EventFunc(func() { <-unblock }))
		startedAt := time.Now()
		hasDropped := false
		for range 100_000 {
			is.True(c.Snapshot() != nil)
			if !c.TryPost(controller.EventFunc(func() {})) {
				hasDropped = true
			}
		}
		is.True(hasDropped)                               // the queue was full and the rest was dropped
		is.True(c.DroppedEvents() > 0)                    // and counted
		is.Equal(time.Since(startedAt), time.Duration(0)) // in virtual time: nothing blocked
		close(unblock)
		c.Stop()
	})
}
