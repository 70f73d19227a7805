package configurer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
)

// Times of the follower. A version that a table answers for is in force within
// the longest wait between polls and one read.
const (
	pollPeriod = 500 * time.Millisecond
	// pollReads is the polls a second of all instances together.
	pollReads = 250
	// pollJitter is the share of the period by which polls are spread.
	pollJitter  = 0.2
	readTimeout = time.Second
	// wholeTimeout bounds a read of all documents, which takes several calls.
	wholeTimeout = 3 * time.Second
	// startWait is how long an instance that starts waits to hear of peers
	// before it trusts the table alone.
	startWait = 2 * time.Second
	// maxHistory is the number of versions of which the chain is remembered.
	maxHistory = 4096
)

// Follower puts the newest version in force on one instance. It implements
// server.Documents. Its state is touched on the control goroutine only.
type Follower struct {
	control    *controller.Controller
	configurer *Configurer
	source     server.Source
	log        logr.Logger
	random     *rand.Rand
	counters   counters
	status     atomic.Pointer[Status]

	link      server.Link
	documents map[string]server.Document
	history   []server.Link
	announced map[string]uint64
	failed    map[string]bool
	pending   *update
	started   time.Time
	seenTable bool
	table     TableState
	reason    string
	known     uint64
	reading   bool
	fetching  bool
	stopped   bool
	stopTimer func()
}

// FollowerOption sets a property of a Follower.
type FollowerOption func(*Follower)

// WithSource gives the links to peers.
func WithSource(source server.Source) FollowerOption {
	return func(f *Follower) { f.source = source }
}

