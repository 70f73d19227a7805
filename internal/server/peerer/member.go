package peerer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// ownService is the service under which the platform lists this project's
// instances.
const ownService = "oriolemill"

// peerState is what goroutines other than control may read of the links and members.
// It is immutable.
type peerState struct {
	topology *topology
	// links holds the open links by instance ID.
	links   map[string]*link
	members []server.Member
	// liveIDs and listedIDs are in order and include this instance.
	liveIDs   []string
	listedIDs []string
	// pollers holds the ID of the instance that polls each upstream, by the upstream's ID.
	pollers map[string]string
}

// ApplyListings applies a reading of the platform's list. It plans the links and the
// polling of upstreams again if the list has changed. It must be called on the
// control goroutine.
func (p *Peerer) ApplyListings(listings []server.Listing) {
	instances := make(map[string]server.Listing)
	var upstreams []string
	for _, listing := range listings {
		switch {
		case listing.Service != ownService && listing.Datacentre == p.self.Datacentre:
			upstreams = append(upstreams, listing.ID)
		case listing.Service == ownService && listing.ID != p.self.ID:
			instances[listing.ID] = listing
		}
	}
	slices.Sort(upstreams)
	p.hasListings = true
	if maps.Equal(instances, p.listings) && slices.Equal(upstreams, p.upstreamIDs) {
		return
	}
	p.listings = instances
	for _, listing := range instances {
		p.datacentreNames[hashID(listing.Datacentre)] = listing.Datacentre
	}
	p.upstreamIDs = upstreams
	for id := range p.leavingIncarnations {
		if _, ok := instances[id]; !ok {
			delete(p.leavingIncarnations, id)
		}
	}
	p.replanLinks()
}

// newNode returns an instance with the region that the active configuration gives
// its data centre.
func (p *Peerer) newNode(id, datacentre string) node {
	region := ""
	if deployment := p.control.Snapshot().Deployment(); deployment != nil {
		for _, configured := range deployment.Datacentres() {
			if configured.Name() == datacentre {
				region = configured.Region()
			}
		}
	}
	return node{id: id, datacentre: datacentre, region: region}
}

// isUnreachable reports whether a listed instance is known not to respond: a dial or
// link to it failed here, or the summary of its data centre says so or is too old.
func (p *Peerer) isUnreachable(id string, now time.Time) bool {
	if p.links[id] != nil {
		return false
	}
	if at, ok := p.unreachableAt[id]; ok && (now.Sub(at) < unreachableTTL || p.needsDirectLink(p.listings[id])) {
		return true
	}
	summary := p.summaries[p.listings[id].Datacentre]
	return summary != nil && !p.needsDirectLink(p.listings[id]) && (now.Sub(summary.asOf) > summaryMaxAge || summary.unreachable[hashID(id)])
}

// needsDirectLink reports whether this instance and another need a link to each other
// even if neither is a relay: all are linked to all, or both are in one data centre.
func (p *Peerer) needsDirectLink(listing server.Listing) bool {
	return len(p.listings)+1 <= p.maxMeshInstances || listing.Datacentre == p.self.Datacentre
}

// replanLinks plans the links for the current listings and link states, opens and
// closes sessions accordingly and publishes the members.
func (p *Peerer) replanLinks() {
	now := p.control.Timer().Now()
	p.plannedVersion = p.control.Snapshot().Version()
	nodes := []node{p.newNode(p.self.ID, p.self.Datacentre)}
	targets := make(map[string]bool)
	listedIDs := []string{p.self.ID}
	members := make([]server.Member, 0, len(p.listings))
	for _, id := range slices.Sorted(maps.Keys(p.listings)) {
		listing := p.listings[id]
		listedIDs = append(listedIDs, id)
		_, leaving := p.leavingIncarnations[id]
		isExcluded := leaving || p.isUnreachable(id, now)
		if !isExcluded {
			nodes = append(nodes, p.newNode(id, listing.Datacentre))
		}
		// The link to a leaving instance is kept, so that it can return its credits.
		if p.needsDirectLink(listing) && (!leaving || p.links[id] != nil) {
			targets[id] = true
		}
		isReachable := !isExcluded && (p.links[id] != nil || (!p.needsDirectLink(listing) && p.summaries[listing.Datacentre] != nil))
		members = append(members, server.Member{Listing: listing, IsReachable: isReachable, Version: p.peerVersions[id]})
	}
	topology := newTopology(nodes[0], append(nodes, p.rejoinCandidates(nodes, now)...), p.maxMeshInstances)
	// All listed instances count, as in needsDirectLink, and not only those that respond.
	topology.isMesh = len(listedIDs) <= p.maxMeshInstances
	for _, id := range topology.neighbours() {
		targets[id] = true
	}
	p.updateSessions(targets)
	p.publishState(topology, nodes, listedIDs, members, now)
}

