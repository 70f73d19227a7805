package registrar_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/registrar"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// decoder decodes "plan VERSION" and "replica SERVICE ADDRESS BORN SEQ STATE [SOFTWARE]".
type decoder struct{}

func (decoder) DecodePlan(value []byte) (*server.Plan, error) {
	plan := &server.Plan{}
	if _, err := fmt.Sscanf(string(value), "plan %d", &plan.Version); err != nil {
		return nil, server.ErrInvalid
	}
	return plan, nil
}

func (decoder) DecodeReplica(id string, value []byte, _ time.Time) (server.Replica, error) {
	r := server.Replica{ID: id}
	var state string
	if _, err := fmt.Sscanf(string(value), "replica %s %s %d %d %s", &r.Service, &r.Address, &r.StartMillis, &r.Sequence, &state); err != nil {
		return r, server.ErrInvalid
	}
	r.IsDraining = state == "draining"
	if fields := strings.Fields(string(value)); len(fields) > 6 {
		r.Version = fields[6]
	}
	return r, nil
}

var tableNames = registrar.TableNames{Plan: "op", PlanRow: "config", Replicas: "servers"}

func row(name, value string, version uint64) server.StoredRow {
	return server.StoredRow{Name: name, Value: []byte(value), Version: version}
}

func deletedRow(name string, version uint64) server.StoredRow {
	return server.StoredRow{Name: name, Version: version, IsDeleted: true}
}

func newLoadedRegistrar(t *testing.T) (*registrar.Registrar, *is.I) {
	t.Helper()
	timer := ticker.New()
	t.Cleanup(timer.Close)
	r := registrar.New(logr.Discard(), timer, decoder{}, tableNames)
	r.Replace("op", []server.StoredRow{row("config", "plan 7", 10)}, 10, time.Time{})
	r.Replace("servers", []server.StoredRow{row("i-1", "replica a 1:1 100 1 ready", 11)}, 11, time.Time{})
	return r, is.New(t)
}

func replicaIDs(r *registrar.Registrar, service string) string {
	var list []string
	for _, replica := range r.View().Replicas(service) {
		list = append(list, replica.ID)
	}
	return strings.Join(list, " ")
}

func TestViewIsReadyOncePlanAndReplicasAreLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		r := registrar.New(logr.Discard(), timer, decoder{}, tableNames)
		is.True(!r.View().IsReady())
		r.Replace("op", []server.StoredRow{row("config", "plan 7", 10)}, 10, time.Time{})
		is.True(!r.View().IsReady())
		r.Replace("servers", nil, 11, time.Time{})
		is.True(r.View().IsReady())
	})
}

// TestOnlyVersionStatesSinceWhen guards against the version that replicas have now being taken
// for that which they had when something began.
func TestOnlyVersionStatesSinceWhen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, is := newLoadedRegistrar(t)
		begin := time.Now()
		check := func(since time.Time, wantVersion string, want bool) {
			t.Helper()
			version, ok := r.View().OnlyVersion("b", since)
			is.Equal(ok, want)
			is.True(!ok || version == wantVersion)
		}
		change := func(storeVersion uint64, rows ...server.StoredRow) {
			time.Sleep(time.Second)
			r.ApplyChanges("servers", rows, storeVersion, time.Time{})
		}
		check(begin, "", false)
		change(12, row("i-2", "replica b 1:2 100 1 ready v1", 12))
		check(begin.Add(time.Second), "v1", true)
		check(begin, "", false) // the service was not there
		change(13, row("i-3", "replica b 1:3 100 1 ready v1", 13))
		check(begin.Add(time.Second), "v1", true)
		change(14, row("i-4", "replica b 1:4 100 1 ready v2", 14))
		check(time.Now(), "", false)
		change(15, row("i-4", "replica b 1:4 100 2 draining v2", 15)) // it still writes streams
		check(time.Now(), "", false)
		change(16, deletedRow("i-4", 16))
		check(time.Now(), "v1", true)
		check(time.Now().Add(-time.Millisecond), "", false)
		left := time.Now()
		change(17, row("i-2", "replica b 1:2 200 1 ready v2", 17), row("i-3", "replica b 1:3 200 1 ready v2", 17))
		check(left, "", false)
		check(time.Now(), "v2", true)
		change(18, deletedRow("i-2", 18), deletedRow("i-3", 18))
		check(time.Now(), "", false)
	})
}

func TestPlanVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, is := newLoadedRegistrar(t)
		r.ApplyChanges("op", []server.StoredRow{row("config", "plan 9", 12)}, 12, time.Time{})
		is.Equal(r.View().Router().Plan().Version, uint64(9))
		r.ApplyChanges("op", []server.StoredRow{row("config", "plan 8", 13)}, 13, time.Time{}) // an older plan in a newer row
		is.Equal(r.View().Router().Plan().Version, uint64(9))
		r.Replace("op", []server.StoredRow{row("config", "plan 7", 10)}, 10, time.Time{}) // an older table, as from an instance that is behind
		is.Equal(r.View().Router().Plan().Version, uint64(9))
		r.ApplyChanges("op", []server.StoredRow{row("config", "?", 14), row("other", "plan 20", 15)}, 15, time.Time{})
		is.Equal(r.View().Router().Plan().Version, uint64(9))
		r.ApplyChanges("op", []server.StoredRow{deletedRow("config", 16)}, 16, time.Time{})
		is.Equal(r.View().Router().Plan().Version, uint64(9))
	})
}

func TestOlderRegistrationsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, is := newLoadedRegistrar(t)
		r.ApplyChanges("servers", []server.StoredRow{row("i-1", "replica a 1:2 200 1 ready", 12)}, 12, time.Time{})
		r.ApplyChanges("servers", []server.StoredRow{row("i-1", "replica a 1:1 100 9 ready", 13)}, 13, time.Time{})
		is.Equal(r.View().Replicas("a")[0].Address, "1:2")
		r.ApplyChanges("servers", []server.StoredRow{row("i-1", "replica a 1:2 200 3 draining", 14)}, 14, time.Time{})
		is.Equal(replicaIDs(r, "a"), "")
		r.ApplyChanges("servers", []server.StoredRow{row("i-1", "replica a 1:2 200 2 ready", 15)}, 15, time.Time{}) // an older registration in a newer row
		r.ApplyChanges("servers", []server.StoredRow{row("i-1", "replica a 1:2 200 4 ready", 16)}, 16, time.Time{}) // a draining incarnation stays draining
		is.Equal(replicaIDs(r, "a"), "")
		r.ApplyChanges("servers", []server.StoredRow{row("i-1", "replica a 1:3 300 1 ready", 17)}, 17, time.Time{})
		is.Equal(replicaIDs(r, "a"), "i-1")
		r.ApplyChanges("servers", []server.StoredRow{row("i-2", "garbage", 18)}, 18, time.Time{})
		is.Equal(replicaIDs(r, "a"), "i-1")
		r.ApplyChanges("servers", []server.StoredRow{row("i-1", "garbage", 19)}, 19, time.Time{}) // an invalid row leaves the replica as it is
		is.Equal(replicaIDs(r, "a"), "i-1")
	})
}

func TestChangesApplyInAnyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, is := newLoadedRegistrar(t)
		r.ApplyChanges("servers", []server.StoredRow{deletedRow("i-1", 20)}, 20, time.Time{})
		is.Equal(replicaIDs(r, "a"), "")
		r.Replace("servers", []server.StoredRow{row("i-1", "replica a 1:1 100 1 ready", 11)}, 12, time.Time{}) // an older table
		is.Equal(replicaIDs(r, "a"), "")
		r.Replace("servers", []server.StoredRow{row("i-2", "replica a 1:5 100 1 ready", 15)}, 21, time.Time{})
		is.Equal(replicaIDs(r, "a"), "i-2")
		rows, version, ok := r.Rows("servers")
		is.True(ok)
		is.Equal(version, uint64(21))
		is.Equal(len(rows), 1)
	})
}

func TestRemovalAfterStoreFailureIsDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, is := newLoadedRegistrar(t)
		r.ApplyChanges("servers", []server.StoredRow{row("i-2", "replica a 1:2 100 1 ready", 12)}, 12, time.Time{})
		time.Sleep(time.Minute)
		r.ApplyChanges("servers", []server.StoredRow{deletedRow("i-1", 13), deletedRow("i-2", 14)}, 14, time.Now())
		is.Equal(replicaIDs(r, "a"), "i-1 i-2") // the rows may only have expired
		time.Sleep(time.Second)
		r.ApplyChanges("servers", []server.StoredRow{row("i-2", "replica a 1:2 100 2 ready", 15)}, 15, time.Time{})
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(replicaIDs(r, "a"), "i-2")
		time.Sleep(time.Minute)
		r.ApplyChanges("servers", []server.StoredRow{deletedRow("i-2", 16)}, 16, time.Time{})
		is.Equal(replicaIDs(r, "a"), "") // removed at once, as the last failure is too long ago
	})
}

// fakeStore is a store whose responses the test sets.
type fakeStore struct {
	mu         sync.Mutex
	watchCount int
	loadCount  int
	// instances is the number of rows in the table of instances.
	instances int
	// respond returns the response to the nth watch. If it is nil, watches time out
	// without a change.
	respond func(n int) ([]server.StoredRow, uint64, error)
}

