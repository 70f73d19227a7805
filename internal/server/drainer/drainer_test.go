package drainer_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/reserver"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/assembler"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/server/drainer"
	"oriolemill.example/oriolemill/internal/server/storer"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/parser"
)

// streamCount and orderCount are the numbers of requests in progress when the stop begins.
const (
	streamCount = 200
	orderCount  = 50
)

// highLimitContract is a contract with limits that the tests never reach. Its API
// key is "demo-skoghammar".
const highLimitContract = `contract: skoghammar
rate: 100000
concurrency: 10000
share: 1
keep: 72h
keys: [%s]
kinds:
  upset: {pipeline: boiler-log, deadline: 60s, weight: 5, priority: urgent, tokens: 400}
  dosing: {service: mill-gateway, operation: dose, deadline: 30s, weight: 8, priority: urgent, effects: true}
`

// newEnvironment starts the stand-ins of the lutvik example with highLimitContract. The
// platform's list lags by the given time.
func newEnvironment(t *testing.T, lag time.Duration) *standin.Environment {
	t.Helper()
	is := is.New(t)
	config, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "lutvik", "config.yaml"))
	is.NoErr(err)
	deployment, err := parser.ParseDeployment("config.yaml", config)
	is.NoErr(err)
	speeds := standin.DefaultSpeeds()
	speeds.Engine.Slots = 64
	speeds.OperationTime = 300 * time.Millisecond
	environment, err := standin.NewEnvironment(deployment, speeds, lag)
	is.NoErr(err)
	t.Cleanup(environment.Close)
	contract, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "lutvik", "contracts", "skoghammar.yaml"))
	is.NoErr(err)
	parsed, err := parser.ParseContract("skoghammar.yaml", contract)
	is.NoErr(err)
	documents := configurer.New(storer.New(environment.PlatformURL()), time.Now)
	apply := func(name, text string) {
		_, err := documents.Apply(context.Background(), configurer.Change{ID: server.NewID(), Name: name, Text: text, Operator: "test", Reason: "test"})
		is.NoErr(err)
	}
	apply(configurer.ConfigName, string(config))
	apply(configurer.ContractName("skoghammar"), fmt.Sprintf(highLimitContract, parsed.KeyHashes()[0]))
	return environment
}

// requestLoad is a set of concurrent requests to one instance.
type requestLoad struct {
	address string
	client  *http.Client
	group   sync.WaitGroup
	mu      sync.Mutex
	// failures describes the failed requests.
	failures []string
	// streamStarted receives one value for each stream, when it has returned its first
	// line or failed.
	streamStarted chan struct{}
}

func newRequestLoad(address string) *requestLoad {
	transport := &http.Transport{MaxIdleConnsPerHost: streamCount + orderCount}
	return &requestLoad{address: address, client: &http.Client{Transport: transport}, streamStarted: make(chan struct{}, streamCount)}
}

// fail records a failed request.
func (l *requestLoad) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

func (l *requestLoad) post(path, accept, key, body string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+l.address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer demo-skoghammar")
	request.Header.Set("Accept", accept)
	request.Header.Set("Idempotency-Key", key)
	return l.client.Do(request)
}

