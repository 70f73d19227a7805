package relayer

import (
	"bytes"
	"strconv"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server/exchanger"
)

// maxEventBytes bounds the bytes of an incomplete event.
const maxEventBytes = 128 << 10

// errInsideEvent means that a stream ended before its last event was complete.
var errInsideEvent = merry.New("the stream ended inside an event")

// errNoEvents means that a stream without a length or chunks ended before its first event.
var errNoEvents = merry.New("the connection ended before the first event")

// errForeignEvent means that the response to a resumption has an event that cannot follow the last one.
var errForeignEvent = merry.New("an event without a number follows numbered ones")

// eventSplitter splits a stream of server-sent events into complete events: only these are
// forwarded, so that another replica can resume the stream.
type eventSplitter struct {
	// buffered are the bytes after the last complete event.
	buffered []byte
	// lastID is the ID of the last event returned, or of the last one that the client
	// had when it sent the request; "" without any.
	lastID string
	// skipThrough is the highest event ID that the client had at the last resumption;
	// events up to it are dropped.
	skipThrough int64
	// eventCount is the number of complete events of the present response, those dropped
	// included.
	eventCount int
	// needsNumbers is set while a stream whose events were all numbered is resumed. hasUnnumbered is set
	// once an event without a number was returned, and isForeign once one came that needs one.
	needsNumbers, hasUnnumbered, isForeign bool
}

// add adds bytes of the stream and returns the events that are complete now, and their
// number.
func (e *eventSplitter) add(data []byte) (complete []byte, count int) {
	e.buffered = append(e.buffered, data...)
	for {
		end := eventEnd(e.buffered)
		if end < 0 {
			return complete, count
		}
		event := e.buffered[:end]
		id, hasID := eventID(event)
		number, err := strconv.ParseInt(id, 10, 64)
		isNumbered := hasID && err == nil
		if e.isForeign = e.needsNumbers && !isNumbered; e.isForeign {
			return complete, count
		}
		e.eventCount++
		if isNumbered && number <= e.skipThrough {
			e.buffered = e.buffered[end:]
			continue
		}
		e.hasUnnumbered = e.hasUnnumbered || !isNumbered
		if hasID {
			e.lastID = id
		}
		complete = append(complete, event...)
		count++
		e.buffered = e.buffered[end:]
	}
}

// remainder returns the bytes after the last complete event.
func (e *eventSplitter) remainder() []byte { return e.buffered }

// isInsideEvent reports whether an event has begun and has not ended. Blank lines between
// events belong to none.
func (e *eventSplitter) isInsideEvent() bool { return len(bytes.Trim(e.buffered, "\r\n")) > 0 }

// checkEnd returns an error if a response whose bytes have ended is not a whole stream. Without
// a length or chunks, only the events tell.
func (e *eventSplitter) checkEnd(framing exchanger.Framing) error {
	switch {
	case e.isInsideEvent():
		return errInsideEvent
	case framing == exchanger.FramingNone && e.eventCount == 0:
		return errNoEvents
	default:
		return nil
	}
}

// resume prepares for the stream of another replica, which may repeat events.
func (e *eventSplitter) resume() {
	e.buffered, e.eventCount, e.isForeign = nil, 0, false
	if number, err := strconv.ParseInt(e.lastID, 10, 64); err == nil {
		e.skipThrough = number
		e.needsNumbers = !e.hasUnnumbered
	}
}

// eventEnd returns the length of the first complete event including its blank line, or -1.
func eventEnd(data []byte) int {
	end := -1
	for _, separator := range [...]string{"\n\n", "\r\n\r\n", "\n\r\n", "\r\r"} {
		if at := bytes.Index(data, []byte(separator)); at >= 0 && (end < 0 || at+len(separator) < end) {
			end = at + len(separator)
		}
	}
	return end
}

// eventID returns an event's ID, or false if it has none.
func eventID(event []byte) (string, bool) {
	for line := range bytes.FieldsFuncSeq(event, func(r rune) bool { return r == '\n' || r == '\r' }) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
