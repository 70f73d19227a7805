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

// decoder reads "plan VERSION" and "replica SERVICE ADDRESS BORN SEQ STATE".
type decoder struct{}

func (decoder) Plan(value []byte) (*server.Plan, error) {
	plan := &server.Plan{}
	if _, err := fmt.Sscanf(string(value), "plan %d", &plan.Version); err != nil {
		return nil, server.ErrInvalid
	}
	return plan, nil
}

func (decoder) Replica(id string, value []byte, _ time.Time) (server.Replica, error) {
	r := server.Replica{ID: id}
	var state string
	if _, err := fmt.Sscanf(string(value), "replica %s %s %d %d %s", &r.Service, &r.Address, &r.Born, &r.Seq, &state); err != nil {
		return r, server.ErrInvalid
	}
	r.Draining = state == "draining"
	return r, nil
}

var names = registrar.Tables{Plan: "op", PlanRow: "config", Replicas: "servers"}

func row(name, value string, version uint64) server.StoredRow {
	return server.StoredRow{Name: name, Value: []byte(value), Version: version}
}

func removed(name string, version uint64) server.StoredRow {
	return server.StoredRow{Name: name, Version: version, Removed: true}
}

func begin(t *testing.T) (*registrar.Registrar, *is.I) {
	t.Helper()
	timer := ticker.New()
	t.Cleanup(timer.Close)
	r := registrar.New(logr.Discard(), timer, decoder{}, names)
	r.Replace("op", []server.StoredRow{row("config", "plan 7", 10)}, 10)
	r.Replace("servers", []server.StoredRow{row("i-1", "replica a 1:1 100 1 ready", 11)}, 11)
	return r, is.New(t)
}

func ids(r *registrar.Registrar, service string) string {
	var list []string
	for _, replica := range r.View().Replicas(service) {
		list = append(list, replica.ID)
	}
	return strings.Join(list, " ")
}

func TestNotReadyUntilBothTablesWereRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		r := registrar.New(logr.Discard(), timer, decoder{}, names)
		is.True(!r.View().Ready())
		r.Replace("op", []server.StoredRow{row("config", "plan 7", 10)}, 10)
		is.True(!r.View().Ready())
		r.Replace("servers", nil, 11)
		is.True(r.View().Ready())
	})
}

func TestPlanNeverFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, is := begin(t)
		r.Follow("op", []server.StoredRow{row("config", "plan 9", 12)}, 12)
		is.Equal(r.View().Router().Plan().Version, uint64(9))
		r.Follow("op", []server.StoredRow{row("config", "plan 8", 13)}, 13) // written later, but older
		is.Equal(r.View().Router().Plan().Version, uint64(9))
		r.Replace("op", []server.StoredRow{row("config", "plan 7", 10)}, 10) // from an instance that is behind
		is.Equal(r.View().Router().Plan().Version, uint64(9))
		r.Follow("op", []server.StoredRow{row("config", "?", 14), row("other", "plan 20", 15)}, 15)
		is.Equal(r.View().Router().Plan().Version, uint64(9))
		r.Follow("op", []server.StoredRow{removed("config", 16)}, 16)
		is.Equal(r.View().Router().Plan().Version, uint64(9))
	})
}

func TestOlderIncarnationsReplaceNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, is := begin(t)
		r.Follow("servers", []server.StoredRow{row("i-1", "replica a 1:2 200 1 ready", 12)}, 12)
		r.Follow("servers", []server.StoredRow{row("i-1", "replica a 1:1 100 9 ready", 13)}, 13)
		is.Equal(r.View().Replicas("a")[0].Address, "1:2")
		r.Follow("servers", []server.StoredRow{row("i-1", "replica a 1:2 200 3 draining", 14)}, 14)
		is.Equal(ids(r, "a"), "")
		r.Follow("servers", []server.StoredRow{row("i-1", "replica a 1:2 200 2 ready", 15)}, 15) // late
		r.Follow("servers", []server.StoredRow{row("i-1", "replica a 1:2 200 4 ready", 16)}, 16) // draining is for good
		is.Equal(ids(r, "a"), "")
		r.Follow("servers", []server.StoredRow{row("i-1", "replica a 1:3 300 1 ready", 17)}, 17)
		is.Equal(ids(r, "a"), "i-1")
		r.Follow("servers", []server.StoredRow{row("i-2", "garbage", 18)}, 18)
		is.Equal(ids(r, "a"), "i-1")
		r.Follow("servers", []server.StoredRow{row("i-1", "garbage", 19)}, 19) // a foreign writer changes nothing
		is.Equal(ids(r, "a"), "i-1")
	})
}

func TestNewsInAnyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, is := begin(t)
		r.Follow("servers", []server.StoredRow{removed("i-1", 20)}, 20)
		is.Equal(ids(r, "a"), "")
		r.Replace("servers", []server.StoredRow{row("i-1", "replica a 1:1 100 1 ready", 11)}, 12) // an older table
		is.Equal(ids(r, "a"), "")
		r.Replace("servers", []server.StoredRow{row("i-2", "replica a 1:5 100 1 ready", 15)}, 21)
		is.Equal(ids(r, "a"), "i-2")
		rows, version, ok := r.Rows("servers")
		is.True(ok)
		is.Equal(version, uint64(21))
		is.Equal(len(rows), 1)
	})
}

func TestRemovalWhileTheStoreIsDisturbedWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, is := begin(t)
		r.Follow("servers", []server.StoredRow{row("i-2", "replica a 1:2 100 1 ready", 12)}, 12)
		time.Sleep(time.Minute)
		r.Failed(time.Now())
		r.Follow("servers", []server.StoredRow{removed("i-1", 13), removed("i-2", 14)}, 14)
		is.Equal(ids(r, "a"), "i-1 i-2") // perhaps they only lapsed
		time.Sleep(time.Second)
		r.Follow("servers", []server.StoredRow{row("i-2", "replica a 1:2 100 2 ready", 15)}, 15)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(ids(r, "a"), "i-2")
		time.Sleep(time.Minute)
		r.Follow("servers", []server.StoredRow{removed("i-2", 16)}, 16)
		is.Equal(ids(r, "a"), "") // at once while the store is calm
	})
}

// feed is a store whose answers the test sets.
type feed struct {
	mu      sync.Mutex
	watches int
	loads   int
	// instances is the number of rows in the table of instances.
	instances int
	answer    func(n int) ([]server.StoredRow, uint64, error)
}

func (f *feed) Load(_ context.Context, table string) ([]server.StoredRow, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	if table == registrar.TableInstances && f.instances > 0 {
		var rows []server.StoredRow
		for i := range f.instances {
			rows = append(rows, row(fmt.Sprint("edge-", i), `{"address":"1:1"}`, uint64(i+1)))
		}
		return rows, uint64(f.instances), nil
	}
	return []server.StoredRow{row("config", fmt.Sprintf("plan %d", f.loads), uint64(f.loads))}, uint64(f.loads), nil
}

func (f *feed) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) ([]server.StoredRow, uint64, error) {
	f.mu.Lock()
	f.watches++
	n := f.watches
	f.mu.Unlock()
	if f.answer != nil {
		return f.answer(n)
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, 1, nil
}

func (f *feed) Put(context.Context, string, string, []byte) error { return nil }
func (f *feed) Drop(context.Context, string, string) error        { return nil }

func run(t *testing.T, f *feed, span time.Duration) *registrar.Registrar {
	t.Helper()
	timer := ticker.New()
	defer timer.Close()
	r := registrar.New(logr.Discard(), timer, decoder{}, names)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		r.Run(ctx, f)
		close(done)
	}()
	time.Sleep(span)
	cancel()
	<-done
	return r
}

func TestFewCallsWhileNothingHappens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{}
		run(t, f, 10*time.Second)
		is.New(t).True(f.watches <= 3) // one a table
	})
}

// TestChangesInQuickSuccessionComeTogether has a row change every 20 ms.
func TestChangesInQuickSuccessionComeTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &feed{answer: func(n int) ([]server.StoredRow, uint64, error) {
			time.Sleep(20 * time.Millisecond)
			return []server.StoredRow{row("other", "", uint64(n+10))}, uint64(n + 10), nil
		}}
		run(t, f, 10*time.Second)
		is.True(f.watches <= 2*50+11 && f.watches >= 2*40+8) // two tables each 220 ms, one each 1,020 ms
	})
}

// TestLargeDeploymentsAskLessOften has 81 instances follow rows that change all
// the time.
func TestLargeDeploymentsAskLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &feed{instances: 81, answer: func(n int) ([]server.StoredRow, uint64, error) {
			time.Sleep(20 * time.Millisecond)
			return []server.StoredRow{row("other", "", uint64(n+100))}, uint64(n + 100), nil
		}}
		run(t, f, 20*time.Second)
		is.True(f.watches <= 2*28+8) // two tables each 820 ms, one each 4 s
	})
}

func TestHistoryThatIsTooShortIsReadWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &feed{answer: func(n int) ([]server.StoredRow, uint64, error) {
			if n <= 3 {
				return nil, 0, server.ErrNotFound
			}
			time.Sleep(time.Minute)
			return nil, 100, nil
		}}
		run(t, f, 2*time.Second)
		is.Equal(f.loads, 6) // three tables, twice
	})
}

func TestAStoreThatFailsIsNotFlooded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &feed{answer: func(int) ([]server.StoredRow, uint64, error) { return nil, 0, server.ErrUnavailable }}
		run(t, f, 10*time.Second)
		is.True(f.watches >= 30 && f.watches <= 120) // three tables, about one a second each
	})
}