// stream sends a streaming request and reads it up to its end event.
func (l *requestLoad) stream(i int) {
	defer l.group.Done()
	response, err := l.post("/v1/pipelines/boiler-log", "text/event-stream", "", fmt.Sprintf(`{"kind":"upset","input":"bed %d"}`, i))
	if err != nil {
		l.streamStarted <- struct{}{}
		l.fail("stream %d: %v", i, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	first, _ := reader.ReadString('\n')
	l.streamStarted <- struct{}{}
	rest, err := io.ReadAll(reader)
	text := first + string(rest)
	if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(strings.ReplaceAll(text, ": ", ":"), "event:end") {
		l.fail("stream %d: status %d, %v, ends %q", i, response.StatusCode, err, text[max(0, len(text)-80):])
	}
}

// order sends an order.
func (l *requestLoad) order(i int) {
	defer l.group.Done()
	// Stagger the orders, so that they are in different phases.
	time.Sleep(time.Duration(i) * 8 * time.Millisecond)
	response, err := l.post("/v1/services/mill-gateway/dose", "application/json", fmt.Sprintf("d-%d", i), `{"kind":"dosing","input":{"lime_kg":1}}`)
	if err != nil {
		l.fail("order %d: %v", i, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		l.fail("order %d: status %d, %v, %s", i, response.StatusCode, err, text)
	}
}

// start starts all requests. It returns when every stream has returned its first
// line and the goroutines of the orders are started.
func (l *requestLoad) start() {
	l.group.Add(streamCount + orderCount)
	for i := range streamCount {
		go l.stream(i)
	}
	for range streamCount {
		<-l.streamStarted
	}
	for i := range orderCount {
		go l.order(i)
	}
}

// checkAllComplete waits for all requests and checks that each was completed and
// each order ran once.
func (l *requestLoad) checkAllComplete(t *testing.T, environment *standin.Environment) {
	t.Helper()
	is := is.New(t)
	l.group.Wait()
	is.Equal(l.failures, nil) // every stream and order was completed
	maxRuns, keys := environment.Ledger("mill-gateway").MaxRuns()
	is.Equal(maxRuns, 1)
	is.Equal(keys, orderCount)
}

// startInstance starts an instance in this process, with a linger time of 1 s, and
// waits until it is ready.
func startInstance(t *testing.T, environment *standin.Environment) *assembler.Instance {
	t.Helper()
	is := is.New(t)
	instance, err := assembler.New(assembler.Settings{
		ID: "i-0", Datacentre: "sundsvall-a", CallerAddress: "127.0.0.1:0", PlatformURL: environment.PlatformURL(), LingerTime: time.Second,
	})
	is.NoErr(err)
	is.NoErr(instance.Start())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	is.NoErr(instance.WaitReady(ctx))
	return instance
}

func TestInstanceStopCompletesAllRequests(t *testing.T) {
	is := is.New(t)
	environment := newEnvironment(t, 0)
	instance := startInstance(t, environment)
	l := newRequestLoad(instance.CallerAddress())
	l.start()
	stopped := make(chan error, 1)
	go func() { stopped <- instance.Stop(context.Background()) }()
	l.checkAllComplete(t, environment)
	is.NoErr(<-stopped)
	for i := range orderCount {
		row, ok := environment.Platform().Row(server.Key{Table: "orders", Row: fmt.Sprintf("skoghammar/d-%d", i)})
		is.True(ok)
		is.True(strings.Contains(string(row.Value), `"state":"done"`)) // recorded before Stop returned
	}
}

// buildProgram builds the program once and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "oriolemill")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "oriolemill")
	output, err := exec.Command("go", "build", "-o", path, "oriolemill.example/oriolemill").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProgram(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// freeAddress returns an address on loopback that nothing else uses until the test ends.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, release, err := reserver.Reserve()
	is.New(t).NoErr(err)
	t.Cleanup(release)
	return address
}

// waitReady waits until the instance with the given operator address is ready.
func waitReady(t *testing.T, operatorAddress string) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for readiness(operatorAddress) != http.StatusOK {
		if time.Now().After(deadline) {
			t.Fatalf("instance at %s is not ready after 20 s", operatorAddress)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// readiness returns the status code of /readyz, or 0 without a response.
func readiness(operatorAddress string) int {
	response, err := http.Get("http://" + operatorAddress + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestSIGTERMCompletesAllRequests(t *testing.T) {
	is := is.New(t)
	path, err := buildProgram()
	is.NoErr(err)
	environment := newEnvironment(t, 0)
	callerAddress, operatorAddress := freeAddress(t), freeAddress(t)
	var stderr bytes.Buffer
	command := exec.Command(path, "serve", "--id", "i-0", "--datacentre", "sundsvall-a", "--linger", "1s",
		"--callers", callerAddress, "--operators", operatorAddress, "--platform", environment.PlatformURL())
	command.Stderr = &stderr
	is.NoErr(command.Start())
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	defer func() { _ = command.Process.Kill() }()
	waitReady(t, operatorAddress)
	l := newRequestLoad(callerAddress)
	l.start()
	is.NoErr(command.Process.Signal(syscall.SIGTERM))
	begin := time.Now()
	for readiness(operatorAddress) == http.StatusOK && time.Since(begin) < 500*time.Millisecond {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(readiness(operatorAddress) != http.StatusOK) // not ready while requests are still running
	is.NoErr(command.Process.Signal(syscall.SIGTERM))
	l.checkAllComplete(t, environment)
	is.NoErr(<-exited)                                              // exit code 0
	is.Equal(strings.Count(stderr.String(), "already stopping"), 1) // the second SIGTERM is only logged
}

func TestNewRequestsAreServedDuringLinger(t *testing.T) {
	is := is.New(t)
	environment := newEnvironment(t, 0)
	instance := startInstance(t, environment)
	l := newRequestLoad(instance.CallerAddress())
	stopped := make(chan error, 1)
	go func() { stopped <- instance.Stop(context.Background()) }()
	time.Sleep(200 * time.Millisecond)
	l.group.Add(1)
	l.order(0)
	is.Equal(l.failures, nil)
	is.NoErr(<-stopped)
}

// TestLeavingUpstreamReceivesNoNewCalls marks an upstream as leaving in a list that
// lags by 2 s. After 3 s it receives no new calls, and its running streams complete.
func TestLeavingUpstreamReceivesNoNewCalls(t *testing.T) {
	is := is.New(t)
	environment := newEnvironment(t, 2*time.Second)
	instance, err := assembler.New(assembler.Settings{
		ID: "i-0", Datacentre: "sundsvall-a", CallerAddress: "127.0.0.1:0", PlatformURL: environment.PlatformURL(),
	})
	is.NoErr(err)
	is.NoErr(instance.Start())
	defer func() { is.NoErr(instance.Stop(context.Background())) }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	is.NoErr(instance.WaitReady(ctx))
	l := newRequestLoad(instance.CallerAddress())
	l.group.Add(streamCount)
	for i := range streamCount {
		go l.stream(i)
	}
	var leavingUpstream *server.Upstream
	for _, upstream := range instance.Snapshot().Upstreams("oriole-pool") {
		if leavingUpstream == nil || upstream.Gauge().SentAttempts() > leavingUpstream.Gauge().SentAttempts() {
			leavingUpstream = upstream
		}
	}
	environment.InstanceList().Put(server.Listing{
		ID: leavingUpstream.ID(), Service: leavingUpstream.Service(), Datacentre: leavingUpstream.Datacentre(),
		Address: leavingUpstream.Address(), Presence: server.PresenceLeaving,
	})
	time.Sleep(3 * time.Second)
	sentBefore := leavingUpstream.Gauge().SentAttempts()
	l.group.Add(streamCount)
	for i := range streamCount {
		go l.stream(i)
	}
	for range 2 * streamCount {
		<-l.streamStarted
	}
	l.group.Wait()
	is.Equal(l.failures, nil)                                    // running streams were completed
	is.Equal(leavingUpstream.Gauge().SentAttempts(), sentBefore) // no new calls
}

func TestDrainerRunsEveryStepEvenAfterFailure(t *testing.T) {
	is := is.New(t)
	timer := ticker.New()
	defer timer.Close()
	var ranSteps []string
	step := func(name string, err error) drainer.Step {
		return drainer.Step{Name: name, Run: func(context.Context) error { ranSteps = append(ranSteps, name); return err }}
	}
	d, err := drainer.New(timer, 0, drainer.WithDrainHandlers(func() { ranSteps = append(ranSteps, "leave") }),
		drainer.WithSteps(step("callers", io.ErrUnexpectedEOF), step("orders", nil)))
	is.NoErr(err)
	err = d.Drain(context.Background())
	is.True(err != nil && strings.Contains(err.Error(), "callers"))
	is.Equal(ranSteps, []string{"leave", "callers", "orders"})
	_, err = drainer.New(timer, -1)
	is.True(err != nil)
}
