package ejector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/ejector"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

func newEjector(t *testing.T) *ejector.Ejector {
	t.Helper()
	timer := ticker.New()
	t.Cleanup(timer.Close)
	e, err := ejector.New(controller.New(timer), func() {})
	is.New(t).NoErr(err)
	return e
}

var begin = time.Unix(1000, 0)

func success(i int, duration time.Duration) server.Observation {
	return server.Observation{Service: "encoders", Upstream: fmt.Sprint("e-", i), Duration: duration, OK: true, EndTime: begin}
}

func failure(i int, err error) server.Observation {
	return server.Observation{Service: "encoders", Upstream: fmt.Sprint("e-", i), Err: err, EndTime: begin}
}

// recordSuccesses records successful attempts of 10 ms at some replicas.
func recordSuccesses(e *ejector.Ejector, replicas, rounds int) {
	for range rounds {
		for i := range replicas {
			e.Record(success(i, 10*time.Millisecond))
		}
	}
}

func TestErrorsEjectAndProbeRestores(t *testing.T) {
	is := is.New(t)
	e := newEjector(t)
	recordSuccesses(e, 4, 5)
	e.Record(failure(0, server.ErrUnavailable))
	e.Record(failure(0, server.ErrUnavailable))
	is.True(!e.IsEjected("e-0", begin))
	is.True(e.Record(failure(0, server.ErrUnavailable)))
	is.True(e.IsEjected("e-0", begin.Add(900*time.Millisecond)))
	is.True(!e.IsEjected("e-0", begin.Add(time.Second))) // probed
	is.True(e.Record(failure(0, server.ErrUnavailable))) // one error ejects while probed
	is.True(e.IsEjected("e-0", begin.Add(1900*time.Millisecond)))
	is.True(!e.IsEjected("e-0", begin.Add(2*time.Second))) // the second ejection takes twice as long
	is.True(e.Record(success(0, 10*time.Millisecond)))
	e.Record(failure(0, server.ErrUnavailable))
	is.True(!e.IsEjected("e-0", begin)) // healthy again
}

func TestSlowComparedToMedianEjects(t *testing.T) {
	is := is.New(t)
	e := newEjector(t)
	recordSuccesses(e, 4, 5)
	for range 3 {
		e.Record(success(1, 100*time.Millisecond))
	}
	is.True(e.IsEjected("e-1", begin))
	for range 3 {
		e.Record(failure(2, server.ErrAttemptAbandoned)) // cancelled in favour of another replica
	}
	is.True(!e.IsEjected("e-2", begin)) // at most a third of four replicas, which is one
}

func TestRefusalsDoNotEjectAndAtMostAThirdIsEjected(t *testing.T) {
	is := is.New(t)
	e := newEjector(t)
	recordSuccesses(e, 6, 5)
	for range 10 {
		e.Record(failure(0, server.ErrLeaving))
		e.Record(failure(0, server.ErrOverload))
	}
	is.True(!e.IsEjected("e-0", begin))
	ejected := 0
	for i := range 6 {
		for range 5 {
			e.Record(failure(i, server.ErrUnavailable))
		}
	}
	for i := range 6 {
		if e.IsEjected(fmt.Sprint("e-", i), begin) {
			ejected++
		}
	}
	is.Equal(ejected, 2)
	e.Remove("e-0")
	is.True(!e.IsEjected("e-0", begin))
}
