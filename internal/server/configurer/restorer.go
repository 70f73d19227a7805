package configurer

import (
	"context"
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/parser"
)

// ErrBehind means that the table is at an older version than instances, or has a
// different history, so that nothing may be written to it.
var ErrBehind = merry.New("the table is behind the versions in force; was it restored? publish what is in force with: config restore")

// ErrNotBehind means that the table has the active version, so that there is
// nothing to restore.
var ErrNotBehind = merry.New("the table is not behind what is in force")

// Restore writes the documents of a bundle over a table that is behind and returns
// the new head version. The bundle must hold all documents. The numbers of
// the new versions begin after the higher of the table's and the bundle's version, so
// that no version number is used for two states. Each document that differs gets an audit record.
func (c *Configurer) Restore(ctx context.Context, bundle server.Bundle, change Change) (uint64, error) {
	rowVersion, head, err := c.readHead(ctx)
	if err != nil {
		return 0, err
	}
	behind, err := c.isBehind(ctx, head, bundle.Revision)
	if err != nil {
		return 0, err
	}
	if !behind {
		return 0, ErrNotBehind
	}
	writes, newHead, err := c.restoreWrites(ctx, head, bundle, change)
	if err != nil {
		return 0, err
	}
	outcome := ChangeOutcome{ID: change.ID.String(), State: StateAccepted, Version: newHead.Version, Name: ConfigName}
	writes = append(writes,
		server.Write{Key: headKey(), ExpectedVersion: rowVersion, Value: encode(newHead)},
		server.Write{Key: changeRow(change.ID), Value: encode(outcome)})
	_, err = c.table.Commit(ctx, writes)
	if errors.Is(err, server.ErrUncertain) {
		return c.resolveUncertain(ctx, change.ID)
	}
	return newHead.Version, err
}

// isBehind reports whether the table is at an older version than the active
// revision, or has a different revision with that version.
func (c *Configurer) isBehind(ctx context.Context, head Head, active server.Revision) (bool, error) {
	if active.Version == 0 {
		return false, nil
	}
	if head.Version < active.Version {
		return true, nil
	}
	record, err := c.AuditRecord(ctx, active.Version)
	if errors.Is(err, server.ErrNotFound) {
		return false, nil
	}
	return err == nil && head.RestoreVersion <= active.Version && record.ChainHash != active.ChainHash, err
}

// restoreWrites returns the writes that restore the documents that differ, and
// the new head.
func (c *Configurer) restoreWrites(ctx context.Context, head Head, bundle server.Bundle, change Change) ([]server.Write, Head, error) {
	stored, err := c.scanDocuments(ctx)
	if err != nil {
		return nil, Head{}, err
	}
	newHead := Head{Revision: bundle.Revision, RestoreVersion: max(head.Version, bundle.Revision.Version) + 1}
	newHead.Version = newHead.RestoreVersion - 1
	var writes []server.Write
	for _, document := range bundle.Documents {
		i := slices.IndexFunc(stored, func(other server.Document) bool { return other.Name == document.Name })
		var before server.Document
		if i >= 0 {
			before = stored[i]
		}
		// The configuration is always written, so that there is a new version.
		if before.Version == document.Version && before.Text == document.Text && document.Name != ConfigName {
			continue
		}
		newHead.Version++
		record := AuditRecord{
			ID: change.ID.String(), Version: newHead.Version, RecordedAt: c.now(), Operator: change.Operator, Instance: change.Instance,
			Reason: change.Reason, Name: document.Name, Base: before.Version, Before: before.Text, After: document.Text, IsRestored: true,
		}
		record.setChainHash(newHead.ChainHash)
		newHead.ChainHash = record.ChainHash
		document.Version = newHead.Version
		writes = append(writes,
			server.Write{Key: server.Key{Table: tableDocuments, Row: document.Name}, Unconditional: true, Value: encode(document)},
			server.Write{Key: server.Key{Table: tableAudit, Row: AuditRow(newHead.Version)}, Unconditional: true, Value: encode(record)})
	}
	writes = append(writes, deleteWrites(stored, bundle.Documents)...)
	return append(writes, restoreKeyWrites(stored, bundle.Documents)...), newHead, nil
}

// deleteWrites returns the writes that delete the stored documents that are not
// active.
func deleteWrites(stored, active []server.Document) []server.Write {
	var writes []server.Write
	for _, document := range stored {
		if !slices.ContainsFunc(active, func(other server.Document) bool { return other.Name == document.Name }) {
			writes = append(writes, server.Write{Key: server.Key{Table: tableDocuments, Row: document.Name}, Unconditional: true, Delete: true})
		}
	}
	return writes
}

// restoreKeyWrites returns the writes that replace the API keys of the stored
// documents by those of the active documents.
func restoreKeyWrites(stored, active []server.Document) []server.Write {
	storedKeys, activeKeys := workspacesByKey(stored), workspacesByKey(active)
	var writes []server.Write
	for key, workspace := range activeKeys {
		if storedKeys[key] != workspace {
			writes = append(writes, server.Write{Key: keyRow(key), Unconditional: true, Value: encode(keyHolder{Workspace: workspace})})
		}
	}
	for key := range storedKeys {
		if activeKeys[key] == "" {
			writes = append(writes, server.Write{Key: keyRow(key), Unconditional: true, Delete: true})
		}
	}
	return writes
}

// workspacesByKey returns the workspaces by the API keys in their contracts. Contracts that
// cannot be parsed are skipped.
func workspacesByKey(documents []server.Document) map[string]string {
	workspaces := make(map[string]string)
	for _, document := range documents {
		var contract *parser.Contract
		if _, isContract := ContractWorkspace(document.Name); isContract {
			contract, _ = parseContract(document)
		}
		if contract == nil {
			continue
		}
		for _, key := range contract.KeyHashes() {
			workspaces[key] = contract.Workspace()
		}
	}
	return workspaces
}
