package gossiper

import (
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// leaderInterval is how often a leader announces the tables that it watches.
	leaderInterval = 400 * time.Millisecond
	// leaderMaxAge is how long such an announcement is valid.
	leaderMaxAge = 1200 * time.Millisecond
	// LeaderWatchTimeout is how long the store may hold a leader's watch open.
	LeaderWatchTimeout = 2 * time.Second
	// responseMaxAge is the age of the store's last response to a leader from which the
	// leader does not count as watching the table. It is well below the 3 s in which the
	// platform wants a change to be in force on large deployments: the calls of all leaders
	// may hang right after that response.
	responseMaxAge = LeaderWatchTimeout + leaderInterval
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
		if watch, ok := t.leaderWatches[id]; ok && now.Sub(watch.announcedAt) < leaderMaxAge && now.Sub(watch.respondedAt) < responseMaxAge {
			watchingLeaders++
		}
	}
	return watchingLeaders >= enoughLeaders
}

// leaderWatch is what a leader announced of its watch of a table.
type leaderWatch struct {
	// announcedAt is when the announcement was received, and respondedAt when the store last
	// responded to the leader. Announcements without that time count from their receipt.
	announcedAt, respondedAt time.Time
}

// recordLeader records that a leader announced that it watches a table.
func (g *Gossiper) recordLeader(from string, change *encoder.TableVersion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.topics[change.GetTable()]; t != nil {
		now := g.timer.Now()
		t.leaderWatches[from] = leaderWatch{announcedAt: now, respondedAt: now.Add(-decodeAge(change.GetResponseAgeMs()))}
	}
}

// startLeadershipAnnouncement announces the tables that this instance watches if it is a leader, unless
// the announcement before is still being sent. It does not wait for the links.
func (g *Gossiper) startLeadershipAnnouncement() {
	if !g.IsLeader() || g.isAnnouncing.Swap(true) {
		return
	}
	go func() {
		defer g.isAnnouncing.Store(false)
		g.announceLeadership(g.timer.Now())
	}()
}

// announceLeadership announces the tables that this instance watches. It leaves out those for
// which the store's last response is older than responseMaxAge.
func (g *Gossiper) announceLeadership(now time.Time) {
	announcement := &encoder.VersionAnnouncement{IsLeader: true}
	for _, name := range g.tables.Names() {
		responseAge := now.Sub(g.tables.LastResponse(name))
		if version := g.tables.Version(name); version > 0 && responseAge < responseMaxAge {
			announcement.Tables = append(announcement.Tables, &encoder.TableVersion{
				Table: name, Version: version, BaseVersion: version, ResponseAgeMs: encodeAge(responseAge),
			})
		}
	}
	g.broadcast(announcement)
}
