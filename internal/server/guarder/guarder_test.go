package guarder_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/guarder"
	"oriolemill.example/oriolemill/internal/standin"
)

func TestBreakerOpensAfterFailuresAndClosesAfterProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memoryTable := standin.NewMemoryTable(standin.NewPlatform(standin.DefaultWriteRate, standin.DefaultReadRate, nil))
		var calls atomic.Int64
		// Every table call hangs until its context ends.
		hang := func(ctx context.Context, _ string, _ []server.Write) standin.CallFault {
			calls.Add(1)
			<-ctx.Done()
			return standin.CallFaultNone
		}
		memoryTable.SetHook(hang)
		g := guarder.New(memoryTable, time.Now)
		get := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := g.Get(ctx, server.Key{Table: "orders", Row: "a"})
			return err
		}
		for range 3 {
			is.True(get() != nil)
		}
		is.True(g.IsOpen())
		for range 100 {
			begin := time.Now()
			is.True(errors.Is(get(), server.ErrUnavailable))
			is.Equal(time.Since(begin), time.Duration(0)) // refused without waiting
			time.Sleep(100 * time.Millisecond)
		}
		is.True(calls.Load() < 3+100/5) // probes are rare
		memoryTable.SetHook(nil)
		restoredAt := time.Now()
		for g.IsOpen() {
			_ = get()
			time.Sleep(50 * time.Millisecond)
		}
		is.True(time.Since(restoredAt) < 2*time.Second)
		is.True(errors.Is(get(), server.ErrNotFound)) // the error of the table itself
	})
}

func TestConflictsAndAbsentRowsDoNotOpenBreaker(t *testing.T) {
	is := is.New(t)
	g := guarder.New(standin.NewMemoryTable(standin.NewPlatform(standin.DefaultWriteRate, standin.DefaultReadRate, nil)), time.Now)
	for range 10 {
		_, err := g.Get(context.Background(), server.Key{Table: "orders", Row: "a"})
		is.True(errors.Is(err, server.ErrNotFound))
		_, err = g.Commit(context.Background(), []server.Write{{Key: server.Key{Table: "orders", Row: "a"}, ExpectedVersion: 7}})
		is.True(errors.Is(err, server.ErrConflict))
	}
	is.True(!g.IsOpen())
}
