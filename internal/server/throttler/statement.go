package throttler

import (
	"math"
	"time"

	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// noLimit is the limit of a replica that states none.
var noLimit = math.Inf(1)

// statement is what a replica stated in a response: its limit, between the times at which the
// request was sent and the response received.
type statement struct {
	service            string
	perSecond          float64
	sentAt, receivedAt time.Time
}

// isLimited reports whether the replica states a limit.
func (s statement) isLimited() bool { return s.perSecond < noLimit }

// replaces reports whether s counts instead of the known statement. Responses may overtake each
// other; if it is not certain which one was written last, the lower limit counts until a response to
// a later request.
func (s statement) replaces(known statement) bool {
	switch {
	case !s.sentAt.Before(known.receivedAt):
		return true
	case !s.receivedAt.After(known.sentAt):
		return false
	default:
		return s.perSecond < known.perSecond
	}
}

// merge applies a statement and reports whether the limit of the replica changed. The caller holds
// mu.
func (t *Throttler) merge(incarnation string, s statement) bool {
	l := t.limits[incarnation]
	if l == nil {
		if !s.isLimited() {
			return false
		}
		l = &limit{statement: statement{service: s.service, perSecond: noLimit}}
		t.limits[incarnation] = l
		t.knownCount.Add(1)
	}
	if s.perSecond == l.perSecond {
		if s.receivedAt.After(l.receivedAt) {
			l.sentAt, l.receivedAt = s.sentAt, s.receivedAt
		}
		return false
	}
	if !s.replaces(l.statement) {
		return false
	}
	t.limitedCount.Add(count(s.isLimited()) - count(l.statement.isLimited()))
	t.log.Info("limit of a replica changed", "service", s.service, "replica", incarnation, "per_second", formatLimit(s.perSecond), "before", formatLimit(l.perSecond),
		"age_ms", t.timer.Now().Sub(s.receivedAt).Milliseconds())
	l.statement = s
	l.tokens, l.blockedUntil = 0, time.Time{}
	return true
}

// count returns 1 for true, else 0.
func count(is bool) int64 {
	if is {
		return 1
	}
	return 0
}

// formatLimit returns a limit for a log line; -1 for none.
func formatLimit(perSecond float64) float64 {
	if perSecond == noLimit {
		return -1
	}
	return perSecond
}

// encodeStatement returns the message for a statement.
func encodeStatement(incarnation string, s statement, now time.Time) *encoder.ReplicaLimit {
	return &encoder.ReplicaLimit{
		Incarnation: incarnation, Service: s.service, PerSecond: formatLimit(s.perSecond),
		SentAgeMs: encodeAge(now.Sub(s.sentAt)), ReceivedAgeMs: encodeAge(now.Sub(s.receivedAt)),
	}
}

// encodeAge returns an age in milliseconds, bounded so that the message holds it.
func encodeAge(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
}

// decodeStatement returns the statement of a message that was received at now.
func decodeStatement(message *encoder.ReplicaLimit, now time.Time) statement {
	s := statement{
		service: message.GetService(), perSecond: message.GetPerSecond(),
		sentAt:     now.Add(-time.Duration(message.GetSentAgeMs()) * time.Millisecond),
		receivedAt: now.Add(-time.Duration(message.GetReceivedAgeMs()) * time.Millisecond),
	}
	if s.perSecond < 0 || math.IsNaN(s.perSecond) {
		s.perSecond = noLimit
	}
	return s
}
