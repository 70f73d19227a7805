package linker

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// startReconnecting starts a goroutine that dials a member, first after firstDelay
// and then with exponential backoff, until it responds, is replaced, or neither is down nor
// needs a link. The caller holds mu.
func (l *Linker) startReconnecting(m *member, firstDelay time.Duration) {
	if m.isReconnecting || l.ctx.Err() != nil {
		return
	}
	m.isReconnecting = true
	l.goroutines.Go(func() {
		for delay := firstDelay; server.Sleep(l.ctx, l.timer, delay) == nil; delay = min(max(2*delay, minReconnectDelay), maxReconnectDelay) {
			if l.tryReconnect(m) {
				return
			}
		}
	})
}

// reusableLink returns the open link to a member, or nil. isNeeded is false if the member is
// up and needs no link any more.
func (l *Linker) reusableLink(m *member) (current *link, isNeeded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.downSince.IsZero() && !l.isPlanned(m.ID) {
		m.isReconnecting = false
		return nil, false
	}
	if m.link != nil && !m.link.session.IsClosed() {
		return m.link, true
	}
	return nil, true
}

// tryReconnect dials a member once, unless it has an open link by now, and reports whether to
// stop reconnecting.
func (l *Linker) tryReconnect(m *member) bool {
	newLink, isNeeded := l.reusableLink(m)
	if !isNeeded {
		return true
	}
	var err error
	if newLink == nil {
		newLink, err = l.connect(l.ctx, m.Instance)
	}
	if err == nil {
		if _, err = newLink.session.Ping(); err != nil {
			newLink.close()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members[m.ID] != m {
		if newLink != nil {
			go newLink.close()
		}
		return true
	}
	if err != nil {
		if m.downSince.IsZero() {
			m.downSince, l.ranking = l.timer.Now(), nil
			l.log.Info("instance is unreachable", "instance", m.ID, "cause", err.Error())
		}
		go l.onUnreachable(m.ID, m.downSince)
		return false
	}
	m.isReconnecting = false
	switch {
	case m.link == newLink:
	case m.link != nil && !m.link.session.IsClosed() && !l.replaces(newLink, m.link):
		// Calls may be in progress on the link that was opened first.
		go newLink.close()
	default:
		newLink.isOnDemand, newLink.usedAt = !l.isPlanned(m.ID), l.timer.Now()
		m.link = newLink
	}
	if !m.downSince.IsZero() {
		l.log.Info("instance is reachable again", "instance", m.ID, "away_ms", l.timer.Now().Sub(m.downSince).Milliseconds())
		m.downSince, l.ranking = time.Time{}, nil
		l.openPlannedLinks()
	}
	return true
}