// rejoinCandidates returns the listed instances of the data centres in which none
// responds, without those that could not be reached within unreachableTTL. Relays dial
// them, so that the parts of a deployment join again after a network partition.
func (p *Peerer) rejoinCandidates(live []node, now time.Time) []node {
	liveDatacentres := make(map[string]bool)
	for _, n := range live {
		liveDatacentres[n.datacentre] = true
	}
	var candidates []node
	for id, listing := range p.listings {
		at, failed := p.unreachableAt[id]
		if !liveDatacentres[listing.Datacentre] && (!failed || now.Sub(at) >= unreachableTTL) {
			candidates = append(candidates, p.newNode(id, listing.Datacentre))
		}
	}
	return candidates
}

// publishState replaces the peerState, publishes the members in the snapshot and, if the
// set of live instances changed, notifies the credit handler and sends summaries.
func (p *Peerer) publishState(topology *topology, nodes []node, listedIDs []string, members []server.Member, now time.Time) {
	liveIDs := make([]string, 0, len(nodes))
	for _, n := range nodes {
		liveIDs = append(liveIDs, n.id)
	}
	slices.SortFunc(liveIDs, strings.Compare)
	slices.SortFunc(listedIDs, strings.Compare)
	before := p.state.Load()
	p.state.Store(&peerState{topology: topology, links: maps.Clone(p.links), members: members, liveIDs: liveIDs, listedIDs: listedIDs, pollers: topology.assignPollers(p.upstreamIDs)})
	if !slices.Equal(before.liveIDs, liveIDs) {
		p.membershipChanges++
		if p.creditHandler != nil {
			p.creditHandler.NotifyInstancesChanged(now)
		}
		p.sendSummaries(now)
	}
	p.control.Publish(server.WithMembers(members))
}

// updateSessions starts a session to each target that has none and cancels the
// sessions to other instances. Of two instances the one with the lower ID dials at
// once; the other waits first and dials only if there is no link by then.
func (p *Peerer) updateSessions(targets map[string]bool) {
	for id, s := range p.sessions {
		if !targets[id] || s.target.Address != p.listings[id].Address {
			s.cancel()
			delete(p.sessions, id)
		}
	}
	for id := range targets {
		if p.sessions[id] != nil {
			continue
		}
		if p.self.ID > id {
			p.startSession(id, retriesBeforeSecondDial)
		} else {
			p.startSession(id, 0)
		}
	}
}

// startSession starts a session to a listed instance, with a wait as after a number of
// retries before the first dial.
func (p *Peerer) startSession(id string, retries int) {
	if p.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	s := &session{peerer: p, target: p.listings[id], cancel: cancel}
	p.sessions[id] = s
	p.spawn(func() {
		if retries > 0 && backOff(ctx, &session{peerer: p, retries: retries}) == triggerStopped {
			return
		}
		// The machine runs until ctx is cancelled; the chart has no other end.
		_, _ = p.machine.Run(ctx, s, nil)
	})
}

// restartSession has a planned link dialed again soon, also if the other side had
// dialed it before.
func (p *Peerer) restartSession(id string) {
	if s := p.sessions[id]; s != nil {
		s.cancel()
		p.startSession(id, 1)
	}
}

// addLink begins to use a link. Of two links to the same incarnation it keeps the one
// that the instance with the lower ID dialed; a link to a new incarnation always
// replaces the old one.
func (p *Peerer) addLink(l *link, version uint64) {
	old := p.links[l.id]
	if old != nil && old.incarnation == l.incarnation && (old.isOutbound == (p.self.ID < l.id)) {
		_ = l.conn.Close()
		return
	}
	if len(p.links) == 0 {
		p.forgetFarFailures()
	}
	p.links[l.id] = l
	p.expireInfo(p.control.Timer().Now())
	if old != nil {
		_ = old.conn.Close()
	}
	if p.leavingIncarnations[l.id] != l.incarnation {
		delete(p.leavingIncarnations, l.id)
	}
	delete(p.unreachableAt, l.id)
	p.replanLinks()
	p.recordVersion(l, version)
}

