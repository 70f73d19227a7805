package server

import (
	"iter"
	"maps"
	"time"

	"oriolemill.example/oriolemill/pkg/parser"
)

// Snapshot is the control state that request processing may read. It is immutable
// once published and is replaced as a whole.
type Snapshot struct {
	version            uint64
	takenAt            time.Time
	deployment         *parser.Deployment
	contracts          *immutableMap[*parser.Contract]
	workspacesByKey    *immutableMap[string]
	upstreamsByService map[string][]*Upstream
	upstreamsByID      map[string]*Upstream
	members            []Member
	datacentre         string
}

// Member is another instance, as last known to the controller.
type Member struct {
	// Listing is the entry of the instance in the platform's list.
	Listing Listing
	// IsReachable reports whether the link to the instance is up.
	IsReachable bool
	// Version is the active configuration version that the instance announced.
	Version uint64
}

// SnapshotOption sets part of a Snapshot.
type SnapshotOption func(*Snapshot)

// WithDocuments sets all documents that are active at version. The keys of
// contracts are workspaces.
func WithDocuments(version uint64, deployment *parser.Deployment, contracts map[string]*parser.Contract) SnapshotOption {
	return func(s *Snapshot) {
		s.contracts, s.workspacesByKey = nil, nil
		changed := make([]*parser.Contract, 0, len(contracts))
		for _, contract := range contracts {
			changed = append(changed, contract)
		}
		WithChanges(version, deployment, changed)(s)
	}
}

// WithChanges sets the documents that changed up to version and keeps all other
// contracts. Its cost is proportional to the size of the change. A nil deployment
// keeps the previous one.
func WithChanges(version uint64, deployment *parser.Deployment, changed []*parser.Contract) SnapshotOption {
	return func(s *Snapshot) {
		s.version = version
		if deployment != nil {
			s.deployment = deployment
		}
		if len(changed) == 0 {
			return
		}
		contracts, keys := s.contracts.edit(), s.workspacesByKey.edit()
		for _, contract := range changed {
			if previous, ok := contracts.result.get(contract.Workspace()); ok {
				removeKeys(keys, previous)
			}
			contracts.set(contract.Workspace(), contract)
			for _, key := range contract.KeyHashes() {
				keys.set(key, contract.Workspace())
			}
		}
		s.contracts, s.workspacesByKey = contracts.result, keys.result
	}
}

// removeKeys removes the API keys of a contract, except those that now belong to
// another workspace.
func removeKeys(keys *mapEditor[string], contract *parser.Contract) {
	for _, key := range contract.KeyHashes() {
		if owner, _ := keys.result.get(key); owner == contract.Workspace() {
			keys.remove(key)
		}
	}
}

// WithUpstreams sets the replicas by service.
func WithUpstreams(upstreams map[string][]*Upstream) SnapshotOption {
	return func(s *Snapshot) {
		s.upstreamsByService = upstreams
		s.upstreamsByID = make(map[string]*Upstream)
		for _, replicas := range upstreams {
			for _, replica := range replicas {
				s.upstreamsByID[replica.ID()] = replica
			}
		}
	}
}

// WithMembers sets the other instances.
func WithMembers(members []Member) SnapshotOption {
	return func(s *Snapshot) { s.members = members }
}

// WithDatacentre sets the data centre of this instance.
func WithDatacentre(datacentre string) SnapshotOption {
	return func(s *Snapshot) { s.datacentre = datacentre }
}

// NewSnapshot returns a snapshot taken at the given time. Parts that no option
// sets are copied from previous, which may be nil.
func NewSnapshot(at time.Time, previous *Snapshot, options ...SnapshotOption) *Snapshot {
	s := &Snapshot{}
	if previous != nil {
		*s = *previous
	}
	s.takenAt = at
	for _, option := range options {
		option(s)
	}
	return s
}

// Version returns the active version; zero means that there is none yet.
func (s *Snapshot) Version() uint64 { return s.version }

// TakenAt returns when the snapshot was taken.
func (s *Snapshot) TakenAt() time.Time { return s.takenAt }

// Deployment returns the active configuration, or nil.
func (s *Snapshot) Deployment() *parser.Deployment { return s.deployment }

// Contract returns the contract of a workspace, or nil.
func (s *Snapshot) Contract(workspace string) *parser.Contract {
	contract, _ := s.contracts.get(workspace)
	return contract
}

// Contracts iterates over all contracts by workspace.
func (s *Snapshot) Contracts() iter.Seq2[string, *parser.Contract] { return s.contracts.all() }

// WorkspaceByKeyHash returns the workspace of the API key with the given hexadecimal
// SHA-256 hash. Looking up the hash instead of the key prevents timing attacks on
// keys.
func (s *Snapshot) WorkspaceByKeyHash(hash string) (string, bool) {
	return s.workspacesByKey.get(hash)
}

// Upstreams returns the replicas of a service; callers must not modify the slice.
func (s *Snapshot) Upstreams(service string) []*Upstream { return s.upstreamsByService[service] }

// Upstream returns a replica by ID, or nil.
func (s *Snapshot) Upstream(id string) *Upstream { return s.upstreamsByID[id] }

// IsServing reports whether an upstream, picked by an earlier snapshot, may still get new
// work.
func (s *Snapshot) IsServing(upstream *Upstream) bool {
	current := s.upstreamsByID[upstream.ID()]
	return current != nil && current.Address() == upstream.Address() && current.Version() == upstream.Version() && !current.IsLeaving()
}

// Services iterates over all services with their replicas.
func (s *Snapshot) Services() iter.Seq2[string, []*Upstream] { return maps.All(s.upstreamsByService) }

// Members returns the other instances.
func (s *Snapshot) Members() []Member { return s.members }

// Datacentre returns the data centre of this instance.
func (s *Snapshot) Datacentre() string { return s.datacentre }
