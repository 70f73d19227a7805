package gossiper_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/gossiper"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/registrar"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// The table that these tests follow, and the platform's figures of weak
// instances: their link in bytes a second, and how late a plan may be in force.
const (
	plans     = "plans"
	weakLink  = 10e6 / 8
	planBound = 3 * time.Second
)

// decoder reads nothing; these tests look at rows.
type decoder struct{}

func (decoder) Plan([]byte) (*server.Plan, error) { return nil, server.ErrInvalid }
func (decoder) Replica(string, []byte, time.Time) (server.Replica, error) {
	return server.Replica{}, server.ErrInvalid
}

// member is one instance of a fleet.
type member struct {
	*registrar.Registrar
	gossiper *gossiper.Gossiper
	id       string
	fleet    *fleet
	// busy is until when the member's link is in use.
	mu   sync.Mutex
	busy time.Time
	sent int
	cut  bool
}

// fleet is many instances whose links have a bandwidth.
type fleet struct {
	timer   *ticker.Ticker
	members []*member
	leaders []string
	stops   []func()
}

func newFleet(count int, leaders ...string) *fleet {
	f := &fleet{timer: ticker.New(), leaders: leaders}
	for i := range count {
		m := &member{id: fmt.Sprintf("i-%d", i), fleet: f}
		m.Registrar = registrar.New(logr.Discard(), f.timer, decoder{}, registrar.Tables{Plan: plans, PlanRow: "newest", Replicas: "replicas"},
			registrar.WithChanged(func(*registrar.View) { m.gossiper.Changed() }),
			registrar.WithLeaders(func(table string) bool { return m.gossiper.Led(table) }, func() bool { return m.gossiper.Leading() }, gossiper.LeadWait))
		m.gossiper = gossiper.New(logr.Discard(), f.timer, m, m)
		f.members = append(f.members, m)
	}
	for _, m := range f.members {
		m.Replace(plans, []server.StoredRow{{Name: "newest", Value: []byte("1"), Version: 1}}, 1)
	}
	time.Sleep(5 * time.Second)
	return f
}

func (f *fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	for _, m := range f.members {
		m.gossiper.Stop()
	}
	f.timer.Close()
}

// occupy takes a member's link for a number of bytes and returns when they are through.
func (m *member) occupy(bytes int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.busy.Before(now) {
		m.busy = now
	}
	m.busy = m.busy.Add(time.Duration(float64(bytes) / weakLink * float64(time.Second)))
	m.sent += bytes
	return m.busy.Sub(now)
}

func (m *member) Self() server.Instance { return server.Instance{ID: m.id} }

func (m *member) Leaders() []string { return m.fleet.leaders }

func (m *member) isCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

func (m *member) Broadcast(frame *encoder.Frame) {
	for _, other := range m.fleet.members {
		if other == m || m.isCut() || other.isCut() {
			continue
		}
		wait := m.occupy(proto.Size(frame))
		go func() {
			time.Sleep(wait)
			other.gossiper.Hear(m.id, frame.GetNews())
		}()
	}
}

func (m *member) Call(ctx context.Context, id string, frame *encoder.Frame) (*encoder.Frame, error) {
	for _, other := range m.fleet.members {
		if other.id == id && !other.isCut() && !m.isCut() {
			answer := other.gossiper.Answer(frame.GetRows().GetTable())
			wait := max(other.occupy(proto.Size(answer)), m.occupy(proto.Size(answer)))
			if err := server.Sleep(ctx, m.fleet.timer, wait); err != nil {
				return nil, err
			}
			return answer, nil
		}
	}
	return nil, server.ErrUnavailable
}

func (f *fleet) known(version uint64) (count int) {
	for _, m := range f.members {
		if m.Version(plans) >= version {
			count++
		}
	}
	return count
}

// TestALargePlanReachesWeakInstancesInTime has a plan of many routes come to some of
// 81 instances with narrow links, the others being turned away by the store.
func TestALargePlanReachesWeakInstancesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(81)
		defer f.stop()
		large := []server.StoredRow{{Name: "newest", Value: make([]byte, 300<<10), Version: 9}}
		for _, m := range f.members[:40] {
			m.Follow(plans, large, 9)
		}
		time.Sleep(planBound)
		is.Equal(f.known(9), 81)
		most := 0
		for _, m := range f.members {
			most = max(most, m.sent)
		}
		is.True(most < 6*300<<10) // nobody was asked by all
	})
}

// TestSmallChangesAreToldWhole holds that a change of a small row needs no question.
func TestSmallChangesAreToldWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(9)
		defer f.stop()
		f.members[0].Follow(plans, []server.StoredRow{{Name: "a", Value: []byte("2"), Version: 7}}, 8)
		f.members[0].Follow(plans, []server.StoredRow{{Name: "a", Version: 9, Removed: true}, {Name: "b", Value: []byte("3"), Version: 10}}, 12)
		time.Sleep(200 * time.Millisecond)
		is.Equal(f.known(12), 9)
		for _, m := range f.members {
			rows, _, _ := m.Rows(plans)
			is.Equal(len(rows), 2) // "newest" and "b"
		}
	})
}

// TestChangesThatWereMissedAreAskedFor cuts an instance off during one change and
// tells it of the next.
func TestChangesThatWereMissedAreAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(9)
		defer f.stop()
		missed := f.members[8]
		missed.mu.Lock()
		missed.cut = true
		missed.mu.Unlock()
		f.members[0].Follow(plans, []server.StoredRow{{Name: "a", Value: []byte("2"), Version: 7}}, 8)
		time.Sleep(time.Second)
		is.Equal(f.known(8), 8)
		missed.mu.Lock()
		missed.cut = false
		missed.mu.Unlock()
		f.members[0].Follow(plans, []server.StoredRow{{Name: "b", Value: []byte("3"), Version: 10}}, 10)
		time.Sleep(200 * time.Millisecond)
		is.Equal(missed.Version(plans), uint64(1)) // it has b, and knows that something is missing
		time.Sleep(time.Second)
		is.Equal(missed.Version(plans), uint64(10))
		rows, _, _ := missed.Rows(plans)
		is.Equal(len(rows), 3)
	})
}
