package orderer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/orderer"
	"oriolemill.example/oriolemill/internal/standin"
)

// faultCase is the faults of one order, and the outcome that it must have at a
// service that is fenced. tableFaults are as in scenario.TableFaults.
type faultCase struct {
	tableFaults   []int
	serviceFaults []callFault
	want          server.Outcome
}

// TestOutcomeOfEachSingleFault checks the outcome after each single fault at
// services with different capabilities. At a service that is fenced and has a
// status endpoint, which is the most frequent kind, the outcome is always certain.
func TestOutcomeOfEachSingleFault(t *testing.T) {
	cases := map[string]faultCase{
		"none":                     {want: server.OutcomeDone},
		"claim response lost":      {tableFaults: []int{2}, want: server.OutcomeDone},
		"claim refused":            {tableFaults: []int{1}, want: server.OutcomeNotRun},
		"claim slow":               {tableFaults: []int{3}, want: server.OutcomeDone},
		"claim hangs":              {tableFaults: []int{4}, want: server.OutcomeDone},
		"table down at the record": {tableFaults: []int{0, 1, 1, 1}, want: server.OutcomeDone},
		"record response lost":     {tableFaults: []int{0, 2}, want: server.OutcomeDone},
		"record hangs at deadline": {tableFaults: []int{0, 4, 4, 4, 4}, serviceFaults: []callFault{faultNearDeadline}, want: server.OutcomeDone},
		"dial refused once":        {serviceFaults: []callFault{faultRefused}, want: server.OutcomeDone},
		"dial refused always":      {serviceFaults: []callFault{faultRefused, faultRefused, faultRefused}, want: server.OutcomeNotRun},
		"reset before run":         {serviceFaults: []callFault{faultBeforeRun}, want: server.OutcomeNotRun},
		"reset after run":          {serviceFaults: []callFault{faultAfterRun}, want: server.OutcomeDone},
		"response late":            {serviceFaults: []callFault{faultLate}, want: server.OutcomeNotRun},
	}
	for name, c := range cases {
		for _, kind := range []struct{ fenced, status bool }{{true, true}, {false, true}, {false, false}} {
			t.Run(fmt.Sprintf("%s/fenced=%v,status=%v", name, kind.fenced, kind.status), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := newCluster(t, kind.fenced, kind.status, 1)
					defer s.close()
					s.service.faults = slices.Clone(c.serviceFaults)
					s.memoryTable.SetHook(scenario{TableFaults: c.tableFaults}.tableHook())
					outcome, err := s.call(s.instances[0], "one", "k", "1")
					t.Logf("outcome %s: %v", outcome, err)
					if kind.fenced {
						is.Equal(outcome, c.want)
					}
					if outcome == server.OutcomeUnknown {
						is.True(len(c.serviceFaults) > 0 && c.serviceFaults[0] != faultRefused) // only a lost or late response of the service may leave the outcome unknown
					}
					s.memoryTable.SetHook(nil)
					time.Sleep(time.Minute)
					is.True(s.service.runCount("one", "k") <= 1)
					is.True(outcome != server.OutcomeNotRun || s.service.runCount("one", "k") == 0)
				})
			})
		}
	}
}

func TestRequestsWithTheSameKeyRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(t, true, true, 3)
		defer s.close()
		s.service.faults = []callFault{faultSlow}
		var group sync.WaitGroup
		for _, o := range s.instances {
			for range 3 {
				group.Go(func() {
					outcome, err := s.call(o, "one", "k", "1")
					is.NoErr(err)
					is.Equal(outcome, server.OutcomeDone) // every request waits for the one execution and gets its response
				})
			}
		}
		group.Wait()
		is.Equal(s.service.runCount("one", "k"), 1)
		outcome, err := s.call(s.instances[1], "one", "k", "2")
		is.Equal(outcome, server.OutcomeNotRun)
		is.True(errors.Is(err, server.ErrInvalid)) // same key with another body
		outcome, _ = s.call(s.instances[2], "two", "k", "2")
		is.Equal(outcome, server.OutcomeDone) // keys of different workspaces are independent
		is.Equal(s.service.runCount("two", "k"), 1)
		_, err = s.instances[0].OrderState(context.Background(), "two", "absent")
		is.True(errors.Is(err, server.ErrNotFound))
	})
}

