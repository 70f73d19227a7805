// Package peerer keeps the links between the instances that package assembler
// builds. Over the links they exchange heartbeats, their active versions, the load of
// upstreams and the credits of limits. The instances that package composer builds are
// linked by package linker instead.
//
// The platform's list says which instances exist, but lags behind; the links say
// which of them respond.
package peerer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/charter"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// MaxMeshInstances is the number of instances up to which all are linked to all.
	MaxMeshInstances = 16
	// chartName names the state chart of a session.
	chartName      = "instance"
	digestInterval = time.Second
	// checkInterval is how often links, failed dials and summaries are checked for
	// their age.
	checkInterval = 250 * time.Millisecond
	// silenceTimeout is the time without a frame after which a link is closed.
	silenceTimeout = 2500 * time.Millisecond
	// unreachableTTL is how long an instance counts as unreachable after a dial or
	// link to it failed. Where a direct link is needed it does so until there is one.
	unreachableTTL = 10 * time.Second
	// summaryMaxAge is the age from which a data centre's summary is stale and its
	// instances count as unreachable.
	summaryMaxAge = 8 * time.Second
	// summaryInterval is how often an unchanged data centre summary is sent again.
	summaryInterval   = 3 * time.Second
	keyReloadInterval = 5 * time.Second
	helloTimeout      = 2 * time.Second
	// flushTimeout bounds the sending of queued frames when the peerer stops.
	flushTimeout = time.Second
	// A retry waits half of baseRetryDelay plus a random time, whose bound doubles from
	// baseRetryDelay up to maxRetryDelay.
	baseRetryDelay = 250 * time.Millisecond
	maxRetryDelay  = 4 * time.Second
	// retriesBeforeSecondDial is the number of retries after which the instance with the
	// higher ID would wait as long as it does before its first dial.
	retriesBeforeSecondDial = 2
	// maxHops is the greatest number of relays that forward one frame.
	maxHops = 4
)

// Self identifies this instance.
type Self struct {
	// Deployment is the name that all instances of one deployment share.
	Deployment string
	// ID is the instance's ID in the platform's list.
	ID string
	// Datacentre is the data centre that it runs in.
	Datacentre string
}

// Peerer keeps the links to the other instances of the deployment. Its state
// belongs to the control goroutine, except for the atomic fields and isStopped.
type Peerer struct {
	control     *controller.Controller
	transport   Transport
	credentials *Credentials
	self        Self
	// incarnation identifies this process; it changes with each start.
	incarnation      string
	maxMeshInstances int
	machine          *charter.Machine[*session]
	documents        server.DocumentProvider
	loadHandler      LoadHandler
	creditHandler    CreditHandler
	promptHandler    PromptHandler
	// version is the configuration version that is active on this instance.
	version atomic.Uint64
	state   atomic.Pointer[peerState]
	// hasListings is set once a reading of the platform's list was applied.
	hasListings bool
	// listings holds the other listed instances by ID.
	listings map[string]server.Listing
	// upstreamIDs are the listed upstreams of this data centre, in order.
	upstreamIDs []string
	// plannedVersion is the configuration version that the links were planned for.
	plannedVersion uint64
	// leavingIncarnations holds, by instance ID, the incarnation that announced that
	// it is leaving.
	leavingIncarnations map[string]string
	// unreachableAt is when a dial or link to an instance last failed, by its ID.
	unreachableAt map[string]time.Time
	links         map[string]*link
	sessions      map[string]*session
	// summaries holds what relays reported of the other data centres, by name.
	summaries map[string]*datacentreSummary
	// inflightByPeer holds the inflight counts that linked instances reported, by
	// instance ID and the hash of the upstream's ID.
	inflightByPeer map[string]map[uint32]int
	// peerVersions holds the newest version that each instance reported as active, by
	// its ID.
	peerVersions map[string]uint64
	localLoads   localLoads
	// datacentreNames holds the names of data centres by their hashes.
	datacentreNames map[uint32]string
	// sentInfo and receivedInfo hold what was last sent to and received from peers, by
	// the hash of the upstream's ID.
	sentInfo     map[uint32]upstreamInfo
	receivedInfo map[uint32]upstreamInfo
	// membershipChanges counts the changes of the set of live instances and of the
	// summaries. Each makes all summaries due.
	membershipChanges uint64
	startedAt         time.Time
	stopTimers        []func()
	ctx               context.Context
	cancel            context.CancelFunc
	goroutines        sync.WaitGroup
	// stopMu guards isStopped: no goroutine is added once Stop waits for them.
	stopMu     sync.Mutex
	isStopped  bool
	sentBytes  atomic.Uint64
	sentFrames atomic.Uint64
}

