package demonstrator

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/examples"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/assembler"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/server/storer"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/client"
	"oriolemill.example/oriolemill/pkg/parser"
)

// listLag is the delay until the platform's list shows a change.
const listLag = 100 * time.Millisecond

// statusPollInterval is the interval between requests for an instance's status.
const statusPollInterval = 20 * time.Millisecond

// demo is the demonstration of one deployment on loopback, with the state that the
// steps share.
type demo struct {
	transcript  *transcript
	example     *examples.Example
	scenario    scenario
	deployment  *parser.Deployment
	contracts   map[string]*parser.Contract
	environment *standin.Environment
	instances   []*assembler.Instance
	// stoppedInstances holds the indexes of the instances that the steps stopped.
	stoppedInstances map[int]bool
	platform         *storer.Storer
	documentStore    *configurer.Configurer
	// rateLimitedRequests counts the rejections of requests by a contract's limit. Each
	// rejected request is sent again later.
	rateLimitedRequests atomic.Int64
}

// newDemo parses the example's documents. The step start starts its processes.
func newDemo(example *examples.Example, out *transcript) (*demo, error) {
	deployment, err := parser.ParseDeployment(configurer.ConfigName, []byte(example.Config()))
	if err != nil {
		return nil, err
	}
	contracts := make(map[string]*parser.Contract)
	for workspace, text := range example.Contracts() {
		contracts[workspace], err = parser.ParseContract(configurer.ContractName(workspace), []byte(text))
		if err != nil {
			return nil, err
		}
	}
	exampleScenario, err := scenarioOf(example.Name(), example.Texts())
	if err != nil {
		return nil, err
	}
	s := &demo{
		transcript: out, example: example, scenario: exampleScenario,
		deployment: deployment, contracts: contracts, stoppedInstances: make(map[int]bool),
	}
	return s, nil
}

// start starts the stand-ins and one instance in each data centre.
func (s *demo) start(_ context.Context) error {
	signingKey := server.NewID().String()
	environment, err := standin.NewEnvironment(s.deployment, standin.DefaultSpeeds(), listLag, standin.WithSigningKey(signingKey))
	if err != nil {
		return err
	}
	s.environment = environment
	s.platform = storer.New(environment.PlatformURL())
	s.documentStore = configurer.New(s.platform, time.Now)
	for _, datacentre := range s.deployment.Datacentres() {
		instance, err := assembler.New(assembler.Settings{
			ID: "mill-" + datacentre.Name(), Datacentre: datacentre.Name(), PlatformURL: environment.PlatformURL(),
			CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0", SigningKey: signingKey,
			Peers: assembler.PeerSettings{Deployment: s.deployment.Name(), Address: "127.0.0.1:0", Security: assembler.SecurityPlain},
		})
		if err != nil {
			return err
		}
		if err := instance.Start(); err != nil {
			return err
		}
		s.instances = append(s.instances, instance)
		environment.InstanceList().Put(server.Listing{
			ID: "mill-" + datacentre.Name(), Service: "oriolemill", Datacentre: datacentre.Name(),
			Address: instance.PeerAddress(), Presence: server.PresenceLive,
		})
	}
	replicas := 0
	for _, name := range s.deployment.ServiceNames() {
		replicas += len(environment.Replicas(name))
	}
	s.transcript.printTitle("%s: %d replicas of %d services, %d instances in %d data centres", s.deployment.Name(),
		replicas, len(s.deployment.ServiceNames()), len(s.instances), len(s.deployment.Datacentres()))
	return nil
}

// close stops the instances that still run, and the stand-ins.
func (s *demo) close() {
	for i, instance := range s.instances {
		if !s.stoppedInstances[i] {
			_ = instance.Stop(context.Background())
		}
	}
	if s.environment != nil {
		s.environment.Close()
	}
}

// workspaceNames returns the sorted names of all workspaces.
func (s *demo) workspaceNames() []string { return slices.Sorted(maps.Keys(s.contracts)) }

// callerClient returns a client that calls one instance with a workspace's API key.
func (s *demo) callerClient(instance int, workspace string) *client.Client {
	return client.New("http://"+s.instances[instance].CallerAddress(), client.WithToken(examples.APIKey(workspace)))
}

// operatorClient returns a client of one instance's interface for operators.
func (s *demo) operatorClient(instance int) *client.Client {
	return client.New("http://" + s.instances[instance].OperatorAddress())
}

// datacentre returns the name of an instance's data centre.
func (s *demo) datacentre(instance int) string { return s.instances[instance].Snapshot().Datacentre() }

// newRequest returns a request of a kind as the workspace's contract defines the kind.
func (s *demo) newRequest(workspace, kind string, input any) (client.Request, error) {
	contractKind := s.contracts[workspace].Kind(kind)
	if contractKind == nil {
		return client.Request{}, merry.Errorf("%s has no kind %q", workspace, kind)
	}
	return client.Request{
		Pipeline: contractKind.Pipeline(), Service: contractKind.Service(), Operation: contractKind.Operation(), Kind: kind, Input: input,
	}, nil
}

// stageNames returns the names of a kind's stages in order. For a kind of a plain
// service it returns the operation's name.
func (s *demo) stageNames(workspace, kind string) []string {
	contractKind := s.contracts[workspace].Kind(kind)
	if contractKind.Pipeline() == "" {
		return []string{contractKind.Operation()}
	}
	var names []string
	for _, stage := range s.deployment.Pipeline(contractKind.Pipeline()).Stages() {
		names = append(names, stage.Name())
	}
	return names
}

// applyDocument applies a new version of a document and returns the version. base is
// the document's version that the text is based on; zero means a new document.
func (s *demo) applyDocument(ctx context.Context, name, text, reason string, base uint64) (uint64, error) {
	return s.documentStore.Apply(ctx, configurer.Change{
		ID: server.NewID(), Name: name, Base: base, Text: text, Operator: "demo", Instance: "demo", Reason: reason,
	})
}

// hasConverged reports whether an instance is ready with the version in force, knows
// every service, and has received from each other instance that it has this version
// in force as well.
func (s *demo) hasConverged(status *client.Status, version uint64) bool {
	if status.Version != version || status.State != "ready" || len(status.Services) != len(s.deployment.ServiceNames()) {
		return false
	}
	convergedPeers := 0
	for _, member := range status.Members {
		if member.ID != status.ID && member.IsReachable && member.Version == version {
			convergedPeers++
		}
	}
	return convergedPeers == len(s.instances)-1
}

// awaitVersion waits until hasConverged is true for every instance. It returns an error
// if ctx ends before that or if an instance has a newer version in force.
func (s *demo) awaitVersion(ctx context.Context, version uint64) error {
	for i := range s.instances {
		for {
			status, err := s.operatorClient(i).Status(ctx)
			if err != nil {
				return err
			}
			if s.hasConverged(status, version) {
				break
			}
			if status.Version > version {
				return merry.Errorf("%s has version %d in force, want %d", status.ID, status.Version, version)
			}
			select {
			case <-ctx.Done():
				return errors.Join(merry.Errorf("%s has version %d in force, want version %d on all instances; members as this instance sees them: %+v", status.ID, status.Version, version, status.Members), ctx.Err())
			case <-time.After(statusPollInterval):
			}
		}
	}
	return nil
}
