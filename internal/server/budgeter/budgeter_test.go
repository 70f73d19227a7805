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
	ratio          = 0.2
	slack          = 58.0
	windowDuration = 10 * time.Second
)

// TestRetriesStayWithinBudgetInEveryWindow has nine instances retry as much as they may under
// an uneven load, and checks the budget of all of them together in every sliding window.
func TestRetriesStayWithinBudgetInEveryWindow(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			timer := ticker.New()
			defer timer.Close()
			const members = 9
			var budgeters []*budgeter.Budgeter
			for range members {
				budgeters = append(budgeters, budgeter.New(timer, ratio, slack, windowDuration, func() int { return members }))
			}
			type count struct{ requests, retries float64 }
			var history []count
			for step := range 600 { // of 100 ms
				var c count
				for range random.IntN(1 + 40*(step/100%2)) {
					b := budgeters[random.IntN(members)]
					b.RecordRequests("a", 1)
					c.requests++
					for range 3 {
						if b.AcquireRetries("a", 1) {
							c.retries++
						}
					}
				}
				history = append(history, c)
				time.Sleep(100 * time.Millisecond)
			}
			for i := range history {
				var requests, retries float64
				for _, c := range history[max(0, i-99) : i+1] {
					requests += c.requests
					retries += c.retries
				}
				previousRequests := 0.0
				for _, c := range history[max(0, i-199):max(0, i-99)] {
					previousRequests += c.requests
				}
				is.True(retries <= ratio*max(requests, previousRequests)+slack)
			}
		})
	}
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timer := ticker.New()
		defer timer.Close()
		b := budgeter.New(timer, ratio, 10, windowDuration, func() int { return 1 })
		is.True(b.AcquireRetries("a", 8))
		is.True(!b.AcquireRetries("a", 1))
		is.True(b.AcquireRetries("b", 8))
		time.Sleep(2 * windowDuration)
		is.True(b.AcquireRetries("a", 8)) // the retries are outside of the window
	})
}
