package gossiper_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/gossiper"
)

// fakeStore is one table of the platform's store.
type fakeStore struct {
	mu      sync.Mutex
	rows    []server.StoredRow
	version uint64
	// era rises when the store is restored from an older copy.
	era     uint64
	changed chan struct{}
	calls   int
	// unavailable holds the IDs of the instances whose calls hang until their context
	// ends, refused those whose calls fail at once.
	unavailable map[string]bool
	refused     map[string]bool
	// outages counts the outages. Watches that an outage interrupts miss all changes; they
	// are answered when their wait ends, or never if isSilentAfterOutage is set.
	outages             int
	isSilentAfterOutage bool
	// isMuted is set while watches miss all changes. Afterwards those in progress fail if
	// isCutAfterMute is set, and watches from before historyStart, a version, are refused.
	isMuted, isCutAfterMute bool
	mutes                   int
	historyStart            uint64
}

// callTimeout is how much longer than its wait a call may take.
const callTimeout = 2 * time.Second

// storeClient is the connection of one member to a fakeStore.
type storeClient struct {
	*fakeStore
	id string
}

func newFakeStore() *fakeStore {
	return &fakeStore{version: 1, changed: make(chan struct{}), unavailable: make(map[string]bool), refused: make(map[string]bool)}
}

func (s *fakeStore) write(name, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows = append(s.rows, server.StoredRow{Name: name, Value: []byte(value), Version: s.version, IsDeleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore restores the store from a copy that was made at a version.
func (s *fakeStore) restore(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version = version
	s.rows = slices.DeleteFunc(s.rows, func(row server.StoredRow) bool { return row.Version > version })
	close(s.changed)
	s.changed = make(chan struct{})
}

// values returns the values of the rows by name.
func (s *fakeStore) values() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]string)
	for _, row := range s.rows {
		if values[row.Name] = string(row.Value); row.IsDeleted {
			delete(values, row.Name)
		}
	}
	return values
}

// interrupt makes the watches in progress miss all changes.
func (s *fakeStore) interrupt(isSilent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages++
	s.isSilentAfterOutage = isSilent
}

// dropHistory makes all watches miss what is written in the next 1.2 s; then they are refused,
// as the history is discarded. Those in progress fail if isCut is set.
func (s *fakeStore) dropHistory(isCut bool) {
	s.mu.Lock()
	s.isMuted, s.isCutAfterMute = true, isCut
	s.mu.Unlock()
	time.AfterFunc(1200*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.mutes++
		s.isMuted, s.historyStart = false, s.version
		close(s.changed)
		s.changed = make(chan struct{})
	})
}

