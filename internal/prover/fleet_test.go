package prover

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/examples"
	"oriolemill.example/oriolemill/internal/reserver"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/server/storer"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/client"
	"oriolemill.example/oriolemill/pkg/parser"
)

// waitTimeout bounds the wait for a process to become ready. It ends tests that hang
// and is no requirement.
const waitTimeout = 20 * time.Second

// process is an instance that runs as a process of its own.
type process struct {
	id              string
	callerAddress   string
	operatorAddress string
	peerAddress     string
	mu              sync.Mutex
	command         *exec.Cmd
	stderr          *bytes.Buffer
	exitResult      chan error
}

// fleet is a deployment: stand-ins for the platform and the services, and instances
// that run as processes.
type fleet struct {
	t         *testing.T
	binary    string
	standIns  *standin.Environment
	instances []*process
	contracts map[string]string
}

// buildBinary builds the program once for all tests and returns its path.
var buildBinary = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "prover")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(folder, "oriolemill")
	command := exec.Command("go", "build", "-o", binary, "oriolemill.example/oriolemill")
	output, err := command.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w\n%s", err, output)
	}
	return binary, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if binary, err := buildBinary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// newFleet starts the stand-ins of an example and count instances, and waits until
// all are ready.
func newFleet(t *testing.T, name string, count int) *fleet {
	t.Helper()
	is := is.New(t)
	binary, err := buildBinary()
	is.NoErr(err)
	example, err := examples.Load(name)
	is.NoErr(err)
	deployment, err := parser.ParseDeployment("config.yaml", []byte(example.Config()))
	is.NoErr(err)
	environment, err := standin.NewEnvironment(deployment, standin.DefaultSpeeds(), 0)
	is.NoErr(err)
	t.Cleanup(environment.Close)
	f := &fleet{t: t, binary: binary, standIns: environment, contracts: example.Contracts()}
	f.applyDocument(configurer.ConfigName, example.Config())
	for workspace, text := range example.Contracts() {
		f.applyDocument(configurer.ContractName(workspace), text)
	}
	for i := range count {
		datacentre := deployment.Datacentres()[i%len(deployment.Datacentres())].Name()
		f.instances = append(f.instances, f.newProcess(fmt.Sprintf("entry-%d", i), datacentre))
	}
	for _, p := range f.instances {
		f.start(p)
	}
	for _, p := range f.instances {
		f.waitReady(p)
	}
	return f
}

// applyDocument writes the first version of a document to the table, without an
// instance.
func (f *fleet) applyDocument(name, text string) {
	f.t.Helper()
	writer := configurer.New(storer.New(f.standIns.PlatformURL()), time.Now)
	_, err := writer.Apply(f.t.Context(), configurer.Change{ID: server.NewID(), Name: name, Text: text, Operator: "test", Reason: "first"})
	is.New(f.t).NoErr(err)
}

// newProcess allocates addresses for an instance and adds it to the platform's list.
func (f *fleet) newProcess(id, datacentre string) *process {
	f.t.Helper()
	p := &process{id: id, callerAddress: freeAddress(f.t), operatorAddress: freeAddress(f.t), peerAddress: freeAddress(f.t)}
	f.standIns.InstanceList().Put(server.Listing{
		ID: id, Service: "oriolemill", Datacentre: datacentre, Address: p.peerAddress, Presence: server.PresenceLive,
	})
	f.t.Cleanup(func() { p.killAndWait() })
	return p
}

// freeAddress returns an address on loopback that nothing else uses until the test ends.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, release, err := reserver.Reserve()
	is.New(t).NoErr(err)
	t.Cleanup(release)
	return address
}

// start starts the process of an instance.
func (f *fleet) start(p *process) {
	f.t.Helper()
	datacentre := "sundsvall-a"
	for _, listing := range f.standIns.InstanceList().Listings() {
		if listing.ID == p.id {
			datacentre = listing.Datacentre
		}
	}
	command := exec.Command(f.binary, "serve", "--id", p.id, "--datacentre", datacentre,
		"--callers", p.callerAddress, "--operators", p.operatorAddress, "--platform", f.standIns.PlatformURL(), "--linger", "200ms",
		"--deployment", "lutvik", "--peers", p.peerAddress, "--peer-security", "plain")
	stderr := &bytes.Buffer{}
	command.Stderr = stderr
	is.New(f.t).NoErr(command.Start())
	exitResult := make(chan error, 1)
	go func() { exitResult <- command.Wait() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.stderr, p.exitResult = command, stderr, exitResult
}

// waitReady fails the test unless the instance becomes ready within waitTimeout.
func (f *fleet) waitReady(p *process) {
	f.t.Helper()
	operatorClient := client.New("http://" + p.operatorAddress)
	defer operatorClient.Close()
	ctx, cancel := context.WithTimeout(f.t.Context(), waitTimeout)
	defer cancel()
	for operatorClient.CheckReady(ctx) != nil {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			f.t.Fatalf("%s is not ready:\n%s", p.id, p.stderrText())
		}
	}
}

// stderrText returns what the process has written to its standard error.
func (p *process) stderrText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stderr.String()
}

// signal sends a signal to the process, unless it was stopped or killed.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// killAndWait kills the process and waits until it has exited.
func (p *process) killAndWait() {
	p.mu.Lock()
	command, exitResult := p.command, p.exitResult
	p.command = nil
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-exitResult
}

// stop sends SIGTERM to the process and returns the result of its exit.
func (p *process) stop() error {
	p.mu.Lock()
	command, exited := p.command, p.exitResult
	p.command = nil
	p.mu.Unlock()
	_ = command.Process.Signal(syscall.SIGTERM)
	return <-exited
}

// setFaults sets the faults of all replicas whose ID begins with prefix.
func (f *fleet) setFaults(prefix string, fault standin.Fault) {
	for _, service := range []string{"encoders", "retrievers", "rerankers", "oriole-pool", "mill-gateway"} {
		for _, id := range f.standIns.Replicas(service) {
			if strings.HasPrefix(id, prefix) {
				f.standIns.Upstream(id).Faults().Set(fault)
			}
		}
	}
}
