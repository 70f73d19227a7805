// Package peerer links the instances of a deployment: who is there, which
// version each has in force, the load of upstreams, and credits of limits.
//
// The platform's lagging list says who exists; the links say who answers.
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

// Periods and bounds.
const (
	// MeshLimit is the number of instances up to which all are linked to all.
	MeshLimit     = 16
	chartName     = "instance"
	digestPeriod  = time.Second
	checkPeriod   = 250 * time.Millisecond
	silentAfter   = 2500 * time.Millisecond
	lostFor       = 10 * time.Second
	summaryFresh  = 8 * time.Second
	summaryPeriod = 3 * time.Second
	keysPeriod    = 5 * time.Second
	greetTimeout  = 2 * time.Second
	flushWait     = time.Second
	firstRetry    = 250 * time.Millisecond
	lastRetry     = 4 * time.Second
	hopsLimit     = 4
)

// Self says who this instance is.
type Self struct {
	// Deployment is the name that all instances of one deployment share.
	Deployment string
	// ID is the instance's ID in the platform's list.
	ID string
	// Datacentre is where it runs.
	Datacentre string
}

// Peerer keeps the links. Its state is touched on the control goroutine, but
// for the routes, which are replaced as a whole.
type Peerer struct {
	control     *controller.Controller
	transport   Transport
	credentials *Credentials
	self        Self
	life        string
	mesh        int
	machine     *charter.Machine[*session]
	documents   server.Documents
	loads       Loads
	credits     CreditHandler
	version     atomic.Uint64
	routes      atomic.Pointer[routes]
	listRead    bool
	listed      map[string]server.Listing
	upstreams   []string
	planned     uint64
	left        map[string]string
	lost        map[string]time.Time
	links       map[string]*link
	sessions    map[string]*session
	summaries   map[string]*summary
	told        map[string]map[uint32]int
	versions    map[string]uint64
	spread      spread
	places      map[uint32]string
	traitsTold  map[uint32]traits
	traitsHeard map[uint32]traits
	changes     uint64
	started     time.Time
	stops       []func()
	ctx         context.Context
	cancel      context.CancelFunc
	work        sync.WaitGroup
	// ending guards work against goroutines that begin after Stop waits.
	ending sync.Mutex
	ended  bool
	sent   atomic.Uint64
	frames atomic.Uint64
}

// Loads takes the load reports that other instances polled.
type Loads interface {
	// TakeLoads is called on the control goroutine.
	TakeLoads(reports []Report)
}

// CreditHandler takes asks and grants of credits. Its methods are called by
// the links' goroutines and must not wait.
type CreditHandler interface {
	// Asked returns the answer to an instance's ask, or nil for none.
	Asked(from string, ask *encoder.CreditAsk) *encoder.CreditGrant
	// Granted takes the answer to an ask.
	Granted(from string, grant *encoder.CreditGrant)
	// Changed tells that the set of answering instances is another now.
	Changed(now time.Time)
}

// Option sets a property of a Peerer.
type Option func(*Peerer)

// WithMesh replaces MeshLimit.
func WithMesh(limit int) Option { return func(p *Peerer) { p.mesh = limit } }

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
		control: control, transport: transport, self: self, life: server.NewID().String(), mesh: MeshLimit, machine: machine,
		listed: make(map[string]server.Listing), left: make(map[string]string), lost: make(map[string]time.Time),
		links: make(map[string]*link), sessions: make(map[string]*session), summaries: make(map[string]*summary),
		told: make(map[string]map[uint32]int), versions: make(map[string]uint64), ctx: ctx, cancel: cancel,
		places: make(map[uint32]string), traitsTold: make(map[uint32]traits), traitsHeard: make(map[uint32]traits),
	}
	for _, option := range options {
		option(p)
	}
	p.routes.Store(&routes{topology: newTopology(p.node(self.ID, self.Datacentre), []node{p.node(self.ID, self.Datacentre)}, p.mesh)})
	return p, nil
}

// Follow joins the documents in force, the loads and the credits; each may be
// nil. It must be called before Start.
func (p *Peerer) Follow(documents server.Documents, loads Loads, credits CreditHandler) {
	p.documents = documents
	p.loads = loads
	p.credits = credits
}

// Start accepts links and subscribes to the timer.
func (p *Peerer) Start() {
	p.started = p.control.Timer().Now()
	p.spawn(p.accept)
	timer := p.control.Timer()
	p.stops = append(p.stops,
		timer.Every(digestPeriod, func(time.Time) { p.control.Offer(controller.EventFunc(p.sendDigests)) }),
		timer.Every(checkPeriod, func(now time.Time) { p.control.Offer(controller.EventFunc(func() { p.check(now) })) }),
	)
	if p.credentials != nil {
		p.stops = append(p.stops, timer.Every(keysPeriod, func(time.Time) { p.control.Offer(controller.EventFunc(p.refreshKeys)) }))
	}
}

