package rater

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// ShareInterval is the least time between messages about a service.
	ShareInterval = 250 * time.Millisecond
	// maxEntries bounds the replicas in one message.
	maxEntries = 64
	// sharedLifetime is how long a value of another instance is valid. From sharedFullTime on its
	// weight decreases.
	sharedLifetime = 2 * time.Second
	sharedFullTime = time.Second
	// repeatInterval is how often an owner repeats values that differ from usual, for instances that
	// have missed a message.
	repeatInterval = time.Second
	// Entries a second on average: entryProduct divided by the number of instances, within
	// minEntryRate and maxEntryRate. A leader forwards each broadcast to all instances.
	entryProduct = 3072
	minEntryRate = 16
	maxEntryRate = 48
	// ownerRate is the number of entries a second that all instances together report to an owner.
	ownerRate = 80
)

// Message is a message to the owner of a service, or to all instances.
type Message struct {
	// To is the ID of the owner, or empty for all instances.
	To    string
	Frame *encoder.Frame
}

// exchange is what a replica's state holds for the exchange between instances.
type exchange struct {
	// shared is the value that the owner broadcast last.
	shared sharedSpeed
	// isUnreported is set if this instance has learned something since its last report.
	isUnreported bool
	reportedAt   time.Time
	// reports are the recent reports of other instances to this one as the owner.
	reports  []report
	combined combinedPace
	// sent is the value that this instance broadcast last as the owner.
	sent sharedSpeed
}

// sharedSpeed is a speed that another instance shared, learned at a time.
type sharedSpeed struct {
	pace  float64
	limit int
	at    time.Time
}

// weight returns the weight of the value, zero if it is no longer valid.
func (s sharedSpeed) weight(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return min(max((sharedLifetime-now.Sub(s.at)).Seconds()/(sharedLifetime-sharedFullTime).Seconds(), 0), 1)
}

// report is what one instance has learned of a replica.
type report struct {
	from string
	sharedSpeed
}

// budgets bounds the entries that are sent about a service.
type budgets struct {
	level    float64
	filledAt time.Time
}

// take returns the number of entries that may be sent now.
func (b *budgets) take(perSecond float64, now time.Time, random *rand.Rand) int {
	if b.filledAt.IsZero() {
		b.level = random.Float64() // instances that start together do not all send at the same time
	} else {
		b.level = min(b.level+perSecond*now.Sub(b.filledAt).Seconds(), max(perSecond, 1))
	}
	b.filledAt = now
	return min(int(b.level), maxEntries)
}

// ownedName returns the name by which the owner of a service's speeds is found.
func ownedName(service string) string { return "speeds/" + service }

// TakeMessages returns the messages that are due. It is called every ShareInterval.
func (r *Rater) TakeMessages(now time.Time) []Message {
	if r.mode == ModeOff {
		return nil
	}
	available, _ := r.members.Availability()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict(now)
	if available <= 1 {
		return nil
	}
	rate := min(max(entryProduct/float64(available), minEntryRate), maxEntryRate)
	var messages []Message
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[name]
		owner := r.members.OwnerID(ownedName(s.name))
		var speeds []*encoder.ReplicaSpeed
		if owner == r.self {
			speeds = r.broadcastEntries(s, rate/float64(len(r.services)), now)
			owner = ""
		} else {
			speeds = r.reportEntries(s, ownerRate/float64((available-1)*len(r.services)), now)
		}
		if len(speeds) > 0 {
			body := &encoder.Frame_ReplicaSpeeds{ReplicaSpeeds: &encoder.ReplicaSpeeds{Service: s.name, Speeds: speeds}}
			messages = append(messages, Message{To: owner, Frame: &encoder.Frame{Body: body}})
		}
	}
	return messages
}

// entry is a replica whose speed is to be sent. Those of the highest order are sent first.
type entry struct {
	replica *replica
	speed   sharedSpeed
	order   float64
}

// first returns those of the entries that are sent within the budget of the service.
func (s *service) first(entries []entry, perSecond float64, now time.Time, random *rand.Rand) []entry {
	count := s.take(perSecond, now, random)
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.order, a.order), cmp.Compare(a.replica.id, b.replica.id))
	})
	entries = entries[:min(len(entries), count)]
	s.level -= float64(len(entries))
	return entries
}

// reportEntries returns what this instance reports to the owner of a service, of what it has learned since
// the last report: stated paces that differ from the shared value, those that differ most first, and
// inferred ones whichever they are, since their average would be wrong if usual ones were omitted. Of these, the
// replicas reported longest ago go first: in random order, the few samples of a slow replica were outdated
// before their turn. mu must be held.
func (r *Rater) reportEntries(s *service, perSecond float64, now time.Time) []*encoder.ReplicaSpeed {
	var entries []entry
	for _, p := range s.replicas {
		if !p.isUnreported {
			continue
		}
		own := sharedSpeed{pace: p.stated.last, limit: p.limit.value(now), at: p.stated.at}
		known := 1 + p.shared.weight(now)*(p.shared.pace-1)
		isNews, order := differs(own.pace, known) || own.limit != 0 && own.limit != p.shared.limit, distance(own.pace, known)
		if !p.stated.isKnown() {
			own.pace, own.at = p.inferred.last(), p.inferred.at
			isNews, order = true, now.Sub(p.reportedAt).Seconds()
		}
		if isNews && now.Sub(own.at) <= sharedLifetime {
			entries = append(entries, entry{replica: p, speed: own, order: order})
		} else {
			p.isUnreported = false
		}
	}
	var speeds []*encoder.ReplicaSpeed
	for _, e := range s.first(entries, perSecond, now, r.random) {
		e.replica.isUnreported, e.replica.reportedAt = false, now
		speeds = append(speeds, encode(e, now))
	}
	return speeds
}

