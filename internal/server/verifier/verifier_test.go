package verifier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/server/verifier"
)

// TestConnectionIsConfirmedByALaterStatementOnly guards against streams whose version is taken from the row
// though the replica had started again before their connection was opened.
func TestConnectionIsConfirmedByALaterStatementOnly(t *testing.T) {
	is := is.New(t)
	timer := ticker.NewVirtual(time.Unix(1000, 0))
	v := verifier.New(timer, func() time.Time { return time.Time{} })
	replica := &server.Replica{ID: "i-1", StartMillis: 5}
	openedAt := timer.Now()
	is.True(!v.IsConfirmed(replica, openedAt)) // it has stated nothing
	is.True(!v.RecordStart(replica, 6, openedAt.Add(time.Second)))
	is.True(!v.IsConfirmed(replica, openedAt)) // it has stated another start
	is.True(v.RecordStart(replica, 5, openedAt.Add(-time.Millisecond)))
	is.True(!v.IsConfirmed(replica, openedAt)) // it may have started again in between
	is.True(v.RecordStart(replica, 5, openedAt))
	is.True(v.IsConfirmed(replica, openedAt))
	is.True(!v.IsConfirmed(replica, openedAt.Add(time.Millisecond)))
	is.True(!v.IsConfirmed(&server.Replica{ID: "i-1", StartMillis: 6}, openedAt)) // the next incarnation
}

// TestBreakMakesARowDoubtful guards against rows that are relied on though the replica may have started again.
func TestBreakMakesARowDoubtful(t *testing.T) {
	is := is.New(t)
	timer := ticker.NewVirtual(time.Unix(1000, 0))
	var failingSince time.Time
	v := verifier.New(timer, func() time.Time { return failingSince })
	replica := &server.Replica{ID: "i-1", StartMillis: 5}
	is.True(!v.IsDoubtful(replica))
	v.RecordBreak(replica)
	is.True(v.IsDoubtful(replica))
	v.RecordStart(replica, 5, timer.Now())
	is.True(v.IsDoubtful(replica)) // asked at the same moment
	v.RecordStart(replica, 5, timer.Now().Add(time.Millisecond))
	is.True(!v.IsDoubtful(replica))
	failingSince = timer.Now().Add(time.Second)
	is.True(v.IsDoubtful(replica))
	v.RecordStart(replica, 5, failingSince)
	is.True(!v.IsDoubtful(replica))
}
