// Package composer builds an instance that relays client requests to the replicas
// that are registered in the platform's store.
package composer

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/accountant"
	"oriolemill.example/oriolemill/internal/server/batcher"
	"oriolemill.example/oriolemill/internal/server/blocker"
	"oriolemill.example/oriolemill/internal/server/budgeter"
	"oriolemill.example/oriolemill/internal/server/chooser"
	"oriolemill.example/oriolemill/internal/server/chronicler"
	"oriolemill.example/oriolemill/internal/server/dialer"
	"oriolemill.example/oriolemill/internal/server/exchanger"
	"oriolemill.example/oriolemill/internal/server/fronter"
	"oriolemill.example/oriolemill/internal/server/gossiper"
	"oriolemill.example/oriolemill/internal/server/linker"
	"oriolemill.example/oriolemill/internal/server/meter"
	"oriolemill.example/oriolemill/internal/server/pauser"
	"oriolemill.example/oriolemill/internal/server/pinner"
	"oriolemill.example/oriolemill/internal/server/rater"
	"oriolemill.example/oriolemill/internal/server/recorder"
	"oriolemill.example/oriolemill/internal/server/registrar"
	"oriolemill.example/oriolemill/internal/server/relayer"
	"oriolemill.example/oriolemill/internal/server/stager"
	"oriolemill.example/oriolemill/internal/server/throttler"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/server/tracker"
	"oriolemill.example/oriolemill/internal/server/tunneler"
	"oriolemill.example/oriolemill/internal/server/verifier"
)

// memoryLimitShare is the share of Settings.MemoryBytes that is set as the soft
// memory limit of the Go runtime.
const memoryLimitShare = 0.6

// Adapter translates between the protocols of the platform and the types of this
// project.
type Adapter struct {
	// Codec translates the headers and bodies of requests.
	Codec server.Codec
	// RowDecoder decodes rows of the store.
	RowDecoder server.RowDecoder
	// Store is the platform's store.
	Store server.Store
}

// Instance is one running instance. Its exported methods are called in the order
// Start, WatchSettings, Stop.
type Instance struct {
	settings          Settings
	log               logr.Logger
	recorder          *recorder.Recorder
	timer             *ticker.Ticker
	store             server.Store
	registrar         *registrar.Registrar
	linker            *linker.Linker
	gossiper          *gossiper.Gossiper
	owner             *batcher.Owner
	submitter         *batcher.Submitter
	pinner            *pinner.Pinner
	blocker           *blocker.Blocker
	throttler         *throttler.Throttler
	pauser            *pauser.Pauser
	verifier          *verifier.Verifier
	chronicler        *chronicler.Chronicler
	rater             *rater.Rater
	speedSender       *rater.Sender
	chooser           *chooser.Chooser
	dialer            *dialer.Dialer
	dialerOptions     []dialer.Option
	tunnel            *tunneler.Client
	helper            *tunneler.Helper
	relayer           *relayer.Relayer
	accountant        *accountant.Accountant
	clientConns       *tracker.Tracker
	fronter           *fronter.Fronter
	meter             *meter.RelayMeter
	maxStreamAge      time.Duration
	self              server.Instance
	readinessListener net.Listener
	metricsListener   net.Listener
	// auxiliaryServers serve readiness and metrics.
	auxiliaryServers []*http.Server
	// isStopping is set once the stop has begun.
	isStopping atomic.Bool
	// wasReady is set once the instance has become ready.
	wasReady atomic.Bool
	// viewMu serializes applyView; concurrent calls would mix the views that
	// components receive.
	viewMu sync.Mutex
	// isRegistering is set while register runs.
	isRegistering atomic.Bool
	ctx           context.Context
	cancel        context.CancelFunc
	background    sync.WaitGroup
}

// Option sets a property of an Instance.
type Option func(*Instance)

// WithReplicaDial replaces the function that opens connections to replicas.
func WithReplicaDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(i *Instance) { i.dialerOptions = append(i.dialerOptions, dialer.WithDial(dial)) }
}

