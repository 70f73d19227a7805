package configurer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/standin"
)

// activationBound is the time within which an accepted change must be active.
const activationBound = 3 * time.Second

// newTable returns an in-process table without rate limits.
func newTable() *standin.Platform { return standin.NewPlatform(1e9, 1e9, nil) }

// copyTable returns a copy of a table, like the restore of a backup.
func copyTable(from *standin.Platform) *standin.Platform {
	to := newTable()
	for _, table := range []string{"head", "documents", "audit", "changes", "keys"} {
		for _, row := range from.Rows(table, "", 1<<30) {
			to.Commit([]server.Write{{Key: row.Key, Value: row.Value}})
		}
	}
	return to
}

// switchableTable is a Table that can be replaced by a restored copy, be made
// unavailable and be slowed down.
type switchableTable struct {
	mu     sync.Mutex
	inner  *standin.MemoryTable
	isDown bool
	// delay returns the duration of a call; nil means none.
	delay func() time.Duration
}

// currentTable waits for the duration of a call and returns the table, or
// ErrUnavailable while it is down.
func (s *switchableTable) currentTable() (server.Table, error) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay != nil {
		time.Sleep(delay())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return nil, server.NewFault("test", "table", server.ErrUnavailable)
	}
	return s.inner, nil
}

func (s *switchableTable) set(table *standin.Platform, isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inner, s.isDown = standin.NewMemoryTable(table), isDown
}

// setDelay sets the duration of each call.
func (s *switchableTable) setDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = func() time.Duration { return delay }
}

func (s *switchableTable) Get(ctx context.Context, key server.Key) (server.Row, error) {
	table, err := s.currentTable()
	if err != nil {
		return server.Row{}, err
	}
	return table.Get(ctx, key)
}

func (s *switchableTable) Scan(ctx context.Context, name, after string, limit int) ([]server.Row, error) {
	table, err := s.currentTable()
	if err != nil {
		return nil, err
	}
	return table.Scan(ctx, name, after, limit)
}

func (s *switchableTable) Commit(ctx context.Context, writes []server.Write) ([]uint64, error) {
	table, err := s.currentTable()
	if err != nil {
		return nil, err
	}
	return table.Commit(ctx, writes)
}

// instance is the part of one instance that activates versions, with a fake
// connection to its peers.
type instance struct {
	name      string
	fleet     *fleet
	table     *switchableTable
	timer     *ticker.Ticker
	control   *controller.Controller
	follower  *configurer.Follower
	writer    *configurer.Configurer
	isRunning atomic.Bool
}

// fleet is several instances joined by fake links that delay, duplicate and
// reorder messages.
type fleet struct {
	t         *testing.T
	table     *standin.Platform
	mu        sync.Mutex
	random    *rand.Rand
	instances []*instance
	downLinks map[[2]string]bool
	// announceDelay is an additional delay of announcements.
	announceDelay time.Duration
}

func newFleet(t *testing.T, size int, seed uint64) *fleet {
	f := &fleet{t: t, table: newTable(), random: rand.New(rand.NewPCG(seed, 1)), downLinks: make(map[[2]string]bool)}
	for i := range size {
		f.instances = append(f.instances, f.newInstance(fmt.Sprintf("i-%d", i), uint64(i)))
	}
	return f
}

func (f *fleet) newInstance(name string, seed uint64) *instance {
	n := &instance{name: name, fleet: f, table: &switchableTable{delay: f.delay}, timer: ticker.New()}
	n.table.set(f.table, false)
	n.control = controller.New(n.timer)
	var follower *configurer.Follower
	n.writer = configurer.New(n.table, time.Now, configurer.WithPrecondition(func(head configurer.Head) error { return follower.CheckHead(head) }))
	follower = configurer.NewFollower(n.control, n.writer, configurer.WithSource(n), configurer.WithSeed(seed))
	n.follower = follower
	return n
}

func (n *instance) start() {
	n.isRunning.Store(true)
	n.control.Start()
	n.follower.Start()
	n.exchangeVersions()
}

func (n *instance) stop() {
	n.isRunning.Store(false)
	n.follower.Stop()
	n.timer.Close()
	n.control.Stop()
	for _, other := range n.fleet.currentInstances() {
		if other != n && other.isRunning.Load() {
			other.post(func() { other.follower.HandlePeerDown(n.name) })
		}
	}
}

func (n *instance) post(event func()) { n.control.Post(controller.EventFunc(event)) }

func (n *instance) version() uint64 { return n.control.Snapshot().Version() }

// exchangeVersions sends the versions of both sides over every link of the
// instance that is up, as the hellos do.
func (n *instance) exchangeVersions() {
	for _, other := range n.fleet.currentInstances() {
		if n.fleet.isLinked(n, other) {
			n.fleet.sendVersion(n, other, n.version())
			n.fleet.sendVersion(other, n, other.version())
		}
	}
}

// Announce implements server.DocumentSource.
func (n *instance) Announce(revision server.Revision) {
	for _, other := range n.fleet.currentInstances() {
		if n.fleet.isLinked(n, other) {
			n.fleet.sendVersion(n, other, revision.Version)
		}
	}
}

// AllPeersReported implements server.DocumentSource. It is always false, so that a starting
// instance waits for the whole peerReportTimeout.
func (n *instance) AllPeersReported() bool { return false }

