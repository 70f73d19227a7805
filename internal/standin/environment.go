package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/signer"
	"oriolemill.example/oriolemill/pkg/parser"
)

// Speeds holds the speeds of the stand-ins in an Environment.
type Speeds struct {
	// PoolSlots is the maximum number of attempts that a pool replica runs at a time.
	PoolSlots int
	// PoolAttemptTime is the duration of one attempt at a pool.
	PoolAttemptTime time.Duration
	// OperationTime is the duration of one operation of a plain service.
	OperationTime time.Duration
	// Engine is the speed of engines.
	Engine EngineSpeed
	// StageFunc computes the outputs of pools; nil means Echo.
	StageFunc StageFunc
}

// DefaultSpeeds returns speeds that are high enough for a demonstration.
func DefaultSpeeds() Speeds {
	return Speeds{
		PoolSlots:       8,
		PoolAttemptTime: 5 * time.Millisecond,
		OperationTime:   5 * time.Millisecond,
		Engine:          EngineSpeed{Slots: 8, PrefillRate: 20000, StepTime: 2 * time.Millisecond},
	}
}

// Limits and speed of the weight store in an Environment.
const (
	weightsPerSecond = 5
	weightBurst      = 2
	weightServeTime  = 20 * time.Millisecond
)

// Environment is a simulated platform with all upstreams of a deployment, on loopback.
type Environment struct {
	platformAddress string
	platform        *Platform
	list            *InstanceList
	platformServer  *Server
	upstreams       map[string]*Server
	services        map[string][]string
	ledgers         map[string]*Ledger
	engines         map[string]*Engine
	weightStore     *WeightStore
	weightServer    *Server
	signingKey      string
}

// EnvironmentOption sets a property of an Environment.
type EnvironmentOption func(*Environment)

// WithPlatformAddress sets the platform's listen address; the default is a free
// port on loopback.
func WithPlatformAddress(address string) EnvironmentOption {
	return func(s *Environment) { s.platformAddress = address }
}

// WithSigningKey sets the key that verifies the tokens of calls, at the services that
// check them. Without a key they accept all calls.
func WithSigningKey(key string) EnvironmentOption {
	return func(s *Environment) { s.signingKey = key }
}

// tokenCheck returns the token check of a service, or nil if the service accepts all
// calls.
func (s *Environment) tokenCheck(service *parser.Service) TokenCheck {
	if s.signingKey == "" || !service.HasTokenCheck() {
		return nil
	}
	verifier := signer.New(s.signingKey, time.Now)
	return func(token string) error { return verifier.Check(service.Name(), token) }
}

// NewEnvironment starts the platform and every replica of the deployment's services. A
// change of the instance list becomes visible after lag.
func NewEnvironment(deployment *parser.Deployment, speeds Speeds, lag time.Duration, options ...EnvironmentOption) (*Environment, error) {
	list := NewInstanceList(lag)
	environment := &Environment{
		platformAddress: "127.0.0.1:0",
		list:            list,
		platform:        NewPlatform(DefaultWriteRate, DefaultReadRate, list),
		upstreams:       make(map[string]*Server),
		services:        make(map[string][]string),
		ledgers:         make(map[string]*Ledger),
		engines:         make(map[string]*Engine),
		weightStore:     NewWeightStore(weightsPerSecond, weightBurst, weightServeTime),
	}
	for _, option := range options {
		option(environment)
	}
	platformServer, err := Listen(environment.platformAddress, environment.platform.Handler(), NewFaultInjector())
	if err != nil {
		return nil, err
	}
	environment.platformServer = platformServer
	environment.weightServer, err = Listen("127.0.0.1:0", environment.weightStore.Handler(), NewFaultInjector())
	if err != nil {
		platformServer.Close()
		return nil, err
	}
	for _, name := range deployment.ServiceNames() {
		if err := environment.startService(deployment, deployment.Service(name), speeds); err != nil {
			environment.Close()
			return nil, err
		}
	}
	return environment, nil
}

