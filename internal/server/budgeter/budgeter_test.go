package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server/budgeter"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

const (
	ratio = 0.2
	slack = 58.0
	span  = 10 * time.Second
)

// TestNoSlidingWindowGoesOverTheBudget lets nine instances repeat all they may
// under an uneven load, and holds every window to the bound over all of them.
func TestNoSlidingWindowGoesOverTheBudget(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			timer := ticker.New()
			defer timer.Close()
			const members = 9
			var all []*budgeter.Budgeter
			for range members {
				all = append(all, budgeter.New(timer, ratio, slack, span, func() int { return members }))
			}
			type count struct{ requests, repeats float64 }
			var history []count
			for step := range 600 { // of 100 ms
				var c count
				for range random.IntN(1 + 40*(step/100%2)) {
					b := all[random.IntN(members)]
					b.Requested("a", 1)
					c.requests++
					for range 3 {
						if b.Spend("a", 1) {
							c.repeats++
						}
					}
				}
				history = append(history, c)
				time.Sleep(100 * time.Millisecond)
			}
			for i := range history {
				var requests, repeats float64
				for _, c := range history[max(0, i-99) : i+1] {
					requests += c.requests
					repeats += c.repeats
				}
				before := 0.0
				for _, c := range history[max(0, i-199):max(0, i-99)] {
					before += c.requests
				}
				is.True(repeats <= ratio*max(requests, before)+slack)
			}
		})
	}
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		b := budgeter.New(timer, ratio, 10, span, func() int { return 1 })
		is.True(b.Spend("a", 8))
		is.True(!b.Spend("a", 1))
		is.True(b.Spend("b", 8))
		time.Sleep(2 * span)
		is.True(b.Spend("a", 8)) // the window is past
	})
}
