package configurer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/standin"
)

func encode(value any) json.RawMessage {
	data, _ := json.Marshal(value)
	return data
}

// requireChain checks that the audit records are an unbroken chain up to the
// head, and returns their number.
func requireChain(is *is.I, writer *configurer.Configurer) int {
	is.Helper()
	records, err := writer.AuditRecords(context.Background(), 0, 1<<20)
	is.NoErr(err)
	parent := ""
	for i, record := range records {
		is.Equal(record.Version, uint64(i+1))
		is.Equal(record.ParentHash, parent)
		parent = record.ChainHash
	}
	head, err := writer.Head(context.Background())
	is.NoErr(err)
	is.Equal(head.Version, uint64(len(records)))
	is.Equal(head.ChainHash, parent)
	return len(records)
}

func TestApplyAcceptsOneOfConcurrentChanges(t *testing.T) {
	for _, documents := range []int{1, 5, 50} {
		t.Run(fmt.Sprint(documents, " documents"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := standin.NewMemoryTable(newTable())
				before := seedTable(t, table)
				table.SetHook(func(context.Context, string, []server.Write) standin.CallFault {
					time.Sleep(3 * time.Millisecond) // so that the changes overlap
					return standin.CallFaultNone
				})
				var mu sync.Mutex
				var wait sync.WaitGroup
				accepted, conflicts := 0, 0
				for i := range 50 {
					wait.Go(func() {
						workspace := fmt.Sprintf("w%d", i%documents)
						text := fmt.Sprintf("contract: %s\nrate: %d\nkinds: {upset: {pipeline: boiler-log, deadline: 4s}}\n", workspace, i+1)
						_, err := configurer.New(table, time.Now).Apply(context.Background(), configurer.Change{
							ID: server.NewID(), Name: configurer.ContractName(workspace), Text: text, Operator: "anna", Reason: "race",
						})
						mu.Lock()
						defer mu.Unlock()
						var conflict *configurer.ConflictError
						switch {
						case err == nil:
							accepted++
						case errors.As(err, &conflict):
							conflicts++
							is.True(conflict.Difference.Text != "") // shows what was changed since the base
							is.True(len(conflict.Difference.Effects) > 0)
						default:
							t.Error(err)
						}
					})
				}
				wait.Wait()
				is.Equal(accepted, documents) // one change for each document
				is.Equal(accepted+conflicts, 50)
				is.Equal(requireChain(is, configurer.New(table, time.Now)), int(before)+accepted)
			})
		})
	}
}

func TestApplyResolvesLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := standin.NewMemoryTable(newTable())
		before := seedTable(t, table)
		responsesToLose := 1
		table.SetHook(func(_ context.Context, call string, _ []server.Write) standin.CallFault {
			if call == "commit" && responsesToLose > 0 {
				responsesToLose--
				return standin.CallFaultResponseLost
			}
			return standin.CallFaultNone
		})
		writer := configurer.New(table, time.Now)
		id := server.NewID()
		change := configurer.Change{ID: id, Name: "contract/alvkraft", Base: before, Text: contractWithRate(5)}
		version, err := writer.Apply(context.Background(), change)
		is.NoErr(err)
		is.Equal(version, before+1)
		repeatedVersion, err := writer.Apply(context.Background(), change)
		is.NoErr(err) // a repeated change returns the version of the first
		is.Equal(repeatedVersion, version)
		is.Equal(requireChain(is, writer), int(before)+1)
	})
}

// delayedTable keeps commits back and returns ErrUncertain for them, so that a test can
// write them later.
type delayedTable struct {
	server.Table
	delayedCommits []([]server.Write)
	delaysCommits  bool
	isDown         bool
}

func (t *delayedTable) Commit(ctx context.Context, writes []server.Write) ([]uint64, error) {
	if t.delaysCommits && len(writes) > 1 {
		t.delayedCommits = append(t.delayedCommits, writes)
		return nil, server.NewFault("commit", "table", server.ErrUncertain)
	}
	if t.isDown {
		return nil, server.NewFault("commit", "table", server.ErrUnavailable)
	}
	return t.Table.Commit(ctx, writes)
}

func TestDelayedCommitFailsAfterReportedRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := standin.NewMemoryTable(newTable())
		before := seedTable(t, inner)
		table := &delayedTable{Table: inner, delaysCommits: true}
		writer := configurer.New(table, time.Now)
		id := server.NewID()
		_, err := writer.Apply(context.Background(), configurer.Change{ID: id, Name: "contract/alvkraft", Base: before, Text: contractWithRate(5)})
		is.True(errors.Is(err, server.ErrUnavailable)) // reported as not written
		_, err = inner.Commit(context.Background(), table.delayedCommits[0])
		is.True(errors.Is(err, server.ErrConflict)) // so it can no longer be written
		outcome, err := writer.ChangeOutcome(context.Background(), id)
		is.NoErr(err)
		is.Equal(outcome.State, configurer.StateRefused)
		is.Equal(requireChain(is, writer), int(before))
	})
}

func TestUnknownOutcomeErrorHasChangeID(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			inner := standin.NewMemoryTable(newTable())
			before := seedTable(t, inner)
			table := &delayedTable{Table: inner, delaysCommits: true, isDown: true}
			writer := configurer.New(table, time.Now)
			id := server.NewID()
			_, err := writer.Apply(context.Background(), configurer.Change{ID: id, Name: "contract/alvkraft", Base: before, Text: contractWithRate(5)})
			var unknown *configurer.OutcomeUnknownError
			is.True(errors.As(err, &unknown))
			is.Equal(unknown.ID, id)
			table.isDown = false
			want := configurer.StateRefused
			if arrives {
				_, err = inner.Commit(context.Background(), table.delayedCommits[0])
				is.NoErr(err)
				want = configurer.StateAccepted
			}
			outcome, err := writer.ResolveChange(context.Background(), id)
			is.NoErr(err)
			is.Equal(outcome.State, want)
		})
	}
}

func TestApplyChecksDocumentsAgainstEachOther(t *testing.T) {
	is := is.New(t)
	table := standin.NewMemoryTable(newTable())
	writer := configurer.New(table, time.Now)
	apply := func(name string, base uint64, text string) error {
		_, err := writer.Apply(context.Background(), configurer.Change{ID: server.NewID(), Name: name, Base: base, Text: text})
		return err
	}
	is.True(errors.Is(apply("contract/alvkraft", 0, contractWithRate(5)), server.ErrInvalid)) // no configuration yet
	seedTable(t, table)
	config := readExample(t, "config.yaml")
	configWithoutPipelines := "deployment: lutvik\ndatacentres: [{name: a, region: n}]\nservices: {encoders: {role: encoder, replicas: 1}}\npipelines: {}\n"
	is.True(errors.Is(apply("config", 1, configWithoutPipelines), server.ErrInvalid)) // a contract uses a pipeline that this removes
	operatorsSection := "operators: [{name: anna, role: write, token: " + strings.Repeat("a", 64) + "}]\n"
	is.NoErr(apply("config", 1, config+operatorsSection))
	is.True(errors.Is(apply("config", 3, config), server.ErrInvalid)) // would open the operator interface to everyone
	key := "8306e34fb645ea5e4c430a394814b42ca8a229bcb724b6b947f278b47a9b1430"
	otherContract := "contract: other\nkeys: [" + key + "]\nkinds: {upset: {pipeline: boiler-log, deadline: 4s}}\n"
	is.True(errors.Is(apply("contract/other", 0, otherContract), server.ErrInvalid)) // the key belongs to alvkraft
	is.NoErr(apply("contract/alvkraft", 2, contractWithRate(5)))                     // removes the key from alvkraft
	is.NoErr(apply("contract/other", 0, otherContract))
	is.True(errors.Is(apply("contract/alvkraft", 0, contractWithRate(5)), server.ErrConflict)) // base is outdated
	is.True(errors.Is(apply("contract/Alv Kraft", 0, contractWithRate(5)), server.ErrInvalid))
	is.True(errors.Is(apply("nonsense", 0, config), server.ErrInvalid))
}
