package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/parser"
)

// ConfigName and the other constants are the tables, rows, names and limits of stored
// documents.
const (
	tableHead      = "head"
	headRow        = "version"
	tableDocuments = "documents"
	tableAudit     = "audit"
	tableChanges   = "changes"
	tableKeys      = "keys"
	// ConfigName is the name of the configuration document.
	ConfigName = "config"
	// contractPrefix is the prefix of the names of contract documents.
	contractPrefix = "contract/"
	// scanPageRows is the number of rows in one page of a scan.
	scanPageRows = 500
	// chainHashBytes is the length of a chain hash before hex encoding.
	chainHashBytes = 16
)

// ContractName returns the document name of a workspace's contract.
func ContractName(workspace string) string { return contractPrefix + workspace }

// ContractWorkspace returns the workspace of a contract's document name, and
// whether the name is that of a contract.
func ContractWorkspace(name string) (string, bool) { return strings.CutPrefix(name, contractPrefix) }

// Head is the value of the row that holds the newest version.
type Head struct {
	server.Revision
	// RestoreVersion is the first version that the last Restore wrote; zero if there
	// was none. The chain of versions before it may be incomplete.
	RestoreVersion uint64 `json:"floor,omitempty"`
}

// Change is a new text for one document, requested by an operator.
type Change struct {
	// ID is the random ID of the change.
	ID server.ID
	// Name is the name of the document.
	Name string
	// Base is the document version that the edit started from; 0 for a new
	// document.
	Base uint64
	// Text is the new YAML text.
	Text string
	// Operator is the name of the operator, Instance the instance that received the change and
	// Reason why it is made. All three are stored in the audit record.
	Operator string
	Instance string
	Reason   string
}

// AuditRecord is one entry of the audit trail, stored under its version.
type AuditRecord struct {
	ID         string    `json:"id"`
	Version    uint64    `json:"version"`
	RecordedAt time.Time `json:"at"`
	Operator   string    `json:"who"`
	Instance   string    `json:"instance"`
	Reason     string    `json:"reason"`
	Name       string    `json:"name"`
	// Base is the version of the document before the change; 0 for a new
	// document.
	Base   uint64 `json:"base"`
	Before string `json:"before"`
	After  string `json:"after"`
	// ParentHash and ChainHash are the hashes of the version chain before and after the
	// change.
	ParentHash string `json:"parent"`
	ChainHash  string `json:"chain"`
	// IsRestored is set if Restore wrote the document.
	IsRestored bool `json:"restored,omitempty"`
}

// revision returns the revision after the recorded change.
func (r *AuditRecord) revision() server.Revision {
	return server.Revision{Version: r.Version, ChainHash: r.ChainHash}
}

// setChainHash computes the chain hash of the record from the hash of its parent.
func (r *AuditRecord) setChainHash(parent string) {
	r.ParentHash = parent
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\n%d\n%s\n%s\n%s", parent, r.Version, r.ID, r.Name, r.After)
	r.ChainHash = hex.EncodeToString(hash.Sum(nil)[:chainHashBytes])
}

// AuditRow returns the key of a version in the audit table. Keys sort in the
// order of versions.
func AuditRow(version uint64) string { return fmt.Sprintf("%020d", version) }

// keyHolder is the value of an API key row: the workspace that the key belongs
// to.
type keyHolder struct {
	Workspace string `json:"workspace"`
}

// InvalidError describes why a document is invalid. It wraps ErrInvalid.
type InvalidError struct {
	cause error
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string { return e.cause.Error() }

// Unwrap returns ErrInvalid and the cause, which may be parser.Problems.
func (e *InvalidError) Unwrap() []error { return []error{server.ErrInvalid, e.cause} }

// wrapInvalid wraps an error of the parser in an InvalidError; nil stays nil.
func wrapInvalid(err error) error {
	if err == nil {
		return nil
	}
	return &InvalidError{cause: err}
}

// CheckDocument parses a document according to its name. It does not check it against
// other documents.
func CheckDocument(name, text string) error {
	_, _, err := parseDocument(server.Document{Name: name, Text: text})
	return err
}

// parseDocument parses a document according to its name, as a contract or as
// the deployment configuration. The other result is nil.
func parseDocument(document server.Document) (*parser.Contract, *parser.Deployment, error) {
	workspace, isContract := ContractWorkspace(document.Name)
	switch {
	case document.Name == ConfigName:
		deployment, err := parser.ParseDeployment(document.Name, []byte(document.Text))
		return nil, deployment, wrapInvalid(err)
	case !isContract:
		return nil, nil, wrapInvalid(merry.Errorf("%q is not a document name; allowed: config, contract/WORKSPACE", document.Name))
	}
	contract, err := parseContract(document)
	if err != nil {
		return nil, nil, wrapInvalid(err)
	}
	if contract.Workspace() != workspace {
		return nil, nil, wrapInvalid(merry.Errorf("%s: contract is for workspace %q", document.Name, contract.Workspace()))
	}
	return contract, nil, nil
}

// parseContract reads a contract from its checked form if that is present and
// matches the text, and parses the text otherwise.
func parseContract(document server.Document) (*parser.Contract, error) {
	if document.CheckedForm != nil {
		contract, err := parser.ParseCheckedForm(document.Name, document.CheckedForm, []byte(document.Text))
		if err == nil {
			return contract, nil
		}
	}
	return parser.ParseContract(document.Name, []byte(document.Text))
}

// encode marshals a value of this package. These types cannot fail to marshal,
// so it panics on an error.
func encode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