// repeatAll sends orders concurrently and repeats each of them until it is done,
// which must happen within the bound.
func (s *cluster) repeatAll(t *testing.T, orders int, bound time.Duration) {
	t.Helper()
	is := is.New(t)
	begin := time.Now()
	var group sync.WaitGroup
	for i := range orders {
		group.Go(func() {
			for {
				outcome, _ := s.call(s.instances[i%3], "one", fmt.Sprint("s", i), "1")
				if outcome == server.OutcomeDone {
					is.True(time.Since(begin) <= bound)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

func TestOrdersFailFastDuringTableOutageAndRecoverWithinWriteLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(t, true, true, 3)
		defer s.close()
		var mu sync.Mutex
		isDown := true
		commits := map[int64]int{}
		s.memoryTable.SetHook(func(ctx context.Context, call string, _ []server.Write) standin.CallFault {
			mu.Lock()
			defer mu.Unlock()
			if call == "commit" {
				commits[time.Now().Unix()]++
			}
			if isDown {
				return standin.CallFaultUnavailable
			}
			return standin.CallFaultNone
		})
		for i := range 12 {
			_, _ = s.call(s.instances[i%3], "one", fmt.Sprint("warm", i), "1")
		}
		for range 600 {
			begin := time.Now()
			outcome, _ := s.call(s.instances[0], "one", "k", "1")
			is.Equal(outcome, server.OutcomeNotRun)
			is.True(time.Since(begin) <= 50*time.Millisecond)
			time.Sleep(200 * time.Millisecond)
		}
		mu.Lock()
		isDown = false
		mu.Unlock()
		s.repeatAll(t, 3000, 2*time.Second)
		maxCommits := 0
		for _, n := range commits {
			maxCommits = max(maxCommits, n)
		}
		t.Logf("at most %d transactions in a second", maxCommits)
		is.True(maxCommits <= standin.DefaultWriteRate)
	})
}

func TestRestartedInstanceRecoversClaimedOrders(t *testing.T) {
	for _, c := range []struct {
		name           string
		fenced, status bool
		ran            bool
		want           string
	}{
		{"ran", true, true, true, orderer.StateDone},
		{"fenced out", true, true, false, orderer.StateNotRun},
		{"status only", false, true, false, orderer.StateUnknown},
		{"no proof", false, false, true, orderer.StateUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newCluster(t, c.fenced, c.status, 0)
				defer s.close()
				claim := `{"state":"claimed","request":"r","holder":"i-0","life":"before","nonce":"n","body":"b","fence":5,"service":"gate","operation":"dose","until":"2000-01-01T00:00:02Z","expires":"2000-01-01T01:00:00Z"}`
				_, conflict := s.table.Commit([]server.Write{{Key: server.Key{Table: "orders", Row: "one/k"}, Value: json.RawMessage(claim)}})
				is.True(conflict == nil)
				s.service.hasRun["one/k"] = c.ran
				o := s.add("i-0")
				time.Sleep(5 * time.Second)
				state, err := o.OrderState(context.Background(), "one", "k")
				is.NoErr(err)
				is.Equal(state.State, c.want)
				page, err := o.List(context.Background(), orderer.StateUnknown, "", 10)
				is.NoErr(err)
				is.Equal(len(page.Orders) == 1, c.want == orderer.StateUnknown)
				if c.want != orderer.StateUnknown {
					return
				}
				_, err = o.Resolve(context.Background(), "ann", orderer.Resolution{Workspace: "one", Key: "k", State: "done"})
				is.True(errors.Is(err, server.ErrInvalid)) // the reason is missing
				summary, err := o.Resolve(context.Background(), "ann", orderer.Resolution{Workspace: "one", Key: "k", State: "done", Reason: "seen at the pump"})
				is.NoErr(err)
				is.Equal(summary.ResolvedBy, "ann")
				is.Equal(len(s.table.Rows("order-audit", "", 10)), 1)
			})
		})
	}
}

func TestRemovalOfOldRecordsUsesLessThanATenthOfTheWriteLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(t, true, true, 3)
		defer s.close()
		for i := range 3000 {
			row := fmt.Appendf(nil, `{"state":"done","nonce":"n%d","until":"2000-01-01T00:00:00Z","expires":"2000-01-01T00:01:00Z"}`, i)
			s.table.Commit([]server.Write{{Key: server.Key{Table: "orders", Row: fmt.Sprintf("one/%05d", i)}, Value: row}})
		}
		time.Sleep(50 * time.Second)
		is.Equal(len(s.table.Rows("orders", "", 5000)), 3000) // none is removed before its retention has passed
		before := s.table.CommitCount()
		begin := time.Now()
		for len(s.table.Rows("orders", "", 1)) > 0 && time.Since(begin) < 5*time.Minute {
			time.Sleep(time.Second)
		}
		is.Equal(len(s.table.Rows("orders", "", 1)), 0)
		rate := float64(s.table.CommitCount()-before) / time.Since(begin).Seconds()
		t.Logf("%.2f transactions a second", rate)
		is.True(rate < standin.DefaultWriteRate/10)
	})
}

// TestPausedHolderSendsNothing pauses a holder between its claim and its send
// until after its deadline.
func TestPausedHolderSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(t, false, false, 2)
		defer s.close()
		hasPaused := false
		s.memoryTable.SetHook(func(_ context.Context, call string, _ []server.Write) standin.CallFault {
			if call == "commit" && !hasPaused {
				hasPaused = true
				time.Sleep(400 * time.Millisecond)
			}
			return standin.CallFaultNone
		})
		o := s.instances[0]
		contract := s.contracts["one"]
		request := &server.Request{
			ID: server.NewID(), Workspace: "one", Kind: contract.Kind("dosing"), Contract: contract,
			Deadline: time.Now().Add(100 * time.Millisecond), Input: json.RawMessage(`1`), IdempotencyKey: "k",
		}
		ctx, cancel := context.WithDeadlineCause(context.Background(), request.Deadline, server.ErrDeadline)
		defer cancel()
		_, err := o.Order(ctx, s.snapshot, request)
		var fault *server.Fault
		is.True(errors.As(err, &fault))
		is.Equal(fault.Outcome(), server.OutcomeNotRun)
		time.Sleep(10 * time.Second)
		is.Equal(s.service.runCount("one", "k"), 0)
		outcome, err := s.call(s.instances[1], "one", "k", "1")
		is.NoErr(err)
		is.Equal(outcome, server.OutcomeDone) // the claim was voided, so a repeated request runs
	})
}

// TestOrderIsNotSentToReplicaThatLeftAfterThePick guards against orders for leaving replicas:
// the pick of a replica was carried out although it had left since.
func TestOrderIsNotSentToReplicaThatLeftAfterThePick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newCluster(t, true, true, 1)
		defer s.close()
		s.snapshot = server.NewSnapshot(time.Now(), s.snapshot, server.WithUpstreams(nil)) // the picker of the test still picks the replica
		outcome, _ := s.call(s.instances[0], "one", "k", "1")
		is.Equal(outcome, server.OutcomeNotRun)
		time.Sleep(time.Minute)
		is.Equal(s.service.runCount("one", "k"), 0)
	})
}