// startService starts the replicas of a service, spread evenly over the data centres.
func (s *Environment) startService(deployment *parser.Deployment, service *parser.Service, speeds Speeds) error {
	s.ledgers[service.Name()] = NewLedger()
	datacentres := deployment.Datacentres()
	for i := range service.ReplicaCount() {
		id := fmt.Sprintf("%s-%d", service.Name(), i)
		if err := s.startReplica(id, service, datacentres[i%len(datacentres)].Name(), speeds); err != nil {
			return err
		}
	}
	return nil
}

// startReplica starts one replica and adds it to the instance list.
func (s *Environment) startReplica(id string, service *parser.Service, datacentre string, speeds Speeds) error {
	faultInjector := NewFaultInjector()
	replica, err := Listen("127.0.0.1:0", s.newHandler(id, service, faultInjector, speeds), faultInjector)
	if err != nil {
		return err
	}
	s.upstreams[id] = replica
	s.services[service.Name()] = append(s.services[service.Name()], id)
	s.list.Put(server.Listing{
		ID: id, Service: service.Name(), Datacentre: datacentre,
		Address: replica.Address(), Presence: server.PresenceLive,
	})
	return nil
}

// PlatformURL returns the platform's base URL.
func (s *Environment) PlatformURL() string { return "http://" + s.platformServer.Address() }

// PlatformServer returns the platform's server, whose faults can be set.
func (s *Environment) PlatformServer() *Server { return s.platformServer }

// Platform returns the platform: its table, object store and instance list.
func (s *Environment) Platform() *Platform { return s.platform }

// InstanceList returns the platform's instance list.
func (s *Environment) InstanceList() *InstanceList { return s.list }

// Replicas returns the IDs of a service's replicas.
func (s *Environment) Replicas(service string) []string { return s.services[service] }

// Upstream returns a replica's server by ID, or nil.
func (s *Environment) Upstream(id string) *Server { return s.upstreams[id] }

// Ledger returns the ledger of a service's runs.
func (s *Environment) Ledger(service string) *Ledger { return s.ledgers[service] }

// Engine returns an engine replica by ID, or nil.
func (s *Environment) Engine(id string) *Engine { return s.engines[id] }

// WeightStore returns the weight store.
func (s *Environment) WeightStore() *WeightStore { return s.weightStore }

// Close stops all stand-ins and closes their connections.
func (s *Environment) Close() {
	s.platformServer.Close()
	s.weightServer.Close()
	for _, upstream := range s.upstreams {
		upstream.Close()
	}
}

// Echo is a StageFunc that returns its input in an object under the stage's name.
func Echo(stage string, input json.RawMessage) json.RawMessage {
	output, err := json.Marshal(map[string]json.RawMessage{stage: input})
	if err != nil {
		return json.RawMessage(`null`)
	}
	return output
}

// newHandler returns the handler of a new stand-in for the service's role.
func (s *Environment) newHandler(id string, service *parser.Service, faultInjector *FaultInjector, speeds Speeds) http.Handler {
	switch service.Role() {
	case parser.RoleEngine:
		engine := NewEngine(faultInjector, speeds.Engine,
			WithModels(service.Models()...), WithFenceCheck(service.IsFenced()), WithWeightStore(s.weightServer.Address()), WithEngineTokenCheck(s.tokenCheck(service)))
		s.engines[id] = engine
		return engine.Handler()
	case parser.RolePlain:
		return NewPlainService(faultInjector, s.ledgers[service.Name()], service.IsFenced(), service.HasOrderStatus(), speeds.OperationTime, WithServiceTokenCheck(s.tokenCheck(service))).Handler()
	default:
		stageFunc := speeds.StageFunc
		if stageFunc == nil {
			stageFunc = Echo
		}
		return NewPool(faultInjector, speeds.PoolSlots, speeds.PoolAttemptTime, stageFunc).Handler()
	}
}
