// Package assembler builds an instance from its settings.
package assembler

import (
	"cmp"
	"context"
	"errors"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/blocker"
	"oriolemill.example/oriolemill/internal/server/caller"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/drainer"
	"oriolemill.example/oriolemill/internal/server/editor"
	"oriolemill.example/oriolemill/internal/server/guarder"
	"oriolemill.example/oriolemill/internal/server/indexer"
	"oriolemill.example/oriolemill/internal/server/leaser"
	"oriolemill.example/oriolemill/internal/server/limiter"
	"oriolemill.example/oriolemill/internal/server/listener"
	"oriolemill.example/oriolemill/internal/server/meter"
	"oriolemill.example/oriolemill/internal/server/operator"
	"oriolemill.example/oriolemill/internal/server/orderer"
	"oriolemill.example/oriolemill/internal/server/pauser"
	"oriolemill.example/oriolemill/internal/server/peerer"
	"oriolemill.example/oriolemill/internal/server/picker"
	"oriolemill.example/oriolemill/internal/server/planner"
	"oriolemill.example/oriolemill/internal/server/reporter"
	"oriolemill.example/oriolemill/internal/server/runner"
	"oriolemill.example/oriolemill/internal/server/signer"
	"oriolemill.example/oriolemill/internal/server/storer"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/server/watcher"
)

// Settings are the settings of an instance. New validates those of the peers; the
// caller must have validated the others.
type Settings struct {
	// ID is the unique name of the instance.
	ID string
	// Datacentre is the name of the data centre that the instance runs in.
	Datacentre string
	// CallerAddress is the address for requests of callers, host:port.
	CallerAddress string
	// OperatorAddress is the address for requests of operators, host:port; "" selects a
	// free port on loopback.
	OperatorAddress string
	// Peers configures the connections between instances; without an address there
	// are none.
	Peers PeerSettings
	// PlatformURL is the base URL of the platform's table, objects and list.
	PlatformURL string
	// BootstrapHash is the hexadecimal SHA-256 hash of the only token that may apply
	// the first configuration, while none names operators; "" allows everyone.
	BootstrapHash string
	// BaselinePolicies replaces all policies by the simple ones of newBaselinePolicies, for
	// comparison in measurements.
	BaselinePolicies bool
	// RandomPicker replaces only the choice of replicas by a random one, for comparison.
	RandomPicker bool
	// Log receives a line for each change of state; the zero value discards them.
	Log logr.Logger
	// LingerTime is how long new requests are still served after a stop has begun.
	LingerTime time.Duration
	// SigningKey is the key that signs requests for services that check tokens, which
	// share it; "" signs none.
	SigningKey string
}

// Instance is one running instance.
type Instance struct {
	timer                *ticker.Ticker
	controller           *controller.Controller
	watcher              *watcher.Watcher
	configurer           *configurer.Configurer
	follower             *configurer.Follower
	limiter              *limiter.Limiter
	peerer               *peerer.Peerer
	blocker              *blocker.Blocker
	caller               *caller.Caller
	pauser               *pauser.Pauser
	eventPoller          *indexer.EventPoller
	usesBaselinePolicies bool
	planner              *planner.Planner
	plannerLease         *leaser.Lease
	listener             *listener.Listener
	meter                *meter.Meter
	operator             *operator.Operator
	reporter             *reporter.Reporter
	orderer              *orderer.Orderer
	// table is the platform's table behind a circuit breaker.
	table           *guarder.Guarder
	id              string
	lingerTime      time.Duration
	callerAddress   string
	operatorAddress string
	peerAddress     string
}