// LoadHandler receives the load reports that other instances polled.
type LoadHandler interface {
	// ApplyLoadReports is called on the control goroutine.
	ApplyLoadReports(reports []LoadReport)
}

// CreditHandler handles the requests and grants of credits that peers send. Its
// methods are called by the links' goroutines and must not block.
type CreditHandler interface {
	// HandleCreditRequest returns the response to an instance's credit request, or nil if
	// there is none.
	HandleCreditRequest(from string, request *encoder.CreditRequest) *encoder.CreditGrant
	// HandleCreditGrant handles the response to a credit request of this instance.
	HandleCreditGrant(from string, grant *encoder.CreditGrant)
	// NotifyInstancesChanged is called when the set of live instances has changed.
	NotifyInstancesChanged(now time.Time)
}

// PromptHandler handles what peers know of parts of prompts that crash engines. It is called by
// the links' goroutines and must not block.
type PromptHandler interface {
	HandleMessage(from string, message *encoder.PromptParts)
}

// Option sets a property of a Peerer.
type Option func(*Peerer)

// WithMaxMeshInstances replaces MaxMeshInstances.
func WithMaxMeshInstances(limit int) Option { return func(p *Peerer) { p.maxMeshInstances = limit } }

// WithCredentials makes the peerer reload the keys when their files change.
func WithCredentials(credentials *Credentials) Option {
	return func(p *Peerer) { p.credentials = credentials }
}

// New returns a Peerer that is not started.
func New(control *controller.Controller, transport Transport, self Self, options ...Option) (*Peerer, error) {
	if self.ID == "" || self.Deployment == "" {
		return nil, merry.Prepend(server.ErrInvalid, "peers need an instance ID and a deployment")
	}
	chart, err := charter.Load(chartName)
	if err != nil {
		return nil, err
	}
	machine, err := charter.NewMachine(chart, actions())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Peerer{
		control: control, transport: transport, self: self, incarnation: server.NewID().String(), maxMeshInstances: MaxMeshInstances, machine: machine,
		listings: make(map[string]server.Listing), leavingIncarnations: make(map[string]string), unreachableAt: make(map[string]time.Time),
		links: make(map[string]*link), sessions: make(map[string]*session), summaries: make(map[string]*datacentreSummary),
		inflightByPeer: make(map[string]map[uint32]int), peerVersions: make(map[string]uint64), ctx: ctx, cancel: cancel,
		datacentreNames: make(map[uint32]string), sentInfo: make(map[uint32]upstreamInfo), receivedInfo: make(map[uint32]upstreamInfo),
	}
	for _, option := range options {
		option(p)
	}
	p.state.Store(&peerState{topology: newTopology(p.newNode(self.ID, self.Datacentre), []node{p.newNode(self.ID, self.Datacentre)}, p.maxMeshInstances)})
	return p, nil
}

// SetHandlers sets the source of the active documents and the handlers of load reports
// and credits. Each may be nil. It must be called before Start.
func (p *Peerer) SetHandlers(documents server.DocumentProvider, loads LoadHandler, credits CreditHandler) {
	p.documents = documents
	p.loadHandler = loads
	p.creditHandler = credits
}

// SetPromptHandler sets the handler of what peers know of parts of prompts. It must be called
// before Start.
func (p *Peerer) SetPromptHandler(handler PromptHandler) { p.promptHandler = handler }

// Start begins to accept links and starts the periodic tasks.
func (p *Peerer) Start() {
	p.startedAt = p.control.Timer().Now()
	p.spawn(p.acceptLinks)
	timer := p.control.Timer()
	p.stopTimers = append(p.stopTimers,
		timer.Every(digestInterval, func(time.Time) { p.control.TryPost(controller.EventFunc(p.sendDigests)) }),
		timer.Every(checkInterval, func(now time.Time) { p.control.TryPost(controller.EventFunc(func() { p.checkLinks(now) })) }),
	)
	if p.credentials != nil {
		p.stopTimers = append(p.stopTimers, timer.Every(keyReloadInterval, func(time.Time) { p.control.TryPost(controller.EventFunc(p.reloadKeys)) }))
	}
}

// reloadKeys reads the key files in a worker. After an error the current keys stay
// in use and the files are read again at the next interval.
func (p *Peerer) reloadKeys() {
	p.control.Go(func(context.Context) controller.Event {
		_, _ = p.credentials.Reload()
		return nil
	})
}

// AnnounceLeaving announces to all linked instances that this one is leaving. It is safe
// for concurrent use.
func (p *Peerer) AnnounceLeaving() {
	for _, l := range p.state.Load().links {
		l.queue.push(&encoder.Frame{Body: &encoder.Frame_Leaving{Leaving: &encoder.Leaving{}}})
	}
}