// WithMaxStreamAge replaces relayer.MaxStreamAge.
func WithMaxStreamAge(age time.Duration) Option {
	return func(i *Instance) { i.maxStreamAge = age }
}

// New builds an instance and opens its sockets; Start begins to serve. The log is
// written to out as JSON lines.
func New(settings Settings, adapter Adapter, out io.Writer, options ...Option) (*Instance, error) {
	if err := settings.CheckClientLimits(); err != nil {
		return nil, err
	}
	relayMeter := meter.NewRelayMeter()
	i := &Instance{settings: settings, store: adapter.Store, meter: relayMeter, maxStreamAge: relayer.MaxStreamAge}
	for _, option := range options {
		option(i)
	}
	timer := ticker.New(ticker.WithDelayRecorder(relayMeter.RecordTimerDelay), ticker.WithBlockedHandler(i.reportBlockedTimer))
	logRecorder := recorder.New(out, timer)
	log := logr.FromSlogHandler(slog.NewJSONHandler(logRecorder, nil)).WithValues("instance", settings.ID)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryBytes)))
	i.log, i.recorder, i.timer = log, logRecorder, timer
	i.ctx, i.cancel = context.WithCancel(context.Background())
	listeners, err := i.listen()
	if err != nil {
		return nil, err
	}
	i.self = server.Instance{
		ID: settings.ID, Address: settings.PeerAddress.String(), Datacentre: settings.Datacentre, StartMillis: timer.Now().UnixMilli(),
		CapacityWeight: settings.CapacityWeight(),
	}
	i.registrar = i.newRegistrar(adapter.RowDecoder)
	i.linker = linker.New(log, timer, i.self, listeners.peers, linker.WithUnreachableHandler(i.removeUnreachableInstance),
		linker.WithConnHandler(tunneler.FirstByte, func(conn net.Conn) { i.helper.Serve(conn) }))
	i.gossiper = gossiper.New(log, timer, i.registrar, i.linker)
	budget := budgeter.New(timer, settings.Bounds.RetryRatio, settings.Bounds.RetrySlack, settings.Bounds.RetryWindow, i.linker.MemberCount)
	i.verifier = verifier.New(timer, i.registrar.FailingSince)
	i.tunnel = tunneler.NewClient(log, timer, i.linker, tunneler.WithRegions(settings.Regions, settings.Region))
	i.dialer = dialer.New(timer, append(i.dialerOptions, dialer.WithTunnel(i.tunnel), dialer.WithPathHandler(i.reportPath), dialer.WithBreakHandler(i.verifier.RecordBreak))...)
	i.throttler = throttler.New(log, timer, settings.ID, i.linker, throttler.WithColdBound(settings.Bounds.ColdRatio, settings.Bounds.ColdSlack))
	i.pauser = pauser.New(log, timer)
	i.helper = tunneler.NewHelper(log, i.dialer, func(id string) (server.Replica, bool) { return i.registrar.View().Replica(id) }, tunneler.WithPauses(i.pauser), tunneler.WithMaxConnections(settings.maxRelayedConns()))
	upstreamExchanger := exchanger.New(i.dialer, adapter.Codec, exchanger.WithServing(func(replica *server.Replica) bool { return i.registrar.View().IsServing(replica) }),
		exchanger.WithEvacuation(func(replica *server.Replica) bool { return i.registrar.View().IsEvacuated(replica) }), exchanger.WithLeavingHandler(i.registrar.RecordLeaving), exchanger.WithLimits(timer, i.throttler), exchanger.WithPauses(timer, i.pauser))
	i.blocker = blocker.New(log, timer, i.linker, blocker.WithArchive(adapter.Store), blocker.WithServingCheck(i.servingCheck(upstreamExchanger)))
	i.buildChooser()
	i.owner = i.newOwner(upstreamExchanger, budget)
	i.submitter = batcher.NewSubmitter(log, timer, i.linker, i.owner)
	i.pinner = pinner.New(timer, i.linker, pinner.WithArchive(log, adapter.Store, pinner.ArchiveRow(i.self.ID, strconv.FormatInt(i.self.StartMillis, 10)),
		func(service string) bool {
			return i.registrar.View().HasMixedVersions(service, timer.Now().Add(-pinner.Retention))
		}))
	i.chronicler = chronicler.New(log, timer, adapter.Store, adapter.RowDecoder, i.registrar, settings.Tables.Replicas,
		func() bool { return i.linker.OwnerID("versions") == i.self.ID }, chronicler.WithFirstStart(settings.IsFirstStart))
	i.accountant = i.newAccountant()
	i.relayer = i.newRelayer(adapter, upstreamExchanger, budget)
	i.fronter = i.newFronter(listeners.clients, i.relayer)
	i.registerCounters()
	return i, nil
}

