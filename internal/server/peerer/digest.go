package peerer

import (
	"maps"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// LoadReport is an upstream's load, which one instance polled for all.
type LoadReport struct {
	// UpstreamHash is HashID of the upstream's ID.
	UpstreamHash uint32
	// Load is the report; its ReportedAt is by the receiver's clock.
	Load server.Load
	// IsLeaving reports whether the upstream says that it is leaving.
	IsLeaving bool
	// Inflight is the sum of the attempts in progress there that the instances
	// reported to the poller.
	Inflight int
}

// InflightCount counts this instance's own attempts in progress at an upstream.
type InflightCount struct {
	// UpstreamID is the upstream's ID and Datacentre where it runs.
	UpstreamID string
	Datacentre string
	// Inflight is the number of attempts.
	Inflight int
}

// localLoads is what this instance reports about upstreams in its digests.
type localLoads struct {
	reports  []LoadReport
	inflight []InflightCount
}

// datacentreSummary is what a relay reported about the instances of a data centre.
type datacentreSummary struct {
	// asOf is when the data centre's relay created the summary and receivedAt when
	// this instance received it, both by this instance's clock.
	asOf       time.Time
	receivedAt time.Time
	// fromPeer is the ID of the linked instance that sent it.
	fromPeer string
	// isStale is set once the summary is older than summaryMaxAge.
	isStale bool
	// unreachable holds the hashes of the IDs of the data centre's instances that do
	// not respond or are leaving.
	unreachable map[uint32]bool
}

// sentSummary identifies the summary of a data centre that was last sent over a link.
type sentSummary struct {
	asOf time.Time
	// membershipChanges is Peerer.membershipChanges at that time. It distinguishes two
	// summaries of the same instant.
	membershipChanges uint64
}

// HashID returns the hash that stands for an upstream's ID in load reports.
func HashID(id string) uint32 { return hashID(id) }

// ShouldPoll reports whether this instance polls an upstream's load. In a full
// mesh every instance polls every upstream, which gives newer reports; with
// relays each upstream has one poller in its data centre, and an upstream without a
// poller is polled by all instances of its data centre. It must be called on the
// control goroutine.
func (p *Peerer) ShouldPoll(upstream, datacentre string) bool {
	state := p.state.Load()
	if state.topology.isMesh {
		return true
	}
	poller, hasPoller := state.pollers[upstream]
	return poller == p.self.ID || (!hasPoller && datacentre == p.self.Datacentre)
}

// PeerInflight returns the number of attempts in progress at an upstream that the
// linked instances reported. It must be called on the control goroutine.
func (p *Peerer) PeerInflight(upstream string) int {
	h := hashID(upstream)
	total := 0
	for _, counts := range p.inflightByPeer {
		total += counts[h]
	}
	return total
}

// PublishLoads sets the load reports that this instance polled and its own
// attempts in progress; the next digests carry both. It must be called on the
// control goroutine.
func (p *Peerer) PublishLoads(reports []LoadReport, counts []InflightCount) {
	p.localLoads = localLoads{reports: reports, inflight: counts}
}

// sendDigests sends a digest over each link. Digests are the heartbeats as well.
func (p *Peerer) sendDigests() {
	now := p.control.Timer().Now()
	topology := p.state.Load().topology
	inflight := p.inflightByLink(topology)
	reports := p.encodeReports(now)
	unreachable := p.localUnreachable(now)
	for id, l := range p.links {
		digest := &encoder.Digest{Version: p.version.Load(), InflightCounts: inflight[id]}
		if digest.InflightCounts == nil {
			digest.InflightCounts = &encoder.InflightCounts{}
		}
		if !topology.isMesh && l.datacentre == p.self.Datacentre {
			digest.LoadReports = reports
		}
		if topology.isRelay() {
			digest.DatacentreSummaries = p.encodeSummaries(l, now, unreachable)
		}
		l.queue.push(&encoder.Frame{Body: &encoder.Frame_Digest{Digest: digest}})
	}
}

// sendSummaries sends the summaries that are due over all links at once if this
// instance is a relay. Waiting for the next digest would delay a change by up to
// digestInterval at each hop.
func (p *Peerer) sendSummaries(now time.Time) {
	if !p.state.Load().topology.isRelay() {
		return
	}
	unreachable := p.localUnreachable(now)
	for _, l := range p.links {
		if summaries := p.encodeSummaries(l, now, unreachable); summaries != nil {
			l.queue.push(&encoder.Frame{Body: &encoder.Frame_Digest{Digest: &encoder.Digest{Version: p.version.Load(), DatacentreSummaries: summaries}}})
		}
	}
}

// inflightByLink returns the inflight counts to send to each linked instance, by
// its ID. In a mesh all counts go to all; otherwise the count of an upstream goes to
// its poller, which sends the sum to the others.
func (p *Peerer) inflightByLink(topology *topology) map[string]*encoder.InflightCounts {
	byLink := make(map[string]*encoder.InflightCounts)
	add := func(id string, count InflightCount) {
		if byLink[id] == nil {
			byLink[id] = &encoder.InflightCounts{}
		}
		byLink[id].UpstreamHashes = append(byLink[id].UpstreamHashes, hashID(count.UpstreamID))
		byLink[id].Inflight = append(byLink[id].Inflight, uint32(count.Inflight))
	}
	for _, count := range p.localLoads.inflight {
		if count.Inflight == 0 {
			continue
		}
		if !topology.isMesh {
			add(p.state.Load().pollers[count.UpstreamID], count)
			continue
		}
		for id := range p.links {
			add(id, count)
		}
	}
	return byLink
}

// localUnreachable returns the hashes of the listed instances of this data centre
// that do not respond or are leaving, in order.
func (p *Peerer) localUnreachable(now time.Time) []uint32 {
	var unreachable []uint32
	for id, listing := range p.listings {
		_, leaving := p.leavingIncarnations[id]
		if listing.Datacentre == p.self.Datacentre && (leaving || p.isUnreachable(id, now)) {
			unreachable = append(unreachable, hashID(id))
		}
	}
	slices.Sort(unreachable)
	return unreachable
}

// encodeSummaries returns the data centre summaries to send over a relay's link, or
// nil if none is due: those received over other links and that of this data centre,
// whose unreachable instances are ownUnreachable.
func (p *Peerer) encodeSummaries(l *link, now time.Time, ownUnreachable []uint32) *encoder.DatacentreSummaries {
	summaries := &encoder.DatacentreSummaries{}
	add := func(datacentre string, age time.Duration, unreachable []uint32) {
		if len(unreachable) > 0 {
			summaries.UnresponsiveInstances = append(summaries.UnresponsiveInstances, &encoder.UnresponsiveInstances{DatacentreIndex: uint32(len(summaries.DatacentreHashes)), InstanceHashes: unreachable})
		}
		summaries.DatacentreHashes = append(summaries.DatacentreHashes, hashID(datacentre))
		summaries.AgeCs = append(summaries.AgeCs, encodeAge(age))
	}
	if l.datacentre != p.self.Datacentre && p.isSummaryDue(l, p.self.Datacentre, now, time.Time{}, now) {
		add(p.self.Datacentre, 0, ownUnreachable)
	}
	for datacentre, s := range p.summaries {
		if datacentre == l.datacentre || s.fromPeer == l.id || s.isStale || !p.isSummaryDue(l, datacentre, s.asOf, s.receivedAt, now) {
			continue
		}
		add(datacentre, now.Sub(s.asOf), slices.Collect(maps.Keys(s.unreachable)))
	}
	if len(summaries.DatacentreHashes) == 0 {
		return nil
	}
	return summaries
}

// isSummaryDue reports whether a data centre's summary is to be sent to a link
// now, and records it as sent. It is due after a membership change, or when it is
// about summaryInterval newer than the one last sent. A received summary is
// forwarded with the first digest that is sent digestInterval/4 or more after its
// arrival, so that its age grows by digestInterval at each hop and not by
// summaryInterval.
func (p *Peerer) isSummaryDue(l *link, datacentre string, asOf, receivedAt, now time.Time) bool {
	last, ok := l.sentSummaries[datacentre]
	changed := !ok || p.membershipChanges != last.membershipChanges
	if !changed && (asOf.Sub(last.asOf) < summaryInterval-digestInterval/2 || now.Sub(receivedAt) < digestInterval/4) {
		return false
	}
	l.sentSummaries[datacentre] = sentSummary{asOf: asOf, membershipChanges: p.membershipChanges}
	return true
}

// handleDigest applies a digest unless its link was replaced or removed meanwhile.
func (p *Peerer) handleDigest(l *link, digest *encoder.Digest) {
	if p.links[l.id] != l {
		return
	}
	now := p.control.Timer().Now()
	p.recordVersion(l, digest.GetVersion())
	if inflight := digest.GetInflightCounts(); inflight != nil {
		counts := make(map[uint32]int, len(inflight.GetUpstreamHashes()))
		for i, upstream := range inflight.GetUpstreamHashes() {
			counts[upstream] = int(itemAt(inflight.GetInflight(), i))
		}
		p.inflightByPeer[l.id] = counts
	}
	if reports := digest.GetLoadReports(); p.loadHandler != nil && len(reports.GetUpstreamHashes()) > 0 {
		p.loadHandler.ApplyLoadReports(p.decodeReports(reports, now))
	}
	p.applySummaries(l, digest.GetDatacentreSummaries(), now)
}

// applySummaries applies the data centre summaries of a digest and forwards them
// if one of them changed what this instance knows.
func (p *Peerer) applySummaries(l *link, summaries *encoder.DatacentreSummaries, now time.Time) {
	unreachable := make(map[int][]uint32, len(summaries.GetUnresponsiveInstances()))
	for _, a := range summaries.GetUnresponsiveInstances() {
		unreachable[int(a.GetDatacentreIndex())] = a.GetInstanceHashes()
	}
	changed := false
	for i, name := range summaries.GetDatacentreHashes() {
		// A data centre that is not in the listings yet is ignored: its summary
		// will be sent again.
		if datacentre := p.datacentreNames[name]; datacentre != "" {
			age := time.Duration(itemAt(summaries.GetAgeCs(), i)) * ageUnit
			changed = p.applySummary(l, datacentre, now.Add(-age), now, unreachable[i]) || changed
		}
	}
	if changed {
		// The change is forwarded even if this instance had noticed it by its own
		// links before: its peers may not have.
		p.membershipChanges++
		p.replanLinks()
		p.sendSummaries(now)
	}
}

// supersedes reports whether s is kept and a summary as of asOf that was received
// over l is dropped. Frames of one link arrive in order, so a summary received over
// the same link replaces s even if both are of the same instant; the margin allows
// for the rounding of ages. It replaces a stale one in the same way, as the link over
// which that was received may have broken.
func (s *datacentreSummary) supersedes(l *link, asOf time.Time) bool {
	if s.fromPeer == l.id || s.isStale {
		return asOf.Before(s.asOf.Add(-2 * ageUnit))
	}
	return !asOf.After(s.asOf)
}

// applySummary stores a data centre's summary unless a newer one is known. It
// reports whether it changed which instances count as unreachable.
func (p *Peerer) applySummary(l *link, datacentre string, asOf, now time.Time, instances []uint32) bool {
	old := p.summaries[datacentre]
	if datacentre == p.self.Datacentre || (old != nil && old.supersedes(l, asOf)) {
		return false
	}
	unreachable := make(map[uint32]bool, len(instances))
	for _, h := range instances {
		unreachable[h] = true
	}
	p.summaries[datacentre] = &datacentreSummary{asOf: asOf, receivedAt: now, fromPeer: l.id, unreachable: unreachable}
	return old == nil || old.isStale || !maps.Equal(old.unreachable, unreachable)
}
