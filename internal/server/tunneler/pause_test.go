package tunneler_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/pauser"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/server/tunneler"
)

// pausingFleet returns a fleet whose helpers keep pauses, except those of the build before.
func pausingFleet(t *testing.T, buildsBefore ...bool) (*fleet, []*pauser.Pauser) {
	t.Helper()
	timer := ticker.New()
	t.Cleanup(timer.Close)
	f := newFleet(t, make([]error, len(buildsBefore))...)
	var pausers []*pauser.Pauser
	for n, isBefore := range buildsBefore {
		p := pauser.New(logr.Discard(), timer)
		pausers = append(pausers, p)
		if !isBefore {
			f.helpers[n].Helper = tunneler.NewHelper(logr.Discard(), f.helpers[n], func(id string) (server.Replica, bool) { return f.replica, id == f.replica.ID }, tunneler.WithPauses(p))
		}
	}
	return f, pausers
}

// reportPause reports a pause on a connection of the fleet's client.
func reportPause(conn net.Conn, pause time.Duration) {
	conn.(interface{ ReportPause(time.Duration) }).ReportPause(pause)
}

// TestHelperKnowsPausesOfTheConnectionsThatItPassesOn guards against connections that a helper passes on to a
// replica which has requested a pause from it.
func TestHelperKnowsPausesOfTheConnectionsThatItPassesOn(t *testing.T) {
	f, pausers := pausingFleet(t, false)
	conn, _ := f.open(t)
	reportPause(conn, time.Minute)
	for end := time.Now().Add(waitTimeout); pausers[0].PausedReplicas() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	dials := f.helpers[0].dials.Load()
	_, err := f.client.DialThrough(t.Context(), &f.replica)
	f.True(errors.Is(err, server.ErrWithheld))
	var fault *server.Fault
	f.True(errors.As(err, &fault))
	f.True(fault.RetryAfter() > 50*time.Second && fault.RetryAfter() <= time.Minute)
	f.Equal(f.helpers[0].dials.Load(), dials)
}

// TestAnotherHelperIsAskedInAPause guards against replicas that count as paused although they have requested a
// pause from one of several helpers only.
func TestAnotherHelperIsAskedInAPause(t *testing.T) {
	f, pausers := pausingFleet(t, false, false)
	pausers[0].RecordResponse(&f.replica, server.ResponseInfo{Pause: time.Minute}, time.Now())
	for range 10 {
		f.open(t)
	}
	f.Equal(f.helpers[0].dials.Load(), int64(0))
	f.Equal(f.helpers[1].dials.Load(), int64(10))
}

// TestHelperOfTheBuildBeforeSendsNothingForAReport guards against bytes that reach a replica since a helper of
// the build before takes the report of a pause for a request to connect.
func TestHelperOfTheBuildBeforeSendsNothingForAReport(t *testing.T) {
	f, _ := pausingFleet(t, true)
	conn, _ := f.open(t)
	reportPause(conn, time.Minute)
	select {
	case accepted := <-f.conns:
		data, err := io.ReadAll(accepted)
		f.NoErr(err)
		f.Equal(len(data), 0)
	case <-time.After(waitTimeout):
		t.Fatal("the helper did not connect")
	}
}
