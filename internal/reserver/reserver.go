// Package reserver reserves addresses on loopback for processes that tests start.
package reserver

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/ansel1/merry/v2"
)

const (
	// minPort and maxPort bound the ports. They are below those that systems give to outgoing
	// connections and to listeners on port 0, which could take a port between its reservation
	// and its use.
	minPort = 12000
	maxPort = 30000
	// maxDraws bounds the ports that are tried.
	maxDraws = 1000
)

// Reserve returns an address on loopback that no TCP listener uses and that no other caller
// gets, in this process or another, until release is called. The reservation is a UDP socket
// on the same port.
func Reserve() (address string, release func(), err error) {
	for range maxDraws {
		address = net.JoinHostPort("127.0.0.1", strconv.Itoa(minPort+rand.IntN(maxPort-minPort)))
		reservation, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			_ = reservation.Close()
			continue
		}
		_ = listener.Close()
		return address, func() { _ = reservation.Close() }, nil
	}
	return "", nil, merry.Errorf("no free port from %d to %d in %d draws", minPort, maxPort, maxDraws)
}