// broadcastEntries returns what this instance broadcasts as the owner of a service: what differs from
// what receivers use by now, with the weight of its age, and repetitions of what differs from usual. mu must be
// held.
func (r *Rater) broadcastEntries(s *service, perSecond float64, now time.Time) []*encoder.ReplicaSpeed {
	var entries []entry
	for _, p := range s.replicas {
		combined, ok := r.combine(p, now)
		known := 1 + p.sent.weight(now)*(p.sent.pace-1)
		isChanged := differs(combined.pace, known) || combined.limit != p.sent.limit
		isRepeated := now.Sub(p.sent.at) >= repeatInterval && (differs(combined.pace, 1) || combined.limit > 0)
		if ok && (isChanged || isRepeated) {
			entries = append(entries, entry{replica: p, speed: combined, order: distance(combined.pace, known)})
		}
	}
	var speeds []*encoder.ReplicaSpeed
	for _, e := range s.first(entries, perSecond, now, r.random) {
		e.replica.sent = sharedSpeed{pace: e.speed.pace, limit: e.speed.limit, at: now}
		speeds = append(speeds, encode(e, now))
	}
	return speeds
}

// HandleSpeeds handles a message of another instance: a report if this one owns the service, or a
// broadcast of the owner. Others are ignored: their sender sees other members than this instance.
func (r *Rater) HandleSpeeds(from string, message *encoder.ReplicaSpeeds) {
	if r.mode == ModeOff || len(message.GetSpeeds()) > maxEntries {
		return
	}
	owner := r.members.OwnerID(ownedName(message.GetService()))
	if owner != r.self && owner != from {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[message.GetService()]
	if s == nil {
		if owner != r.self && r.mode == ModeStated {
			return // no replica of it has stated a pace to this instance
		}
		s = r.addService(message.GetService())
	}
	now := r.timer.Now()
	for _, e := range message.GetSpeeds() {
		speed := sharedSpeed{
			pace: bound(float64(e.GetPacePercent()) / 100), limit: int(min(e.GetLimit(), math.MaxInt16)),
			at: now.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond),
		}
		id, startMillis, ok := parseIncarnation(e.GetIncarnation())
		if !ok || e.GetPacePercent() == 0 || now.Sub(speed.at) > sharedLifetime {
			continue
		}
		if p := s.replica(id, startMillis, now); p != nil {
			r.apply(s, p, from, speed, owner == r.self)
		}
	}
}

// apply applies an entry of a message about a replica. mu must be held.
func (r *Rater) apply(s *service, p *replica, from string, speed sharedSpeed, isReport bool) {
	if !isReport {
		if speed.at.After(p.shared.at) {
			p.shared = speed
		}
		if (s.isStated || r.mode == ModeInferred) && (differs(speed.pace, 1) || speed.limit > 0) {
			s.activeUntil = later(s.activeUntil, speed.at.Add(activeTime))
		}
		return
	}
	if s.isStated || r.mode == ModeStated {
		p.stated.observe(speed.pace, speed.at)
		if s.isStated && differs(p.ownPace(speed.at), 1) {
			s.activeUntil = later(s.activeUntil, speed.at.Add(activeTime))
		}
	}
	if len(p.reports) >= maxReports {
		p.reports = p.reports[1:]
	}
	p.reports = append(p.reports, report{from: from, sharedSpeed: speed})
}

// encode returns the entry of a message.
func encode(e entry, now time.Time) *encoder.ReplicaSpeed {
	return &encoder.ReplicaSpeed{
		Incarnation: e.replica.id + "/" + strconv.FormatInt(e.replica.startMillis, 10), PacePercent: uint32(percent(e.speed.pace)),
		Limit: uint32(e.speed.limit), AgeMs: uint32(max(now.Sub(e.speed.at).Milliseconds(), 0)),
	}
}

// parseIncarnation returns the ID and the start of an incarnation; see server.Replica.Incarnation.
func parseIncarnation(incarnation string) (id string, startMillis int64, ok bool) {
	id = server.IncarnationReplicaID(incarnation)
	startMillis, err := strconv.ParseInt(strings.TrimPrefix(incarnation, id+"/"), 10, 64)
	return id, startMillis, id != "" && err == nil
}

// percent returns a pace in percent of usual.
func percent(pace float64) int { return int(math.Round(pace * 100)) }

// distance returns by how much a pace differs from another.
func distance(a, b float64) float64 { return math.Abs(math.Log(a / b)) }

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
