package dialer

import (
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

const (
	// tunnelDelay is how long a dial may take before another instance is asked to dial too, and
	// provenTunnelDelay the same while the path to other replicas of the service works.
	tunnelDelay       = 150 * time.Millisecond
	provenTunnelDelay = 300 * time.Millisecond
	// recentConnect is how long a new connection to a replica shows that there is a path to its
	// service.
	recentConnect = 500 * time.Millisecond
	// unreachablePeriod is how long no other instance is asked to dial a replica that those asked
	// did not reach either.
	unreachablePeriod = time.Second
	// lostPeriod is how long a path counts as lost after another instance last reached its replica.
	lostPeriod = 5 * time.Second
	// probeInterval is the least time between two dials that check whether lost paths to a service
	// are back.
	probeInterval = 250 * time.Millisecond
)

// paths is what this instance knows of its paths to the replicas. It is safe for concurrent use.
type paths struct {
	timer server.Timer
	// onChange is called when the first path to a service is lost, and when the paths are back.
	onChange func(service string, isLost bool)
	mu       sync.Mutex
	services map[string]*servicePaths
	// unreachable holds, by address, until when a replica counts as unreachable for all instances.
	unreachable map[string]time.Time
}

// servicePaths are the paths to the replicas of one service.
type servicePaths struct {
	// lost holds the addresses of the replicas that this instance did not reach, and when another one
	// reached them last.
	lost map[string]time.Time
	// connectedAt is when this instance last opened a connection to a replica by itself.
	connectedAt time.Time
	// probedAt is when the last probe began; isProbing is set until it ends.
	probedAt  time.Time
	isProbing bool
}

func newPaths(timer server.Timer) *paths {
	return &paths{timer: timer, onChange: func(string, bool) {}, services: make(map[string]*servicePaths), unreachable: make(map[string]time.Time)}
}

// service returns the paths to a service. The caller holds mu.
func (p *paths) service(name string) *servicePaths {
	known := p.services[name]
	if known == nil {
		known = &servicePaths{lost: make(map[string]time.Time)}
		p.services[name] = known
	}
	return known
}

// isLost reports whether the path to a replica is lost.
func (p *paths) isLost(replica *server.Replica) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.services[replica.Service]
	return known != nil && known.isLost(replica.Address, p.timer.Now())
}

// isLost reports whether the path to an address is lost.
func (s *servicePaths) isLost(address string, now time.Time) bool {
	reachedAt, ok := s.lost[address]
	return ok && now.Sub(reachedAt) < lostPeriod
}

// dropExpired forgets the paths that are no longer known to be lost.
func (s *servicePaths) dropExpired(now time.Time) {
	for address := range s.lost {
		if !s.isLost(address, now) {
			delete(s.lost, address)
		}
	}
}

// isSuspect reports whether all paths to a service may be lost, as one to this or another service is
// and no connection shows the contrary.
func (p *paths) isSuspect(service string) bool { return p.lostCount() > 0 && !p.isProven(service) }

// lostCount returns the number of services with replicas to which the path is lost.
func (p *paths) lostCount() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.services {
		if known.dropExpired(p.timer.Now()); len(known.lost) > 0 {
			count++
		}
	}
	return count
}

// isProven reports whether a connection to a replica of the service was opened lately.
func (p *paths) isProven(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.services[service]
	return known != nil && !known.connectedAt.IsZero() && p.timer.Now().Sub(known.connectedAt) < recentConnect
}

// mayBeLost reports whether a dial to a replica that failed or takes long may be due to the path of
// this instance.
func (p *paths) mayBeLost(replica *server.Replica) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.timer.Now().Before(p.unreachable[replica.Address])
}

// recordConnected records a connection that this instance opened by itself. If the path to the replica
// was lost, those to the others of its service are taken to be back too: the next dials show it.
func (p *paths) recordConnected(replica *server.Replica) {
	p.mu.Lock()
	known := p.service(replica.Service)
	_, wasLost := known.lost[replica.Address]
	if wasLost {
		clear(known.lost)
	}
	known.connectedAt = p.timer.Now()
	delete(p.unreachable, replica.Address)
	p.mu.Unlock()
	if wasLost {
		p.onChange(replica.Service, false)
	}
}

// recordLost records that another instance reached a replica that this one did not reach.
func (p *paths) recordLost(replica *server.Replica) {
	p.mu.Lock()
	known := p.service(replica.Service)
	isFirst := len(known.lost) == 0
	known.lost[replica.Address] = p.timer.Now()
	p.mu.Unlock()
	if isFirst {
		p.onChange(replica.Service, true)
	}
}

// recordUnreachable records that the other instances that were asked do not reach a replica either.
func (p *paths) recordUnreachable(replica *server.Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	for address, until := range p.unreachable {
		if now.After(until) {
			delete(p.unreachable, address)
		}
	}
	p.unreachable[replica.Address] = now.Add(unreachablePeriod)
	delete(p.service(replica.Service).lost, replica.Address)
}

// beginProbe reports whether the caller should check now whether lost paths are back. endProbe must
// then be called.
func (p *paths) beginProbe(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, now := p.service(service), p.timer.Now()
	if known.isProbing || !known.probedAt.IsZero() && now.Sub(known.probedAt) < probeInterval {
		return false
	}
	known.isProbing, known.probedAt = true, now
	return true
}

func (p *paths) endProbe(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).isProbing = false
}
