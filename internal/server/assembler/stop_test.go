package assembler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/assembler"
	"oriolemill.example/oriolemill/internal/server/leaser"
	"oriolemill.example/oriolemill/internal/standin"
)

// endlessLinger is a linger time that is longer than any test; the context of Stop ends
// it.
const endlessLinger = time.Hour

// startLinkedInstances starts three instances that connect to each other, and returns
// them by ID once each can reach the two others.
func startLinkedInstances(t *testing.T, environment *standin.Environment, datacentre string) map[string]*assembler.Instance {
	t.Helper()
	is := is.New(t)
	instances := make(map[string]*assembler.Instance)
	for i := range 3 {
		id := fmt.Sprintf("j-%d", i)
		instance, err := assembler.New(assembler.Settings{
			ID: id, Datacentre: datacentre, CallerAddress: "127.0.0.1:0", PlatformURL: environment.PlatformURL(), LingerTime: endlessLinger,
			Peers: assembler.PeerSettings{Deployment: "lutvik", Address: "127.0.0.1:0", Security: assembler.SecurityPlain},
		})
		is.NoErr(err)
		environment.InstanceList().Put(server.Listing{
			ID: id, Service: "oriolemill", Datacentre: datacentre, Address: instance.PeerAddress(), Presence: server.PresenceLive,
		})
		is.NoErr(instance.Start())
		instances[id] = instance
	}
	for from, instance := range instances {
		for to := range instances {
			for from != to && !isReachable(instance, to) {
				time.Sleep(time.Millisecond) // bounded by the timeout of the test
			}
		}
	}
	return instances
}

// leaseRecord returns the record of the planner's lease in the table; its holder is
// "" if there is none.
func leaseRecord(environment *standin.Environment) leaser.Record {
	var record leaser.Record
	row, ok := environment.Platform().Row(server.Key{Table: "leases", Row: "planner"})
	if ok {
		_ = json.Unmarshal(row.Value, &record)
	}
	return record
}

// beginStop begins to stop an instance; end cuts the linger time short and returns when
// the instance has stopped.
func beginStop(instance *assembler.Instance) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = instance.Stop(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// TestStopAnnouncesItselfAndReleasesTheLease guards against peers and leases that wait
// for a timeout after a planned stop. It stops the holder of the planner's lease among
// three instances. During the linger time the others must show it as unreachable, and
// when it has stopped the lease must be free or held by another instance, without a
// wait until it expires.
func TestStopAnnouncesItselfAndReleasesTheLease(t *testing.T) {
	is := is.New(t)
	environment, deployment := newStandIns(t, "lutvik", standin.DefaultSpeeds())
	instances := startLinkedInstances(t, environment, deployment.Datacentres()[0].Name())
	stopped := make(map[string]func())
	for range 2 {
		record := leaseRecord(environment)
		for record.Holder == "" {
			time.Sleep(time.Millisecond)
			record = leaseRecord(environment)
		}
		id := record.Holder[:3]
		is.True(stopped[id] == nil) // not an instance that has stopped
		end := beginStop(instances[id])
		stopped[id] = end
		for other, instance := range instances {
			for stopped[other] == nil && isReachable(instance, id) {
				time.Sleep(time.Millisecond) // the instance still lingers, so only its announcement ends this
			}
		}
		is.Equal(leaseRecord(environment).Holder, record.Holder) // held until the requests have ended
		end()
		after := leaseRecord(environment)
		is.True(after.Holder != record.Holder)
	}
	for id, instance := range instances {
		if stopped[id] == nil {
			beginStop(instance)()
		}
	}
}

// TestStopCompletesWhileTheTableIsUnresponsive guards against a stop that waits for the
// table: it stops three instances while the table accepts calls and never responds.
func TestStopCompletesWhileTheTableIsUnresponsive(t *testing.T) {
	environment, deployment := newStandIns(t, "lutvik", standin.DefaultSpeeds())
	instances := startLinkedInstances(t, environment, deployment.Datacentres()[0].Name())
	environment.PlatformServer().Faults().Set(standin.Fault{Paused: true})
	for _, instance := range instances {
		beginStop(instance)() // bounded by the timeout of the test
	}
	environment.PlatformServer().Faults().Set(standin.Fault{})
}
