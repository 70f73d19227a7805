package limiter_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/limiter"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/parser"
)

// TestStopReturnsCredits checks that every token granted to an instance that stops
// was either used or returned to the owner.
func TestStopReturnsCredits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		defer f.stop()
		usedTokens := 0
		for range 20 {
			if release, err := f.acquire(1); err == nil {
				release(nil)
				usedTokens++
			}
			time.Sleep(300 * time.Millisecond)
		}
		f.member(1).Stop()
		f.start("i-1") // fleet.stop stops every instance once more
		time.Sleep(100 * time.Millisecond)
		f.links.mu.Lock()
		defer f.links.mu.Unlock()
		is.True(usedTokens > 0)
		is.True(f.links.granted["i-1"] > uint32(usedTokens))                       // some credits were left
		is.Equal(f.links.granted["i-1"], uint32(usedTokens)+f.links.unused["i-1"]) // and were returned
	})
}

// TestStopIsBoundedWhenTableIsUnresponsive stops an owner of many budgets while the
// table does not respond: the budgets have to be returned concurrently.
func TestStopIsBoundedWhenTableIsUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const budgetCount = 50
		timer := ticker.New()
		defer timer.Close()
		table := standin.NewMemoryTable(standin.NewPlatform(0, 0, nil))
		contracts := make(map[string]*parser.Contract)
		for i := range budgetCount {
			name := fmt.Sprintf("w%d", i)
			contract, err := parser.ParseContract("w.yaml", []byte(strings.Replace(contractText, "habari", name, 1)))
			is.NoErr(err)
			contracts[name] = contract
		}
		snapshot := server.NewSnapshot(time.Now(), nil, server.WithDocuments(1, nil, contracts))
		l := limiter.New("i-0", timer, limiter.Standalone("i-0"), func() *server.Snapshot { return snapshot }, limiter.WithTable(table))
		l.Start()
		time.Sleep(4 * time.Second)
		for name, contract := range contracts {
			release, err := l.Acquire(snapshot, &server.Request{Workspace: name, Contract: contract, Kind: contract.Kind("draft")})
			is.NoErr(err)
			release(nil)
		}
		time.Sleep(time.Second)
		table.SetHook(func(ctx context.Context, _ string, _ []server.Write) standin.CallFault {
			<-ctx.Done()
			return standin.CallFaultUnavailable
		})
		startedAt := time.Now()
		l.Stop()
		is.True(time.Since(startedAt) <= 5*time.Second) // one bound for all budgets together
	})
}
