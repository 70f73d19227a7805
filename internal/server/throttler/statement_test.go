package throttler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
)

// TestResponsesThatOvertakeEachOther guards against an old limit that replaces a newer one, since the
// response with it arrived later.
func TestResponsesThatOvertakeEachOther(t *testing.T) {
	limited := func(perSecond float64) server.ResponseInfo {
		return server.ResponseInfo{HasLimit: true, LimitPerSecond: perSecond}
	}
	const limit, none = 5.0, -1.0
	type response struct {
		sent, received int // in milliseconds
		limit          float64
	}
	for name, c := range map[string]struct {
		responses []response
		isLimited bool
	}{
		"stated":                                   {[]response{{0, 10, limit}}, true},
		"ended":                                    {[]response{{0, 10, limit}, {20, 30, none}}, false},
		"end by a request sent before it":          {[]response{{0, 10, limit}, {5, 30, none}}, true},
		"end, then a request from before":          {[]response{{0, 10, limit}, {20, 30, none}, {5, 40, limit}}, true},
		"that one, then a later one":               {[]response{{0, 10, limit}, {20, 30, none}, {5, 40, limit}, {50, 60, none}}, false},
		"no limit, then one from before":           {[]response{{20, 30, none}, {5, 40, limit}}, true},
		"stated again while its end was under way": {[]response{{0, 10, limit}, {15, 30, limit}, {20, 40, none}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1)
				defer f.stop()
				startedAt := time.Now()
				r := newReplica(0)
				for _, response := range c.responses {
					time.Sleep(time.Until(startedAt.Add(time.Duration(response.received) * time.Millisecond)))
					info := server.ResponseInfo{}
					if response.limit != none {
						info = limited(response.limit)
					}
					f.instances[0].RecordResponse(&r.Replica, info, startedAt.Add(time.Duration(response.sent)*time.Millisecond))
				}
				is.New(t).Equal(f.instances[0].IsLimited(&r.Replica), c.isLimited)
			})
		})
	}
}

// TestOtherStatementsChangeNoLimit guards against a limit that ends, or begins, by a response which
// states nothing of this replica.
func TestOtherStatementsChangeNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		defer f.stop()
		i, r := f.instances[0], newReplica(0)
		i.RecordResponse(&r.Replica, server.ResponseInfo{IsMisdirected: true, HasLimit: true, LimitPerSecond: 1}, time.Now())
		is.True(!i.IsLimited(&r.Replica))
		i.RecordResponse(&r.Replica, server.ResponseInfo{HasLimit: true, LimitPerSecond: 1}, time.Now())
		time.Sleep(time.Second)
		i.RecordResponse(&r.Replica, server.ResponseInfo{IsMisdirected: true}, time.Now())
		i.RecordResponse(&r.Replica, server.ResponseInfo{IsLimitUnknown: true}, time.Now())
		is.True(i.IsLimited(&r.Replica))
		next := r.Replica
		next.StartMillis++
		is.True(!i.IsLimited(&next)) // another incarnation has stated nothing yet
	})
}
