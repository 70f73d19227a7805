package peeker

import (
	"net"
	"syscall"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// tcpClose is the state of a TCP connection that was reset, TCP_CLOSE of the Linux kernel.
const tcpClose = 7

// errReset means that a connection was reset, also if a read or write has returned that error before.
var errReset = merry.New("the connection was reset")

// IsAcknowledged reports whether the other side has acknowledged all bytes that were written on a connection. It
// returns an error if the connection was reset or is closed on this side. A connection whose system states neither
// counts as acknowledged.
func IsAcknowledged(conn net.Conn) (bool, error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true, nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = control.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil:
		return false, err
	case infoErr != nil:
		return true, nil
	case info.State == tcpClose:
		return false, errReset
	default:
		return info.Unacked == 0 && info.Notsent_bytes == 0, nil
	}
}
