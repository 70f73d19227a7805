package tunneler

import (
	"net"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestConnectionToSilentReplicaIsGivenUp guards against connections that are passed on to a replica which neither reads nor
// ends its connection, and that keep their place among those of the helper after the instance has ended its own.
func TestConnectionToSilentReplicaIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		conn, instance := net.Pipe()
		upstream, replica := net.Pipe()
		defer func() { _ = replica.Close() }()
		done := make(chan struct{})
		go func() { pass(conn, upstream, true); close(done) }()
		_, err := instance.Write(make([]byte, 2*frameBytes))
		is.NoErr(err)
		is.NoErr(instance.Close())
		<-done
	})
}
