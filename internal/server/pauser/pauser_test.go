package pauser_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/pauser"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// TestPauseIsReadFromHeaders guards against values of Retry-After that are taken for another time, or that
// take a replica out of service for good.
func TestPauseIsReadFromHeaders(t *testing.T) {
	now := time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)
	const unavailable, limited = http.StatusServiceUnavailable, http.StatusTooManyRequests
	for name, c := range map[string]struct {
		status int
		values []string
		date   string
		want   time.Duration
	}{
		"none":               {unavailable, nil, "", 0},
		"seconds":            {unavailable, []string{"3"}, "", 3 * time.Second},
		"status 429":         {limited, []string{"3"}, "", 3 * time.Second},
		"status 500":         {http.StatusInternalServerError, []string{"3"}, "", 0},
		"success":            {http.StatusOK, []string{"3"}, "", 0},
		"fraction":           {unavailable, []string{"0.25"}, "", 250 * time.Millisecond},
		"fraction only":      {unavailable, []string{".5"}, "", 500 * time.Millisecond},
		"blanks":             {unavailable, []string{" 2 "}, "", 2 * time.Second},
		"zero":               {unavailable, []string{"0"}, "", 0},
		"negative":           {unavailable, []string{"-3"}, "", 0},
		"huge":               {unavailable, []string{"99999999999999999999"}, "", time.Hour},
		"out of range":       {unavailable, []string{"1" + strings.Repeat("0", 400)}, "", time.Hour},
		"not a number":       {unavailable, []string{"NaN"}, "", 0},
		"infinite":           {unavailable, []string{"Inf"}, "", 0},
		"exponent":           {unavailable, []string{"1e3"}, "", 0},
		"hexadecimal":        {unavailable, []string{"0x10"}, "", 0},
		"two dots":           {unavailable, []string{"1.2.3"}, "", 0},
		"text":               {unavailable, []string{"soon"}, "", 0},
		"empty":              {unavailable, []string{""}, "", 0},
		"two headers":        {unavailable, []string{"1", "4"}, "", 4 * time.Second},
		"list":               {unavailable, []string{"4, 1"}, "", 4 * time.Second},
		"list with text":     {unavailable, []string{"soon, 2"}, "", 2 * time.Second},
		"date":               {unavailable, []string{"Sat, 05 Dec 2026 10:00:05 GMT"}, "", 5 * time.Second},
		"date in the past":   {unavailable, []string{"Sat, 05 Dec 2026 09:00:05 GMT"}, "", 0},
		"date far away":      {unavailable, []string{"Sat, 05 Dec 2099 09:00:05 GMT"}, "", time.Hour},
		"date, other clock":  {unavailable, []string{"Sat, 05 Dec 2026 11:00:05 GMT"}, "Sat, 05 Dec 2026 11:00:00 GMT", 5 * time.Second},
		"date, and seconds":  {unavailable, []string{"Sat, 05 Dec 2026 10:00:05 GMT", "7"}, "", 7 * time.Second},
		"date without clock": {unavailable, []string{"Sat, 05 Dec 2026 10:00:05 GMT"}, "yesterday", 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			for _, value := range c.values {
				header.Add("Retry-After", value)
			}
			if c.date != "" {
				header.Set("Date", c.date)
			}
			is.New(t).Equal(pauser.ParseHeader(c.status, header, now), c.want)
		})
	}
}

// FuzzHeader guards against values of Retry-After that end the process, or result in a pause out of bounds.
func FuzzHeader(f *testing.F) {
	for _, value := range []string{"3", "0.5", "-1", "1e9", "Sat, 05 Dec 2026 10:00:05 GMT", ",,", "99999999999999999999999"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		pause := pauser.ParseHeader(http.StatusServiceUnavailable, http.Header{"Retry-After": {value}}, time.Now())
		is.New(t).True(pause >= 0 && pause <= time.Hour)
	})
}

// run calls test on virtual time.
func run(t *testing.T, test func(is *is.I, p *pauser.Pauser)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		timer := ticker.New()
		defer timer.Close()
		test(is.New(t), pauser.New(logr.Discard(), timer))
	})
}

// TestPauseEndsInTime guards against replicas that get requests in a pause, or none after it.
func TestPauseEndsInTime(t *testing.T) {
	run(t, func(is *is.I, p *pauser.Pauser) {
		replica, other := &server.Replica{ID: "i-1", StartMillis: 1}, &server.Replica{ID: "i-2", StartMillis: 1}
		is.Equal(p.PausedFor(replica), time.Duration(0))
		p.RecordResponse(replica, server.ResponseInfo{Pause: 3 * time.Second}, time.Now())
		is.Equal(p.PausedFor(replica), 3*time.Second)
		is.Equal(p.PausedFor(other), time.Duration(0))
		is.Equal(p.PausedReplicas(), 1)
		time.Sleep(2 * time.Second)
		// Refusals of requests that were under way request pauses of their own.
		p.RecordResponse(replica, server.ResponseInfo{Pause: time.Second / 2}, time.Now())
		is.Equal(p.PausedFor(replica), time.Second)
		p.RecordResponse(replica, server.ResponseInfo{Pause: 2 * time.Second}, time.Now())
		is.Equal(p.PausedFor(replica), 2*time.Second)
		p.RecordResponse(replica, server.ResponseInfo{}, time.Now()) // a success ends no pause
		is.Equal(p.PausedFor(replica), 2*time.Second)
		time.Sleep(2 * time.Second)
		is.Equal(p.PausedFor(replica), time.Duration(0))
		is.Equal(p.PausedReplicas(), 0)
	})
}

// TestMisdirectedResponseRequestsNoPause guards against pauses of a replica that another one requested, which
// has its address now.
func TestMisdirectedResponseRequestsNoPause(t *testing.T) {
	run(t, func(is *is.I, p *pauser.Pauser) {
		replica := &server.Replica{ID: "i-1", StartMillis: 1}
		p.RecordResponse(replica, server.ResponseInfo{IsMisdirected: true, Pause: time.Second}, time.Now())
		is.Equal(p.PausedFor(replica), time.Duration(0))
	})
}

// TestNextIncarnationOfAReplica guards against a replica that gets no requests since its previous incarnation
// wanted none, and against requests to one that requested a pause before its row was known.
func TestNextIncarnationOfAReplica(t *testing.T) {
	run(t, func(is *is.I, p *pauser.Pauser) {
		known := &server.Replica{ID: "i-1", StartMillis: time.Now().Add(-time.Hour).UnixMilli()}
		started := &server.Replica{ID: "i-1", StartMillis: time.Now().Add(-time.Second).UnixMilli()}
		p.RecordResponse(known, server.ResponseInfo{Pause: 3 * time.Second}, time.Now())
		is.Equal(p.PausedFor(started), 3*time.Second) // it may have written the refusal
		next := &server.Replica{ID: "i-1", StartMillis: time.Now().Add(time.Second).UnixMilli()}
		is.Equal(p.PausedFor(next), time.Duration(0))
		is.Equal(p.PausedFor(known), 3*time.Second)
	})
}