// New builds an instance and opens its sockets; Start begins to serve.
func New(settings Settings) (*Instance, error) {
	callerListener, err := net.Listen("tcp", settings.CallerAddress)
	if err != nil {
		return nil, merry.Prepend(err, "listen for callers")
	}
	operatorListener, err := net.Listen("tcp", cmp.Or(settings.OperatorAddress, "127.0.0.1:0"))
	if err != nil {
		_ = callerListener.Close()
		return nil, merry.Prepend(err, "listen for operators")
	}
	timer := ticker.New()
	control := controller.New(timer, server.WithDatacentre(settings.Datacentre))
	platform := storer.New(settings.PlatformURL)
	pauses := pauser.New(settings.Log, timer)
	upstreams := caller.New(caller.WithTransport(pauses.Transport), caller.WithToken(serviceTokens(signer.New(settings.SigningKey, timer.Now), control.Snapshot)))
	instance := &Instance{
		timer:         timer,
		controller:    control,
		watcher:       watcher.New(control, platform, upstreams),
		caller:        upstreams,
		pauser:        pauses,
		meter:         meter.New(),
		table:         guarder.New(platform, timer.Now),
		id:            settings.ID,
		lingerTime:    settings.LingerTime,
		callerAddress: callerListener.Addr().String(),

		operatorAddress: operatorListener.Addr().String(),
	}
	log := settings.Log.WithValues("instance", settings.ID, "datacentre", settings.Datacentre)
	instance.reporter = reporter.New(log, timer, control.Snapshot)
	if err := errors.Join(instance.buildConfiguration(platform, log), instance.buildPeerLinks(settings), instance.buildBlocker(log), instance.buildPlanner(), instance.buildRequestPath(callerListener, settings)); err != nil {
		_ = callerListener.Close()
		_ = operatorListener.Close()
		return nil, err
	}
	instance.operator = operator.New(operatorListener, operator.Dependencies{
		ID: settings.ID, Snapshot: control.Snapshot, Gatherer: instance.meter.Registry(), Now: timer.Now,
	},
		operator.WithRoutes(instance.operatorRoutes()...),
		operator.WithBootstrapHash(settings.BootstrapHash),
		operator.WithTableState(func() string { return string(instance.follower.Status().TableState) }),
		operator.WithNotReadyReason(func() string { return instance.follower.Status().Reason }))
	return instance, nil
}

// serviceTokens returns a function that returns the signed token for a service that
// checks tokens, and "" for any other service.
func serviceTokens(tokenSigner *signer.Signer, snapshot func() *server.Snapshot) func(service string) string {
	return func(name string) string {
		deployment := snapshot().Deployment()
		if deployment == nil {
			return ""
		}
		if service := deployment.Service(name); service == nil || !service.HasTokenCheck() {
			return ""
		}
		return tokenSigner.Token(name)
	}
}

// buildConfiguration creates the components that store documents and activate them.
func (i *Instance) buildConfiguration(table server.Table, log logr.Logger) error {
	i.configurer = configurer.New(table, i.timer.Now, configurer.WithPrecondition(func(head configurer.Head) error { return i.follower.CheckHead(head) }))
	i.follower = configurer.NewFollower(i.controller, i.configurer, configurer.WithLog(log))
	for _, collector := range i.follower.Collectors() {
		if err := i.meter.Registry().Register(collector); err != nil {
			return merry.Prepend(err, "register metrics")
		}
	}
	return nil
}

// operatorRoutes returns the routes for documents and orders on the operators'
// interface.
func (i *Instance) operatorRoutes() []operator.Route {
	documentEditor := editor.New(editor.Dependencies{ID: i.id, Configurer: i.configurer, Follower: i.follower, Orders: i.orderer, Snapshot: i.controller.Snapshot})
	return documentEditor.Routes()
}

