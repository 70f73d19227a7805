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

func TestShareOfCapacity(t *testing.T) {
	is := is.New(t)
	is.Equal(share(32, 0, 0, 1), 32)   // alone
	is.Equal(share(32, 16, 16, 2), 16) // two alike
	is.Equal(share(32, 4, 28, 8), 4)   // what the others leave
	is.Equal(share(32, 0, 40, 4), 8)   // an equal part in spite of greedy others
	is.Equal(share(32, 32, 32, 1), 16) // others that no list names
	is.Equal(share(0, 0, 0, 1), 1)     // never stuck
}

func TestDecideRefusesEarlyWithTrueWait(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &forecast{typical: []time.Duration{time.Second, time.Second}, high: []time.Duration{2 * time.Second, 2 * time.Second}}
	cases := []struct {
		name     string
		priority server.Priority
		left     time.Duration
		wait     time.Duration
		want     verdict
	}{
		{"fits", server.PriorityNormal, 3 * time.Second, time.Second, verdict{ok: true}},
		{"queue too long", server.PriorityNormal, 3 * time.Second, 5 * time.Second, verdict{cause: server.ErrOverload, retry: 4 * time.Second}},
		{"patient wants the high estimate", server.PriorityPatient, 3 * time.Second, 0, verdict{cause: server.ErrOverload, retry: time.Second}},
		{"passed", server.PriorityUrgent, 0, 0, verdict{cause: server.ErrLate, retry: minRetry}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			request := &server.Request{Priority: c.priority, Deadline: now.Add(c.left)}
			is.Equal(decide(now, request, f, c.wait), c.want)
		})
	}
}

func TestGateServesUrgentFirstAndDropsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		g := &gate{}
		now := timer.Now()
		is.NoErr(g.enter(context.Background(), timer, 1, newTestItem("a", 1, server.PriorityPatient, 0), now.Add(time.Minute)))
		order := make(chan string, 4)
		enter := func(name string, priority server.Priority, latest time.Duration) {
			go func() {
				err := g.enter(context.Background(), timer, 1, newTestItem(name, 1, priority, 0), now.Add(latest))
				if errors.Is(err, server.ErrLate) {
					order <- name + " late " + timer.Now().Sub(now).String()
					return
				}
				order <- name
				g.leave(timer.Now())
			}()
			synctest.Wait()
		}
		enter("patient", server.PriorityPatient, time.Minute)
		enter("urgent", server.PriorityUrgent, time.Minute)
		enter("hopeless", server.PriorityUrgent, 2*time.Second)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		is.Equal(<-order, "hopeless late 2s") // at its latest start, not at its deadline
		g.leave(timer.Now())
		is.Equal(<-order, "urgent")
		is.Equal(<-order, "patient")
		synctest.Wait()
		is.Equal(g.running, 0)
	})
}

func TestGateFreesThePlaceOfOneThatGaveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		g := &gate{}
		latest := timer.Now().Add(time.Minute)
		is.NoErr(g.enter(context.Background(), timer, 1, newTestItem("a", 1, server.PriorityNormal, 0), latest))
		ctx, cancel := context.WithCancelCause(context.Background())
		done := make(chan error)
		go func() {
			done <- g.enter(ctx, timer, 1, newTestItem("b", 1, server.PriorityNormal, 0), latest)
		}()
		synctest.Wait()
		cancel(server.ErrGone)
		is.True(errors.Is(<-done, server.ErrGone))
		is.Equal(g.queue.len(), 0)
		g.leave(timer.Now())
		is.Equal(g.running, 0)
	})
}
