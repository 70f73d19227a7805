package linker_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/linker"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// TestHandlerEndsWithTheLinkOfItsFrame guards against work that goes on for an instance which cannot get the response, and has
// sent its frame to another instance by then.
func TestHandlerEndsWithTheLinkOfItsFrame(t *testing.T) {
	is := is.New(t)
	begun, ended := make(chan struct{}), make(chan error, 1)
	waitForEnd := func(ctx context.Context, _ string, _ *encoder.Frame) *encoder.Frame {
		close(begun)
		select {
		case <-ctx.Done():
			ended <- ctx.Err()
		case <-time.After(waitTimeout):
			ended <- nil
		}
		return nil
	}
	a, b := newInstance(t, "a", echo), newInstance(t, "b", waitForEnd)
	members := []server.Instance{a.Self(), b.Self()}
	a.UpdateMembers(members)
	b.UpdateMembers(members)
	go func() { _, _ = a.Call(context.Background(), "b", rowsRequest("t")) }()
	<-begun
	linker.CloseLinks(a.Linker)
	is.Equal(<-ended, context.Canceled)
}
