package orderer

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// FuzzRow decodes arbitrary rows, as other programs may write them: none may
// cause a panic, and none with an unknown state may be accepted.
func FuzzRow(f *testing.F) {
	for _, seed := range []string{
		``, `null`, `{}`, `[]`, `{"state":"claimed"}`, `{"state":"done","output":null}`, `{"state":"other"}`,
		`{"state":"unknown","fence":18446744073709551615,"nonce":"a","body":"b"}`, `{"state":"not-run","until":"x"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		found, err := decodeRecord(value)
		if err != nil {
			if !errors.Is(err, server.ErrInvalid) {
				t.Fatalf("decodeRecord returned an error other than ErrInvalid: %v", err)
			}
			return
		}
		o := newOrder(record{Nonce: "a", BodyDigest: "b", Fence: 1}, serviceInfo{isFenced: true, hasStatus: true})
		o = o.apply(phaseResult{err: server.ErrConflict}).apply(phaseResult{foundRecord: found, version: 3})
		if o.phase == string(server.OutcomeDone) && found.State != StateDone {
			t.Fatalf("order is done although its row is %s", found.State)
		}
		if o.phase == phaseSending && found.Nonce != "a" {
			t.Fatalf("order is sent under the claim %q of another request", found.Nonce)
		}
		now := time.Unix(0, 0)
		_ = intent{record: record{Nonce: "a", State: StateNotRun}}.decide(found, 3, nil)
		_ = isOrphaned(found, "i", "l", func(string) bool { return false }, now)
		encoded, err := encodeRecord(recoveredRecord(found, serviceInfo{}, false, server.Answer{}, nil, now))
		if err != nil || !json.Valid(encoded) {
			t.Fatalf("recovered record is encoded as %q: %v", encoded, err)
		}
	})
}

// FuzzKey checks that orders of two workspaces never share a row, whatever their
// keys.
func FuzzKey(f *testing.F) {
	f.Add("a", "b/c")
	f.Add("", "/")
	f.Add("ключ", "..")
	f.Fuzz(func(t *testing.T, one, two string) {
		if rowKey("w", one) == rowKey("x", two) {
			t.Fatalf("keys %q and %q of two workspaces share a row", one, two)
		}
		workspace, key := splitRow(rowKey("w", one).Row)
		if workspace != "w" || key != one {
			t.Fatalf("key %q: row was split into workspace %q and key %q", one, workspace, key)
		}
	})
}