// newRegistrar builds the copy of the tables of the store. Its handlers use components that are built after it, and are not
// called before Start.
func (i *Instance) newRegistrar(decoder server.RowDecoder) *registrar.Registrar {
	return registrar.New(i.log, i.timer, decoder, i.settings.Tables, registrar.WithChangeHandler(i.applyView), registrar.WithRegions(i.settings.Regions),
		registrar.WithColdHandler(func(replicas []server.Replica) { i.throttler.RecordCold(replicas) }),
		registrar.WithLeaders(func(table string) bool { return i.gossiper.HasLeader(table) }, func() bool { return i.gossiper.IsLeader() }, gossiper.LeaderWatchTimeout),
		registrar.WithWatchTurns(func() (index, count int) { return i.linker.Position() }),
		registrar.WithOutageHandler(func(outage server.Outage) { i.gossiper.NotifyOutageEnd(outage) }))
}

// buildChooser builds the component that chooses replicas, and those that learn their speeds.
func (i *Instance) buildChooser() {
	i.rater = rater.New(i.log, i.timer, cmp.Or(i.settings.Speeds, rater.ModeStated), i.settings.ID, i.linker)
	i.speedSender = rater.NewSender(i.timer, i.rater, i.linker)
	i.chooser = chooser.New(i.timer, chooser.WithSpeeds(i.rater))
}

// newOwner builds the component that owns stage services.
func (i *Instance) newOwner(upstreamExchanger *exchanger.Exchanger, budget server.RetryBudget) *batcher.Owner {
	return batcher.NewOwner(i.log, i.timer, upstreamExchanger, budget, batcher.WithBlocker(i.blocker), batcher.WithPauses(i.pauser), batcher.WithShares(i.settings.Shares),
		batcher.WithReturning(returningPolicy(&i.settings)), batcher.WithPaceStatements(i.rater.HasStatements))
}

// returningPolicy returns the policy on returning clients.
func returningPolicy(settings *Settings) batcher.ReturningPolicy {
	return cmp.Or(settings.Returning, batcher.ReturningAtPatient)
}

// newRelayer builds the component that handles clients' requests.
func (i *Instance) newRelayer(adapter Adapter, upstreamExchanger *exchanger.Exchanger, budget server.RetryBudget) *relayer.Relayer {
	return relayer.New(relayer.Dependencies{
		Log: i.log, Timer: i.timer, View: i.registrar.View, Codec: adapter.Codec, Chooser: i.chooser, Exchanger: upstreamExchanger,
		Stager: stager.New(i.log, i.timer, i.submitter), Budget: budget, WaitEstimator: i.submitter, Origins: i.pinner, RequestBlocker: i.blocker, Limits: i.throttler,
		PrefersReturning: i.settings.Shares == batcher.SharesOfWorkspaces, Returning: returningPolicy(&i.settings),
		RestorePeriods: i.chronicler.Restore,
		ConfirmView: func(ctx context.Context, since time.Time) (*registrar.View, error) {
			return i.registrar.Confirm(ctx, i.store, since)
		}, MaxStreamAge: i.maxStreamAge, Incarnations: i.verifier,
		Pauses: i.pauser, InstanceCount: i.linker.MemberCount, Accountant: i.accountant, WriteTimeout: i.settings.ClientLimits.withDefaults().WriteTimeout, Meter: i.meter,
	})
}

