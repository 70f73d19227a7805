package reserver_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/reserver"
)

// TestReservedAddressesAreFreeAndDiffer guards against two processes of tests that get the same
// address, of which the second fails with "address already in use".
func TestReservedAddressesAreFreeAndDiffer(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range 200 {
		address, release, err := reserver.Reserve()
		is.NoErr(err)
		t.Cleanup(release)
		is.True(!seen[address])
		seen[address] = true
		listener, err := net.Listen("tcp", address)
		is.NoErr(err)
		_ = listener.Close()
	}
}
