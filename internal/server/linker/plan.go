package linker

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxMeshInstances is the number of instances up to which all keep links to each other.
	maxMeshInstances = 32
	// plannedDialDelay is how long an instance waits before it dials a leader or an owner, and
	// plannedDialJitter the bound of a random wait on top: while many instances start, leaders
	// and owners change with each of them, and all of them dial the same ones.
	plannedDialDelay  = 300 * time.Millisecond
	plannedDialJitter = 2 * time.Second
	// idleLinkTimeout is how long a link that was opened for a call stays open after it.
	idleLinkTimeout = 5 * time.Second
)

// isPlanned reports whether this instance and a member keep a link: all are linked to all, one
// of them is a leader, or this instance has asked for the owner of a name that the member owns
// or would own next. The caller holds mu.
func (l *Linker) isPlanned(id string) bool {
	r := l.currentRanking()
	return r.isMesh() || r.isLeader(l.self.ID) || r.isLeader(id) || r.heirs[id]
}

// openPlannedLinks begins to connect to the members that need a link and have none. Of two
// instances the one with the lower ID dials first; the other one uses that link and dials only
// if there is none by then. The caller holds mu.
func (l *Linker) openPlannedLinks() {
	isMesh := l.currentRanking().isMesh()
	for _, m := range l.members {
		if !l.isPlanned(m.ID) || m.link != nil && !m.link.session.IsClosed() {
			continue
		}
		delay := time.Duration(0)
		if !isMesh {
			delay = plannedDialDelay + dialJitter(l.self.ID, m.ID)
		}
		if l.self.ID < m.ID {
			l.startReconnecting(m, delay)
		} else {
			l.startReconnecting(m, delay+secondDialDelay)
		}
	}
}

// dialJitter returns the wait before two instances dial each other, which spreads the dials
// of many.
func dialJitter(a, b string) time.Duration {
	return time.Duration(xxhash.Sum64String(min(a, b)+"\x00"+max(a, b)) % uint64(plannedDialJitter))
}

// closeIdleLinks closes the links that were opened for calls and have not been used for
// idleLinkTimeout. The caller holds mu.
func (l *Linker) closeIdleLinks(now time.Time) {
	for _, m := range l.members {
		k := m.link
		if k == nil || !k.isOnDemand || k.callsInProgress.Load() > 0 || now.Sub(k.usedAt) < idleLinkTimeout {
			continue
		}
		if l.isPlanned(m.ID) {
			k.isOnDemand = false
			continue
		}
		m.link = nil
		go k.close()
	}
}
