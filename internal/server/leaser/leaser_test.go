package leaser_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/leaser"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/standin"
)

// leasePair is two candidates for one lease, each with its own connection to the
// table, so that faults can affect one of them.
type leasePair struct {
	timer  *ticker.Ticker
	tables [2]*standin.MemoryTable
	leases [2]*leaser.Lease
}

func newLeasePair(t *testing.T) *leasePair {
	is := is.New(t)
	p := &leasePair{timer: ticker.New()}
	table := standin.NewPlatform(0, 0, nil)
	for i, incarnation := range []string{"a", "b"} {
		p.tables[i] = standin.NewMemoryTable(table)
		lease, err := leaser.New(p.tables[i], p.timer, "planner", incarnation)
		is.NoErr(err)
		p.leases[i] = lease
		lease.Start()
		time.Sleep(100 * time.Millisecond)
	}
	return p
}

func (p *leasePair) heldFence(i int) (uint64, bool) { return p.leases[i].HeldFence(time.Now()) }

func (p *leasePair) stop() {
	for _, lease := range p.leases {
		lease.Stop()
	}
	p.timer.Close()
}

// tableDown makes every call fail with ErrUnavailable.
func tableDown(context.Context, string, []server.Write) standin.CallFault {
	return standin.CallFaultUnavailable
}

// loseCommitResponses applies every commit but loses its response.
func loseCommitResponses(_ context.Context, call string, _ []server.Write) standin.CallFault {
	if call == "commit" {
		return standin.CallFaultResponseLost
	}
	return standin.CallFaultNone
}

func TestTableDownForHolderMovesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newLeasePair(t)
		defer p.stop()
		first, ok := p.heldFence(0)
		is.True(ok)
		p.tables[0].SetHook(tableDown)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			_, a := p.heldFence(0)
			_, b := p.heldFence(1)
			is.True(!a || !b) // never both at once
		}
		second, ok := p.heldFence(1)
		is.True(ok)
		is.True(second > first)
	})
}

func TestShortOutageKeepsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newLeasePair(t)
		defer p.stop()
		first, _ := p.heldFence(0)
		p.tables[0].SetHook(tableDown)
		time.Sleep(2 * time.Second)
		p.tables[0].SetHook(nil)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			fence, ok := p.heldFence(0)
			is.True(ok)
			is.Equal(fence, first)
		}
	})
}

func TestRenewalsWithLostResponsesAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		table := standin.NewMemoryTable(standin.NewPlatform(0, 0, nil))
		table.SetHook(loseCommitResponses)
		lease, err := leaser.New(table, timer, "planner", "a")
		is.NoErr(err)
		lease.Start()
		defer lease.Stop()
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			fence, ok := lease.HeldFence(time.Now())
			is.True(ok)
			is.Equal(fence, uint64(1)) // every response was lost, but the lease was never considered lost
		}
	})
}

func TestStopReleasesLeaseWithoutWaitForTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newLeasePair(t)
		p.leases[0].Stop()
		_, ok := p.heldFence(0)
		is.True(!ok)
		time.Sleep(time.Second)
		fence, ok := p.heldFence(1)
		is.True(ok)
		is.Equal(fence, uint64(2))
		p.leases[1].Stop()
		p.timer.Close()
	})
}

// TestPausedHolderLosesLease delays the holder's table calls for longer than the
// TTL. The holder must not act on a response that arrives that late.
func TestPausedHolderLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newLeasePair(t)
		defer p.stop()
		p.tables[0].SetHook(func(_ context.Context, call string, _ []server.Write) standin.CallFault {
			time.Sleep(20 * time.Second)
			return standin.CallFaultNone
		})
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			_, a := p.heldFence(0)
			_, b := p.heldFence(1)
			is.True(!a || !b)
		}
		_, ok := p.heldFence(1)
		is.True(ok)
	})
}
