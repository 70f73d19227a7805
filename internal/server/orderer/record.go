package orderer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// tableOrders holds one row per order.
const tableOrders = "orders"

// States of an order's record.
const (
	// StateClaimed means that a holder may be sending the order.
	StateClaimed = "claimed"
	// StateDone means that the order ran and its output is recorded.
	StateDone = "done"
	// StateNotRun means that the order provably did not run. It may be claimed again.
	StateNotRun = "not-run"
	// StateUnknown means that the order may or may not have run.
	StateUnknown = "unknown"
)

// record is the value of an order's row.
type record struct {
	State string `json:"state"`
	// RequestID is the ID of the request that claimed the order.
	RequestID string `json:"request"`
	// Holder and Incarnation identify the instance and process that claimed it.
	Holder      string `json:"holder"`
	Incarnation string `json:"life"`
	// Nonce is unique to each claim.
	Nonce      string `json:"nonce"`
	BodyDigest string `json:"body"`
	// Fence is the last fencing number used for the order.
	Fence     uint64 `json:"fence"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	// Upstream is the replica that was last picked for the order.
	Upstream string          `json:"upstream,omitempty"`
	Output   json.RawMessage `json:"output,omitempty"`
	// ResolvedBy is the operator that resolved the order, and Reason is why.
	ResolvedBy string    `json:"who,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	UpdatedAt  time.Time `json:"at"`
	// Deadline is the deadline of the request.
	Deadline time.Time `json:"until"`
	// Expires is when the retention of the record ends.
	Expires time.Time `json:"expires"`
}

// rowKey returns the key of an order's row. Workspace names contain no slash, so
// orders of different workspaces never share a row.
func rowKey(workspace, key string) server.Key {
	return server.Key{Table: tableOrders, Row: workspace + "/" + key}
}

// splitRow is the inverse of rowKey.
func splitRow(row string) (workspace, key string) {
	workspace, key, _ = strings.Cut(row, "/")
	return workspace, key
}

// bodyDigest returns the hexadecimal SHA-256 digest of an order's kind and input.
func bodyDigest(kind string, input json.RawMessage) string {
	hash := sha256.New()
	hash.Write([]byte(kind))
	hash.Write([]byte{0})
	hash.Write(input)
	return hex.EncodeToString(hash.Sum(nil))
}

// decodeRecord decodes a row's value. The error is ErrInvalid if the value is
// malformed or has an unknown state.
func decodeRecord(value json.RawMessage) (record, error) {
	var found record
	if err := json.Unmarshal(value, &found); err != nil {
		return record{}, merry.Prepend(server.ErrInvalid, "decoding the order row: malformed JSON")
	}
	switch found.State {
	case StateClaimed, StateDone, StateNotRun, StateUnknown:
		return found, nil
	default:
		return record{}, merry.Prepend(server.ErrInvalid, "decoding the order row: unknown state")
	}
}

func encodeRecord(r record) (json.RawMessage, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return value, nil
}

// write returns a write of the record that is conditional on the row's version.
func (r record) write(key server.Key, expectedVersion uint64) (server.Write, error) {
	value, err := encodeRecord(r)
	return server.Write{Key: key, ExpectedVersion: expectedVersion, Value: value}, err
}
