package blocker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/blocker"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// Targets: later than maxLearnDelay after the fifth crash at most maxLateRequests with the part
// reach replicas, over all instances.
const (
	maxLearnDelay   = 3 * time.Second
	maxLateRequests = 3
	allowedCrashes  = 5
	// allowedRequestCrashes is allowedCrashes for one request.
	allowedRequestCrashes = 3
	linkDelay             = 5 * time.Millisecond
)

// fleet is many instances whose messages take linkDelay, or are lost.
type fleet struct {
	timer  *ticker.Ticker
	mu     sync.Mutex
	random *rand.Rand
	// lossShare is the part of the messages that is lost.
	lossShare float64
	members   []*member
	store     *fakeStore
}

// fakeStore holds the rows of one table.
type fakeStore struct {
	mu     sync.Mutex
	rows   map[string][]byte
	loads  int
	isAway bool
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

// counts returns the number of rows, and how often they were read.
func (s *fakeStore) counts() (rows, loads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows), s.loads
}

func (s *fakeStore) Watch(context.Context, string, uint64, time.Duration) ([]server.StoredRow, uint64, error) {
	return nil, 0, nil
}

func (s *fakeStore) Put(_ context.Context, _, name string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[name] = value
	return nil
}

func (s *fakeStore) Delete(_ context.Context, _, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, name)
	return nil
}

// member is one instance of a fleet. It implements blocker.Links.
type member struct {
	*blocker.Blocker
	fleet *fleet
	id    string
	isCut bool
}

func newFleet(count int, seed uint64) *fleet {
	f := &fleet{timer: ticker.New(), random: rand.New(rand.NewPCG(seed, 1)), store: &fakeStore{rows: make(map[string][]byte)}}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range count {
		f.members = append(f.members, f.newMember(fmt.Sprint("i-", i)))
	}
	return f
}

func (f *fleet) newMember(id string) *member {
	m := &member{fleet: f, id: id}
	m.Blocker = blocker.New(logr.Discard(), f.timer, m, blocker.WithArchive(f.store))
	return m
}

// restart replaces an instance by one that knows nothing.
func (f *fleet) restart(i int) {
	f.members[i].Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[i] = f.newMember(f.members[i].id)
}

func (f *fleet) stop() {
	for _, m := range f.members {
		m.Close()
	}
	f.timer.Close()
}

func (f *fleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// HolderIDs implements blocker.Links.
func (m *member) HolderIDs(_ string, count int) []string {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	var ids []string
	for _, other := range m.fleet.members {
		if other.id != m.id {
			ids = append(ids, other.id)
		}
	}
	return ids[:min(count, len(ids))]
}

// Send implements blocker.Links.
func (m *member) Send(ctx context.Context, id string, frame *encoder.Frame) error {
	if err := server.Sleep(ctx, m.fleet.timer, linkDelay); err != nil {
		return err
	}
	m.fleet.mu.Lock()
	index := slices.IndexFunc(m.fleet.members, func(other *member) bool { return other.id == id })
	other := m.fleet.members[index]
	isLost := m.isCut || other.isCut || m.fleet.random.Float64() < m.fleet.lossShare
	m.fleet.mu.Unlock()
	if isLost {
		<-ctx.Done()
		return ctx.Err()
	}
	// As in the real program, the receiver has a copy.
	other.HandleMessage(m.id, proto.CloneOf(frame).GetPromptParts())
	return nil
}

// engines counts the requests with a part that crashes its replica.
type engines struct {
	crashedAt []time.Time
	born      map[int]int64
}

// send sends a request with parts at an instance, to a random replica, and reports whether it
// was not blocked.
func (f *fleet) send(e *engines, m *member, parts []string, crashes bool) bool {
	if wait, _ := m.BlockedFor(server.RequestContent{Parts: parts}); wait > 0 {
		return false
	}
	replica := f.intN(18)
	if crashes {
		e.crashedAt = append(e.crashedAt, time.Now())
		m.RecordCrash("engine", fmt.Sprintf("r-%d/%d", replica, e.born[replica]), server.RequestContent{Parts: parts}, time.Time{})
		// Another request that ran there, at any instance.
		victim := f.members[f.intN(len(f.members))]
		victim.RecordCrash("engine", fmt.Sprintf("r-%d/%d", replica, e.born[replica]), server.RequestContent{Parts: []string{"first", fmt.Sprint("doc", f.intN(20))}}, time.Time{})
		e.born[replica]++
		return true
	}
	m.RecordCompletion("engine", server.RequestContent{Parts: parts})
	return true
}

func (e *engines) late() (count int) {
	if len(e.crashedAt) < allowedCrashes {
		return 0
	}
	for _, at := range e.crashedAt {
		if at.Sub(e.crashedAt[allowedCrashes-1]) > maxLearnDelay {
			count++
		}
	}
	return count
}

// TestFleetBlocksCrashingPartInTime guards against instances that each learn by themselves that a
// part crashes replicas: requests arrive at any of up to 85, messages are lost, and instances
// are restarted and cut off from the others.
func TestFleetBlocksCrashingPartInTime(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			count := []int{1, 2, 3, 9, 40, 85}[seed%6]
			f := newFleet(count, seed)
			defer f.stop()
			f.lossShare = 0.1 * float64(seed%3)
			e := &engines{born: make(map[int]int64)}
			sound, served := 0, 0
			for i := range 600 {
				time.Sleep(time.Duration(5+f.intN(40)) * time.Millisecond)
				m := f.members[f.intN(count)]
				doc := fmt.Sprint("doc", f.intN(20))
				if i%6 == 5 {
					f.send(e, m, []string{"first", doc, "bad"}, true)
					continue
				}
				sound++
				if f.send(e, m, []string{"first", doc}, false) {
					served++
				}
				if count > 3 && i%150 == 100 {
					f.restart(f.intN(count))
					time.Sleep(maxLearnDelay) // it is not in touch before
				}
			}
			is.True(len(e.crashedAt) >= allowedCrashes-1)
			if late := e.late(); late > maxLateRequests {
				t.Errorf("seed %d: %d late requests of %d at %d instances", seed, late, len(e.crashedAt), count)
			}
			if served < sound*9/10 {
				t.Errorf("seed %d: %d of %d other requests were not blocked", seed, served, sound)
			}
		})
	}
}

