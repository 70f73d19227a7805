package admitter

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

func TestSlotShareIsRestOfSlotsAndAtLeastEqualShare(t *testing.T) {
	is := is.New(t)
	is.Equal(slotShare(32, 0, 0, 1), 32)   // no other instance
	is.Equal(slotShare(32, 16, 16, 2), 16) // two instances with equal load
	is.Equal(slotShare(32, 4, 28, 8), 4)   // what the others leave
	is.Equal(slotShare(32, 0, 40, 4), 8)   // an equal share, although the others use more than theirs
	is.Equal(slotShare(32, 32, 32, 1), 16) // other instances that are not listed
	is.Equal(slotShare(0, 0, 0, 1), 1)     // at least one slot
}

func TestDecideReturnsTimeUntilRequestFits(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &forecast{typicalDurations: []time.Duration{time.Second, time.Second}, highDurations: []time.Duration{2 * time.Second, 2 * time.Second}}
	cases := []struct {
		name     string
		priority server.Priority
		left     time.Duration
		wait     time.Duration
		want     decision
	}{
		{"fits", server.PriorityNormal, 3 * time.Second, time.Second, decision{isAdmitted: true}},
		{"queue too long", server.PriorityNormal, 3 * time.Second, 5 * time.Second, decision{cause: server.ErrOverload, retryAfter: 4 * time.Second}},
		{"patient needs the high estimate", server.PriorityPatient, 3 * time.Second, 0, decision{cause: server.ErrOverload, retryAfter: time.Second}},
		{"deadline passed", server.PriorityUrgent, 0, 0, decision{cause: server.ErrDeadline, retryAfter: minRetryAfter}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			request := &server.Request{Priority: c.priority, Deadline: now.Add(c.left)}
			is.Equal(decide(now, request, f, c.wait), c.want)
		})
	}
}

func TestConcurrencyLimitServesUrgentFirstAndDropsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		g := &concurrencyLimit{}
		now := timer.Now()
		is.NoErr(g.acquire(context.Background(), timer, 1, newTestItem("a", 1, server.PriorityPatient, 0), now.Add(time.Minute)))
		order := make(chan string, 4)
		acquire := func(name string, priority server.Priority, latestStart time.Duration) {
			go func() {
				err := g.acquire(context.Background(), timer, 1, newTestItem(name, 1, priority, 0), now.Add(latestStart))
				if errors.Is(err, server.ErrDeadline) {
					order <- name + " late " + timer.Now().Sub(now).String()
					return
				}
				order <- name
				g.release(timer.Now())
			}()
			synctest.Wait()
		}
		acquire("patient", server.PriorityPatient, time.Minute)
		acquire("urgent", server.PriorityUrgent, time.Minute)
		acquire("short", server.PriorityUrgent, 2*time.Second)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		is.Equal(<-order, "short late 2s") // dropped at its latest start, before its deadline
		g.release(timer.Now())
		is.Equal(<-order, "urgent")
		is.Equal(<-order, "patient")
		synctest.Wait()
		is.Equal(g.running, 0)
	})
}

func TestConcurrencyLimitKeepsNoSlotForCancelledWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		g := &concurrencyLimit{}
		latestStart := timer.Now().Add(time.Minute)
		is.NoErr(g.acquire(context.Background(), timer, 1, newTestItem("a", 1, server.PriorityNormal, 0), latestStart))
		ctx, cancel := context.WithCancelCause(context.Background())
		done := make(chan error)
		go func() {
			done <- g.acquire(ctx, timer, 1, newTestItem("b", 1, server.PriorityNormal, 0), latestStart)
		}()
		synctest.Wait()
		cancel(server.ErrCallerDisconnected)
		is.True(errors.Is(<-done, server.ErrCallerDisconnected))
		is.Equal(g.queue.len(), 0)
		g.release(timer.Now())
		is.Equal(g.running, 0)
	})
}
