package gossiper_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/gossiper"
)

// store is one table of the platform's store, as one instance reaches it.
type store struct {
	mu      sync.Mutex
	rows    []server.StoredRow
	version uint64
	changed chan struct{}
	calls   int
	// away makes all calls hang until their end.
	away map[string]bool
}

// port is a member's way to the store.
type port struct {
	*store
	id string
}

func newStore() *store {
	return &store{version: 1, changed: make(chan struct{}), away: make(map[string]bool)}
}

func (s *store) write(name, value string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows = append(s.rows, server.StoredRow{Name: name, Value: []byte(value), Version: s.version, Removed: removed})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) turnAway(ids []string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.away[id] = away
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (p *port) Load(ctx context.Context, table string) ([]server.StoredRow, uint64, error) {
	return p.Watch(ctx, table, 0, 0)
}

func (p *port) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]server.StoredRow, uint64, error) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	end := time.After(wait)
	for {
		p.mu.Lock()
		var rows []server.StoredRow
		for _, row := range p.rows {
			if row.Version > after {
				rows = append(rows, row)
			}
		}
		version, changed, away := p.version, p.changed, p.away[p.id]
		p.mu.Unlock()
		switch {
		case away:
			if err := ctx.Err(); err != nil {
				return nil, 0, err
			}
		case len(rows) > 0 || wait == 0:
			return rows, version, nil
		}
		select {
		case <-changed:
		case <-end:
			if !away {
				return nil, version, nil
			}
			end = nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (p *port) Put(context.Context, string, string, []byte) error { return nil }
func (p *port) Drop(context.Context, string, string) error        { return nil }

// follow has all members follow a store until the test ends.
func (f *fleet) follow(s *store) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for _, m := range f.members {
		work.Go(func() { m.Run(ctx, &port{store: s, id: m.id}) })
	}
	f.stops = append(f.stops, func() {
		cancel()
		work.Wait()
	})
}

// knows counts the members that have a row with a value, or lack it if value is "".
func (f *fleet) knows(name, value string) (count int) {
	for _, m := range f.members {
		found := ""
		rows, _, _ := m.Rows(plans)
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

// TestLeadersFollowTheStoreForAll holds what 40 instances ask of the store, and
// that a change is known to all of them within a second.
func TestLeadersFollowTheStoreForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(40, "i-0", "i-1", "i-2")
		defer f.stop()
		s := newStore()
		f.follow(s)
		time.Sleep(30 * time.Second) // the watches of before have ended
		before := s.count()
		for range 10 {
			s.write("row", "new", false)
			time.Sleep(time.Second)
			is.Equal(f.knows("row", "new"), 40)
			s.write("row", "", true)
			time.Sleep(time.Second)
			is.Equal(f.knows("row", ""), 40)
		}
		// Three leaders, three tables: a watch in 2 s and one after each change.
		is.True(s.count()-before <= 3*3*(10+20+2))
	})
}

// TestInstancesFollowAgainWhenLeadersFall has the leaders be cut off, or turned
// away by the store in silence: the others notice and ask for themselves.
func TestInstancesFollowAgainWhenLeadersFall(t *testing.T) {
	for name, harm := range map[string]func(f *fleet, s *store){
		"cut off": func(f *fleet, _ *store) {
			for _, m := range f.members[:3] {
				m.mu.Lock()
				m.cut = true
				m.mu.Unlock()
			}
		},
		"turned away": func(f *fleet, s *store) { s.turnAway(f.leaders, true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(40, "i-0", "i-1", "i-2")
				defer f.stop()
				s := newStore()
				f.follow(s)
				time.Sleep(30 * time.Second)
				harm(f, s)
				time.Sleep(gossiper.LeadWait + 2*time.Second)
				s.write("row", "new", false)
				time.Sleep(time.Second)
				is.True(f.knows("row", "new") >= 37)
				s.turnAway(f.leaders, false)
			})
		})
	}
}

// TestTroubleOfTheStoreIsToldWithItsNews holds that an instance which is told of a
// removal knows that the store was away.
func TestTroubleOfTheStoreIsToldWithItsNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		defer f.stop()
		failed := time.Now()
		f.members[0].Failed(failed)
		time.Sleep(500 * time.Millisecond)
		f.members[0].Follow(plans, []server.StoredRow{{Name: "newest", Version: 5, Removed: true}}, 5)
		time.Sleep(200 * time.Millisecond)
		is.Equal(f.known(5), 3)
		is.True(f.members[2].LastFailure().Sub(failed).Abs() <= 5*time.Millisecond)
	})
}

// TestLeadersWordsTakeNoRoom holds that what leaders say again and again is kept once.
func TestLeadersWordsTakeNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(20, "i-0", "i-1", "i-2")
		defer f.stop()
		f.follow(newStore())
		time.Sleep(time.Minute)
		tellers := f.members[9].gossiper.Tellers(plans)
		is.True(len(tellers) > 0)
		is.True(len(tellers) < 20)
	})
}
