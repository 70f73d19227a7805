package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/pkg/parser"
)

// Document is a contract or the configuration, as stored in the table.
type Document struct {
	// Name is "config" or "contract/WORKSPACE".
	Name string `json:"name"`
	// Version is the head version at which the document last changed.
	Version uint64 `json:"version"`
	// Text is the YAML text; it is empty in lists.
	Text string `json:"text,omitempty"`
}

// DocumentChange is a change of one document.
type DocumentChange struct {
	// ID is a random ID of 32 hexadecimal digits that identifies the change; if it
	// is "", the instance chooses one.
	ID string `json:"id,omitempty"`
	// Base is the version of the document that was edited; zero for a new document.
	Base uint64 `json:"base"`
	// Text is the new YAML text.
	Text string `json:"text"`
	// Reason is recorded in the audit trail.
	Reason string `json:"reason"`
}

// ChangeOutcome is the outcome of a change.
type ChangeOutcome struct {
	// ID is the ID of the change.
	ID string `json:"id"`
	// State is "accepted", "refused" or "unknown". Unknown means that the table has
	// no entry for the change: it was never submitted, or its write is in progress.
	State string `json:"state"`
	// Version is the head version of an accepted change.
	Version uint64 `json:"version,omitempty"`
	// Name is the name of the document that an accepted change concerns.
	Name string `json:"name,omitempty"`
}

// Difference is the difference between two versions of a document.
type Difference struct {
	// Text is a unified diff of the YAML texts.
	Text string `json:"text"`
	// Effects lists what the change alters for contracts.
	Effects []parser.Effect `json:"effects"`
}

// AuditRecord is one entry of the audit trail of documents.
type AuditRecord struct {
	// ID is the ID of the change and Version the head version that it led to.
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	// RecordedAt is the time of the change.
	RecordedAt time.Time `json:"at"`
	// Operator is the name of the operator, Instance the instance that wrote the change.
	Operator string `json:"who"`
	Instance string `json:"instance"`
	Reason   string `json:"reason"`
	// Name is the name of the document and Base its version before the change, which
	// is zero for a new document.
	Name string `json:"name"`
	Base uint64 `json:"base"`
	// Before and After are the YAML texts.
	Before string `json:"before"`
	After  string `json:"after"`
	// IsRestored is set if Restore wrote the change.
	IsRestored bool `json:"restored,omitempty"`
}

// VersionStatus holds the version in force on an instance and on its peers.
type VersionStatus struct {
	// Instance is the name of the instance that responded.
	Instance string `json:"instance"`
	// Version is the version in force on that instance, NewestKnown the newest that
	// it read from the table or received from a peer.
	Version     uint64 `json:"version"`
	NewestKnown uint64 `json:"known"`
	// TableState is the last seen state of the table: "up", "down", "behind" (it has an
	// older version than is in force), "forked" (it has another history), "unreadable"
	// (it has a document that this program version cannot parse) or "unknown".
	TableState string `json:"table"`
	// Reason states why no version is in force or why a newer one is not applied, or is
	// "".
	Reason string `json:"reason,omitempty"`
	// Members lists the other instances that the platform lists.
	Members []Member `json:"members"`
}

// OperatorProblem is the problem document of the interface for operators.
type OperatorProblem struct {
	Problem
	// Problems lists the errors in a document.
	Problems []parser.Problem `json:"problems,omitempty"`
	// CurrentVersion and Difference are set if the document changed since the base version:
	// its current version and what changed.
	CurrentVersion uint64      `json:"current,omitempty"`
	Difference     *Difference `json:"difference,omitempty"`
	// ChangeID is the ID of a change whose outcome is unknown; ChangeOutcome and
	// ResolveChange take it as their argument.
	ChangeID string `json:"change,omitempty"`
}

// Documents returns all documents without their texts. As in the other methods for
// documents, changes and versions, the error is a *OperatorProblem if the instance responds
// with another status than 200.
func (c *Client) Documents(ctx context.Context) ([]Document, error) {
	var documents []Document
	return documents, c.sendOperatorRequest(ctx, http.MethodGet, "/v1/documents", nil, &documents)
}

// Document returns one document.
func (c *Client) Document(ctx context.Context, name string) (*Document, error) {
	document := &Document{}
	return document, c.sendOperatorRequest(ctx, http.MethodGet, "/v1/documents/"+name, nil, document)
}

// ApplyChange applies a change to a document and returns its outcome.
func (c *Client) ApplyChange(ctx context.Context, name string, change DocumentChange) (*ChangeOutcome, error) {
	outcome := &ChangeOutcome{}
	return outcome, c.sendOperatorRequest(ctx, http.MethodPost, "/v1/documents/"+name, change, outcome)
}

// Diff compares a new text with the current version of a document.
func (c *Client) Diff(ctx context.Context, name, text string) (*Difference, error) {
	difference := &Difference{}
	return difference, c.sendOperatorRequest(ctx, http.MethodPost, "/v1/differences/"+name, DocumentChange{Text: text}, difference)
}

// ChangeOutcome returns the recorded outcome of the change with an ID. It changes nothing.
func (c *Client) ChangeOutcome(ctx context.Context, id string) (*ChangeOutcome, error) {
	outcome := &ChangeOutcome{}
	return outcome, c.sendOperatorRequest(ctx, http.MethodGet, "/v1/changes/"+id, nil, outcome)
}

// ResolveChange resolves the outcome of a change. A change that the table has no entry
// for is voided: it is refused and can never be accepted.
func (c *Client) ResolveChange(ctx context.Context, id string) (*ChangeOutcome, error) {
	outcome := &ChangeOutcome{}
	return outcome, c.sendOperatorRequest(ctx, http.MethodPost, "/v1/changes/"+id, nil, outcome)
}

// AuditRecords returns up to limit records of the audit trail with versions after the
// given one, oldest first.
func (c *Client) AuditRecords(ctx context.Context, after uint64, limit int) ([]AuditRecord, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "limit": {strconv.Itoa(limit)}}
	var records []AuditRecord
	return records, c.sendOperatorRequest(ctx, http.MethodGet, "/v1/audit?"+query.Encode(), nil, &records)
}

// VersionStatus returns the version in force on the instance and on its peers.
func (c *Client) VersionStatus(ctx context.Context) (*VersionStatus, error) {
	versions := &VersionStatus{}
	return versions, c.sendOperatorRequest(ctx, http.MethodGet, "/v1/versions", nil, versions)
}

// Restore writes the documents in force to a table that has an older version.
func (c *Client) Restore(ctx context.Context, change DocumentChange) (*ChangeOutcome, error) {
	outcome := &ChangeOutcome{}
	return outcome, c.sendOperatorRequest(ctx, http.MethodPost, "/v1/restore", change, outcome)
}

// sendOperatorRequest sends a message, which may be nil, as JSON and decodes the
// response into dst. The error is a *OperatorProblem for any status but 200.
func (c *Client) sendOperatorRequest(ctx context.Context, method, path string, message, dst any) error {
	var body []byte
	if message != nil {
		var err error
		if body, err = json.Marshal(message); err != nil {
			return merry.Prepend(err, "encoding the message")
		}
	}
	response, err := c.send(ctx, method, path, http.Header{"Content-Type": {"application/json"}}, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if response.StatusCode == http.StatusOK {
		return merry.Wrap(decoder.Decode(dst))
	}
	problem := &OperatorProblem{}
	if err := decoder.Decode(problem); err != nil || problem.Status == 0 {
		problem.Status, problem.Title = response.StatusCode, http.StatusText(response.StatusCode)
	}
	return problem
}
