package assembler_test

import (
	"context"
	"net/http"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/assembler"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/server/storer"
	"oriolemill.example/oriolemill/internal/standin"
)

// liftLimits raises the limits of a contract, which other tests cover, beyond what a
// test can reach.
func liftLimits(t testing.TB, environment *standin.Environment, contract string) {
	t.Helper()
	is := is.New(t)
	writer := configurer.New(storer.New(environment.PlatformURL()), time.Now)
	stored, err := writer.Document(t.Context(), configurer.ContractName(contract))
	is.NoErr(err)
	text := regexp.MustCompile(`(?m)^(rate|concurrency): \d+$`).ReplaceAllString(stored.Text, "$1: 1000000")
	is.True(text != stored.Text)
	_, err = writer.Apply(t.Context(), configurer.Change{ID: server.NewID(), Name: stored.Name, Base: stored.Version, Text: text, Operator: "test", Reason: "no limits"})
	is.NoErr(err)
}

// TestNothingIsLostWhileTheTableIsDown guards against requests that depend on the
// platform while they are served: it sends 200 requests without side effects to the
// instance of each data centre while the platform refuses everything. All must
// succeed.
func TestNothingIsLostWhileTheTableIsDown(t *testing.T) {
	const requests, concurrency = 200, 8
	is := is.New(t)
	environment, deployment := newStandIns(t, "lutvik", standin.DefaultSpeeds())
	liftLimits(t, environment, "skoghammar")
	deployments := make(map[string]*testDeployment)
	for _, datacentre := range deployment.Datacentres() {
		instance, err := assembler.New(assembler.Settings{
			ID: "i-" + datacentre.Name(), Datacentre: datacentre.Name(), CallerAddress: "127.0.0.1:0", PlatformURL: environment.PlatformURL(),
			Peers: assembler.PeerSettings{Deployment: "lutvik", Address: "127.0.0.1:0", Security: assembler.SecurityPlain},
		})
		is.NoErr(err)
		environment.InstanceList().Put(server.Listing{
			ID: "i-" + datacentre.Name(), Service: "oriolemill", Datacentre: datacentre.Name(), Address: instance.PeerAddress(), Presence: server.PresenceLive,
		})
		is.NoErr(instance.Start())
		t.Cleanup(func() { is.NoErr(instance.Stop(context.Background())) })
		is.NoErr(instance.WaitReady(t.Context()))
		deployments[datacentre.Name()] = &testDeployment{environment: environment, instance: instance}
	}
	for _, from := range deployments {
		for datacentre := range deployments {
			for from != deployments[datacentre] && !isReachable(from.instance, "i-"+datacentre) {
				time.Sleep(time.Millisecond) // bounded by the timeout of the test
			}
		}
	}
	environment.PlatformServer().Faults().Set(standin.Fault{Outage: true})
	before := environment.Platform().CommitCount()
	var mu sync.Mutex
	succeeded := make(map[string]int)
	var wait sync.WaitGroup
	for datacentre, s := range deployments {
		for worker := range concurrency {
			wait.Go(func() {
				for i := worker; i < requests; i += concurrency {
					path, body := "/v1/services/kiln-watch/trend", `{"kind":"kiln","input":1}`
					if i%2 == 0 {
						path, body = "/v1/pipelines/boiler-log", upsetRequest
					}
					status, text := s.post(t, path, "demo-skoghammar", "application/json", body)
					mu.Lock()
					if status == http.StatusOK {
						succeeded[datacentre]++
					} else {
						t.Errorf("%s, request %d: %d %s", datacentre, i, status, text)
					}
					mu.Unlock()
				}
			})
		}
	}
	wait.Wait()
	is.Equal(len(succeeded), 3)
	for _, count := range succeeded {
		is.Equal(count, requests)
	}
	is.Equal(environment.Platform().CommitCount(), before) // the platform was down all the time
	environment.PlatformServer().Faults().Set(standin.Fault{})
}
