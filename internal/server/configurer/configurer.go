// Package configurer stores contracts and the configuration in the platform's
// table and activates accepted versions on each instance.
//
// A change is one transaction over the head version, the document, the audit
// record, the row of the change ID and the rows of API keys. The head version
// is the condition that orders all changes. If the response to a change is lost,
// the row of its change ID shows whether it was accepted.
package configurer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Precondition checks the head of the table before a change is written and
// returns an error if nothing may be written. It keeps operators from writing to
// a table that is behind the version that is active on instances.
type Precondition func(head Head) error

// Configurer reads and writes documents.
type Configurer struct {
	table        server.Table
	now          func() time.Time
	precondition Precondition
}

// Option sets a property of a Configurer.
type Option func(*Configurer)

// WithPrecondition sets the check that Apply makes before each write.
func WithPrecondition(precondition Precondition) Option {
	return func(c *Configurer) { c.precondition = precondition }
}

// New returns a Configurer over the platform's table.
func New(table server.Table, now func() time.Time, options ...Option) *Configurer {
	c := &Configurer{table: table, now: now, precondition: func(Head) error { return nil }}
	for _, option := range options {
		option(c)
	}
	return c
}

// Head returns the newest version in the table.
func (c *Configurer) Head(ctx context.Context) (Head, error) {
	_, head, err := c.readHead(ctx)
	return head, err
}

// Document returns one document as it is stored in the table, or ErrNotFound.
func (c *Configurer) Document(ctx context.Context, name string) (server.Document, error) {
	rowVersion, document, err := c.readDocument(ctx, name)
	if err == nil && rowVersion == 0 {
		err = server.NewFault("document", name, server.ErrNotFound)
	}
	return document, err
}

// Load reads all documents and the head version that they belong to. It applies
// the changes that are accepted while it reads, so that all documents are those
// of one version.
func (c *Configurer) Load(ctx context.Context) (Head, []server.Document, error) {
	_, head, err := c.readHead(ctx)
	if err != nil {
		return Head{}, nil, err
	}
	documents, err := c.scanDocuments(ctx)
	if err != nil {
		return Head{}, nil, err
	}
	for {
		_, newest, err := c.readHead(ctx)
		if err != nil || newest.Revision == head.Revision {
			return head, documents, err
		}
		records, err := c.AuditRecords(ctx, head.Version, int(newest.Version-head.Version))
		if err != nil {
			return Head{}, nil, err
		}
		if !isChain(records, head.Revision, newest.Version) {
			return Head{}, nil, server.NewFault("load", "table", server.ErrUnavailable)
		}
		documents = mergeRecords(documents, records)
		head = newest
	}
}

// scanDocuments reads all documents in pages. Of the changes that are accepted
// meanwhile, the result has only those to rows that were not read yet.
func (c *Configurer) scanDocuments(ctx context.Context) ([]server.Document, error) {
	var documents []server.Document
	after := ""
	for {
		rows, err := c.table.Scan(ctx, tableDocuments, after, scanPageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var document server.Document
			if err := json.Unmarshal(row.Value, &document); err != nil {
				return nil, server.NewFault("read", row.Row, err)
			}
			documents = append(documents, document)
			after = row.Row
		}
		if len(rows) < scanPageRows {
			return documents, nil
		}
	}
}

// AuditRecords returns up to limit audit records of the versions after a version, in
// the order of versions.
func (c *Configurer) AuditRecords(ctx context.Context, after uint64, limit int) ([]AuditRecord, error) {
	var records []AuditRecord
	for limit > 0 {
		rows, err := c.table.Scan(ctx, tableAudit, AuditRow(after), min(limit, scanPageRows))
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var record AuditRecord
			if err := json.Unmarshal(row.Value, &record); err != nil {
				return nil, server.NewFault("read", row.Row, err)
			}
			records = append(records, record)
			after = record.Version
		}
		if len(rows) < min(limit, scanPageRows) {
			break
		}
		limit -= len(rows)
	}
	return records, nil
}

// AuditRecord returns the audit record of a version, or ErrNotFound.
func (c *Configurer) AuditRecord(ctx context.Context, version uint64) (AuditRecord, error) {
	var record AuditRecord
	rowVersion, err := readRow(ctx, c.table, server.Key{Table: tableAudit, Row: AuditRow(version)}, &record)
	if err == nil && rowVersion == 0 {
		err = server.NewFault("record", AuditRow(version), server.ErrNotFound)
	}
	return record, err
}

// isChain reports whether the records are an unbroken chain from a revision to
// a version.
func isChain(records []AuditRecord, from server.Revision, to uint64) bool {
	for i := range records {
		if records[i].Version != from.Version+1 || records[i].ParentHash != from.ChainHash {
			return false
		}
		from = records[i].revision()
	}
	return from.Version == to
}

// mergeRecords applies the changes of records to documents, except to documents
// that are newer than the record.
func mergeRecords(documents []server.Document, records []AuditRecord) []server.Document {
	indexByName := make(map[string]int, len(documents))
	for i, document := range documents {
		indexByName[document.Name] = i
	}
	for i := range records {
		changed := server.Document{Name: records[i].Name, Version: records[i].Version, Text: records[i].After}
		j, known := indexByName[changed.Name]
		switch {
		case !known:
			indexByName[changed.Name] = len(documents)
			documents = append(documents, changed)
		case documents[j].Version < changed.Version:
			documents[j] = changed
		}
	}
	return documents
}

// readHead returns the version of the head row and its value.
func (c *Configurer) readHead(ctx context.Context) (uint64, Head, error) {
	var head Head
	rowVersion, err := readRow(ctx, c.table, server.Key{Table: tableHead, Row: headRow}, &head)
	return rowVersion, head, err
}

// readDocument returns the version of the row of a document and its value.
func (c *Configurer) readDocument(ctx context.Context, name string) (uint64, server.Document, error) {
	var document server.Document
	rowVersion, err := readRow(ctx, c.table, server.Key{Table: tableDocuments, Row: name}, &document)
	return rowVersion, document, err
}

// readRow decodes a row and returns the row version. If there is no such row, it
// returns 0 and no error.
func readRow(ctx context.Context, table server.Table, key server.Key, into any) (uint64, error) {
	row, err := table.Get(ctx, key)
	if errors.Is(err, server.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return row.Version, json.Unmarshal(row.Value, into)
}
