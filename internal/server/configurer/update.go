package configurer

import (
	"context"
	"errors"
	"runtime"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/parser"
)

// errForked means that a source and this instance have different histories up to
// the same version.
var errForked = merry.New("the history differs from that of the version in force on this instance")

// errUnreadable means that this program cannot parse a document that other
// instances may have activated, such as one written by a newer program.
var errUnreadable = merry.New("a document cannot be read by this program")

// versionUpdate is a newer version of the documents. It is read and parsed
// outside of the control goroutine.
type versionUpdate struct {
	bundle server.Bundle
	// revisions are the known revisions after the active one, up to the new one.
	revisions  []server.Revision
	deployment *parser.Deployment
	contracts  []*parser.Contract
}

// isComplete reports whether the update has all documents, not only those
// changed since a base.
func (u *versionUpdate) isComplete() bool { return u.bundle.Base.Version == 0 }

// readUpdate returns the changes in the table after the active revision, or nil
// if there are none. Errors: ErrBehind, errForked, errUnreadable and those of the
// table.
func (c *Configurer) readUpdate(ctx context.Context, active server.Revision) (*versionUpdate, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := c.Head(readCtx)
	switch {
	case err != nil:
		return nil, err
	case head.Version < active.Version:
		return nil, ErrBehind
	case head.Version == active.Version && head.ChainHash != active.ChainHash:
		return nil, errForked
	case head.Version == active.Version:
		return nil, nil
	}
	gap := head.Version - active.Version
	if active.Version == 0 || gap > scanPageRows {
		return c.readAll(ctx, active)
	}
	records, err := c.AuditRecords(readCtx, active.Version, int(gap))
	if err != nil {
		return nil, err
	}
	if !isChain(records, active, head.Version) {
		return c.readAll(ctx, active)
	}
	update := &versionUpdate{bundle: server.Bundle{Revision: head.Revision, Base: active, Documents: mergeRecords(nil, records)}}
	for i := range records {
		update.revisions = append(update.revisions, records[i].revision())
	}
	return update, update.parseDocuments(ctx)
}

// readAll reads all documents and checks that the active revision is not in
// conflict with the history in the table.
func (c *Configurer) readAll(ctx context.Context, active server.Revision) (*versionUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, readAllTimeout)
	defer cancel()
	head, documents, err := c.Load(ctx)
	if err != nil {
		return nil, err
	}
	if head.Version < active.Version {
		return nil, ErrBehind
	}
	if active.Version > 0 && head.RestoreVersion <= active.Version {
		record, err := c.AuditRecord(ctx, active.Version)
		if err != nil && !errors.Is(err, server.ErrNotFound) {
			return nil, err
		}
		if err == nil && record.ChainHash != active.ChainHash {
			return nil, errForked
		}
	}
	update := &versionUpdate{bundle: server.Bundle{Revision: head.Revision, Documents: documents}, revisions: []server.Revision{head.Revision}}
	return update, update.parseDocuments(ctx)
}

// fetchUpdate returns the changes that a peer has after the active revision, or
// nil if there are none.
func fetchUpdate(ctx context.Context, source server.DocumentSource, peer string, active server.Revision) (*versionUpdate, error) {
	bundle, err := source.FetchBundle(ctx, peer, active.Version)
	switch {
	case err != nil:
		return nil, err
	case bundle.Revision.Version <= active.Version:
		return nil, nil
	case bundle.Base.Version > active.Version:
		return nil, server.NewFault("fetch", peer, server.ErrMismatch)
	case bundle.Base.Version == active.Version && bundle.Base.ChainHash != active.ChainHash:
		return nil, errForked
	}
	update := &versionUpdate{bundle: bundle, revisions: []server.Revision{bundle.Revision}}
	return update, update.parseDocuments(ctx)
}

// parseDocuments parses all documents of the update in concurrent batches. If one
// cannot be parsed, the whole update is refused, since an instance must not report
// a version as active that it has only in part.
func (u *versionUpdate) parseDocuments(ctx context.Context) error {
	contracts := make([]*parser.Contract, len(u.bundle.Documents))
	group, _ := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for begin := 0; begin < len(contracts); begin += parseBatchSize {
		batch := u.bundle.Documents[begin:min(begin+parseBatchSize, len(contracts))]
		group.Go(func() error { return u.parseBatch(batch, contracts[begin:]) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, contract := range contracts {
		if contract != nil {
			u.contracts = append(u.contracts, contract)
		}
	}
	return nil
}

// parseBatchSize is the number of documents that one goroutine parses.
const parseBatchSize = 32

// parseBatch parses documents and stores each contract at the same index of contracts, and
// the configuration in u.deployment.
func (u *versionUpdate) parseBatch(documents []server.Document, contracts []*parser.Contract) error {
	for i, document := range documents {
		contract, deployment, err := parseDocument(document)
		if err != nil {
			return merry.Prependf(errUnreadable, "%s at version %d: %s", document.Name, document.Version, err.Error())
		}
		if deployment != nil {
			u.deployment = deployment
			continue
		}
		contracts[i] = contract.WithoutSource()
	}
	return nil
}