// TestBlockOfACutOffInstanceIsRejected guards against the block of a part that the others serve,
// by an instance that could not ask them.
func TestBlockOfACutOffInstanceIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(9, 1)
		defer f.stop()
		f.members[8].isCut = true
		for i := range 6 {
			f.members[8].RecordCrash("engine", fmt.Sprint("r-", i), server.RequestContent{Parts: []string{"a"}}, time.Time{})
			f.members[8].RecordCompletion("engine", server.RequestContent{Parts: []string{"b"}})
			for _, m := range f.members[:8] {
				m.RecordCompletion("engine", server.RequestContent{Parts: []string{"a"}})
			}
			time.Sleep(time.Second)
		}
		isBlocked := func(m *member) bool {
			wait, _ := m.BlockedFor(server.RequestContent{Parts: []string{"a"}})
			return wait > 0
		}
		is.True(isBlocked(f.members[8])) // as far as it knows
		f.mu.Lock()
		f.members[8].isCut = false
		f.mu.Unlock()
		time.Sleep(2 * maxLearnDelay)
		for _, m := range f.members {
			is.True(!isBlocked(m))
		}
	})
}

// TestBlockEndsInTime guards against a block that instances prolong by sending it to each other.
func TestBlockEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(9, 1)
		defer f.stop()
		for i := range 6 {
			f.members[i].RecordCrash("engine", fmt.Sprint("r-", i), server.RequestContent{Parts: []string{"a"}}, time.Time{})
		}
		time.Sleep(100 * time.Millisecond)
		f.members[8].RecordCompletion("engine", server.RequestContent{Parts: []string{"b"}})
		time.Sleep(time.Second)
		for end := time.Now().Add(10 * time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
			wait, _ := f.members[0].BlockedFor(server.RequestContent{Parts: []string{"a"}})
			is.True(wait > 0 || time.Until(end) < 2*time.Second)
		}
		for _, m := range f.members {
			wait, _ := m.BlockedFor(server.RequestContent{Parts: []string{"a"}})
			is.Equal(wait, time.Duration(0))
		}
		f.members[3].RecordCrash("engine", "r-9", server.RequestContent{Parts: []string{"a"}}, time.Time{}) // one more suffices now
		time.Sleep(time.Second)
		for _, m := range f.members {
			wait, _ := m.BlockedFor(server.RequestContent{Parts: []string{"a"}})
			is.True(wait > 15*time.Minute)
		}
	})
}

