package linker

import "time"

// MaxMeshInstances and IdleLinkTimeout are for tests.
const (
	MaxMeshInstances = maxMeshInstances
	IdleLinkTimeout  = idleLinkTimeout
)

// LinkCount returns the number of open links, of both directions.
func (l *Linker) LinkCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.openLinks)
}

// CheckLinksAt does what the linker does regularly, as of a time.
func (l *Linker) CheckLinksAt(now time.Time) { l.checkLinks(now) }

// CloseLinks closes all open links.
func CloseLinks(l *Linker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for link := range l.openLinks {
		go link.close()
	}
}
