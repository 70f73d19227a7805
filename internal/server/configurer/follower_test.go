package configurer_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/standin"
)

// runFleet runs a test in virtual time with a running fleet that has one active
// version on all instances.
func runFleet(t *testing.T, size int, test func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size, 7)
		first := seedTable(t, standin.NewMemoryTable(f.table))
		f.start()
		defer f.stop()
		time.Sleep(activationBound)
		is := is.New(t)
		for _, n := range f.instances {
			is.Equal(n.version(), first)
		}
		test(is, f)
	})
}

func requireVersion(is *is.I, f *fleet, version uint64) {
	is.Helper()
	for _, n := range f.instances {
		is.Equal(n.version(), version)
	}
}

func TestInstancesWithoutTableFetchFromPeers(t *testing.T) {
	runFleet(t, 8, func(is *is.I, f *fleet) {
		for _, n := range f.instances[:4] {
			n.table.set(f.table, true)
		}
		version := setRate(t, f.instances[7].writer, 11)
		time.Sleep(activationBound)
		requireVersion(is, f, version)
		is.Equal(f.instances[0].control.Snapshot().Contract("alvkraft").RateLimit(), 11.0)
		is.Equal(f.instances[0].follower.Status().TableState, configurer.TableDown)
	})
}

func TestInstancesWithoutPeersReadTable(t *testing.T) {
	runFleet(t, 3, func(is *is.I, f *fleet) {
		for i, a := range f.instances {
			for _, b := range f.instances[i+1:] {
				f.setLink(a, b, false)
			}
		}
		version := setRate(t, f.instances[0].writer, 11)
		time.Sleep(activationBound)
		requireVersion(is, f, version)
	})
}

func TestStartWithTableDownFetchesFromPeers(t *testing.T) {
	runFleet(t, 3, func(is *is.I, f *fleet) {
		added := f.addWithoutTable("fresh", false)
		time.Sleep(activationBound)
		is.Equal(added.version(), f.instances[0].version())
		is.NoErr(added.follower.Status().CheckReady())
	})
}

func TestStartWithoutTableAndPeersIsNotReady(t *testing.T) {
	runFleet(t, 3, func(is *is.I, f *fleet) {
		added := f.addWithoutTable("fresh", true)
		time.Sleep(time.Minute)
		is.Equal(added.version(), uint64(0))
		err := added.follower.Status().CheckReady()
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "table: ")) // states the reason
		is.True(strings.Contains(err.Error(), "no peer has announced a version"))
		_, err = added.writer.Apply(context.Background(), configurer.Change{ID: server.NewID(), Name: "contract/alvkraft", Text: contractWithRate(3)})
		is.True(errors.Is(err, server.ErrUnavailable))
		added.table.set(f.table, false)
		time.Sleep(activationBound)
		is.Equal(added.version(), f.instances[0].version()) // serves as soon as the table responds
	})
}

func TestRestoredTableDoesNotRevertVersions(t *testing.T) {
	runFleet(t, 5, func(is *is.I, f *fleet) {
		older := copyTable(f.table)
		newest := uint64(0)
		for rate := 11; rate < 16; rate++ {
			newest = setRate(t, f.instances[0].writer, rate)
		}
		time.Sleep(activationBound)
		requireVersion(is, f, newest)

		f.table = older
		for _, n := range f.instances {
			n.table.set(older, false)
		}
		time.Sleep(time.Minute)
		requireVersion(is, f, newest) // no instance falls back to an older version
		for _, n := range f.instances {
			is.Equal(n.follower.Status().TableState, configurer.TableBehind)
			is.True(refusedReads(t, n, "behind") > 0) // the counter for the alarm rises
		}

		f.setAnnounceDelay(time.Second) // delays all announcements
		replacement := f.replace(2, 22)
		for range int(activationBound / time.Millisecond) {
			time.Sleep(time.Millisecond)
			is.True(replacement.version() == 0 || replacement.version() == newest) // a new instance does not fall back either
		}
		is.Equal(replacement.version(), newest)
		f.setAnnounceDelay(0)

		for _, n := range f.instances {
			_, err := n.writer.Apply(context.Background(), configurer.Change{ID: server.NewID(), Name: "contract/alvkraft", Base: 2, Text: contractWithRate(99)})
			is.True(errors.Is(err, configurer.ErrBehind)) // no version number is used for two states
		}

		bundle, err := f.instances[3].follower.ActiveBundle(context.Background())
		is.NoErr(err)
		restored, err := f.instances[3].writer.Restore(context.Background(), bundle, configurer.Change{ID: server.NewID(), Operator: "anna", Reason: "restored backup"})
		is.NoErr(err)
		is.True(restored > newest)
		time.Sleep(activationBound)
		requireVersion(is, f, restored)
		is.Equal(f.instances[0].control.Snapshot().Contract("alvkraft").RateLimit(), 15.0)

		version := setRate(t, f.instances[1].writer, 16)
		time.Sleep(activationBound)
		requireVersion(is, f, version)
	})
}

// refusedReads returns how many reads of the table were refused for a cause.
func refusedReads(t *testing.T, n *instance, cause string) float64 {
	t.Helper()
	vec := n.follower.Collectors()[1].(*prometheus.CounterVec)
	return testutil.ToFloat64(vec.WithLabelValues("table", cause))
}