// TestFleetBlocksCrashingRequestInTime guards against one request that comes again at any of up to 85
// instances and crashes one replica after the other, while messages are lost and instances restart.
func TestFleetBlocksCrashingRequestInTime(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			count := []int{1, 2, 3, 9, 20, 85}[seed%6]
			f := newFleet(count, seed)
			defer f.stop()
			f.lossShare = 0.1 * float64(seed%3)
			bad, isAlone := server.RequestContent{Keys: []string{server.ContentKey("bad")}}, seed >= 12
			var crashedAt []time.Time
			sound, served := 0, 0
			for i := range 600 {
				time.Sleep(time.Duration(5+f.intN(60)) * time.Millisecond)
				m := f.members[f.intN(count)]
				if i%6 == 5 {
					if wait, _ := m.BlockedFor(bad); wait > 0 {
						continue
					}
					crashedAt = append(crashedAt, time.Now())
					incarnation := fmt.Sprint("r-", i)
					m.RecordCrash("orders", incarnation, bad, time.Time{})
					// Another request that ran there, at any instance.
					f.members[f.intN(count)].RecordCrash("orders", incarnation, server.RequestContent{Keys: []string{server.ContentKey(fmt.Sprint(i - 1))}}, time.Time{})
					continue
				}
				if isAlone {
					continue
				}
				content := server.RequestContent{Keys: []string{server.ContentKey(fmt.Sprint(i))}}
				if sound++; isFree(m, content) {
					served++
				}
				m.RecordCompletion("orders", content)
				if count > 3 && i%150 == 100 {
					f.restart(f.intN(count))
					time.Sleep(maxLearnDelay) // it is not in touch before
				}
			}
			is.True(len(crashedAt) >= allowedRequestCrashes)
			late := 0
			for _, at := range crashedAt[allowedRequestCrashes:] {
				if at.Sub(crashedAt[allowedRequestCrashes-1]) > maxLearnDelay {
					late++
				}
			}
			if late > maxLateRequests {
				t.Errorf("seed %d: %d late requests of %d at %d instances", seed, late, len(crashedAt), count)
			}
			is.Equal(served, sound)
		})
	}
}

func isFree(m *member, content server.RequestContent) bool {
	wait, _ := m.BlockedFor(content)
	return wait == 0
}

// TestBlocksSurviveALossOfAllInstances guards against a request that crashes replicas anew after all
// instances were lost, at each of them.
func TestBlocksSurviveALossOfAllInstances(t *testing.T) {
	for _, count := range []int{1, 3, 20, 85} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(count, 1)
			defer f.stop()
			bad := server.RequestContent{Keys: []string{server.ContentKey("bad")}}
			crash := func(i int) {
				if m := f.members[i%count]; isFree(m, bad) {
					m.RecordCrash("orders", fmt.Sprint("r-", i), bad, time.Time{})
				}
				time.Sleep(600 * time.Millisecond)
			}
			for i := range 6 {
				crash(i)
			}
			is.True(!isFree(f.members[0], bad))
			for i := range f.members {
				f.restart(i)
			}
			is.True(isFree(f.members[0], bad))
			_, loadsBefore := f.store.counts()
			crash(100)
			_, loads := f.store.counts()
			is.Equal(loads, loadsBefore) // one crash has many causes
			crash(101)
			for _, m := range f.members {
				is.True(!isFree(m, bad))
			}
			_, loads = f.store.counts()
			is.True(loads-loadsBefore <= 4) // the instance and those that it reports to
		})
	}
}

// TestRefutedBlocksAreNotRestored guards against blocks that come back with a loss of all instances
// although the request was completed since.
func TestRefutedBlocksAreNotRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, 1)
		defer f.stop()
		content := server.RequestContent{Keys: []string{server.ContentKey("a")}}
		for i := range 3 {
			f.members[i].RecordCrash("orders", fmt.Sprint("r-", i), content, time.Time{})
			time.Sleep(700 * time.Millisecond)
		}
		time.Sleep(time.Second)
		rows, _ := f.store.counts()
		is.Equal(rows, 1)
		f.members[1].RecordCompletion("orders", content)
		time.Sleep(time.Second)
		rows, _ = f.store.counts()
		is.Equal(rows, 0)
		is.True(isFree(f.members[0], content))
	})
}
