package server

import "context"

// Document is a contract or the configuration, as stored in the table and as
// exchanged between peers. It is immutable.
type Document struct {
	// Name is "config" or "contract/WORKSPACE".
	Name string `json:"name"`
	// Version is the head version at which the document last changed.
	Version uint64 `json:"version"`
	// Text is the YAML text.
	Text string `json:"text"`
	// CheckedForm is the checked form of a contract, computed when the contract was
	// accepted; if it is nil, Text must be parsed.
	CheckedForm []byte `json:"form,omitempty"`
}

// Revision identifies one version of the documents in the hash chain of versions.
type Revision struct {
	// Version is the head version; zero means none.
	Version uint64 `json:"version"`
	// ChainHash is the hash over all changes up to Version. Two tables with equal
	// versions and different hashes have diverged.
	ChainHash string `json:"chain"`
}

// Bundle holds the documents that bring an instance up to a newer version.
type Bundle struct {
	// Revision is the revision that the receiver has after applying the bundle.
	Revision Revision
	// Base is the revision that the bundle builds on; a zero version means that
	// the bundle holds every document.
	Base Revision
	// Documents are the documents that changed after the base.
	Documents []Document
}

// DocumentProvider gives the peer links access to the active documents of this
// instance. All methods are called on the control goroutine.
type DocumentProvider interface {
	// ActiveRevision returns the active revision of this instance.
	ActiveRevision() Revision
	// HandlePeerVersion handles the active version of a peer, as received in a hello, an
	// announcement or a digest. Delayed, duplicate and reordered calls are
	// harmless.
	HandlePeerVersion(peer string, version uint64)
	// HandlePeerDown handles the end of the link to a peer.
	HandlePeerDown(peer string)
	// BundleSince returns the bundle of the changes after a version, for a peer on which
	// that version is active.
	BundleSince(after uint64) Bundle
}

// DocumentSource fetches documents over the links to peers and announces versions to them.
type DocumentSource interface {
	// Announce sends the active version of this instance to all peers. It is
	// called on the control goroutine and never blocks. Peers that connect later
	// receive the version in the hello.
	Announce(revision Revision)
	// AllPeersReported reports whether every listed peer has announced its version or is
	// known to be unreachable. It is called on the control goroutine. A starting
	// instance waits for that, for a bounded time, before it trusts the table.
	AllPeersReported() bool
	// FetchBundle requests from a peer the bundle of the changes after a version. It is
	// called on a worker goroutine and may block until ctx ends. It returns ErrUnavailable
	// if the peer cannot be reached.
	FetchBundle(ctx context.Context, peer string, after uint64) (Bundle, error)
}