// servingCheck returns a function that asks a replica whether an incarnation of it still serves.
func (i *Instance) servingCheck(upstreamExchanger *exchanger.Exchanger) func(ctx context.Context, incarnation string) bool {
	return func(ctx context.Context, incarnation string) bool {
		replica, ok := i.registrar.View().Replica(server.IncarnationReplicaID(incarnation))
		if !ok || replica.Incarnation() != incarnation {
			return false
		}
		statement := upstreamExchanger.AskStart(ctx, &replica)
		return statement.IsStated && statement.StartMillis == replica.StartMillis
	}
}

// reportBlockedTimer logs that a function of the timer service does not return. The line is written
// at once, as the recorder itself relies on the timer service.
func (i *Instance) reportBlockedTimer(function string) {
	i.log.Info("a function of the timer service does not return", "function", function)
	i.recorder.Flush()
}

// reportPath logs that the path to the replicas of a service is lost or is back.
func (i *Instance) reportPath(service string, isLost bool) {
	if isLost {
		i.log.Info("path to a service is lost; requests go through other instances", "service", service)
		return
	}
	i.log.Info("path to a service is back", "service", service)
}

// listeners are the listeners that New passes to other components.
type listeners struct {
	clients, peers net.Listener
}

// listen opens all sockets; if one fails, it closes the others.
func (i *Instance) listen() (*listeners, error) {
	var openListeners []net.Listener
	var listenErr error
	open := func(name, address string, control func(network, address string, conn syscall.RawConn) error) net.Listener {
		if listenErr != nil {
			return nil
		}
		config := net.ListenConfig{Control: control}
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			listenErr = merry.Prepend(err, name)
			return nil
		}
		openListeners = append(openListeners, listener)
		return listener
	}
	result := &listeners{clients: open("listening for clients", i.settings.ClientAddress, boundSocket), peers: open("listening for peers", i.settings.PeerAddress.String(), nil)}
	i.readinessListener = open("listening for readiness probes", i.settings.ReadinessAddress, boundSocket)
	if i.settings.MetricsPort > 0 {
		i.metricsListener = open("listening for metrics requests", (&net.TCPAddr{IP: i.settings.PeerAddress.IP, Port: i.settings.MetricsPort}).String(), boundSocket)
	}
	if listenErr == nil {
		return result, nil
	}
	for _, listener := range openListeners {
		_ = listener.Close()
	}
	return nil, listenErr
}

// Start begins to watch the store, to register the instance there and to serve.
func (i *Instance) Start() {
	i.log.Info("started", "clients", i.settings.ClientAddress, "readiness", i.settings.ReadinessAddress, "peers", i.self.Address,
		"store", i.settings.StoreAddress, "datacentre", i.self.Datacentre, "born", i.self.StartMillis)
	i.logClientLimits()
	i.linker.Start(i.handleFrame)
	i.background.Go(func() { i.registrar.Run(i.ctx, i.store) })
	i.background.Go(i.register)
	i.fronter.Start()
	i.serveAuxiliary(i.readinessListener, i.readyHandler())
	if i.metricsListener != nil {
		i.serveAuxiliary(i.metricsListener, i.metricsHandler())
	}
}

// serveAuxiliary serves HTTP for the platform rather than for clients.
func (i *Instance) serveAuxiliary(listener net.Listener, handler http.Handler) {
	auxiliary, bounded := i.newAuxiliaryServer(listener, handler)
	i.auxiliaryServers = append(i.auxiliaryServers, auxiliary)
	i.background.Go(func() {
		if err := auxiliary.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			i.log.Error(err, "listener failed and is no longer served", "address", listener.Addr().String())
		}
	})
}

// readyHandler responds with status 200 while the instance takes client requests,
// otherwise with 503.
func (i *Instance) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if i.isStopping.Load() || !i.registrar.View().IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// ActiveRequests returns the number of client requests in progress.
func (i *Instance) ActiveRequests() int64 { return i.relayer.ActiveRequests() }

// AvailableInstances returns the number of instances that respond to this one, itself included.
func (i *Instance) AvailableInstances() int { return len(i.linker.AvailableInstances()) }
