// Package composer puts an instance together that relays clients' requests to
// the replicas that the platform's store names.
package composer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/batcher"
	"oriolemill.example/oriolemill/internal/server/budgeter"
	"oriolemill.example/oriolemill/internal/server/chooser"
	"oriolemill.example/oriolemill/internal/server/dialer"
	"oriolemill.example/oriolemill/internal/server/exchanger"
	"oriolemill.example/oriolemill/internal/server/fronter"
	"oriolemill.example/oriolemill/internal/server/gossiper"
	"oriolemill.example/oriolemill/internal/server/linker"
	"oriolemill.example/oriolemill/internal/server/meter"
	"oriolemill.example/oriolemill/internal/server/recorder"
	"oriolemill.example/oriolemill/internal/server/registrar"
	"oriolemill.example/oriolemill/internal/server/relayer"
	"oriolemill.example/oriolemill/internal/server/stager"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// memoryPart is the part of the memory that the collector keeps the heap in.
const memoryPart = 0.6

// Adapter translates between the platform and the project.
type Adapter struct {
	Wire    server.Wire
	Decoder server.Decoder
	Feed    server.Feed
}

// Instance is one running instance.
type Instance struct {
	settings  Settings
	log       logr.Logger
	recorder  *recorder.Recorder
	timer     *ticker.Ticker
	feed      server.Feed
	registrar *registrar.Registrar
	linker    *linker.Linker
	gossiper  *gossiper.Gossiper
	owner     *batcher.Owner
	sharer    *batcher.Sharer
	chooser   *chooser.Chooser
	dialer    *dialer.Dialer
	relayer   *relayer.Relayer
	fronter   *fronter.Fronter
	meter     *meter.Relay
	self      server.Instance
	readiness net.Listener
	metrics   net.Listener
	asides    []*http.Server
	stopping  atomic.Bool
	ready     atomic.Bool
	// following guards the parts that follow views against views out of order.
	following sync.Mutex
	putting   atomic.Bool
	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup
}

// New puts an instance together and opens its sockets; Start begins to serve.
func New(settings Settings, adapter Adapter, out io.Writer) (*Instance, error) {
	timer := ticker.New()
	lines := recorder.New(out, timer)
	log := logr.FromSlogHandler(slog.NewJSONHandler(lines, nil)).WithValues("instance", settings.ID)
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.Memory)))
	i := &Instance{settings: settings, log: log, recorder: lines, timer: timer, feed: adapter.Feed, meter: meter.NewRelay()}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	sockets, err := i.listen()
	if err != nil {
		return nil, err
	}
	i.self = server.Instance{
		ID: settings.ID, Address: settings.Peers.String(), Datacentre: settings.Datacentre, Born: timer.Now().UnixMilli(),
		Strength: settings.Strength(),
	}
	i.registrar = registrar.New(log, timer, adapter.Decoder, settings.Tables, registrar.WithChanged(i.changed),
		registrar.WithLeaders(func(table string) bool { return i.gossiper.Led(table) }, func() bool { return i.gossiper.Leading() }, gossiper.LeadWait))
	i.linker = linker.New(log, timer, i.self, sockets.peers, linker.WithLost(i.prune))
	i.gossiper = gossiper.New(log, timer, i.registrar, i.linker)
	budget := budgeter.New(timer, settings.Bounds.Ratio, settings.Bounds.Slack, settings.Bounds.Window, i.linker.Count)
	i.dialer = dialer.New(timer)
	exchanges := exchanger.New(i.dialer, adapter.Wire)
	i.owner = batcher.NewOwner(log, timer, exchanges, budget)
	i.sharer = batcher.NewSharer(log, timer, i.linker, i.owner)
	i.chooser = chooser.New(timer)
	i.relayer = relayer.New(relayer.Parts{
		Log: log, Timer: timer, View: i.registrar.View, Wire: adapter.Wire, Chooser: i.chooser, Exchanger: exchanges,
		Stager: stager.New(log, timer, i.sharer), Budget: budget, Estimates: i.sharer, Meter: i.meter,
	})
	i.fronter = fronter.New(log, sockets.clients, i.relayer)
	i.count()
	return i, nil
}

type sockets struct {
	clients, peers net.Listener
}

// listen opens all sockets, or none.
func (i *Instance) listen() (*sockets, error) {
	var opened []net.Listener
	var failed error
	open := func(name, address string) net.Listener {
		if failed != nil {
			return nil
		}
		socket, err := net.Listen("tcp", address)
		if err != nil {
			failed = merry.Prepend(err, name)
			return nil
		}
		opened = append(opened, socket)
		return socket
	}
	s := &sockets{clients: open("clients", i.settings.Clients), peers: open("peers", i.settings.Peers.String())}
	i.readiness = open("readiness", i.settings.Readiness)
	if i.settings.Metrics > 0 {
		i.metrics = open("metrics", (&net.TCPAddr{IP: i.settings.Peers.IP, Port: i.settings.Metrics}).String())
	}
	if failed == nil {
		return s, nil
	}
	for _, socket := range opened {
		_ = socket.Close()
	}
	return nil, failed
}

// Start begins to follow the store and to serve.
func (i *Instance) Start() {
	i.log.Info("started", "clients", i.settings.Clients, "readiness", i.settings.Readiness, "peers", i.self.Address,
		"store", i.settings.Store, "datacentre", i.self.Datacentre, "born", i.self.Born)
	i.linker.Start(i.handle)
	i.work.Go(func() { i.registrar.Run(i.ctx, i.feed) })
	i.work.Go(i.join)
	i.fronter.Start()
	i.aside(i.readiness, i.readyHandler())
	if i.metrics != nil {
		i.aside(i.metrics, i.metricsHandler())
	}
}

// aside serves a socket that clients do not reach.
func (i *Instance) aside(socket net.Listener, handler http.Handler) {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: asideTimeout}
	i.asides = append(i.asides, s)
	i.work.Go(func() {
		if err := s.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			i.log.Error(err, "socket is not served any more", "address", socket.Addr().String())
		}
	})
}

// asideTimeout bounds the head of a request that is not a client's.
const asideTimeout = 2 * time.Second

func (i *Instance) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if i.stopping.Load() || !i.registrar.View().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// Active returns the number of clients' requests in progress.
func (i *Instance) Active() int64 { return i.relayer.Active() }
