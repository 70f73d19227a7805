package orderer

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"

	"oriolemill.example/oriolemill/internal/server"
)

// message is a request to the table or the service. It may be delivered at any
// later time, also after its sender has timed out or crashed.
type message struct {
	phase           string
	expectedVersion uint64
	record          record
	fence           uint64
	isDelivered     bool
	reply           phaseResult
}

// storedRow is the order's row in the simulated table. Version zero means that
// the row is absent.
type storedRow struct {
	version uint64
	record  record
}

// holder is an instance with a request for the order.
type holder struct {
	isStarted, isCrashed, isExpired bool
	order                           order
	// inFlight is the message whose reply the holder awaits.
	inFlight *message
	// delayed are undelivered messages whose reply is no longer awaited.
	delayed []message
	// intent is the unconfirmed final record.
	intent *intent
	// decision is the write of intent that was decided but not yet made.
	decision *writeDecision
}

// recovery is the sweep of a third instance, which has no request for the order.
type recovery struct {
	sweepsLeft int
	// foundRow is the row that the sweep has read.
	foundRow *storedRow
	// nextRecord is the record to write over version.
	nextRecord *record
	version    uint64
}

// simulation is one state of a simulated deployment: two holders, a recovering
// instance, the order's row and the service.
type simulation struct {
	service serviceInfo
	// enforcesFence reports that the service rejects outdated fencing numbers.
	enforcesFence bool
	// sameInstance reports that both holders are requests at one instance.
	sameInstance bool
	faultsLeft   int
	row          storedRow
	// serviceFence is the highest fencing number that the service has seen.
	serviceFence uint64
	// runs counts the runs at the service by holder.
	runs     [2]int
	holders  [2]holder
	recovery recovery
}

func newSimulation(service serviceInfo, sameInstance bool, faults int) simulation {
	s := simulation{service: service, enforcesFence: service.isFenced, sameInstance: sameInstance, faultsLeft: faults, recovery: recovery{sweepsLeft: 2}}
	for i := range s.holders {
		s.holders[i].order = newOrder(record{Nonce: string(rune('a' + i)), BodyDigest: "body", Fence: 1}, service)
	}
	return s
}

// clone returns a copy that shares no mutable state.
func (s simulation) clone() simulation {
	for i := range s.holders {
		h := &s.holders[i]
		if h.inFlight != nil {
			copied := *h.inFlight
			h.inFlight = &copied
		}
		h.delayed = slices.Clone(h.delayed)
	}
	return s
}

// key encodes the state so that different states have different keys.
func (s simulation) key() string {
	k := keyEncoder{make([]byte, 0, 256)}
	k.number(uint64(s.faultsLeft), s.serviceFence, uint64(s.runs[0]), uint64(s.runs[1]), uint64(s.recovery.sweepsLeft), s.recovery.version)
	k.storedRow(&s.row)
	k.storedRow(s.recovery.foundRow)
	k.flag(s.recovery.nextRecord != nil)
	if s.recovery.nextRecord != nil {
		k.record(*s.recovery.nextRecord)
	}
	for i := range s.holders {
		k.holder(&s.holders[i])
	}
	return string(k.buffer)
}

// keyEncoder appends the parts of a key to a buffer.
type keyEncoder struct{ buffer []byte }

func (k *keyEncoder) number(values ...uint64) {
	for _, n := range values {
		k.buffer = binary.AppendUvarint(k.buffer, n)
	}
}

func (k *keyEncoder) flag(values ...bool) {
	for _, f := range values {
		if f {
			k.buffer = append(k.buffer, 1)
		} else {
			k.buffer = append(k.buffer, 0)
		}
	}
}

func (k *keyEncoder) text(text string) {
	k.number(uint64(len(text)))
	k.buffer = append(k.buffer, text...)
}

func (k *keyEncoder) record(r record) {
	k.text(r.State)
	k.text(r.Nonce)
	k.number(r.Fence)
	k.flag(r.Output != nil)
}

func (k *keyEncoder) storedRow(row *storedRow) {
	k.flag(row != nil)
	if row != nil {
		k.number(row.version)
		k.record(row.record)
	}
}

func (k *keyEncoder) message(m message) {
	k.text(m.phase)
	k.number(m.expectedVersion, m.fence, m.reply.version)
	k.record(m.record)
	k.flag(m.isDelivered, m.reply.err != nil)
	if m.reply.err != nil {
		k.text(m.reply.err.Error())
	}
}

func (k *keyEncoder) holder(h *holder) {
	o := h.order
	k.flag(h.isStarted, h.isCrashed, h.isExpired, o.claimUncertain, o.finalConfirmed, o.output != nil, o.holderRequest != "", h.inFlight != nil, h.intent != nil, h.decision != nil)
	k.text(o.phase)
	k.number(o.expectedVersion, o.claimVersion, uint64(o.lostClaims), uint64(o.failedSends), uint64(o.statusRequests), o.claim.Fence)
	if h.inFlight != nil {
		k.message(*h.inFlight)
	}
	delayed := make([]string, 0, len(h.delayed))
	for _, m := range h.delayed {
		encoder := keyEncoder{}
		encoder.message(m)
		delayed = append(delayed, string(encoder.buffer))
	}
	slices.Sort(delayed)
	k.number(uint64(len(delayed)))
	k.buffer = append(k.buffer, strings.Join(delayed, "")...)
	if h.intent != nil {
		k.number(h.intent.claimExpected)
		k.flag(h.intent.claimConfirmed)
		k.record(h.intent.record)
	}
	if h.decision != nil {
		k.number(h.decision.expectedVersion)
		k.record(h.decision.record)
	}
}

