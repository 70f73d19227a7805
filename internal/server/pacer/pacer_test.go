package pacer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/standin"
)

// TestInstancesShareOneRate starts forty pacers at once, as after a restart of all
// instances. No second may have more slots than rate and burst allow.
func TestInstancesShareOneRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := standin.NewPlatform(1e6, 1e6, nil)
		var mu sync.Mutex
		var slots []time.Time
		var group sync.WaitGroup
		for range 40 {
			group.Go(func() {
				p := New(standin.NewMemoryTable(table), "weights", time.Now)
				for {
					wait, err := p.ReserveSlot(t.Context(), 5, 2, time.Minute)
					if errors.Is(err, server.ErrConflict) {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					is.NoErr(err)
					time.Sleep(wait)
					mu.Lock()
					slots = append(slots, time.Now())
					mu.Unlock()
					return
				}
			})
		}
		group.Wait()
		slices.SortFunc(slots, time.Time.Compare)
		is.Equal(len(slots), 40)
		for i := range slots {
			slotsInSecond := 0
			for _, other := range slots[i:] {
				if other.Sub(slots[i]) < time.Second {
					slotsInSecond++
				}
			}
			is.True(slotsInSecond <= 5+2) // rate and burst in any second
		}
	})
}

func TestLostResponseDoesNotExceedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memoryTable := standin.NewMemoryTable(standin.NewPlatform(1e6, 1e6, nil))
		shouldLoseResponse := true
		memoryTable.SetHook(func(_ context.Context, call string, _ []server.Write) standin.CallFault {
			if call == "commit" && shouldLoseResponse {
				shouldLoseResponse = false
				return standin.CallFaultResponseLost
			}
			return standin.CallFaultNone
		})
		p := New(memoryTable, "weights", time.Now)
		wait, err := p.ReserveSlot(t.Context(), 1, 1, time.Minute)
		is.NoErr(err)
		is.Equal(wait, time.Second) // the slot of the lost response counts as used
	})
}

func TestSlotBeyondMaxWaitIsRefusedWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(standin.NewMemoryTable(standin.NewPlatform(1e6, 1e6, nil)), "weights", time.Now)
		for range 3 {
			_, err := p.ReserveSlot(t.Context(), 1, 1, time.Minute)
			is.NoErr(err)
		}
		_, err := p.ReserveSlot(t.Context(), 1, 1, time.Second)
		is.True(errors.Is(err, server.ErrOverload))
		var fault *server.Fault
		is.True(errors.As(err, &fault))
		is.Equal(fault.RetryAfter(), 2*time.Second)
	})
}
