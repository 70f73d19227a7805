package assembler_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/assembler"
)

// TestInstancesConnectToEachOther starts two instances with peer settings and waits
// until each can reach the other, which it finds by the platform's list.
func TestInstancesConnectToEachOther(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, "lutvik")
	start := func(id string) *assembler.Instance {
		instance, err := assembler.New(assembler.Settings{
			ID: id, Datacentre: "umea-c", CallerAddress: "127.0.0.1:0", PlatformURL: s.environment.PlatformURL(),
			Peers: assembler.PeerSettings{Deployment: "lutvik", Address: "127.0.0.1:0", Security: assembler.SecurityPlain},
		})
		is.NoErr(err)
		s.environment.InstanceList().Put(server.Listing{ID: id, Service: "oriolemill", Datacentre: "umea-c", Address: instance.PeerAddress(), Presence: server.PresenceLive})
		is.NoErr(instance.Start())
		t.Cleanup(func() { is.NoErr(instance.Stop(context.Background())) })
		return instance
	}
	a, b := start("i-1"), start("i-2")
	for !isReachable(a, "i-2") || !isReachable(b, "i-1") {
		time.Sleep(10 * time.Millisecond) // bounded by the timeout of the test
	}
}

// isReachable reports whether an instance can reach the peer with the given ID.
func isReachable(instance *assembler.Instance, id string) bool {
	for _, member := range instance.Snapshot().Members() {
		if member.Listing.ID == id {
			return member.IsReachable
		}
	}
	return false
}

func TestNewRejectsIncompletePeerSettings(t *testing.T) {
	is := is.New(t)
	for _, peers := range []assembler.PeerSettings{
		{Deployment: "lutvik", Address: "127.0.0.1:0", Security: assembler.SecurityTLS},
		{Address: "127.0.0.1:0", Security: assembler.SecurityPlain},
	} {
		_, err := assembler.New(assembler.Settings{ID: "i-1", CallerAddress: "127.0.0.1:0", PlatformURL: "http://127.0.0.1:1", Peers: peers})
		is.True(errors.Is(err, server.ErrInvalid))
	}
}
