package configurer_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/standin"
)

// Size of a large deployment, and the bounds for activating all its contracts.
const (
	manyContracts     = 1400
	maxActivationTime = 100 * time.Millisecond
	maxAllocatedBytes = 20 << 20
)

// newTableWithContracts returns a table with the example configuration and copies
// of the example contract for other workspaces.
func newTableWithContracts(b *testing.B, contracts int) server.Table {
	b.Helper()
	table := standin.NewMemoryTable(newTable())
	writer := configurer.New(table, time.Now)
	mustApply(b, writer, configurer.ConfigName, 0, readExample(b, "config.yaml"))
	text := readExample(b, "contracts", "alvkraft.yaml")
	for i := range contracts {
		name := fmt.Sprintf("w%d", i)
		contract := strings.Replace(text, "contract: alvkraft", "contract: "+name, 1)
		contract = strings.Replace(contract, "8306e34fb645ea5e4c430a394814b42ca8a229bcb724b6b947f278b47a9b1430", fmt.Sprintf("a%063x", i), 1)
		mustApply(b, writer, configurer.ContractName(name), 0, contract)
	}
	return table
}

// scanCache caches the scans of a table, so that the cost of the stand-in's own
// sorting is not measured.
type scanCache struct {
	server.Table
	pages map[string][]server.Row
}

func (k *scanCache) Scan(ctx context.Context, table, after string, limit int) ([]server.Row, error) {
	page := table + after
	if rows, ok := k.pages[page]; ok {
		return rows, nil
	}
	rows, err := k.Table.Scan(ctx, table, after, limit)
	k.pages[page] = rows
	return rows, err
}

// startFollower starts a follower on a table and waits until a version is active.
// With options, a peer announces a newer version. The returned function stops the
// follower.
func startFollower(table server.Table, options ...configurer.FollowerOption) (*controller.Controller, func()) {
	timer := ticker.New()
	control := controller.New(timer)
	follower := configurer.NewFollower(control, configurer.New(table, time.Now), options...)
	control.Start()
	follower.Start()
	if len(options) > 0 {
		control.Post(controller.EventFunc(func() { follower.HandlePeerVersion("peer", 1<<20) }))
	}
	for control.Snapshot().Version() == 0 {
		time.Sleep(100 * time.Microsecond)
	}
	return control, func() {
		follower.Stop()
		timer.Close()
		control.Stop()
	}
}

// fixedSource is a server.DocumentSource whose only peer always sends the same bundle.
type fixedSource struct{ bundle server.Bundle }

func (p *fixedSource) Announce(server.Revision) {}

func (p *fixedSource) AllPeersReported() bool { return true }

func (p *fixedSource) FetchBundle(context.Context, string, uint64) (server.Bundle, error) {
	return p.bundle, nil
}

// BenchmarkManyContractsFromPeer activates 1,400 contracts from a peer while the
// table is down, without a network. Its bounds are those of
// BenchmarkManyContracts.
func BenchmarkManyContractsFromPeer(b *testing.B) {
	head, documents, err := configurer.New(newTableWithContracts(b, manyContracts), time.Now).Load(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	source := &fixedSource{bundle: server.Bundle{Revision: head.Revision, Documents: documents}}
	down := &switchableTable{isDown: true}
	b.ReportAllocs()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for b.Loop() {
		_, stop := startFollower(down, configurer.WithSource(source))
		stop()
	}
	runtime.ReadMemStats(&after)
	timePerRun, bytesPerRun := b.Elapsed()/time.Duration(b.N), (after.TotalAlloc-before.TotalAlloc)/uint64(b.N)
	if timePerRun > maxActivationTime || bytesPerRun > maxAllocatedBytes {
		b.Fatalf("activation from a peer took %s and %d bytes; allowed are %s and %d", timePerRun, bytesPerRun, maxActivationTime, maxAllocatedBytes)
	}
}

// BenchmarkManyContracts activates 1,400 contracts from the table on one
// instance. It fails above 100 ms or above 20 MiB allocated, and also reports the
// memory that stays in use.
func BenchmarkManyContracts(b *testing.B) {
	table := &scanCache{Table: newTableWithContracts(b, manyContracts), pages: make(map[string][]server.Row)}
	_, stop := startFollower(table)
	stop()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	control, stop := startFollower(table)
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	runtime.GC()
	runtime.ReadMemStats(&after)
	if control.Snapshot().Contract("w1399") == nil {
		b.Fatal("the snapshot has no contract for the last workspace w1399")
	}
	stop()
	b.ReportAllocs()
	for b.Loop() {
		_, stop := startFollower(table)
		stop()
	}
	timePerRun := b.Elapsed() / time.Duration(b.N)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB-held")
	b.ReportMetric(float64(allocated)/(1<<20), "MB-allocated")
	if timePerRun > maxActivationTime || allocated > maxAllocatedBytes {
		b.Fatalf("activation from the table took %s and %d bytes; allowed are %s and %d", timePerRun, allocated, maxActivationTime, maxAllocatedBytes)
	}
}

// BenchmarkOneAmendment activates a change of one contract from the table, with
// several numbers of active contracts.
func BenchmarkOneAmendment(b *testing.B) {
	for _, contracts := range []int{100, 700, manyContracts} {
		b.Run(fmt.Sprint(contracts), func(b *testing.B) {
			table := newTableWithContracts(b, contracts)
			timer := ticker.New()
			control := controller.New(timer)
			writer := configurer.New(table, time.Now)
			follower := configurer.NewFollower(control, writer)
			control.Start()
			defer control.Stop()
			follower.Start()
			for control.Snapshot().Version() == 0 {
				time.Sleep(time.Millisecond)
			}
			version := control.Snapshot().Version()
			base := uint64(2)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				version = mustApply(b, writer, "contract/w0", base, strings.Replace(contractWithRate(int(version)), "alvkraft", "w0", 1))
				base = version
				b.StartTimer()
				for control.Snapshot().Version() < version {
					follower.Refresh()
					time.Sleep(50 * time.Microsecond)
				}
			}
		})
	}
}
