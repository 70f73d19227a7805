// Package tuner sets the timeouts of sockets, so that a connection whose other side no longer responds
// is closed. The keep-alive probes and the user timeout are set together, as the latter also decides
// when the probes give up.
package tuner

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SilenceTimeout is how long the other side of a connection may acknowledge nothing. A process that
// does nothing for a second or two is not taken for a lost one: its system acknowledges.
const SilenceTimeout = 2 * time.Second

// keepAliveConfig probes a connection after a second without bytes. It gives up after SilenceTimeout.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// NewDialer returns a dialer whose connections are closed after SilenceTimeout without an
// acknowledgement. timeout bounds a dial.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig, Control: func(_, _ string, conn syscall.RawConn) error {
		return setUserTimeout(conn)
	}}
}

// Tune sets the timeouts of an accepted connection.
func Tune(conn net.Conn) error {
	if wrapped, ok := conn.(interface{ Unwrap() net.Conn }); ok {
		conn = wrapped.Unwrap()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(keepAliveConfig); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw)
}

func setUserTimeout(conn syscall.RawConn) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
