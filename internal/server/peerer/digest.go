package peerer

import (
	"maps"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// Report is a load report that one instance polled for others.
type Report struct {
	// Upstream is Hash of the upstream's ID.
	Upstream uint32
	// Load is the report; At is by the receiver's clock.
	Load server.Load
	// Leaving reports whether the upstream says that it is leaving.
	Leaving bool
	// Inflight sums the attempts there that instances told the poller.
	Inflight int
}

// Use is an instance's own attempts in progress at an upstream.
type Use struct {
	// Upstream is the upstream's ID and Datacentre where it runs.
	Upstream   string
	Datacentre string
	// Inflight counts the attempts.
	Inflight int
}

// spread is what this instance has to tell of upstreams.
type spread struct {
	reports []Report
	uses    []Use
}

// summary is what is known of a data centre: as of at, heard here at heard.
type summary struct {
	at     time.Time
	heard  time.Time
	via    string
	stale  bool
	silent map[uint32]bool
}

// told is of what time the news was that a link was told of a data centre.
type told struct {
	at time.Time
	// changes is the number of changes known when it was told; two in one
	// instant must not pass for one.
	changes uint64
}

// Hash returns the short name of an upstream in reports.
func Hash(id string) uint32 { return hash(id) }

// Polls reports whether this instance polls an upstream's load: always while
// all are linked to all, which is fresher, and above that as one of its data
// centre. It is called on the control goroutine.
func (p *Peerer) Polls(upstream, datacentre string) bool {
	now := p.routes.Load()
	if now.topology.meshed {
		return true
	}
	poller, known := now.pollers[upstream]
	return poller == p.self.ID || (!known && datacentre == p.self.Datacentre)
}

// Others returns the attempts at an upstream that linked instances told of.
func (p *Peerer) Others(upstream string) int {
	h := hash(upstream)
	total := 0
	for _, told := range p.told {
		total += told[h]
	}
	return total
}

// Spread takes what this instance polled and its own attempts in progress;
// both go out with the next digests. It is called on the control goroutine.
func (p *Peerer) Spread(reports []Report, uses []Use) {
	p.spread = spread{reports: reports, uses: uses}
}

// sendDigests sends each link its digest; it is the heartbeat, too.
func (p *Peerer) sendDigests() {
	now := p.control.Timer().Now()
	plan := p.routes.Load().topology
	uses := p.usesByLink(plan)
	reports := p.encodeReports(now)
	silent := p.ownSilent(now)
	for id, l := range p.links {
		digest := &encoder.Digest{Version: p.version.Load(), Uses: uses[id]}
		if digest.Uses == nil {
			digest.Uses = &encoder.Uses{}
		}
		if !plan.meshed && l.datacentre == p.self.Datacentre {
			digest.Reports = reports
		}
		if plan.relay() {
			digest.Places = p.encodePlaces(l, now, silent)
		}
		l.queue.push(&encoder.Frame{Body: &encoder.Frame_Digest{Digest: digest}})
	}
}

// sendPlaces tells the links of a relay at once who answers no longer, since
// the next digest would add up to its period at each hop.
func (p *Peerer) sendPlaces(now time.Time) {
	if !p.routes.Load().topology.relay() {
		return
	}
	silent := p.ownSilent(now)
	for _, l := range p.links {
		if places := p.encodePlaces(l, now, silent); places != nil {
			l.queue.push(&encoder.Frame{Body: &encoder.Frame_Digest{Digest: &encoder.Digest{Version: p.version.Load(), Places: places}}})
		}
	}
}

// usesByLink returns whom to tell of the own attempts: all in a mesh, else the
// one that polls the upstream and tells the sum to the others.
func (p *Peerer) usesByLink(plan *topology) map[string]*encoder.Uses {
	uses := make(map[string]*encoder.Uses)
	add := func(id string, use Use) {
		if uses[id] == nil {
			uses[id] = &encoder.Uses{}
		}
		uses[id].Upstreams = append(uses[id].Upstreams, hash(use.Upstream))
		uses[id].Inflight = append(uses[id].Inflight, uint32(use.Inflight))
	}
	for _, use := range p.spread.uses {
		if use.Inflight == 0 {
			continue
		}
		if !plan.meshed {
			add(p.routes.Load().pollers[use.Upstream], use)
			continue
		}
		for id := range p.links {
			add(id, use)
		}
	}
	return uses
}

// ownSilent returns the listed instances of this data centre that do not answer.
func (p *Peerer) ownSilent(now time.Time) []uint32 {
	var silent []uint32
	for id, listing := range p.listed {
		_, gone := p.left[id]
		if listing.Datacentre == p.self.Datacentre && (gone || p.dead(id, now)) {
			silent = append(silent, hash(id))
		}
	}
	slices.Sort(silent)
	return silent
}

// encodePlaces returns what a relay tells a link: its own data centre to
// others, and what it heard elsewhere; each when it changed or at intervals.
func (p *Peerer) encodePlaces(l *link, now time.Time, own []uint32) *encoder.Places {
	places := &encoder.Places{}
	add := func(place string, age time.Duration, silent []uint32) {
		if len(silent) > 0 {
			places.Absent = append(places.Absent, &encoder.Absent{Place: uint32(len(places.Names)), Instances: silent})
		}
		places.Names = append(places.Names, hash(place))
		places.AgeCs = append(places.AgeCs, ages(age))
	}
	if l.datacentre != p.self.Datacentre && p.due(l, p.self.Datacentre, now, time.Time{}, now) {
		add(p.self.Datacentre, 0, own)
	}
	for place, s := range p.summaries {
		if place == l.datacentre || s.via == l.id || s.stale || !p.due(l, place, s.at, s.heard, now) {
			continue
		}
		add(place, now.Sub(s.at), slices.Collect(maps.Keys(s.silent)))
	}
	if len(places.Names) == 0 {
		return nil
	}
	return places
}

// due reports whether a link is to be told of a data centre again: after a
// change, and when news is known that is about a period younger than what it was
// told. News goes on with the digest after the one beside which it came, so that
// its age grows by a digest's period at each hop and not by its own.
func (p *Peerer) due(l *link, place string, at, heard, now time.Time) bool {
	last, ok := l.summarised[place]
	changed := !ok || p.changes != last.changes
	if !changed && (at.Sub(last.at) < summaryPeriod-digestPeriod/2 || now.Sub(heard) < digestPeriod/4) {
		return false
	}
	l.summarised[place] = told{at: at, changes: p.changes}
	return true
}

func (p *Peerer) takeDigest(l *link, digest *encoder.Digest) {
	if p.links[l.id] != l {
		return
	}
	now := p.control.Timer().Now()
	p.announced(l, digest.GetVersion())
	if uses := digest.GetUses(); uses != nil {
		told := make(map[uint32]int, len(uses.GetUpstreams()))
		for i, upstream := range uses.GetUpstreams() {
			told[upstream] = int(at(uses.GetInflight(), i))
		}
		p.told[l.id] = told
	}
	if reports := digest.GetReports(); p.loads != nil && len(reports.GetUpstreams()) > 0 {
		p.loads.TakeLoads(p.decodeReports(reports, now))
	}
	p.takePlaces(l, digest.GetPlaces(), now)
}

func (p *Peerer) takePlaces(l *link, places *encoder.Places, now time.Time) {
	absent := make(map[int][]uint32, len(places.GetAbsent()))
	for _, a := range places.GetAbsent() {
		absent[int(a.GetPlace())] = a.GetInstances()
	}
	changed := false
	for i, name := range places.GetNames() {
		// A place that the list does not show yet is told again.
		if place := p.places[name]; place != "" {
			age := time.Duration(at(places.GetAgeCs(), i)) * ageUnit
			changed = p.takeSummary(l, place, now.Add(-age), now, absent[i]) || changed
		}
	}
	if changed {
		// The links must hear of it even if this instance knew it by its own links.
		p.changes++
		p.refresh()
		p.sendPlaces(now)
	}
}

// outdates reports whether a summary is newer than one told by a link. Frames
// of one link come in order, so there the later one counts, even if both were
// made in the same instant; ages are rounded. One whose own link broke yields
// to the same news by another link.
func (s *summary) outdates(l *link, at time.Time) bool {
	if s.via == l.id || s.stale {
		return at.Before(s.at.Add(-2 * ageUnit))
	}
	return !at.After(s.at)
}

// takeSummary reports whether it changed what is known of a data centre.
func (p *Peerer) takeSummary(l *link, place string, at, now time.Time, absent []uint32) bool {
	old := p.summaries[place]
	if place == p.self.Datacentre || (old != nil && old.outdates(l, at)) {
		return false
	}
	silent := make(map[uint32]bool, len(absent))
	for _, h := range absent {
		silent[h] = true
	}
	p.summaries[place] = &summary{at: at, heard: now, via: l.id, silent: silent}
	return old == nil || old.stale || !maps.Equal(old.silent, silent)
}
