package measurer

import (
	"context"
	"crypto/sha256"
	"embed"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/assembler"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/server/storer"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/parser"
)

//go:embed documents/*.yaml
var documentFiles embed.FS

// readyTimeout bounds the wait until an instance has an active configuration.
const readyTimeout = 10 * time.Second

// instanceCount is the number of instances that a measurement runs.
const instanceCount = 2

// deploymentName is the deployment's name in documents/config.yaml.
const deploymentName = "measure"

// datacentres are assigned to the instances in turn.
var datacentres = [...]string{"north", "south"}

// loopbackDeployment is a deployment on loopback: the stand-ins and the instances.
type loopbackDeployment struct {
	environment *standin.Environment
	instances   []*assembler.Instance
}

// newLoopbackDeployment starts the deployment of documents/config.yaml for a scenario. The
// caller closes it.
func newLoopbackDeployment(ctx context.Context, s *scenario, policy Policy) (*loopbackDeployment, error) {
	config, err := documentFiles.ReadFile("documents/config.yaml")
	if err != nil {
		return nil, merry.Prepend(err, "read configuration")
	}
	deployment, err := parser.ParseDeployment("config.yaml", config)
	if err != nil {
		return nil, err
	}
	environment, err := standin.NewEnvironment(deployment, standinSpeeds(), 0)
	if err != nil {
		return nil, err
	}
	d := &loopbackDeployment{environment: environment}
	if err := d.applyAndStart(ctx, s, policy, string(config)); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// applyAndStart applies the configuration and the contracts, then starts the instances.
func (d *loopbackDeployment) applyAndStart(ctx context.Context, scenario *scenario, policy Policy, config string) error {
	if err := d.applyDocument(ctx, configurer.ConfigName, config); err != nil {
		return err
	}
	template, err := documentFiles.ReadFile("documents/contract.yaml")
	if err != nil {
		return merry.Prepend(err, "read contract template")
	}
	for i := range workspaceCount {
		text := renderContract(string(template), scenario, i)
		if err := d.applyDocument(ctx, configurer.ContractName(workspaceName(i)), text); err != nil {
			return err
		}
	}
	for i := range instanceCount {
		if err := d.startInstance(ctx, i, policy); err != nil {
			return err
		}
	}
	return nil
}

// startInstance starts instance i, adds it to the platform's list and waits until it is
// ready.
func (d *loopbackDeployment) startInstance(ctx context.Context, i int, policy Policy) error {
	instance, err := assembler.New(assembler.Settings{
		ID: fmt.Sprintf("instance-%d", i), Datacentre: datacentres[i%len(datacentres)],
		CallerAddress: "127.0.0.1:0", PlatformURL: d.environment.PlatformURL(), BaselinePolicies: policy == PolicyBaseline, RandomPicker: policy == PolicyRandom,
		Peers: assembler.PeerSettings{Deployment: deploymentName, Address: "127.0.0.1:0", Security: assembler.SecurityPlain},
	})
	if err != nil {
		return err
	}
	if err := instance.Start(); err != nil {
		return err
	}
	d.instances = append(d.instances, instance)
	d.environment.InstanceList().Put(server.Listing{
		ID: fmt.Sprintf("instance-%d", i), Service: "oriolemill", Datacentre: datacentres[i%len(datacentres)],
		Address: instance.PeerAddress(), Presence: server.PresenceLive,
	})
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return instance.WaitReady(ctx)
}

// applyDocument stores the text of the named document, as an operator's change does.
func (d *loopbackDeployment) applyDocument(ctx context.Context, name, text string) error {
	documentStore := configurer.New(storer.New(d.environment.PlatformURL()), time.Now)
	_, err := documentStore.Apply(ctx, configurer.Change{ID: server.NewID(), Name: name, Text: text, Operator: "measure", Reason: "measurement"})
	return err
}

// close stops the instances, which ends their requests, then the stand-ins.
func (d *loopbackDeployment) close() {
	for _, instance := range d.instances {
		_ = instance.Stop(context.Background())
	}
	d.environment.Close()
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }

func workspaceKey(i int) string { return fmt.Sprintf("key-of-workspace-%d", i) }

// renderContract fills in the contract of workspace i.
func renderContract(template string, s *scenario, i int) string {
	rate := 0.0
	if i == 0 {
		rate = s.contractRate
	}
	sum := sha256.Sum256([]byte(workspaceKey(i)))
	return strings.NewReplacer(
		"NAME", workspaceName(i),
		"RATE", strconv.FormatFloat(rate, 'f', -1, 64),
		"KEY", hex.EncodeToString(sum[:]),
	).Replace(template)
}
