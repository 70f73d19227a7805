package gossiper

import (
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// leaderInterval is how often a leader announces the tables that it watches.
	leaderInterval = 400 * time.Millisecond
	// leaderMaxAge is how long such an announcement is valid. It is short, so that even
	// after leaders fail a change reaches every instance well within the 3 s that the
	// platform allows large deployments.
	leaderMaxAge = 1200 * time.Millisecond
	// LeaderWatchTimeout is how long the store may hold a leader's watch open.
	LeaderWatchTimeout = 2 * time.Second
	// responseMaxAge is the age of the store's last response for a table from which a
	// leader does not announce the table any more.
	responseMaxAge = LeaderWatchTimeout + 500*time.Millisecond
	// enoughLeaders is the number of leaders that must watch a table before the other
	// instances rely on them.
	enoughLeaders = 2
)

// IsLeader reports whether this instance is a leader: one that watches the store for
// the other instances.
func (g *Gossiper) IsLeader() bool {
	return slices.Contains(g.links.LeaderIDs(), g.links.Self().ID)
}

// HasLeader reports whether leaders watch a table, so that this instance need not.
func (g *Gossiper) HasLeader(table string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.topics[table]
	return t != nil && g.hasLeader(t)
}

// hasLeader implements HasLeader. The caller holds mu.
func (g *Gossiper) hasLeader(t *topic) bool {
	leaders := g.links.LeaderIDs()
	if len(leaders) < enoughLeaders || slices.Contains(leaders, g.links.Self().ID) {
		return false
	}
	now, watchingLeaders := g.timer.Now(), 0
	for _, id := range leaders {
		if at, ok := t.leaderSeenAt[id]; ok && now.Sub(at) < leaderMaxAge {
			watchingLeaders++
		}
	}
	return watchingLeaders >= enoughLeaders
}

// recordLeader records that a leader announced that it watches a table.
func (g *Gossiper) recordLeader(from, table string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.topics[table]; t != nil {
		t.leaderSeenAt[from] = g.timer.Now()
	}
}

// announceLeadership announces the tables that this instance watches, if it is a
// leader. It leaves out those for which the store's last response is older than
// responseMaxAge.
func (g *Gossiper) announceLeadership(now time.Time) {
	if !g.IsLeader() {
		return
	}
	announcement := &encoder.VersionAnnouncement{IsLeader: true}
	for _, name := range g.tables.Names() {
		if version := g.tables.Version(name); version > 0 && now.Sub(g.tables.LastResponse(name)) < responseMaxAge {
			announcement.Tables = append(announcement.Tables, &encoder.TableVersion{Table: name, Version: version, BaseVersion: version})
		}
	}
	g.broadcast(announcement)
}