// buildRequestPath creates the components that serve callers, from the listener to
// the policies.
func (i *Instance) buildRequestPath(callerListener net.Listener, settings Settings) error {
	policies, err := i.newPolicies()
	if err != nil {
		return err
	}
	if i.usesBaselinePolicies = settings.BaselinePolicies; i.usesBaselinePolicies {
		policies = i.newBaselinePolicies()
	}
	if settings.RandomPicker {
		policies.picker = picker.NewRandom()
	}
	i.orderer = orderer.New(orderer.Dependencies{
		ID: i.id, Table: i.table, Service: i.caller, Picker: policies.picker, Timer: i.timer, Snapshot: i.controller.Snapshot, RequestBlocker: i.blocker,
		UntilAvailable: i.pauser.UntilAvailable,
	})
	dependencies := runner.Dependencies{
		Picker:   policies.picker,
		Admitter: policies.admitter,
		Limiter:  i.limiter,
		Retrier:  policies.retrier,
		Orderer:  i.orderer,
		Pool:     i.caller,
		Engine:   i.caller,
		Service:  i.caller,
		Observer: policies.observer,
		Timer:    i.timer,

		RequestBlocker: i.blocker,
		UntilAvailable: i.pauser.UntilAvailable,
	}
	requestRunner, err := runner.New(dependencies, i.controller.Snapshot)
	if err != nil {
		return err
	}
	i.listener = listener.New(callerListener, listener.Dependencies{
		Runner: requestRunner, Orderer: i.orderer, Meter: i.meter, Snapshot: i.controller.Snapshot, Now: i.timer.Now,
	})
	return nil
}

// CallerAddress returns the address for callers, host:port.
func (i *Instance) CallerAddress() string { return i.callerAddress }

// OperatorAddress returns the address for operators, host:port.
func (i *Instance) OperatorAddress() string { return i.operatorAddress }

// Snapshot returns the snapshot that is active now.
func (i *Instance) Snapshot() *server.Snapshot { return i.controller.Snapshot() }

// Start begins to follow the platform and to serve callers and operators.
func (i *Instance) Start() error {
	i.reporter.Start(i.callerAddress, i.operatorAddress)
	i.controller.Start()
	if i.peerer != nil {
		i.peerer.Start()
	}
	i.limiter.Start()
	i.follower.Start()
	i.watcher.Start()
	i.orderer.Start()
	if !i.usesBaselinePolicies {
		i.eventPoller.Start()
	}
	i.plannerLease.Start()
	i.planner.Start()
	return errors.Join(i.listener.Start(), i.operator.Start())
}

// Stop drains and ends the instance: it returns when every request in progress has
// ended, or earlier with an error when ctx ends.
func (i *Instance) Stop(ctx context.Context) error {
	drain, err := drainer.New(i.timer, i.lingerTime,
		drainer.WithDrainHandlers(i.operator.BeginDrain, i.reporter.BeginDrain, i.listener.BeginDrain, i.announceStop),
		drainer.WithSteps(
			drainer.Step{Name: "waiting for requests in progress", Run: i.listener.Shutdown},
			drainer.Step{Name: "waiting for orders in progress", Run: i.orderer.Drain},
		),
	)
	if err != nil {
		return err
	}
	err = drain.Drain(ctx)
	i.orderer.Stop()
	i.eventPoller.Stop()
	i.planner.Stop()
	i.plannerLease.Stop()
	i.limiter.Stop()
	i.watcher.Stop()
	i.follower.Stop()
	i.blocker.Close()
	if i.peerer != nil {
		i.peerer.Stop()
	}
	i.timer.Close()
	i.controller.Stop()
	i.caller.Close()
	err = errors.Join(err, i.operator.Shutdown(ctx))
	i.reporter.Stop(err)
	return err
}

// WaitReady returns nil once a version is active and the snapshot has upstreams, or
// an error when ctx ends.
func (i *Instance) WaitReady(ctx context.Context) error {
	for {
		snapshot := i.Snapshot()
		services := 0
		for range snapshot.Services() {
			services++
		}
		if snapshot.Version() > 0 && services > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Prepend(context.Cause(ctx), "wait for a configuration version and upstreams")
		case <-time.After(readyPollInterval):
		}
	}
}

// readyPollInterval is the interval at which WaitReady checks the snapshot.
const readyPollInterval = 10 * time.Millisecond