// spawn runs work in a goroutine that Stop waits for. After Stop it does nothing.
func (p *Peerer) spawn(work func()) {
	p.stopMu.Lock()
	defer p.stopMu.Unlock()
	if !p.isStopped {
		p.goroutines.Go(work)
	}
}

// Stop sends the queued frames, for at most flushTimeout, closes all links and
// waits for their goroutines.
func (p *Peerer) Stop() {
	p.flush()
	for _, stop := range p.stopTimers {
		stop()
	}
	p.stopMu.Lock()
	p.isStopped = true
	p.stopMu.Unlock()
	p.cancel()
	_ = p.transport.Close()
	for _, l := range p.state.Load().links {
		_ = l.conn.Close()
	}
	p.goroutines.Wait()
}

// flush returns when every link's queue is sent, or after flushTimeout.
func (p *Peerer) flush() {
	expired := make(chan struct{})
	stop := p.control.Timer().After(flushTimeout, func(time.Time) { close(expired) })
	defer stop()
	for _, l := range p.state.Load().links {
		select {
		case <-l.queue.whenEmpty():
		case <-l.writerDone:
		case <-expired:
			return
		}
	}
}

// SentTotals returns the number of frames sent so far and their bytes, without
// those that the transport adds. It is safe for concurrent use.
func (p *Peerer) SentTotals() (frames, bytes uint64) { return p.sentFrames.Load(), p.sentBytes.Load() }

// acceptLinks serves the links that other instances open, until the transport is
// closed.
func (p *Peerer) acceptLinks() {
	for {
		conn, err := p.transport.Accept()
		if err != nil {
			return
		}
		p.spawn(func() {
			s := &session{peerer: p, conn: conn}
			if exchangeHellos(p.ctx, s) == triggerGreeted {
				serveLink(p.ctx, s)
			}
		})
	}
}

// Announce implements server.DocumentSource: it sends this instance's active version to
// the linked instances. It must be called on the control goroutine.
func (p *Peerer) Announce(revision server.Revision) {
	p.version.Store(revision.Version)
	for _, l := range p.links {
		l.queue.push(&encoder.Frame{Body: &encoder.Frame_ConfigVersion{ConfigVersion: &encoder.ConfigVersion{Version: revision.Version}}})
	}
}

// AllPeersReported implements server.DocumentSource: it reports whether the platform's
// list was read and all planned links are open, so that all of these peers have sent
// their versions. It must be called on the control goroutine.
func (p *Peerer) AllPeersReported() bool {
	if !p.hasListings {
		return false
	}
	for _, id := range p.state.Load().topology.neighbours() {
		if p.links[id] == nil {
			return false
		}
	}
	return true
}

// FetchBundle implements server.DocumentSource: it fetches the documents changed after a
// version from a linked instance. It is safe for concurrent use.
func (p *Peerer) FetchBundle(ctx context.Context, peer string, after uint64) (server.Bundle, error) {
	l := p.state.Load().links[peer]
	if l == nil {
		return server.Bundle{}, server.NewFault("fetch", peer, server.ErrUnavailable)
	}
	response, err := l.conn.Fetch(ctx, after)
	if err != nil {
		return server.Bundle{}, server.NewFault("fetch", peer, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	bundle := server.Bundle{Revision: decodeRevision(response.GetRevision()), Base: decodeRevision(response.GetBase())}
	for _, d := range response.GetDocuments() {
		bundle.Documents = append(bundle.Documents, server.Document{Name: d.GetName(), Version: d.GetVersion(), Text: d.GetText(), CheckedForm: d.GetCheckedForm()})
	}
	return bundle, nil
}

// documentsAfter returns the documents changed after a version, for a peer that
// fetches them. It blocks until the control goroutine has responded. It returns nil if
// there is no source of documents or the peerer stops.
func (p *Peerer) documentsAfter(after uint64) *encoder.DocumentsResponse {
	if p.documents == nil {
		return nil
	}
	result := make(chan server.Bundle, 1)
	p.control.Post(controller.EventFunc(func() { result <- p.documents.BundleSince(after) }))
	select {
	case bundle := <-result:
		response := &encoder.DocumentsResponse{Revision: encodeRevision(bundle.Revision), Base: encodeRevision(bundle.Base)}
		for _, d := range bundle.Documents {
			response.Documents = append(response.Documents, &encoder.Document{Name: d.Name, Version: d.Version, Text: d.Text, CheckedForm: d.CheckedForm})
		}
		return response
	case <-p.ctx.Done():
		return nil
	}
}

func encodeRevision(revision server.Revision) *encoder.Revision {
	return &encoder.Revision{Version: revision.Version, ChainHash: revision.ChainHash}
}

func decodeRevision(revision *encoder.Revision) server.Revision {
	return server.Revision{Version: revision.GetVersion(), ChainHash: revision.GetChainHash()}
}
