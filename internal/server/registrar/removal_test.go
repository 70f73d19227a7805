package registrar_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/registrar"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// TestPendingRemovalsPublishOneViewEach guards against instances that use up their processor
// time: a timer that fired before another removal was due set one more timer for it, and
// each timer published a view.
func TestPendingRemovalsPublishOneViewEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const replicas = 12
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		var views atomic.Int64
		r := registrar.New(logr.Discard(), timer, decoder{}, tableNames, registrar.WithChangeHandler(func(*registrar.View) { views.Add(1) }))
		var rows []server.StoredRow
		for i := range replicas {
			rows = append(rows, row(fmt.Sprint("i-", i), fmt.Sprintf("replica a 1:%d 100 1 ready", i), uint64(i+1)))
		}
		r.Replace("op", []server.StoredRow{row("config", "plan 7", 10)}, 10, time.Time{})
		r.Replace("servers", rows, replicas, time.Time{})
		views.Store(0)
		for i := range replicas {
			version := uint64(replicas + 1 + i)
			recoveredAt := time.Now().Add(time.Duration(i) * 50 * time.Millisecond) // each removal is due at another time
			r.ApplyChanges("servers", []server.StoredRow{deletedRow(fmt.Sprint("i-", i), version)}, version, recoveredAt)
		}
		time.Sleep(time.Minute)
		is.Equal(replicaIDs(r, "a"), "")
		is.True(views.Load() <= 2*replicas) // one for each deletion and one for each removal
	})
}

// TestReplicaThatARestoredStoreLacksIsKept guards against the loss of replicas that have started since
// the copy was made from which the store was restored: they write their rows again.
func TestReplicaThatARestoredStoreLacksIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const replicas = 24
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		r := registrar.New(logr.Discard(), timer, decoder{}, tableNames)
		var rows []server.StoredRow
		for i := range replicas {
			rows = append(rows, row(fmt.Sprint("i-", i), fmt.Sprintf("replica a 1:%d 100 1 ready", i), uint64(i+1)))
		}
		r.Replace("op", []server.StoredRow{row("config", "plan 7", 10)}, 10, time.Time{})
		r.Replace("servers", rows, replicas, time.Time{})
		var restored []server.StoredRow
		for _, old := range rows[:replicas-1] {
			old.Version, _ = server.JoinVersion(1, old.Version)
			restored = append(restored, old)
		}
		version, err := server.JoinVersion(1, replicas)
		is.NoErr(err)
		r.Replace("servers", restored, version, time.Now())
		is.Equal(len(r.View().Replicas("a")), replicas)
		time.Sleep(2 * time.Second)
		is.Equal(len(r.View().Replicas("a")), replicas-1)
	})
}
