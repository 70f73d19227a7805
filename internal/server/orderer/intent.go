package orderer

import (
	"errors"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// intent is a final record whose write has not been confirmed.
type intent struct {
	key server.Key
	// claimExpected is the row version on which the claim write was conditional.
	claimExpected uint64
	// claimConfirmed reports that the claim write was confirmed.
	claimConfirmed bool
	// record is the final record.
	record record
}

// writeDecision says whether to write a record, and on which row version the write
// is conditional.
type writeDecision struct {
	shouldWrite     bool
	expectedVersion uint64
	record          record
}

// decide decides what to write, given the record and version of the row that was
// read, and the error of the read, which is nil or ErrNotFound.
func (i intent) decide(found record, version uint64, err error) writeDecision {
	if errors.Is(err, server.ErrNotFound) {
		// The claim write may be delayed. Writing a row makes its condition, that the
		// row is absent, fail.
		return writeDecision{shouldWrite: i.record.State == StateNotRun && !i.claimConfirmed && i.claimExpected == 0, record: i.record}
	}
	if found.Nonce != i.record.Nonce {
		return writeDecision{shouldWrite: !i.claimConfirmed && version == i.claimExpected, expectedVersion: version, record: i.rewriteFound(found)}
	}
	decision := writeDecision{shouldWrite: true, expectedVersion: version, record: i.record}
	decision.record.Fence = max(i.record.Fence, found.Fence)
	switch found.State {
	case StateClaimed:
		return decision
	case StateUnknown:
		decision.shouldWrite = i.record.State != StateUnknown
	case StateNotRun:
		decision.shouldWrite = i.record.State == StateDone
	default:
		decision.shouldWrite = false
	}
	return decision
}

// rewriteFound returns the record found in the row version on which the claim write
// is conditional. Writing it again, with at most the fencing number changed,
// advances the row's version, so that a delayed claim write conflicts.
func (i intent) rewriteFound(found record) record {
	found.Fence = max(i.record.Fence, found.Fence)
	return found
}

// orphanGrace is how long after its deadline a claim is left to a listed holder.
// It covers clock skew between instances.
const orphanGrace = 30 * time.Second

// isOrphaned reports whether only recovery will complete a claim: its holder was
// an earlier incarnation of this instance, or its deadline has passed and the
// holder is no longer listed, or orphanGrace has passed since the deadline.
func isOrphaned(r record, self, incarnation string, isListed func(holder string) bool, now time.Time) bool {
	if r.State != StateClaimed {
		return false
	}
	if r.Holder == self {
		return r.Incarnation != incarnation
	}
	if now.Before(r.Deadline) {
		return false
	}
	return !isListed(r.Holder) || now.After(r.Deadline.Add(orphanGrace))
}

// recoveredRecord returns the record after an attempt to recover an order.
// statusRequested reports whether a status request was sent; answer and err are its
// result.
func recoveredRecord(r record, service serviceInfo, statusRequested bool, answer server.Answer, err error, now time.Time) record {
	r.UpdatedAt = now
	switch {
	case statusRequested && err == nil:
		r.State = StateDone
		r.Output = outputOf(answer)
	case statusRequested && service.isFenced && errors.Is(err, server.ErrNotFound):
		r.State = StateNotRun
		r.Fence++
	default:
		r.State = StateUnknown
	}
	return r
}

// isPastRetention reports whether a record's retention has passed. Claimed and
// unknown orders are kept until they are done or not-run.
func isPastRetention(r record, now time.Time) bool {
	return (r.State == StateDone || r.State == StateNotRun) && now.After(r.Expires)
}
