package gossiper_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

var (
	histories    = flag.Int("histories", 20, "number of random histories of a store that is restored")
	historySeed  = flag.Uint64("history.seed", 1, "first seed of the histories")
	historySteps = 30
)

// TestFleetFollowsRestoredStore guards against instances that keep rows which a restored store
// has lost, or ignore rows that it has: random writes, restores, cuts between instances and
// failures of the store, after which all instances must have the store's rows in time.
func TestFleetFollowsRestoredStore(t *testing.T) {
	for seed := *historySeed; seed < *historySeed+uint64(*histories); seed++ {
		synctest.Test(t, func(t *testing.T) { runHistory(t, rand.New(rand.NewPCG(seed, 27)), seed) })
	}
}

func runHistory(t *testing.T, random *rand.Rand, seed uint64) {
	leaders := []string{}
	count := 3 + random.IntN(12)
	if random.IntN(2) == 0 {
		count, leaders = 8+random.IntN(78), []string{"i-0", "i-1", "i-2", "i-3", "i-4"}
	}
	f := newFleet(count, leaders...)
	defer f.stop()
	s := newFakeStore()
	f.watchStore(s)
	time.Sleep(time.Second)
	for range historySteps {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		m := f.members[random.IntN(count)]
		switch random.IntN(8) {
		case 0, 1, 2:
			s.write(fmt.Sprint(random.IntN(5)), fmt.Sprint(random.Uint32()), false)
		case 3:
			s.write(fmt.Sprint(random.IntN(5)), "", true)
		case 4:
			s.restore(s.version - min(uint64(random.IntN(12)), s.version-1))
		case 5:
			m.setCut(!m.isCut())
		case 6:
			s.setUnavailable([]string{m.id}, random.IntN(2) == 0)
		case 7:
			s.setRefused(random.IntN(2) == 0, m.id)
		}
	}
	for _, m := range f.members {
		m.setCut(false)
		s.setUnavailable([]string{m.id}, false)
		s.setRefused(false, m.id)
	}
	s.write("last", "1", false)
	time.Sleep(maxPlanDelay)
	want := s.values()
	for _, m := range f.members {
		got := make(map[string]string)
		rows, _, _ := m.Rows(plansTable)
		for _, row := range rows {
			got[row.Name] = string(row.Value)
		}
		if !maps.Equal(got, want) {
			t.Fatalf("seed %d: %s of %d instances has %v, the store %v", seed, m.id, count, got, want)
		}
	}
}

func (m *member) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}
