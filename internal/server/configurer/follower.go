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

// Intervals, timeouts and limits of the follower. While the table responds, a
// new version becomes active within the longest interval between two polls plus
// the time of one read.
const (
	pollInterval = 500 * time.Millisecond
	// maxPollsPerSecond bounds the polls of all instances together.
	maxPollsPerSecond = 250
	// pollJitter is the maximum random change of the interval, as a fraction of it.
	pollJitter = 0.2
	// readTimeout bounds a read of the changes in the table and a fetch from a
	// peer.
	readTimeout = time.Second
	// readAllTimeout bounds a read of all documents, which takes several calls.
	readAllTimeout = 3 * time.Second
	// peerReportTimeout bounds the time that a starting instance waits for its
	// peers to announce their versions before it trusts the table alone.
	peerReportTimeout = 2 * time.Second
	// maxHistoryVersions is the maximum number of revisions that are kept in
	// memory. A peer at one of them is sent only the changes since.
	maxHistoryVersions = 4096
)

// Follower keeps the newest version active on one instance. It reads the table
// and fetches from peers. It implements server.DocumentProvider, whose methods must
// be called on the control goroutine. After Start, every mutable field except
// status is used on that goroutine only.
type Follower struct {
	control    *controller.Controller
	configurer *Configurer
	source     server.DocumentSource
	log        logr.Logger
	random     *rand.Rand
	metrics    metrics
	status     atomic.Pointer[Status]

	activeRevision server.Revision
	// documents are the active documents by name.
	documents map[string]server.Document
	// history holds the last revisions up to the active one, in the order of
	// versions.
	history []server.Revision
	// announcedVersions holds the newest version that each peer has announced.
	announcedVersions map[string]uint64
	// failedPeers are the peers from which a fetch failed or returned nothing newer
	// since the last poll. Nothing more is fetched from them until the next poll
	// or until they announce a newer version.
	failedPeers map[string]bool
	// pendingUpdate was read from the table and waits until it may be applied.
	pendingUpdate *versionUpdate
	startTime     time.Time
	// tableReported is set when a read of the table has ended, with or without an
	// error.
	tableReported bool
	// tableState, reason and newestKnown are published in Status.
	tableState  TableState
	reason      string
	newestKnown uint64
	// isReading is set during a read of the table, isFetching during a fetch from
	// a peer.
	isReading  bool
	isFetching bool
	isStopped  bool
	cancelPoll func()
}

// FollowerOption sets a property of a Follower.
type FollowerOption func(*Follower)

// WithSource sets the connection to the peers.
func WithSource(source server.DocumentSource) FollowerOption {
	return func(f *Follower) { f.source = source }
}

// WithLog sets the log for activated versions and changes of the table state.
func WithLog(log logr.Logger) FollowerOption {
	return func(f *Follower) { f.log = log }
}

// WithSeed sets the seed of the jitter of polls and of the choice of peers.
func WithSeed(seed uint64) FollowerOption {
	return func(f *Follower) { f.random = rand.New(rand.NewPCG(seed, seed)) }
}

// NewFollower returns a Follower that publishes documents through control.
func NewFollower(control *controller.Controller, configurer *Configurer, options ...FollowerOption) *Follower {
	f := &Follower{
		control:           control,
		configurer:        configurer,
		log:               logr.Discard(),
		random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		metrics:           newMetrics(),
		documents:         make(map[string]server.Document),
		announcedVersions: make(map[string]uint64),
		failedPeers:       make(map[string]bool),
		tableState:        TableUnknown,
		reason:            "no response from the table yet",
	}
	for _, option := range options {
		option(f)
	}
	f.publishStatus()
	return f
}

// SetSource sets the connection to the peers, if it is created after the
// follower. It must be called before Start.
func (f *Follower) SetSource(source server.DocumentSource) { f.source = source }

// Start reads the table without delay and then polls it for newer versions.
func (f *Follower) Start() {
	f.control.Post(controller.EventFunc(func() {
		f.startTime = f.control.Timer().Now()
		f.poll()
	}))
}

