package configurer

import (
	"context"
	"fmt"

	"github.com/rogpeppe/go-internal/diff"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/parser"
)

// Difference is the difference between two texts of a document.
type Difference struct {
	// Text is a unified diff of the texts.
	Text string `json:"text"`
	// Effects are the effective settings that the change alters; for a change of
	// the configuration, those of all contracts.
	Effects []parser.Effect `json:"effects"`
}

// ConflictError means that the document was changed since the base of the edit.
// It wraps ErrConflict.
type ConflictError struct {
	// Name is the document's name.
	Name string
	// Base is the document version that the edit started from.
	Base uint64
	// Current is the document as it is stored now.
	Current server.Document
	// Difference is what was changed since the base.
	Difference Difference
	// ChangedBy is the operator who changed the document last, and Reason is why.
	ChangedBy string
	Reason    string
}

// Error states the current and the base version, who changed the document last
// and why.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("%s is at version %d, the edit was based on %d", e.Name, e.Current.Version, e.Base)
	if e.ChangedBy != "" {
		text += fmt.Sprintf("; %s changed it (%s)", e.ChangedBy, e.Reason)
	}
	return text
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return server.ErrConflict }

// newConflict returns a ConflictError with the difference since the base of the
// edit, as far as the audit trail has the records.
func (c *Configurer) newConflict(ctx context.Context, change Change, current server.Document) error {
	conflict := &ConflictError{Name: change.Name, Base: change.Base, Current: current}
	if record, err := c.AuditRecord(ctx, current.Version); err == nil {
		conflict.ChangedBy, conflict.Reason = record.Operator, record.Reason
	}
	base := ""
	if change.Base > 0 {
		record, err := c.AuditRecord(ctx, change.Base)
		if err != nil || record.Name != change.Name {
			return conflict
		}
		base = record.After
	}
	if difference, err := c.Diff(ctx, change.Name, base, current.Text); err == nil {
		conflict.Difference = difference
	}
	return conflict
}

// Diff compares two texts of one document and returns which effective settings
// differ, given the other documents in the table. Either text may be empty.
func (c *Configurer) Diff(ctx context.Context, name, before, after string) (Difference, error) {
	difference := Difference{Text: string(diff.Diff(name+" before", []byte(before), name+" after", []byte(after)))}
	oldContract, oldDeployment, err := parseOptional(name, before)
	if err != nil {
		return difference, err
	}
	newContract, newDeployment, err := parseOptional(name, after)
	if err != nil {
		return difference, err
	}
	if name != ConfigName {
		deployment, err := c.readDeployment(ctx)
		if err != nil {
			return difference, err
		}
		difference.Effects = parser.ContractEffects(oldContract, newContract, deployment)
		return difference, nil
	}
	documents, err := c.scanDocuments(ctx)
	if err != nil {
		return difference, err
	}
	for _, document := range documents {
		contract, err := parseContract(document)
		if document.Name == ConfigName || err != nil {
			continue
		}
		for _, effect := range parser.DeploymentEffects(oldDeployment, newDeployment, contract) {
			effect.Subject = "workspace " + contract.Workspace() + ", " + effect.Subject
			difference.Effects = append(difference.Effects, effect)
		}
	}
	return difference, nil
}

// parseOptional parses a document; both results are nil if text is empty.
func parseOptional(name, text string) (*parser.Contract, *parser.Deployment, error) {
	if text == "" {
		return nil, nil, nil
	}
	return parseDocument(server.Document{Name: name, Text: text})
}

// readDeployment returns the configuration in the table, or nil if there is
// none.
func (c *Configurer) readDeployment(ctx context.Context) (*parser.Deployment, error) {
	rowVersion, config, err := c.readDocument(ctx, ConfigName)
	if err != nil || rowVersion == 0 {
		return nil, err
	}
	return parser.ParseDeployment(ConfigName, []byte(config.Text))
}
