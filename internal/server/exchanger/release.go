package exchanger

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// evacuatedRetryAfter is the wait before results in an evacuated data centre are released again.
const evacuatedRetryAfter = time.Second

// WithEvacuation sets a function that reports whether the data centre of a replica is evacuated. Releases of results are
// withheld from such replicas as well, unlike from those that are draining.
func WithEvacuation(isEvacuated func(*server.Replica) bool) Option {
	return func(x *Exchanger) { x.isEvacuated = isEvacuated }
}

// ReleaseResults implements batcher.Caller: it has a replica release results.
func (x *Exchanger) ReleaseResults(ctx context.Context, replica *server.Replica, handles []string) error {
	if x.isEvacuated(replica) {
		return server.NewFault("release", replica.ID, merry.Prepend(server.ErrWithheld, "its data centre is evacuated"), server.WithRetryAfter(evacuatedRetryAfter))
	}
	path, body, err := x.codec.EncodeRelease(handles)
	if err != nil {
		return err
	}
	// Only other releases share its connection: the replica drops results that were not released.
	_, err = x.call(ctx, replica, &Request{Target: path, Body: body, AcceptsAny: true, Check: func() error {
		if x.isEvacuated(replica) {
			return merry.New("its data centre is evacuated")
		}
		return nil
	}})
	return err
}