func (f *fakeStore) Load(_ context.Context, table string) ([]server.StoredRow, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loadCount++
	if table == registrar.TableInstances && f.instances > 0 {
		var rows []server.StoredRow
		for i := range f.instances {
			rows = append(rows, row(fmt.Sprint("edge-", i), `{"address":"1:1"}`, uint64(i+1)))
		}
		return rows, uint64(f.instances), nil
	}
	return []server.StoredRow{row("config", fmt.Sprintf("plan %d", f.loadCount), uint64(f.loadCount))}, uint64(f.loadCount), nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) ([]server.StoredRow, uint64, error) {
	f.mu.Lock()
	f.watchCount++
	n := f.watchCount
	f.mu.Unlock()
	if f.respond != nil {
		return f.respond(n)
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, 1, nil
}

func (f *fakeStore) Put(context.Context, string, string, []byte) error { return nil }
func (f *fakeStore) Delete(context.Context, string, string) error      { return nil }

func runFor(t *testing.T, f *fakeStore, duration time.Duration) *registrar.Registrar {
	t.Helper()
	timer := ticker.New()
	defer timer.Close()
	r := registrar.New(logr.Discard(), timer, decoder{}, tableNames)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		r.Run(ctx, f)
		close(done)
	}()
	time.Sleep(duration)
	cancel()
	<-done
	return r
}

func TestIdleTablesNeedFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{}
		runFor(t, f, 10*time.Second)
		is.New(t).True(f.watchCount <= 3) // one for each table
	})
}

// TestFrequentChangesAreBatched changes a row every 20 ms. The follower must wait after
// each response, so that several changes come in one.
func TestFrequentChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeStore{respond: func(n int) ([]server.StoredRow, uint64, error) {
			time.Sleep(20 * time.Millisecond)
			return []server.StoredRow{row("other", "", uint64(n+10))}, uint64(n + 10), nil
		}}
		runFor(t, f, 10*time.Second)
		is.True(f.watchCount <= 2*50+11 && f.watchCount >= 2*40+8) // two tables every 220 ms, one every 1,020 ms
	})
}

// TestLargeDeploymentsWatchLessOften checks that with 81 instances and rows that change
// all the time a follower waits four times as long after each change.
func TestLargeDeploymentsWatchLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeStore{instances: 81, respond: func(n int) ([]server.StoredRow, uint64, error) {
			time.Sleep(20 * time.Millisecond)
			return []server.StoredRow{row("other", "", uint64(n+100))}, uint64(n + 100), nil
		}}
		runFor(t, f, 20*time.Second)
		is.True(f.watchCount <= 2*28+8) // two tables every 820 ms, one every 4 s
	})
}

func TestTableIsReloadedWhenHistoryIsTooShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeStore{respond: func(n int) ([]server.StoredRow, uint64, error) {
			if n <= 3 {
				return nil, 0, server.ErrNotFound
			}
			time.Sleep(time.Minute)
			return nil, 100, nil
		}}
		runFor(t, f, 2*time.Second)
		is.Equal(f.loadCount, 6) // each of three tables twice
	})
}

func TestFailingStoreIsRetriedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeStore{respond: func(int) ([]server.StoredRow, uint64, error) { return nil, 0, server.ErrUnavailable }}
		runFor(t, f, 10*time.Second)
		is.True(f.watchCount >= 30 && f.watchCount <= 120) // three tables with about one call a second each
	})
}

// TestUnseenReplicaEndsTheOnlyVersion guards against a version that counts as the only one although a replica,
// which may have had another one, has come and gone without being seen.
func TestUnseenReplicaEndsTheOnlyVersion(t *testing.T) {
	for name, change := range map[string]func(r *registrar.Registrar){
		"in one change": func(r *registrar.Registrar) {
			r.ApplyChanges("servers", []server.StoredRow{row("i-9", "replica b 1:9 100 1 ready v2", 13), deletedRow("i-9", 14)}, 14, time.Time{})
		},
		"only its end": func(r *registrar.Registrar) {
			r.ApplyChanges("servers", []server.StoredRow{deletedRow("i-9", 14)}, 14, time.Time{})
		},
		"between two tables": func(r *registrar.Registrar) {
			r.Replace("servers", []server.StoredRow{row("i-2", "replica b 1:2 100 1 ready v1", 12)}, 14, time.Time{})
		},
		"nothing (the control)": func(r *registrar.Registrar) { r.ApplyChanges("servers", nil, 14, time.Time{}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, is := newLoadedRegistrar(t)
				r.ApplyChanges("servers", []server.StoredRow{row("i-2", "replica b 1:2 100 1 ready v1", 12)}, 12, time.Time{})
				r.AdoptPeriod("b", "v1", time.Time{})
				_, ok := r.View().OnlyVersion("b", time.Time{})
				is.True(ok)
				time.Sleep(time.Second)
				change(r)
				_, ok = r.View().OnlyVersion("b", time.Now().Add(-time.Millisecond))
				is.Equal(ok, name == "nothing (the control)")
				_, ok = r.View().OnlyVersion("b", time.Now())
				is.True(ok)
			})
		})
	}
}
