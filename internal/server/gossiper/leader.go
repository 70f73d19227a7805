package gossiper

import (
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// leadPeriod is how often a leader says that it follows the store.
	leadPeriod = 400 * time.Millisecond
	// leadFresh is how long its word counts; with it a change is known everywhere
	// well within the 3 s that the platform allows large deployments.
	leadFresh = 1200 * time.Millisecond
	// LeadWait is how long the store may hold a leader's watch, and answeredFresh
	// how old its last answer may be for the leader to say that it follows.
	LeadWait      = 2 * time.Second
	answeredFresh = LeadWait + 500*time.Millisecond
	// enoughLeaders is the number of leaders that must be heard of.
	enoughLeaders = 2
)

// Leading reports whether this instance follows the store for all.
func (g *Gossiper) Leading() bool {
	return slices.Contains(g.links.Leaders(), g.links.Self().ID)
}

// Led reports whether leaders follow a table, so that this instance need not.
func (g *Gossiper) Led(table string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.topics[table]
	return t != nil && g.led(t)
}

// led is Led; mu is held.
func (g *Gossiper) led(t *topic) bool {
	leaders := g.links.Leaders()
	if len(leaders) < enoughLeaders || slices.Contains(leaders, g.links.Self().ID) {
		return false
	}
	now, heard := g.timer.Now(), 0
	for _, id := range leaders {
		if at, ok := t.led[id]; ok && now.Sub(at) < leadFresh {
			heard++
		}
	}
	return heard >= enoughLeaders
}

// heardLeader notes that a leader follows a table.
func (g *Gossiper) heardLeader(from, table string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.topics[table]; t != nil {
		t.led[from] = g.timer.Now()
	}
}

// lead tells the others which tables this instance follows, if it leads.
func (g *Gossiper) lead(now time.Time) {
	if !g.Leading() {
		return
	}
	news := &encoder.News{Leading: true}
	for _, name := range g.tables.Names() {
		if version := g.tables.Version(name); version > 0 && now.Sub(g.tables.Answered(name)) < answeredFresh {
			news.Tables = append(news.Tables, &encoder.TableVersion{Table: name, Version: version, After: version})
		}
	}
	g.tell(news)
}