// forgetFarFailures forgets which instances of other data centres could not be reached. An
// instance that had no link at all was itself cut off.
func (p *Peerer) forgetFarFailures() {
	maps.DeleteFunc(p.unreachableAt, func(id string, _ time.Time) bool { return !p.needsDirectLink(p.listings[id]) })
}

// removeLink ends the use of a link. An instance that was silent is marked as unreachable.
// One that closed the link is dialed again first: its plan may not have the link any more.
// If digests were overdue by then, both sides may have closed it for silence.
func (p *Peerer) removeLink(l *link, end linkEnd) {
	if p.links[l.id] != l {
		return
	}
	delete(p.links, l.id)
	delete(p.inflightByPeer, l.id)
	if p.documents != nil {
		p.documents.HandlePeerDown(l.id)
	}
	isOverdue := p.control.Timer().Now().UnixNano()-l.lastReceived.Load() > int64(digestInterval+checkInterval)
	switch {
	case end == linkSilent, end == linkClosedByPeer && isOverdue:
		p.markUnreachable(l.id)
		return
	case end == linkClosedByPeer:
		p.restartSession(l.id)
	}
	p.replanLinks()
}

// markUnreachable records that an instance could not be reached, unless there is a
// link to it.
func (p *Peerer) markUnreachable(id string) {
	if p.links[id] != nil {
		return
	}
	_, known := p.unreachableAt[id]
	p.unreachableAt[id] = p.control.Timer().Now()
	if !known {
		p.replanLinks()
	}
}

// handleLeaving records that an instance is leaving. From then on that instance owns,
// polls and relays nothing.
func (p *Peerer) handleLeaving(l *link) {
	p.leavingIncarnations[l.id] = l.incarnation
	p.replanLinks()
}

// recordVersion records the active version of a linked instance and passes it to
// the documents.
func (p *Peerer) recordVersion(l *link, version uint64) {
	if p.peerVersions[l.id] < version {
		p.peerVersions[l.id] = version
		p.replanLinks()
	}
	if p.documents != nil {
		p.documents.HandlePeerVersion(l.id, version)
	}
}

// checkLinks closes links on which nothing was received for silenceTimeout, marks old
// summaries as stale and removes expired entries of unreachableAt, except those of
// instances that need a direct link. It plans the links again if any summary, entry or
// the configuration changed.
func (p *Peerer) checkLinks(now time.Time) {
	for _, l := range p.links {
		if now.UnixNano()-l.lastReceived.Load() > int64(silenceTimeout) {
			_ = l.conn.Close()
			p.removeLink(l, linkSilent)
		}
	}
	// A new configuration may assign data centres to other regions.
	changed := p.plannedVersion != p.control.Snapshot().Version()
	for id, at := range p.unreachableAt {
		if now.Sub(at) >= unreachableTTL && !p.needsDirectLink(p.listings[id]) {
			delete(p.unreachableAt, id)
			changed = true
		}
	}
	for _, s := range p.summaries {
		if now.Sub(s.asOf) > summaryMaxAge && !s.isStale {
			s.isStale = true
			changed = true
		}
	}
	if changed {
		p.replanLinks()
	}
}

// hashID returns the hash that stands for an ID or a name in digests.
func hashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// OwnerID returns the live instance that owns a key by rendezvous hashing, or ""
// before the list was read. It is safe for concurrent use.
func (p *Peerer) OwnerID(key string) string { return highestRendezvous(key, p.state.Load().liveIDs) }

// LiveIDs returns the IDs of the live instances in order: this one and those that are not
// known to be unreachable or leaving. The caller must not change the slice. It is safe
// for concurrent use.
func (p *Peerer) LiveIDs() []string { return p.state.Load().liveIDs }

// ListedIDs returns the IDs of the instances in the platform's list in order, this one
// included. The caller must not change the slice. It is safe for concurrent use.
func (p *Peerer) ListedIDs() []string { return p.state.Load().listedIDs }
