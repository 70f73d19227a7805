package server_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/parser"
)

// contractWithKeys returns a contract of a workspace with the given keys.
func contractWithKeys(t interface{ Fatal(...any) }, workspace string, keys ...int) *parser.Contract {
	text := "contract: " + workspace + "\nkinds: {upset: {pipeline: boiler-log, deadline: 4s}}\nkeys:\n"
	for _, key := range keys {
		text += fmt.Sprintf("  - \"%064x\"\n", key)
	}
	if len(keys) == 0 {
		text += "  []\n"
	}
	contract, err := parser.ParseContract(workspace, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return contract
}

// TestIncrementalChangesMatchFullRebuild checks that a snapshot built by random
// single changes equals one built from all documents, and that no change modifies
// the previous snapshot.
func TestIncrementalChangesMatchFullRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(&failer{t})
		contracts := make(map[string]*parser.Contract)
		workspaceOf := make(map[int]string)
		snapshot := server.NewSnapshot(time.Time{}, nil)
		for version := range rapid.IntRange(1, 30).Draw(t, "changes") {
			workspace := fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "workspace"))
			var keys []int
			for key := range 8 {
				if (workspaceOf[key] == "" || workspaceOf[key] == workspace) && rapid.Bool().Draw(t, "key") {
					workspaceOf[key] = workspace
					keys = append(keys, key)
				} else if workspaceOf[key] == workspace {
					workspaceOf[key] = ""
				}
			}
			contract := contractWithKeys(t, workspace, keys...)
			contracts[workspace] = contract
			previous := snapshot
			countBefore := contractCount(previous)
			snapshot = server.NewSnapshot(time.Time{}, snapshot, server.WithChanges(uint64(version+1), nil, []*parser.Contract{contract}))
			is.Equal(countBefore, contractCount(previous)) // the previous snapshot is unchanged
		}
		rebuilt := server.NewSnapshot(time.Time{}, nil, server.WithDocuments(1, nil, contracts))
		for key := range 8 {
			hash := fmt.Sprintf("%064x", key)
			got, _ := snapshot.WorkspaceByKeyHash(hash)
			want, _ := rebuilt.WorkspaceByKeyHash(hash)
			is.Equal(got, want)
			is.Equal(got, workspaceOf[key])
		}
		is.Equal(contractCount(snapshot), len(contracts))
	})
}

func contractCount(s *server.Snapshot) int {
	n := 0
	for range s.Contracts() {
		n++
	}
	return n
}

// failer lets is.I report failures to rapid.
type failer struct{ *rapid.T }

func (f *failer) Fail()    { f.T.Fail() }
func (f *failer) FailNow() { f.T.FailNow() }

func BenchmarkSingleContractChange(b *testing.B) {
	for _, count := range []int{100, 1400, 14000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			contracts := make(map[string]*parser.Contract, count)
			for i := range count {
				name := fmt.Sprintf("w%d", i)
				contracts[name] = contractWithKeys(b, name, i)
			}
			snapshot := server.NewSnapshot(time.Time{}, nil, server.WithDocuments(1, nil, contracts))
			changed := []*parser.Contract{contracts["w7"]}
			b.ReportAllocs()
			for b.Loop() {
				server.NewSnapshot(time.Time{}, snapshot, server.WithChanges(2, nil, changed))
			}
		})
	}
}