// refreshKeys reads the key files in a worker. A faulty file leaves the keys in
// use; the next look tries again.
func (p *Peerer) refreshKeys() {
	p.control.Go(func(context.Context) controller.Event {
		_, _ = p.credentials.Refresh()
		return nil
	})
}

// Leave tells all peers that this instance goes away.
func (p *Peerer) Leave() {
	for _, l := range p.routes.Load().links {
		l.queue.push(&encoder.Frame{Body: &encoder.Frame_Leaving{Leaving: &encoder.Leaving{}}})
	}
}

// spawn runs a goroutine that Stop waits for; after Stop it runs nothing.
func (p *Peerer) spawn(work func()) {
	p.ending.Lock()
	defer p.ending.Unlock()
	if !p.ended {
		p.work.Go(work)
	}
}

// Stop sends what is queued, for at most flushWait, and ends all links.
func (p *Peerer) Stop() {
	p.flush()
	for _, stop := range p.stops {
		stop()
	}
	p.ending.Lock()
	p.ended = true
	p.ending.Unlock()
	p.cancel()
	_ = p.transport.Close()
	for _, l := range p.routes.Load().links {
		_ = l.conn.Close()
	}
	p.work.Wait()
}

// flush returns when every link's queue is sent, or after flushWait.
func (p *Peerer) flush() {
	late := make(chan struct{})
	stop := p.control.Timer().After(flushWait, func(time.Time) { close(late) })
	defer stop()
	for _, l := range p.routes.Load().links {
		select {
		case <-l.queue.empty():
		case <-l.ended:
		case <-late:
			return
		}
	}
}

// Frames returns the frames sent so far, and their bytes without the transport's.
func (p *Peerer) Frames() (frames, bytes uint64) { return p.frames.Load(), p.sent.Load() }

func (p *Peerer) accept() {
	for {
		conn, err := p.transport.Accept()
		if err != nil {
			return
		}
		p.spawn(func() {
			s := &session{peerer: p, conn: conn}
			if greet(p.ctx, s) == greeted {
				serve(p.ctx, s)
			}
		})
	}
}

// Announce implements server.Source.
func (p *Peerer) Announce(link server.Link) {
	p.version.Store(link.Version)
	for _, l := range p.links {
		l.queue.push(&encoder.Frame{Body: &encoder.Frame_Announce{Announce: &encoder.Announce{Version: link.Version}}})
	}
}

// Settled implements server.Source.
func (p *Peerer) Settled() bool {
	if !p.listRead {
		return false
	}
	for _, id := range p.routes.Load().topology.neighbours() {
		if p.links[id] == nil {
			return false
		}
	}
	return true
}

// Fetch implements server.Source.
func (p *Peerer) Fetch(ctx context.Context, peer string, after uint64) (server.Bundle, error) {
	l := p.routes.Load().links[peer]
	if l == nil {
		return server.Bundle{}, server.NewFault("fetch", peer, server.ErrUnavailable)
	}
	answer, err := l.conn.Fetch(ctx, after)
	if err != nil {
		return server.Bundle{}, server.NewFault("fetch", peer, merry.Prepend(server.ErrUnavailable, err.Error()))
	}
	bundle := server.Bundle{Link: fromLink(answer.GetLink()), After: fromLink(answer.GetAfter())}
	for _, d := range answer.GetDocuments() {
		bundle.Documents = append(bundle.Documents, server.Document{Name: d.GetName(), Version: d.GetVersion(), Text: d.GetText(), Form: d.GetForm()})
	}
	return bundle, nil
}

// answer serves documents to a peer: it asks control and waits for it.
func (p *Peerer) answer(after uint64) *encoder.DocumentsAnswer {
	if p.documents == nil {
		return nil
	}
	result := make(chan server.Bundle, 1)
	p.control.Post(controller.EventFunc(func() { result <- p.documents.Bundle(after) }))
	select {
	case bundle := <-result:
		answer := &encoder.DocumentsAnswer{Link: toLink(bundle.Link), After: toLink(bundle.After)}
		for _, d := range bundle.Documents {
			answer.Documents = append(answer.Documents, &encoder.Document{Name: d.Name, Version: d.Version, Text: d.Text, Form: d.Form})
		}
		return answer
	case <-p.ctx.Done():
		return nil
	}
}

func toLink(link server.Link) *encoder.Link {
	return &encoder.Link{Version: link.Version, Chain: link.Chain}
}

func fromLink(link *encoder.Link) server.Link {
	return server.Link{Version: link.GetVersion(), Chain: link.GetChain()}
}
