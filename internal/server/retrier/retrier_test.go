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
		name    string
		history server.AttemptHistory
		want    bool
	}{
		{"repeatable", server.AttemptHistory{Count: 1, SendState: server.SendStateUnknown, IsRepeatable: true, LastErr: server.ErrUnavailable}, true},
		{"side effect, maybe sent", server.AttemptHistory{Count: 1, SendState: server.SendStateUnknown, LastErr: server.ErrUnavailable}, false},
		{"side effect, answered", server.AttemptHistory{Count: 1, SendState: server.SendStateAnswered, LastErr: server.ErrMismatch}, false},
		{"side effect, proven unsent", server.AttemptHistory{Count: 1, SendState: server.SendStateUnsent, LastErr: server.ErrUnavailable}, true},
		{"client disconnected", server.AttemptHistory{Count: 1, IsRepeatable: true, LastErr: server.ErrCallerDisconnected}, false},
		{"invalid", server.AttemptHistory{Count: 1, IsRepeatable: true, LastErr: server.ErrInvalid}, false},
		{"too many attempts", server.AttemptHistory{Count: 5, IsRepeatable: true, LastErr: server.ErrUnavailable}, false},
		{"deadline passed", server.AttemptHistory{Count: 4, IsRepeatable: true, LastErr: server.ErrUnavailable, Deadline: now}, false},
		{"leaving", server.AttemptHistory{Count: 1, IsRepeatable: true, LastErr: server.ErrLeaving}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			if c.history.Deadline.IsZero() {
				c.history.Deadline = now.Add(time.Minute)
			}
			_, isRetried := retrier.New(estimator.New()).Retry(&c.history, now, random())
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
		history := &server.AttemptHistory{Service: "encoders", Count: 1, IsRepeatable: true, LastErr: server.ErrUnavailable, Deadline: now.Add(time.Minute)}
		if _, isRetried := r.Retry(history, now, source); isRetried {
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
		is.True(r.AcquireRetry("encoders", now))
	}
	deadline := now.Add(time.Minute)
	_, isRetried := r.Retry(&server.AttemptHistory{Service: "encoders", Count: 1, IsRepeatable: true, LastErr: server.ErrOverload, Deadline: deadline}, now, random())
	is.True(!isRetried)
	_, isRetried = r.Retry(&server.AttemptHistory{Service: "encoders", Count: 1, IsRepeatable: true, LastErr: server.ErrUnavailable, Deadline: deadline}, now, random())
	is.True(isRetried)
}

func TestHedgeDelayFollowsQuantileOfClass(t *testing.T) {
	is := is.New(t)
	estimates := estimator.New()
	r := retrier.New(estimates)
	_, ok := r.Hedge("encode", "encoders", 1, now)
	is.True(!ok)
	for range 100 {
		estimates.Observe(server.Observation{Stage: "encode", Service: "encoders", SizeClass: 1, Duration: 100 * time.Millisecond, OK: true, EndTime: now})
	}
	delay, ok := r.Hedge("encode", "encoders", 1, now)
	is.True(ok)
	is.True(delay > 140*time.Millisecond && delay < 160*time.Millisecond)
}
