// Package peeker looks at the input of a connection without reading it, and at what the other side has
// acknowledged. The result is that of the moment, while a goroutine that reads from the connection may run late.
package peeker

import (
	"errors"
	"net"
	"syscall"
)

// State is the state of a connection's input.
type State uint8

// The states of a connection's input.
const (
	// StateQuiet means that the connection is open and has no unread input.
	StateQuiet State = iota
	// StateInput means that there is unread input. The other side may have closed the
	// connection after it.
	StateInput
	// StateClosed means that the other side has closed or reset the connection and all
	// input was read, or that the connection is closed on this side.
	StateClosed
)

// Peek returns the state of a connection's input. It may be called while another goroutine
// reads. A connection without a file descriptor counts as quiet.
func Peek(conn net.Conn) State {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return StateQuiet
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return StateClosed
	}
	state := StateClosed
	// Control, unlike Read, does not wait for a read in progress.
	err = control.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = StateQuiet
		case err == nil && n > 0:
			state = StateInput
		}
	})
	if err != nil {
		return StateClosed
	}
	return state
}
