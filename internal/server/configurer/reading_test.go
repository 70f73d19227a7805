package configurer_test

import (
	"context"
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

func TestInstanceFarBehindReadsAllDocuments(t *testing.T) {
	runFleet(t, 3, func(is *is.I, f *fleet) {
		isolated := f.instances[2]
		isolated.table.set(f.table, true)
		f.setLink(isolated, f.instances[0], false)
		f.setLink(isolated, f.instances[1], false)
		writer := f.instances[0].directWriter()
		var version uint64
		for i := range 600 {
			version = setRate(t, writer, i+1)
		}
		is.True(isolated.version() < version)
		isolated.table.set(f.table, false)
		time.Sleep(activationBound)
		requireVersion(is, f, version)
		is.Equal(isolated.control.Snapshot().Contract("alvkraft").RateLimit(), 600.0)
		is.Equal(isolated.control.Snapshot().Deployment().Name(), "lutvik")
	})
}

// A read of all documents during changes returns the documents of one version,
// not a mix of several.
func TestLoadDuringChangesReturnsOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := standin.NewMemoryTable(newTable())
		seedTable(t, table)
		table.SetHook(func(context.Context, string, []server.Write) standin.CallFault {
			time.Sleep(5 * time.Millisecond)
			return standin.CallFaultNone
		})
		var wait sync.WaitGroup
		for w := range 4 {
			wait.Go(func() {
				for i := range 20 {
					setWorkspaceRate(t, configurer.New(table, time.Now), fmt.Sprintf("w%d", w), i+1)
				}
			})
		}
		reader := configurer.New(table, time.Now)
		for range 60 {
			head, documents, err := reader.Load(context.Background())
			is.NoErr(err)
			records, err := reader.AuditRecords(context.Background(), 0, int(head.Version))
			is.NoErr(err)
			want := make(map[string]uint64)
			for _, record := range records {
				want[record.Name] = record.Version
			}
			is.Equal(len(documents), len(want))
			for _, document := range documents {
				is.Equal(document.Version, want[document.Name])
			}
		}
		wait.Wait()
		requireChain(is, reader)
	})
}

func TestConfigurationDiffShowsEffectsOnContracts(t *testing.T) {
	is := is.New(t)
	table := standin.NewMemoryTable(newTable())
	seedTable(t, table)
	config := readExample(t, "config.yaml")
	configWithoutEncode := strings.Replace(config, "      - {name: encode, service: encoders}\n", "", 1)
	difference, err := configurer.New(table, time.Now).Diff(context.Background(), configurer.ConfigName, config, configWithoutEncode)
	is.NoErr(err)
	var lines []string
	for _, effect := range difference.Effects {
		lines = append(lines, effect.String())
	}
	text := strings.Join(lines, "\n")
	is.True(strings.Contains(text, "workspace alvkraft, kind upset, stage encode: deadline share: 1s -> none"))
	is.True(strings.Contains(text, "workspace alvkraft, kind upset, stage generate: deadline share: 1s -> 1.333s"))
	is.True(!strings.Contains(text, "kind handover, stage")) // the change doesn't affect its pipeline
}