// setUnavailable makes the calls of instances hang, or lets them through again.
func (s *fakeStore) setUnavailable(ids []string, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.unavailable[id] = unavailable
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setRefused makes the calls of instances fail at once, or lets them through again.
func (s *fakeStore) setRefused(refused bool, ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.refused[id] = refused
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (c *storeClient) Load(ctx context.Context, table string) ([]server.StoredRow, uint64, error) {
	return c.Watch(ctx, table, 0, 0)
}

func (c *storeClient) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]server.StoredRow, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	c.mu.Lock()
	c.calls++
	outages, mutes := c.outages, c.mutes
	c.mu.Unlock()
	end := time.After(wait)
	for {
		c.mu.Lock()
		era, afterInEra := server.SplitVersion(after)
		isRestored := after > 0 && (era != c.era || afterInEra > c.version)
		var rows []server.StoredRow
		for _, row := range c.rows {
			if row.Version > afterInEra {
				row.Version, _ = server.JoinVersion(c.era, row.Version)
				rows = append(rows, row)
			}
		}
		version, _ := server.JoinVersion(c.era, c.version)
		if after > 0 && c.isMuted {
			rows, version = nil, after
		}
		changed, unavailable, refused := c.changed, c.unavailable[c.id], c.refused[c.id]
		isInterrupted, isSilent := c.outages != outages, c.isSilentAfterOutage
		isCut := c.mutes != mutes && c.isCutAfterMute
		if after > 0 && afterInEra < c.historyStart {
			isRestored = true
		}
		c.mu.Unlock()
		switch {
		case isInterrupted && isSilent:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case isInterrupted && end != nil:
			select {
			case <-end:
				end = nil
				continue
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		case isCut:
			return nil, 0, server.ErrUnavailable
		case isRestored && !refused && !unavailable:
			return nil, 0, server.ErrNotFound
		case refused:
			return nil, 0, server.ErrUnavailable
		case unavailable:
			if err := ctx.Err(); err != nil {
				return nil, 0, err
			}
		case len(rows) > 0 || wait == 0:
			return rows, version, nil
		}
		select {
		case <-changed:
		case <-end:
			if !unavailable {
				return nil, version, nil
			}
			end = nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (c *storeClient) Put(context.Context, string, string, []byte) error { return nil }
func (c *storeClient) Delete(context.Context, string, string) error      { return nil }

// watchStore runs the registrars of all members on a store until the test ends.
func (f *fleet) watchStore(s *fakeStore) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, m := range f.members {
		group.Go(func() { m.Run(ctx, &storeClient{fakeStore: s, id: m.id}) })
	}
	f.stops = append(f.stops, func() {
		cancel()
		group.Wait()
	})
}

// countWithRow counts the members that have a row with a value, or, if value is "",
// those that do not have the row.
func (f *fleet) countWithRow(name, value string) (count int) {
	for _, m := range f.members {
		found := ""
		rows, _, _ := m.Rows(plansTable)
		for _, row := range rows {
			if row.Name == name {
				found = string(row.Value)
			}
		}
		if found == value {
			count++
		}
	}
	return count
}

// TestLeadersWatchTheStoreForAll checks that of 40 instances only the leaders call the
// store and that each change is known to all of them within a second.
func TestLeadersWatchTheStoreForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(40, "i-0", "i-1", "i-2")
		defer f.stop()
		s := newFakeStore()
		f.watchStore(s)
		time.Sleep(30 * time.Second) // the watches from before the leaders' announcements have ended
		before := s.callCount()
		for range 10 {
			s.write("row", "new", false)
			time.Sleep(time.Second)
			is.Equal(f.countWithRow("row", "new"), 40)
			s.write("row", "", true)
			time.Sleep(time.Second)
			is.Equal(f.countWithRow("row", ""), 40)
		}
		// Three leaders watch three tables: one call every 2 s and one after each change.
		is.True(s.callCount()-before <= 3*3*(10+20+2))
	})
}

// TestInstancesWatchTheStoreAgainWhenLeadersFail cuts the leaders off from the other
// instances, or from the store without an error. The other instances must notice and
// watch the store themselves.
func TestInstancesWatchTheStoreAgainWhenLeadersFail(t *testing.T) {
	for name, injectFault := range map[string]func(f *fleet, s *fakeStore){
		"cut off": func(f *fleet, _ *fakeStore) {
			for _, m := range f.members[:3] {
				m.mu.Lock()
				m.cut = true
				m.mu.Unlock()
			}
		},
		"store unavailable": func(f *fleet, s *fakeStore) { s.setUnavailable(f.leaders, true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(40, "i-0", "i-1", "i-2")
				defer f.stop()
				s := newFakeStore()
				f.watchStore(s)
				time.Sleep(30 * time.Second)
				injectFault(f, s)
				time.Sleep(gossiper.LeaderWatchTimeout + 2*time.Second)
				s.write("row", "new", false)
				time.Sleep(time.Second)
				is.True(f.countWithRow("row", "new") >= 37)
				s.setUnavailable(f.leaders, false)
			})
		})
	}
}

// TestStoreRecoveryIsSentWithChanges checks that an instance that receives the removal of a
// row is also informed that the store had failed, shortly before, the instance that read
// the removal: the row may only have expired.
func TestStoreRecoveryIsSentWithChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		defer f.stop()
		recoveredAt := time.Now()
		time.Sleep(500 * time.Millisecond)
		f.members[0].ApplyChanges(plansTable, []server.StoredRow{{Name: "newest", Version: 5, IsDeleted: true}}, 5, recoveredAt)
		time.Sleep(200 * time.Millisecond)
		is.Equal(f.countAtVersion(5), 3)
		is.True(f.members[2].RecoveredAt(plansTable).Sub(recoveredAt).Abs() <= 5*time.Millisecond)
	})
}

// TestRepeatedLeaderAnnouncementsUseNoMemory checks that the repeated announcements of
// leaders do not add announcers.
func TestRepeatedLeaderAnnouncementsUseNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(20, "i-0", "i-1", "i-2")
		defer f.stop()
		f.watchStore(newFakeStore())
		time.Sleep(time.Minute)
		announcers := f.members[9].gossiper.AnnouncerIDs(plansTable)
		is.True(len(announcers) > 0)
		is.True(len(announcers) < 20)
	})
}