// A fork arises if a writer changes a restored table until its version exceeds
// those of the instances.
func TestForkedHistoryIsRefusedUntilRestore(t *testing.T) {
	runFleet(t, 4, func(is *is.I, f *fleet) {
		older := copyTable(f.table)
		newest := setRate(t, f.instances[0].writer, 11)
		time.Sleep(activationBound)
		requireVersion(is, f, newest)
		forkWriter := configurer.New(standin.NewMemoryTable(older), time.Now)
		setRate(t, forkWriter, 50)
		setRate(t, forkWriter, 51)
		for _, n := range f.instances {
			n.table.set(older, false)
		}
		f.table = older
		time.Sleep(time.Minute)
		requireVersion(is, f, newest)
		is.Equal(f.instances[0].follower.Status().TableState, configurer.TableForked)
		is.Equal(f.instances[0].control.Snapshot().Contract("alvkraft").RateLimit(), 11.0)
		bundle, err := f.instances[0].follower.ActiveBundle(context.Background())
		is.NoErr(err)
		restored, err := f.instances[0].writer.Restore(context.Background(), bundle, configurer.Change{ID: server.NewID(), Operator: "anna", Reason: "fork"})
		is.NoErr(err)
		time.Sleep(activationBound)
		requireVersion(is, f, restored)
		is.Equal(f.instances[3].control.Snapshot().Contract("alvkraft").RateLimit(), 11.0)
	})
}

// An instance must not write its active documents over the table while another
// instance has a newer version.
func TestRestoreRequiresNewestVersion(t *testing.T) {
	runFleet(t, 2, func(is *is.I, f *fleet) {
		old := f.instances[0]
		old.table.set(f.table, true)
		f.setLink(old, f.instances[1], false)
		version := setRate(t, f.instances[1].writer, 11)
		time.Sleep(activationBound)
		is.Equal(f.instances[1].version(), version)
		old.post(func() { old.follower.HandlePeerVersion("i-1", version) }) // i-1 announced its version and is unreachable since
		time.Sleep(time.Millisecond)
		_, err := old.follower.ActiveBundle(context.Background())
		is.True(errors.Is(err, server.ErrUnavailable))
		_, err = f.instances[1].follower.ActiveBundle(context.Background())
		is.NoErr(err)
	})
}

func TestStartWithSlowTable(t *testing.T) {
	runFleet(t, 1, func(is *is.I, f *fleet) {
		added := f.addWithoutTable("fresh", true)
		added.table.mu.Lock()
		added.table.isDown = false
		added.table.mu.Unlock()
		added.table.setDelay(400 * time.Millisecond)
		time.Sleep(10 * time.Second)
		is.Equal(added.version(), f.instances[0].version())
	})
}

func TestPausedInstanceCatchesUp(t *testing.T) {
	runFleet(t, 3, func(is *is.I, f *fleet) {
		paused := f.instances[1]
		paused.post(func() { time.Sleep(time.Minute) })
		var version uint64
		for rate := 11; rate < 14; rate++ {
			version = setRate(t, f.instances[0].writer, rate)
			time.Sleep(10 * time.Second)
		}
		is.True(paused.version() < version)
		time.Sleep(30*time.Second + activationBound)
		requireVersion(is, f, version)
	})
}

func TestChangesReachReplacedInstances(t *testing.T) {
	runFleet(t, 5, func(is *is.I, f *fleet) {
		for i := range f.instances {
			version := setRate(t, f.instances[(i+1)%5].writer, 20+i)
			f.replace(i, uint64(30+i))
			time.Sleep(activationBound)
			requireVersion(is, f, version)
		}
	})
}

func TestUnreadableDocumentIsNotActivated(t *testing.T) {
	runFleet(t, 2, func(is *is.I, f *fleet) {
		before := f.instances[0].version()
		newerText := "contract: alvkraft\nquota: 3\nkinds: {upset: {pipeline: boiler-log, deadline: 4s}}\n"
		writeAsNewerProgram(f.table, before+1, newerText)
		time.Sleep(activationBound)
		requireVersion(is, f, before)
		status := f.instances[0].follower.Status()
		is.Equal(status.TableState, configurer.TableUnreadable)
		is.True(strings.Contains(status.Reason, "quota")) // gives the reason
		replacement := f.replace(1, 44)
		time.Sleep(activationBound)
		// The new instance may fetch the version of its peer, which it can parse,
		// and nothing newer.
		is.Equal(replacement.version(), before)
	})
}

// writeAsNewerProgram writes a document that this program cannot parse.
func writeAsNewerProgram(table *standin.Platform, version uint64, text string) {
	row, _ := table.Row(server.Key{Table: "documents", Row: "contract/alvkraft"})
	head, _ := table.Row(server.Key{Table: "head", Row: "version"})
	document := encode(server.Document{Name: "contract/alvkraft", Version: version, Text: text})
	table.Commit([]server.Write{
		{Key: row.Key, ExpectedVersion: row.Version, Value: document},
		{Key: head.Key, ExpectedVersion: head.Version, Value: encode(configurer.Head{Revision: server.Revision{Version: version, ChainHash: "newer"}})},
	})
}