// Stop ends polling.
func (f *Follower) Stop() {
	f.control.Post(controller.EventFunc(func() {
		f.isStopped = true
		if f.cancelPoll != nil {
			f.cancelPoll()
		}
	}))
}

// Refresh reads the table without delay, for example after this instance has
// written a change.
func (f *Follower) Refresh() { f.control.Post(controller.EventFunc(f.readTable)) }

// Status returns the current status. It is safe for concurrent use.
func (f *Follower) Status() Status { return *f.status.Load() }

// poll schedules the next poll, reads the table and, if a peer has announced a
// newer version, fetches from such a peer.
func (f *Follower) poll() {
	if f.isStopped {
		return
	}
	jitter := 1 + pollJitter*(2*f.random.Float64()-1)
	interval := server.SharedInterval(pollInterval, f.control.Snapshot().InstanceCount(), maxPollsPerSecond)
	f.cancelPoll = f.control.Timer().After(time.Duration(jitter*float64(interval)), func(time.Time) {
		f.control.Post(controller.EventFunc(f.poll))
	})
	clear(f.failedPeers)
	f.readTable()
	f.applyPending()
	f.fetchNewest()
}

// readTable reads the table in a worker, unless a read is in progress.
func (f *Follower) readTable() {
	if f.isReading {
		return
	}
	f.isReading = true
	active := f.activeRevision
	f.control.Go(func(ctx context.Context) controller.Event {
		update, err := f.configurer.readUpdate(ctx, active)
		return controller.EventFunc(func() {
			f.isReading = false
			f.handleTableUpdate(update, active, err)
		})
	})
}

// handleTableUpdate handles the result of a read of the table; active is the
// active revision at the start of the read.
func (f *Follower) handleTableUpdate(update *versionUpdate, active server.Revision, err error) {
	f.tableReported = true
	if active != f.activeRevision && err != nil {
		// A newer version was activated during the read, so the error may be
		// outdated. The next poll sets the state of the table.
		return
	}
	f.countRefusal(fromTable, err)
	f.setTableState(tableStateOf(err), err)
	if err == nil && update != nil {
		f.setPending(update)
	}
	f.applyPending()
	f.fetchNewest()
}

// setPending stores an update until it may be applied, unless a newer one is
// stored.
func (f *Follower) setPending(update *versionUpdate) {
	f.newestKnown = max(f.newestKnown, update.bundle.Revision.Version)
	if f.pendingUpdate == nil || f.pendingUpdate.bundle.Revision.Version < update.bundle.Revision.Version {
		f.pendingUpdate = update
	}
}

// applyPending applies the pending update. An instance without an active
// version first waits for the table and the peers, so that it starts with the
// highest version of both.
func (f *Follower) applyPending() {
	if f.pendingUpdate == nil {
		f.publishStatus()
		return
	}
	if f.activeRevision.Version == 0 {
		if !f.tableReported || !f.peersReported() {
			f.reason = "waiting for the peers to announce their versions"
			f.publishStatus()
			return
		}
		if f.newestAnnounced() > f.pendingUpdate.bundle.Revision.Version && f.canFetch() {
			f.fetchNewest()
			return
		}
	}
	update := f.pendingUpdate
	f.pendingUpdate = nil
	f.apply(update, fromTable)
}

// peersReported reports whether the peers have announced their versions or
// peerReportTimeout has passed since the start.
func (f *Follower) peersReported() bool {
	if f.startTime.IsZero() {
		return false
	}
	if f.source == nil || f.source.AllPeersReported() {
		return true
	}
	return f.control.Timer().Now().Sub(f.startTime) >= peerReportTimeout
}

