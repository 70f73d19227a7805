package configurer

import (
	"cmp"
	"context"
	"slices"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/pkg/parser"
)

// ActiveRevision implements server.DocumentProvider.
func (f *Follower) ActiveRevision() server.Revision { return f.activeRevision }

// HandlePeerVersion implements server.DocumentProvider.
func (f *Follower) HandlePeerVersion(peer string, version uint64) {
	if version <= f.announcedVersions[peer] {
		return
	}
	f.announcedVersions[peer] = version
	f.newestKnown = max(f.newestKnown, version)
	delete(f.failedPeers, peer)
	f.publishStatus()
	f.fetchNewest()
}

// HandlePeerDown implements server.DocumentProvider.
func (f *Follower) HandlePeerDown(peer string) {
	delete(f.announcedVersions, peer)
	delete(f.failedPeers, peer)
}

// BundleSince implements server.DocumentProvider.
func (f *Follower) BundleSince(after uint64) server.Bundle {
	bundle := server.Bundle{Revision: f.activeRevision}
	i, found := slices.BinarySearchFunc(f.history, after, func(revision server.Revision, version uint64) int {
		return cmp.Compare(revision.Version, version)
	})
	if found {
		bundle.Base = f.history[i]
	}
	for _, document := range f.documents {
		if document.Version > bundle.Base.Version {
			bundle.Documents = append(bundle.Documents, document)
		}
	}
	return bundle
}

// newestAnnounced returns the newest version that peers other than failedPeers
// have announced.
func (f *Follower) newestAnnounced() uint64 {
	version := uint64(0)
	for peer, announced := range f.announcedVersions {
		if !f.failedPeers[peer] {
			version = max(version, announced)
		}
	}
	return version
}

// canFetch reports whether a fetch is in progress or a peer other than failedPeers
// has a newer version.
func (f *Follower) canFetch() bool {
	return f.isFetching || f.newestAnnounced() > f.activeRevision.Version
}

// fetchNewest starts a fetch from a random peer that has the newest version, if
// that is needed and no fetch is in progress.
func (f *Follower) fetchNewest() {
	version := f.newestAnnounced()
	if f.source == nil || f.isFetching || f.isStopped || version <= f.activeRevision.Version {
		return
	}
	if f.pendingUpdate != nil && f.pendingUpdate.bundle.Revision.Version >= version {
		return
	}
	if f.activeRevision.Version == 0 && (!f.tableReported || !f.peersReported()) {
		// The first version to activate is the highest one of the table and the
		// peers. Both report or fail within bounded times.
		return
	}
	var candidates []string
	for peer, announced := range f.announcedVersions {
		if announced == version && !f.failedPeers[peer] {
			candidates = append(candidates, peer)
		}
	}
	slices.Sort(candidates)
	f.fetchFrom(candidates[f.random.IntN(len(candidates))])
}

// fetchFrom fetches a bundle from one peer in a worker.
func (f *Follower) fetchFrom(peer string) {
	f.isFetching = true
	active, source := f.activeRevision, f.source
	f.control.Go(func(ctx context.Context) controller.Event {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		update, err := fetchUpdate(ctx, source, peer, active)
		return controller.EventFunc(func() {
			f.isFetching = false
			f.handlePeerUpdate(peer, update, err)
		})
	})
}

// handlePeerUpdate handles the result of a fetch; update is nil if the peer has no
// newer version.
func (f *Follower) handlePeerUpdate(peer string, update *versionUpdate, err error) {
	if err != nil || update == nil {
		f.failedPeers[peer] = true
		f.countRefusal(fromPeer, err)
		if err != nil && (f.activeRevision.Version == 0 || tableStateOf(err) != TableDown) {
			f.reason = "peer " + peer + ": " + err.Error()
		}
	} else {
		f.apply(update, fromPeer)
	}
	f.applyPending()
	f.fetchNewest()
}

// CheckHead returns an error if the table is behind the active version of this
// instance or of a peer, so that nothing is written to it. It is safe for
// concurrent use.
func (f *Follower) CheckHead(head Head) error {
	status := f.Status()
	switch {
	case head.Version < status.NewestKnown || head.Version < status.Revision.Version:
		return merry.Prependf(ErrBehind, "the table is at version %d, version %d is in force", head.Version, max(status.NewestKnown, status.Revision.Version))
	case head.Version == status.Revision.Version && head.ChainHash != status.Revision.ChainHash:
		return merry.Prepend(ErrBehind, "the table has a different history")
	case status.Revision.Version == 0 && (head.Version > 0 || !status.AllSourcesReported):
		return server.NewFault("apply", "", merry.Prepend(server.ErrUnavailable, status.Reason))
	default:
		return nil
	}
}

// ActiveBundle returns all active documents. It returns ErrUnavailable if a newer
// version is known, since Restore must not write an older version over that. It is
// safe for concurrent use.
func (f *Follower) ActiveBundle(ctx context.Context) (server.Bundle, error) {
	if status := f.Status(); status.NewestKnown > status.Revision.Version {
		return server.Bundle{}, server.NewFault("documents", "", merry.Prependf(server.ErrUnavailable, "version %d is in force on other instances, version %d on this one", status.NewestKnown, status.Revision.Version))
	}
	bundles := make(chan server.Bundle, 1)
	f.control.Post(controller.EventFunc(func() { bundles <- f.BundleSince(0) }))
	select {
	case bundle := <-bundles:
		return bundle, nil
	case <-ctx.Done():
		return server.Bundle{}, server.NewFault("documents", "", ctx.Err())
	}
}

func contractsByWorkspace(contracts []*parser.Contract) map[string]*parser.Contract {
	byWorkspace := make(map[string]*parser.Contract, len(contracts))
	for _, contract := range contracts {
		byWorkspace[contract.Workspace()] = contract
	}
	return byWorkspace
}

var _ server.DocumentProvider = (*Follower)(nil)
