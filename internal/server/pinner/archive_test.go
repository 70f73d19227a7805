package pinner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/pinner"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// archiveLag is how late before the loss of all instances a stream may begin to be known after it.
const archiveLag = 300 * time.Millisecond

// fakeStore holds the rows of one table.
type fakeStore struct {
	mu            sync.Mutex
	rows          map[string][]byte
	loads, writes int
	isAway        bool
}

func (s *fakeStore) Load(context.Context, string) ([]server.StoredRow, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	if s.isAway {
		return nil, 0, server.ErrUnavailable
	}
	var rows []server.StoredRow
	for name, value := range s.rows {
		rows = append(rows, server.StoredRow{Name: name, Value: value})
	}
	return rows, 1, nil
}

// counts returns how often the rows were read and written.
func (s *fakeStore) counts() (loads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.writes
}

func (s *fakeStore) Watch(context.Context, string, uint64, time.Duration) ([]server.StoredRow, uint64, error) {
	return nil, 0, nil
}

func (s *fakeStore) Put(_ context.Context, _, name string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.isAway {
		return server.ErrUnavailable
	}
	s.rows[name] = value
	return nil
}

func (s *fakeStore) Delete(_ context.Context, _, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, name)
	return nil
}

// archivingFleet is a fleet whose instances keep origins in a store.
type archivingFleet struct {
	*fleet
	timer *ticker.Ticker
	store *fakeStore
	// isMixed is set while several versions serve.
	isMixed     bool
	incarnation int
}

func newArchivingFleet(t *testing.T, size int) *archivingFleet {
	t.Helper()
	f := &archivingFleet{fleet: newFleet(t, 0), timer: ticker.New(), store: &fakeStore{rows: make(map[string][]byte)}, isMixed: true}
	t.Cleanup(f.timer.Close)
	f.start(size)
	return f
}

// start starts instances that know nothing.
func (f *archivingFleet) start(size int) {
	f.incarnation++
	for i := range size {
		id := fmt.Sprint("edge-", i)
		p := pinner.New(f.timer, &fleetLinks{fleet: f.fleet, id: id},
			pinner.WithArchive(logr.Discard(), f.store, pinner.ArchiveRow(id, fmt.Sprint(f.incarnation)), func(string) bool { return f.isMixed }))
		f.mu.Lock()
		f.pinners[id] = p
		f.mu.Unlock()
	}
}

// loseAll ends all instances.
func (f *archivingFleet) loseAll() (size int) {
	size = len(f.pinners)
	for i := range size {
		f.remove(fmt.Sprint("edge-", i))
	}
	return size
}

// TestOriginsSurviveALossOfAllInstances guards against streams that no instance resumes after all
// were lost, although replicas of their version serve.
func TestOriginsSurviveALossOfAllInstances(t *testing.T) {
	for _, size := range []int{1, 3, 9} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newArchivingFleet(t, size)
			f.isMixed = false
			f.pinners["edge-0"].Record("before", origin) // before another version came into service
			time.Sleep(2 * time.Second)
			f.isMixed = true
			newer := server.StreamOrigin{Service: "engine", Version: "v2"}
			for i := range size {
				f.pinners[fmt.Sprint("edge-", i)].Record(fmt.Sprint("stream-", i), newer)
			}
			time.Sleep(archiveLag)
			f.pinners["edge-0"].Record("too late", newer)
			f.start(f.loseAll())
			for i := range size {
				found, ok := f.pinners["edge-0"].Find(t.Context(), fmt.Sprint("stream-", i))
				is.True(ok)
				is.Equal(found, newer)
			}
			found, ok := f.pinners["edge-0"].Find(t.Context(), "before")
			is.True(ok)
			is.Equal(found, origin)
			_, ok = f.pinners["edge-0"].Find(t.Context(), "too late")
			is.True(!ok)
			// A second loss, after the instances have written rows of their own.
			f.pinners["edge-0"].Record("later", newer)
			time.Sleep(archiveLag)
			f.start(f.loseAll())
			_, ok = f.pinners["edge-0"].Find(t.Context(), "stream-0")
			is.True(ok)
			f.loseAll()
		})
	}
}

// TestArchiveCostsNothingWhileOneVersionServes guards against calls to the store on calm days.
func TestArchiveCostsNothingWhileOneVersionServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newArchivingFleet(t, 9)
		f.isMixed = false
		for i := range 200 {
			f.pinners["edge-0"].Record(fmt.Sprint(i), origin)
			time.Sleep(20 * time.Millisecond)
		}
		loads, writes := f.store.counts()
		is.Equal(loads+writes, 0)
		f.loseAll()
	})
}

// TestUnknownAttemptsCostFewReads guards against clients that name attempts which never were: each
// must not cost a call to the store.
func TestUnknownAttemptsCostFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newArchivingFleet(t, 3)
		for i := range 500 {
			_, ok := f.pinners["edge-0"].Find(t.Context(), fmt.Sprint("forged-", i))
			is.True(!ok)
			time.Sleep(10 * time.Millisecond)
		}
		loads, _ := f.store.counts()
		is.True(loads <= 6) // one a second
		f.loseAll()
	})
}

// TestLargeFleetsWriteTheArchiveLessOften guards against writes that grow with the instances.
func TestLargeFleetsWriteTheArchiveLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newArchivingFleet(t, 85)
		for i := range 500 {
			f.pinners[fmt.Sprint("edge-", i%85)].Record(fmt.Sprint(i), origin)
			time.Sleep(20 * time.Millisecond)
		}
		_, writes := f.store.counts()
		is.True(writes <= 50*10)
		f.loseAll()
	})
}
