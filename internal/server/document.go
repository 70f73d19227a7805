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
	// Form is the checked form of a contract, computed when the contract was
	// accepted; if it is nil, Text must be parsed.
	Form []byte `json:"form,omitempty"`
}

// Link identifies one version of the documents in the hash chain of versions.
type Link struct {
	// Version is the head version; zero means none.
	Version uint64 `json:"version"`
	// Chain is the hash over all changes up to Version. Two tables with equal
	// versions and different hashes have diverged.
	Chain string `json:"chain"`
}

// Bundle holds the documents that bring an instance up to a newer version.
type Bundle struct {
	// Link is the revision that the receiver has after applying the bundle.
	Link Link
	// After is the revision that the bundle builds on; a zero version means that
	// the bundle holds every document.
	After Link
	// Documents are the documents that changed after the base.
	Documents []Document
}

// Documents gives the peer links access to the active documents of this
// instance. All methods are called on the control goroutine.
type Documents interface {
	// InForce returns the active revision of this instance.
	InForce() Link
	// Announced handles the active version of a peer, as received in a hello, an
	// announcement or a digest. Delayed, duplicate and reordered calls are
	// harmless.
	Announced(peer string, version uint64)
	// Gone handles the end of the link to a peer.
	Gone(peer string)
	// Bundle returns the bundle for a peer whose active version is after.
	Bundle(after uint64) Bundle
}

// Source fetches documents over the links to peers and announces versions to them.
type Source interface {
	// Announce sends the active version of this instance to all peers. It is
	// called on the control goroutine and never blocks. Peers that connect later
	// receive the version in the hello.
	Announce(revision Link)
	// Settled reports whether every listed peer has announced its version or is
	// known to be unreachable. It is called on the control goroutine. A starting
	// instance waits for that, for a bounded time, before it trusts the table.
	Settled() bool
	// Fetch requests from a peer the bundle of the changes after a version. It is
	// called on a worker goroutine and may block until ctx ends. It returns ErrUnavailable
	// if the peer cannot be reached.
	Fetch(ctx context.Context, peer string, after uint64) (Bundle, error)
}