// WithLog gives the log for changes of state.
func WithLog(log logr.Logger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// WithSeed sets the seed of the polls' jitter.
func WithSeed(seed uint64) FollowerOption {
	return func(f *Follower) { f.random = rand.New(rand.NewPCG(seed, seed)) }
}

// NewFollower returns a follower that publishes documents through control.
func NewFollower(control *controller.Controller, configurer *Configurer, options ...FollowerOption) *Follower {
	f := &Follower{
		control:    control,
		configurer: configurer,
		log:        logr.Discard(),
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		counters:   newCounters(),
		documents:  make(map[string]server.Document),
		announced:  make(map[string]uint64),
		failed:     make(map[string]bool),
		table:      TableUnknown,
		reason:     "no answer from the table yet",
	}
	for _, option := range options {
		option(f)
	}
	f.publishStatus()
	return f
}

// UseSource gives the links to peers when they are made after the follower. It
// must be called before Start.
func (f *Follower) UseSource(source server.Source) { f.source = source }

// Start reads the documents at once and then polls for newer versions.
func (f *Follower) Start() {
	f.control.Post(controller.EventFunc(func() {
		f.started = f.control.Timer().Now()
		f.poll()
	}))
}

// Stop ends the polling.
func (f *Follower) Stop() {
	f.control.Post(controller.EventFunc(func() {
		f.stopped = true
		if f.stopTimer != nil {
			f.stopTimer()
		}
	}))
}

// Refresh reads the table at once, such as after a change through this instance.
func (f *Follower) Refresh() { f.control.Post(controller.EventFunc(f.read)) }

// Status returns what is in force; it is safe from any goroutine.
func (f *Follower) Status() Status { return *f.status.Load() }

// poll reads the table and, when a peer told of a newer version, that peer.
func (f *Follower) poll() {
	if f.stopped {
		return
	}
	spread := 1 + pollJitter*(2*f.random.Float64()-1)
	period := server.SharedPeriod(pollPeriod, f.control.Snapshot().Instances(), pollReads)
	f.stopTimer = f.control.Timer().After(time.Duration(spread*float64(period)), func(time.Time) {
		f.control.Post(controller.EventFunc(f.poll))
	})
	clear(f.failed)
	f.read()
	f.settle()
	f.fetch()
}

// read asks the table in a worker.
func (f *Follower) read() {
	if f.reading {
		return
	}
	f.reading = true
	have := f.link
	f.control.Go(func(ctx context.Context) controller.Event {
		update, err := f.configurer.read(ctx, have)
		return controller.EventFunc(func() {
			f.reading = false
			f.sawTable(update, have, err)
		})
	})
}

// sawTable handles the table's answer; have is what was in force when it was asked.
func (f *Follower) sawTable(update *update, have server.Link, err error) {
	f.seenTable = true
	if have != f.link && err != nil {
		// Something newer came meanwhile; the next poll judges the table anew.
		return
	}
	f.refuse(fromTable, err)
	f.setTable(stateOf(err), err)
	if err == nil && update != nil {
		f.hold(update)
	}
	f.settle()
	f.fetch()
}

// hold keeps the newest update until it may be taken.
func (f *Follower) hold(update *update) {
	f.known = max(f.known, update.bundle.Link.Version)
	if f.pending == nil || f.pending.bundle.Link.Version < update.bundle.Link.Version {
		f.pending = update
	}
}

// settle puts the held update in force. An instance that has nothing in force
// first hears both the table and the peers, so that it begins with the highest.
func (f *Follower) settle() {
	if f.pending == nil {
		f.publishStatus()
		return
	}
	if f.link.Version == 0 {
		if !f.seenTable || !f.heardPeers() {
			f.reason = "waiting to hear which version the peers have in force"
			f.publishStatus()
			return
		}
		if f.best() > f.pending.bundle.Link.Version && f.mayFetch() {
			f.fetch()
			return
		}
	}
	held := f.pending
	f.pending = nil
	f.take(held, fromTable)
}

// heardPeers reports whether peers told their versions or had the time to.
func (f *Follower) heardPeers() bool {
	if f.started.IsZero() {
		return false
	}
	if f.source == nil || f.source.Settled() {
		return true
	}
	return f.control.Timer().Now().Sub(f.started) >= startWait
}

// take puts an update in force when it is newer; versions only rise, those of
// each document too.
func (f *Follower) take(update *update, from string) {
	bundle := update.bundle
	if bundle.Link.Version <= f.link.Version {
		return
	}
	if err := f.older(bundle.Documents); err != nil {
		f.refuse(from, err)
		f.reason = from + ": " + err.Error()
		f.publishStatus()
		return
	}
	for _, document := range bundle.Documents {
		f.documents[document.Name] = document
	}
	if update.whole() {
		f.dropAbsent(bundle.Documents)
	}
	f.remember(update)
	f.link = bundle.Link
	f.known = max(f.known, f.link.Version)
	f.reason = ""
	f.log.Info("in force", "version", f.link.Version, "from", from, "documents", len(bundle.Documents))
	f.publish(update)
	f.counters.taken.WithLabelValues(from).Inc()
	f.counters.version.Set(float64(f.link.Version))
	f.publishStatus()
	if f.source != nil {
		f.source.Announce(f.link)
	}
}

// older returns errForked when a document is older than the one in force, or
// another one of the same version.
func (f *Follower) older(documents []server.Document) error {
	for _, document := range documents {
		have := f.documents[document.Name]
		if document.Version < have.Version || (document.Version == have.Version && document.Text != have.Text) {
			return merry.Prependf(errForked, "%s has version %d in force, got %d", document.Name, have.Version, document.Version)
		}
	}
	return nil
}

// publish hands the documents to the traffic half.
func (f *Follower) publish(update *update) {
	if update.whole() {
		contracts := contractsOf(update.contracts)
		f.control.Publish(server.WithDocuments(f.link.Version, update.deployment, contracts))
		return
	}
	f.control.Publish(server.WithChanges(f.link.Version, update.deployment, update.contracts))
}

// dropAbsent forgets documents that a whole update does not hold.
func (f *Follower) dropAbsent(documents []server.Document) {
	kept := make(map[string]server.Document, len(documents))
	for _, document := range documents {
		kept[document.Name] = f.documents[document.Name]
	}
	f.documents = kept
}

// remember adds the versions on the way to the history, so that peers may get
// only what changed after theirs.
func (f *Follower) remember(update *update) {
	if update.whole() {
		f.history = f.history[:0]
	}
	for _, link := range update.links {
		if link.Version > f.link.Version {
			f.history = append(f.history, link)
		}
	}
	if len(f.history) > maxHistory {
		f.history = slices.Clone(f.history[len(f.history)-maxHistory:])
	}
}

// setTable notes the table's state and logs it when it changed.
func (f *Follower) setTable(state TableState, err error) {
	if err != nil && (f.link.Version == 0 || state != TableDown) {
		f.reason = "table: " + err.Error()
	}
	if err == nil && f.link.Version > 0 {
		f.reason = ""
	}
	if err == nil && f.link.Version == 0 && f.pending == nil {
		f.reason = "the table holds no version yet"
	}
	if state == f.table {
		return
	}
	f.table = state
	if err != nil {
		f.log.Error(err, "table", "state", state, "version", f.link.Version)
		return
	}
	f.log.Info("table", "state", state, "version", f.link.Version)
}

func (f *Follower) publishStatus() {
	reason := f.reason
	if f.link.Version == 0 && len(f.announced) == 0 {
		reason += "; no peer told a version"
	}
	f.status.Store(&Status{
		Link: f.link, Table: f.table, Reason: reason, Known: f.known, Heard: f.seenTable && f.heardPeers(),
	})
}
