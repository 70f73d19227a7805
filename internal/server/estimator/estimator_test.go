package estimator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/estimator"
)

func TestEstimateUsesClassAndRecentWindows(t *testing.T) {
	is := is.New(t)
	e := estimator.New()
	is.True(!e.EstimateStage("encode", "encoders", 3).IsKnown)
	at := time.Unix(1000, 0)
	observe := func(class int, duration time.Duration, ok bool) {
		at = at.Add(time.Millisecond)
		e.Observe(server.Observation{Stage: "encode", Service: "encoders", SizeClass: class, Duration: duration, OK: ok, EndTime: at})
	}
	for i := range 100 {
		observe(3, time.Duration(100+i)*time.Millisecond, true)
		observe(3, time.Hour, false) // failed attempts do not count
		observe(7, time.Second, true)
	}
	small, large, other := e.EstimateStage("encode", "encoders", 3), e.EstimateStage("encode", "encoders", 7), e.EstimateStage("encode", "encoders", 9)
	is.True(small.Median > 130*time.Millisecond && small.Median < 170*time.Millisecond)
	is.True(small.P95 > 185*time.Millisecond && small.P95 < 205*time.Millisecond)
	is.True(large.Median > 950*time.Millisecond)
	is.True(other.IsKnown && other.P95 > small.P95) // a class without values uses the estimate of the stage
	at = at.Add(time.Minute)
	observe(3, 10*time.Millisecond, true)
	at = at.Add(time.Minute)
	for range 32 {
		observe(3, 10*time.Millisecond, true)
	}
	is.True(e.EstimateStage("encode", "encoders", 3).P95 < 11*time.Millisecond) // old windows do not count
}