// FetchBundle implements server.DocumentSource.
func (n *instance) FetchBundle(ctx context.Context, peer string, after uint64) (server.Bundle, error) {
	from := n.fleet.find(peer)
	time.Sleep(n.fleet.delay())
	if from == nil || !n.fleet.isLinked(n, from) {
		return server.Bundle{}, server.NewFault("fetch", peer, server.ErrUnavailable)
	}
	bundles := make(chan server.Bundle, 1)
	go from.post(func() { bundles <- from.follower.BundleSince(after) })
	select {
	case bundle := <-bundles:
		return bundle, nil
	case <-ctx.Done():
		return server.Bundle{}, server.NewFault("fetch", peer, server.ErrUnavailable)
	}
}

// sendVersion delivers an announcement after a random delay, sometimes twice, so
// that announcements arrive in any order.
func (f *fleet) sendVersion(from, to *instance, version uint64) {
	f.mu.Lock()
	copies, extraDelay := 1+f.random.IntN(2), f.announceDelay
	f.mu.Unlock()
	for range copies {
		delay := extraDelay + f.delay()
		go func() {
			time.Sleep(delay)
			if f.isLinked(from, to) {
				to.post(func() { to.follower.HandlePeerVersion(from.name, version) })
			}
		}()
	}
}

func (f *fleet) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Millisecond + time.Duration(f.random.Int64N(int64(100*time.Millisecond)))
}

func (f *fleet) find(name string) *instance {
	for _, n := range f.currentInstances() {
		if n.name == name && n.isRunning.Load() {
			return n
		}
	}
	return nil
}

// linkKey returns the key of the link between two instances in downLinks.
func linkKey(a, b *instance) [2]string {
	if a.name > b.name {
		a, b = b, a
	}
	return [2]string{a.name, b.name}
}

func (f *fleet) isLinked(a, b *instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a != b && a.isRunning.Load() && b.isRunning.Load() && !f.downLinks[linkKey(a, b)]
}

// setLink takes a link down or up. Both sides send their versions over a link
// that comes up.
func (f *fleet) setLink(a, b *instance, up bool) {
	f.mu.Lock()
	f.downLinks[linkKey(a, b)] = !up
	f.mu.Unlock()
	if !up {
		a.post(func() { a.follower.HandlePeerDown(b.name) })
		b.post(func() { b.follower.HandlePeerDown(a.name) })
		return
	}
	f.sendVersion(a, b, a.version())
	f.sendVersion(b, a, b.version())
}

func (f *fleet) start() {
	for _, n := range f.instances {
		n.start()
	}
}

func (f *fleet) stop() {
	for _, n := range f.instances {
		if n.isRunning.Load() {
			n.stop()
		}
	}
	// Lets the messages in transit arrive while virtual time still passes.
	time.Sleep(activationBound)
}

// replace stops one instance and starts another in its place.
func (f *fleet) replace(i int, seed uint64) *instance {
	old := f.instances[i]
	if old.isRunning.Load() {
		old.stop()
	}
	replacement := f.newInstance(fmt.Sprintf("%s-%d", old.name, seed), seed)
	f.mu.Lock()
	f.instances = slices.Clone(f.instances)
	f.instances[i] = replacement
	f.mu.Unlock()
	replacement.start()
	return replacement
}

// addWithoutTable starts one more instance whose table is down. If isolated is
// set, its links are down as well.
func (f *fleet) addWithoutTable(name string, isolated bool) *instance {
	added := f.newInstance(name, 9)
	added.table.set(f.table, true)
	f.mu.Lock()
	for _, other := range f.instances {
		f.downLinks[linkKey(added, other)] = isolated
	}
	f.instances = append(slices.Clone(f.instances), added)
	f.mu.Unlock()
	added.start()
	return added
}

// currentInstances returns the current instances.
func (f *fleet) currentInstances() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances
}

// setAnnounceDelay sets the additional delay of announcements.
func (f *fleet) setAnnounceDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announceDelay = delay
}

// seedTable writes the example configuration and a contract to the table and
// returns the version.
func seedTable(t testing.TB, table server.Table) uint64 {
	t.Helper()
	writer := configurer.New(table, time.Now)
	_ = mustApply(t, writer, configurer.ConfigName, 0, readExample(t, "config.yaml"))
	return mustApply(t, writer, "contract/alvkraft", 0, readExample(t, "contracts", "alvkraft.yaml"))
}

func readExample(t testing.TB, parts ...string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(append([]string{"..", "..", "..", "examples", "lutvik"}, parts...)...))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func mustApply(t testing.TB, writer *configurer.Configurer, name string, base uint64, text string) uint64 {
	t.Helper()
	version, err := writer.Apply(context.Background(), configurer.Change{ID: server.NewID(), Name: name, Base: base, Text: text, Operator: "anna", Reason: "test"})
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// setRate changes the rate in the contract of alvkraft.
func setRate(t testing.TB, writer *configurer.Configurer, rate int) uint64 {
	t.Helper()
	return setWorkspaceRate(t, writer, "alvkraft", rate)
}

func setWorkspaceRate(t testing.TB, writer *configurer.Configurer, workspace string, rate int) uint64 {
	t.Helper()
	document, err := writer.Document(context.Background(), configurer.ContractName(workspace))
	if err != nil && !errors.Is(err, server.ErrNotFound) {
		t.Fatal(err)
	}
	return mustApply(t, writer, configurer.ContractName(workspace), document.Version, strings.Replace(contractWithRate(rate), "alvkraft", workspace, 1))
}

func contractWithRate(rate int) string {
	return fmt.Sprintf("contract: alvkraft\nrate: %d\nkinds: {upset: {pipeline: boiler-log, deadline: 4s}}\n", rate)
}

// directWriter returns a writer on the table that the faults of an instance do
// not affect.
func (n *instance) directWriter() *configurer.Configurer {
	return configurer.New(standin.NewMemoryTable(n.fleet.table), time.Now)
}