// commit applies a write that is conditional on the row's version.
func (s *simulation) commit(expectedVersion uint64, r record) (uint64, error) {
	if s.row.version != expectedVersion {
		return 0, server.ErrConflict
	}
	s.row = storedRow{version: expectedVersion + 1, record: r}
	return s.row.version, nil
}

// deliver processes a message of a holder and sets its reply.
func (s *simulation) deliver(i int, m *message) {
	m.isDelivered = true
	switch m.phase {
	case phaseSending:
		if s.enforcesFence && m.fence < s.serviceFence {
			m.reply = phaseResult{err: server.ErrConflict, sendState: server.SendStateUnknown}
			return
		}
		s.serviceFence = max(s.serviceFence, m.fence)
		s.runs[i]++
		m.reply = phaseResult{sendState: server.SendStateAnswered, answer: server.Answer{Output: json.RawMessage(`1`)}}
	case phaseRequestingStatus:
		m.reply = s.status(m.fence)
	default:
		version, err := s.commit(m.expectedVersion, m.record)
		m.reply = phaseResult{version: version, err: err}
	}
}

// status processes a status request to the service.
func (s *simulation) status(fence uint64) phaseResult {
	if s.service.isFenced {
		s.serviceFence = max(s.serviceFence, fence)
	}
	if s.runs[0]+s.runs[1] > 0 {
		return phaseResult{answer: server.Answer{Output: json.RawMessage(`1`)}}
	}
	return phaseResult{err: server.ErrNotFound}
}

// apply applies a result to a holder's order and retains an unconfirmed final
// record.
func (s *simulation) apply(i int, r phaseResult) {
	h := &s.holders[i]
	before := h.order
	h.inFlight = nil
	h.order = h.order.apply(r)
	if (before.phase == phaseRecording || before.phase == phaseVoiding) && !h.order.finalConfirmed {
		h.intent = &intent{claimExpected: before.expectedVersion, claimConfirmed: before.claimVersion > 0, record: before.finalRecord()}
	}
}

// newMessage returns the message that a holder's phase requires, or nil if it
// requires none.
func (s *simulation) newMessage(i int) *message {
	o := s.holders[i].order
	m := &message{phase: o.phase, fence: o.claim.Fence}
	switch o.phase {
	case phaseClaiming:
		m.expectedVersion, m.record = o.expectedVersion, o.claim
	case phaseSending:
	case phaseRequestingStatus:
		m.fence = 0
		if s.service.isFenced {
			m.fence = o.claim.Fence + 1
		}
	case phaseRecording, phaseVoiding:
		m.record = o.finalRecord()
		m.expectedVersion = o.expectedVersion
		if o.claimVersion > 0 {
			m.expectedVersion = o.claimVersion
		}
	default:
		return nil
	}
	return m
}

// crash stops a holder. An undelivered message may still be delivered.
func (s *simulation) crash(i int) {
	s.faultsLeft--
	h := &s.holders[i]
	h.isCrashed = true
	if h.inFlight != nil && !h.inFlight.isDelivered {
		h.delayed = append(h.delayed, *h.inFlight)
	}
	h.inFlight, h.intent, h.decision = nil, nil, nil
}

// read reads the order's row, as execution.readRow does.
func (s *simulation) read(i int) phaseResult {
	if s.row.version == 0 {
		return phaseResult{err: server.ErrNotFound, isExpired: s.holders[i].isExpired}
	}
	r := phaseResult{foundRecord: s.row.record, version: s.row.version, isExpired: s.holders[i].isExpired}
	other := s.holders[1-i].intent
	if s.sameInstance && other != nil && other.record.Nonce == s.row.record.Nonce {
		r.claimAbandoned = other.record.State == StateNotRun
		if other.record.State == StateDone {
			r.foundRecord = other.record
		}
	}
	return r
}

// violation describes the violated invariant of a state, or returns "".
func (s simulation) violation() string {
	runs := s.runs[0] + s.runs[1]
	switch {
	case runs > 1:
		return "ran twice"
	case s.row.version > 0 && s.row.record.State == StateDone && runs == 0:
		return "recorded as done without a run"
	case s.row.version > 0 && s.row.record.State == StateNotRun && runs > 0:
		return "recorded as not-run after a run"
	}
	for i, h := range s.holders {
		if h.order.phase == string(server.OutcomeNotRun) && s.runs[i] > 0 {
			return "outcome not-run after a run"
		}
		if h.order.phase == string(server.OutcomeDone) && runs == 0 {
			return "outcome done without a run"
		}
	}
	return ""
}
