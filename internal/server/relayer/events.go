package relayer

import (
	"bytes"
	"strconv"
)

// eventsLimit bounds the bytes of an event that is not whole yet.
const eventsLimit = 1 << 20

// events cuts a stream into whole events, so that what is passed on can be
// continued by another replica.
type events struct {
	pending []byte
	// last is the ID of the last event that was passed on, or "".
	last string
	// skip is the highest ID that the client has from before; events up to it
	// are dropped after a resumption.
	skip int64
}

// take adds bytes and returns those of whole events, in order.
func (e *events) take(data []byte) (whole []byte, count int) {
	e.pending = append(e.pending, data...)
	for {
		end := eventEnd(e.pending)
		if end < 0 {
			return whole, count
		}
		event := e.pending[:end]
		if id, ok := eventID(event); ok {
			if number, err := strconv.ParseInt(id, 10, 64); err == nil && number <= e.skip {
				e.pending = e.pending[end:]
				continue
			}
			e.last = id
		}
		whole = append(whole, event...)
		count++
		e.pending = e.pending[end:]
	}
}

// rest returns what follows the last whole event.
func (e *events) rest() []byte { return e.pending }

// resume prepares for the answer of another replica.
func (e *events) resume() {
	e.pending = nil
	if number, err := strconv.ParseInt(e.last, 10, 64); err == nil {
		e.skip = number
	}
}

// eventEnd returns the end of the first event with its blank line, or -1.
func eventEnd(data []byte) int {
	end := -1
	for _, mark := range [...]string{"\n\n", "\r\n\r\n", "\n\r\n"} {
		if at := bytes.Index(data, []byte(mark)); at >= 0 && (end < 0 || at+len(mark) < end) {
			end = at + len(mark)
		}
	}
	return end
}

// eventID returns an event's ID.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
