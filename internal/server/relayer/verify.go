package relayer

import (
	"context"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/exchanger"
)

// unconfirmedVersion precedes what stands for the software version of an incarnation that is not the one of
// the known row. No row has such a version, so a stream that begins there is resumed nowhere else.
const unconfirmedVersion = "unconfirmed/"

// verifyIncarnation has the replica state its start if the version of its row is needed: before the request is
// sent, for the rest of a stream, and for one that begins and may be resumed if the row is doubtful; beside the
// request, for one that begins and may be resumed otherwise.
func (f *relayedRequest) verifyIncarnation(ctx context.Context, request *exchanger.Request, replica *server.Replica) {
	f.confirmVersion = func() {}
	if f.Incarnations == nil || f.route.Kind != server.RouteKindStream || !f.route.IsResumable {
		return
	}
	request.IsDoubtful = func() bool { return f.origin != nil || f.Incarnations.IsDoubtful(replica) }
	request.Verify = func(statement server.Statement) error {
		version := f.statedVersion(replica, statement)
		if f.origin != nil && version != replica.Version {
			return merry.New("the replica has started again, or does not state when it started")
		}
		f.version = version
		return nil
	}
	request.OnUnverified = func(openedAt time.Time) {
		if f.Incarnations.IsConfirmed(replica, openedAt) {
			return
		}
		statement := make(chan server.Statement, 1)
		go func() { statement <- f.Exchanger.AskStart(ctx, replica) }()
		f.confirmVersion = func() { f.version = f.statedVersion(replica, <-statement) }
	}
}

// statedVersion returns the software version that is certain by what a replica states: that of its row, or one
// that no row has.
func (f *relayedRequest) statedVersion(replica *server.Replica, statement server.Statement) string {
	switch {
	case statement.IsStated && f.Incarnations.RecordStart(replica, statement.StartMillis, statement.AskedAt):
		return replica.Version
	case statement.IsStated:
		f.Incarnations.RecordBreak(replica)
		return unconfirmedVersion + replica.ID + "/" + strconv.FormatInt(statement.StartMillis, 10)
	case statement.IsAnswered && !f.Incarnations.IsDoubtful(replica):
		return replica.Version // it states no starts, and nothing speaks against its row
	default:
		return unconfirmedVersion + f.info.ID
	}
}

// recordBreak records that a connection to a replica broke, or could not be opened, in an attempt.
func (f *relayedRequest) recordBreak(outcome attemptOutcome, replica *server.Replica, isWithheld bool) {
	if f.Incarnations == nil {
		return
	}
	switch outcome {
	case attemptUnsent:
		if !isWithheld {
			f.Incarnations.RecordBreak(replica)
		}
	case attemptNoResponse, attemptTruncated, attemptStreamBroken:
		f.Incarnations.RecordBreak(replica)
	default:
	}
}