// apply activates an update if it is newer than the active version. Neither the
// active version nor the version of a document ever falls.
func (f *Follower) apply(update *versionUpdate, from string) {
	bundle := update.bundle
	if bundle.Revision.Version <= f.activeRevision.Version {
		return
	}
	if err := f.checkDocumentVersions(bundle.Documents); err != nil {
		f.countRefusal(from, err)
		f.reason = from + ": " + err.Error()
		f.publishStatus()
		return
	}
	for _, document := range bundle.Documents {
		f.documents[document.Name] = document
	}
	if update.isComplete() {
		f.removeAbsent(bundle.Documents)
	}
	f.appendHistory(update)
	f.activeRevision = bundle.Revision
	f.newestKnown = max(f.newestKnown, f.activeRevision.Version)
	f.reason = ""
	f.log.Info("in force", "version", f.activeRevision.Version, "from", from, "documents", len(bundle.Documents))
	f.publishDocuments(update)
	f.metrics.activated.WithLabelValues(from).Inc()
	f.metrics.version.Set(float64(f.activeRevision.Version))
	f.publishStatus()
	if f.source != nil {
		f.source.Announce(f.activeRevision)
	}
}

// checkDocumentVersions returns errForked if a document is older than the
// active one, or has the same version and a different text.
func (f *Follower) checkDocumentVersions(documents []server.Document) error {
	for _, document := range documents {
		active := f.documents[document.Name]
		if document.Version < active.Version || (document.Version == active.Version && document.Text != active.Text) {
			return merry.Prependf(errForked, "%s has version %d in force, received version %d", document.Name, active.Version, document.Version)
		}
	}
	return nil
}

// publishDocuments publishes the documents in the snapshot that the request
// path reads.
func (f *Follower) publishDocuments(update *versionUpdate) {
	if update.isComplete() {
		contracts := contractsByWorkspace(update.contracts)
		f.control.Publish(server.WithDocuments(f.activeRevision.Version, update.deployment, contracts))
		return
	}
	f.control.Publish(server.WithChanges(f.activeRevision.Version, update.deployment, update.contracts))
}

// removeAbsent removes the active documents that are not among the documents of a
// complete update.
func (f *Follower) removeAbsent(documents []server.Document) {
	remaining := make(map[string]server.Document, len(documents))
	for _, document := range documents {
		remaining[document.Name] = f.documents[document.Name]
	}
	f.documents = remaining
}

// appendHistory adds the revisions of an update to the history. A complete update
// restarts the history.
func (f *Follower) appendHistory(update *versionUpdate) {
	if update.isComplete() {
		f.history = f.history[:0]
	}
	for _, revision := range update.revisions {
		if revision.Version > f.activeRevision.Version {
			f.history = append(f.history, revision)
		}
	}
	if len(f.history) > maxHistoryVersions {
		f.history = slices.Clone(f.history[len(f.history)-maxHistoryVersions:])
	}
}

// setTableState stores the state of the table after a read and the reason for the
// status, and logs the state if it changed.
func (f *Follower) setTableState(state TableState, err error) {
	if err != nil && (f.activeRevision.Version == 0 || state != TableDown) {
		f.reason = "table: " + err.Error()
	}
	if err == nil && f.activeRevision.Version > 0 {
		f.reason = ""
	}
	if err == nil && f.activeRevision.Version == 0 && f.pendingUpdate == nil {
		f.reason = "the table has no version yet"
	}
	if state == f.tableState {
		return
	}
	f.tableState = state
	if err != nil {
		f.log.Error(err, "table", "state", state, "version", f.activeRevision.Version)
		return
	}
	f.log.Info("table", "state", state, "version", f.activeRevision.Version)
}

// publishStatus stores the current status for Status.
func (f *Follower) publishStatus() {
	reason := f.reason
	if f.activeRevision.Version == 0 && len(f.announcedVersions) == 0 {
		reason += "; no peer has announced a version"
	}
	f.status.Store(&Status{
		Revision: f.activeRevision, TableState: f.tableState, Reason: reason, NewestKnown: f.newestKnown, AllSourcesReported: f.tableReported && f.peersReported(),
	})
}
