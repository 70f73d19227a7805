package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/estimator"
	"oriolemill.example/oriolemill/internal/server/retrier"
)

var now = time.Unix(1000, 0)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestRetryOnlyWhenSafeAndUseful(t *testing.T) {
	cases := []struct {
		name      string
		attempted server.Attempted
		want      bool
	}{
		{"repeatable", server.Attempted{Count: 1, Sent: server.SentMaybe, Repeatable: true, Err: server.ErrUnavailable}, true},
		{"side effect, maybe sent", server.Attempted{Count: 1, Sent: server.SentMaybe, Err: server.ErrUnavailable}, false},
		{"side effect, answered", server.Attempted{Count: 1, Sent: server.SentAnswered, Err: server.ErrMismatch}, false},
		{"side effect, proven unsent", server.Attempted{Count: 1, Sent: server.SentNo, Err: server.ErrUnavailable}, true},
		{"client disconnected", server.Attempted{Count: 1, Repeatable: true, Err: server.ErrGone}, false},
		{"invalid", server.Attempted{Count: 1, Repeatable: true, Err: server.ErrInvalid}, false},
		{"too many attempts", server.Attempted{Count: 5, Repeatable: true, Err: server.ErrUnavailable}, false},
		{"deadline passed", server.Attempted{Count: 4, Repeatable: true, Err: server.ErrUnavailable, Deadline: now}, false},
		{"leaving", server.Attempted{Count: 1, Repeatable: true, Err: server.ErrLeaving}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			if c.attempted.Deadline.IsZero() {
				c.attempted.Deadline = now.Add(time.Minute)
			}
			_, isRetried := retrier.New(estimator.New()).Retry(&c.attempted, now, random())
			is.Equal(isRetried, c.want)
		})
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	r := retrier.New(estimator.New())
	source := random()
	retries := 0
	const attempts = 10000
	for range attempts {
		r.Observe(server.Observation{Service: "encoders"})
		attempted := &server.Attempted{Service: "encoders", Count: 1, Repeatable: true, Err: server.ErrUnavailable, Deadline: now.Add(time.Minute)}
		if _, isRetried := r.Retry(attempted, now, source); isRetried {
			retries++
		}
	}
	is.True(retries >= attempts/10)
	is.True(retries <= attempts/10+32) // a tenth of the attempts and the initial burst
}

func TestOverloadRetriesStopFirst(t *testing.T) {
	is := is.New(t)
	r := retrier.New(estimator.New())
	for range 20 {
		is.True(r.Spend("encoders", now))
	}
	deadline := now.Add(time.Minute)
	_, isRetried := r.Retry(&server.Attempted{Service: "encoders", Count: 1, Repeatable: true, Err: server.ErrOverload, Deadline: deadline}, now, random())
	is.True(!isRetried)
	_, isRetried = r.Retry(&server.Attempted{Service: "encoders", Count: 1, Repeatable: true, Err: server.ErrUnavailable, Deadline: deadline}, now, random())
	is.True(isRetried)
}

func TestHedgeDelayFollowsQuantileOfClass(t *testing.T) {
	is := is.New(t)
	estimates := estimator.New()
	r := retrier.New(estimates)
	_, ok := r.Hedge("encode", "encoders", 1, now)
	is.True(!ok)
	for range 100 {
		estimates.Observe(server.Observation{Stage: "encode", Service: "encoders", Class: 1, Took: 100 * time.Millisecond, OK: true, At: now})
	}
	delay, ok := r.Hedge("encode", "encoders", 1, now)
	is.True(ok)
	is.True(delay > 140*time.Millisecond && delay < 160*time.Millisecond)
}
