// Package acceptor runs a hertz engine on an open socket. The engine accepts
// connections when Start returns and has stopped when Shutdown returns.
package acceptor

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
)

const (
	// dialTimeout bounds the time to open the connection with which Start checks
	// the engine, and then the wait until the engine accepts it.
	dialTimeout = 5 * time.Second
	// idleCloseTimeout bounds the wait for idle connections during Shutdown.
	idleCloseTimeout = 100 * time.Millisecond
	// stopTimeout bounds the wait until the engine has stopped, after the wait for
	// idle connections.
	stopTimeout = 5 * time.Second
)

// ErrTimeout means that the engine did not start or stop in time.
var ErrTimeout = merry.New("hertz engine did not start or stop in time")

// init limits the log of hertz to errors. The level must not be changed while an
// engine runs, so it is set before any is created.
func init() { hlog.SetLevel(hlog.LevelError) }

// Acceptor is a hertz engine whose Start and Shutdown return when it has started
// and stopped.
type Acceptor struct {
	*hertz.Hertz
	address  string
	accepted chan struct{}
	stopped  chan struct{}
}

// New returns an engine on an open socket. Routes must be added before Start.
func New(socket net.Listener, options ...config.Option) *Acceptor {
	a := &Acceptor{
		address:  socket.Addr().String(),
		accepted: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	var once sync.Once
	options = append(options,
		hertz.WithListener(socket),
		hertz.WithDisablePrintRoute(true),
		hertz.WithOnAccept(func(net.Conn) context.Context {
			once.Do(func() { close(a.accepted) })
			return context.Background()
		}),
	)
	a.Hertz = hertz.New(options...)
	return a
}

// Start serves in the background. It opens a connection to the engine and returns
// when the engine accepts it, since hertz ignores a shutdown before it accepts
// connections.
func (a *Acceptor) Start() error {
	go func() {
		defer close(a.stopped)
		_ = a.Run()
	}()
	connection, err := net.DialTimeout("tcp", a.address, dialTimeout)
	if err != nil {
		return merry.Prepend(err, "connect to the started engine")
	}
	defer func() { _ = connection.Close() }()
	select {
	case <-a.accepted:
		return nil
	case <-time.After(dialTimeout):
		return merry.Prepend(ErrTimeout, "wait until the engine accepts connections")
	}
}

// Shutdown closes the socket and stops the engine. It must be called after Start.
// It waits for idle connections for idleCloseTimeout only; the caller must have
// waited for requests in progress.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, idleCloseTimeout)
	defer cancel()
	err := a.Hertz.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = nil
	}
	select {
	case <-a.stopped:
		return merry.Wrap(err)
	case <-time.After(stopTimeout):
		return merry.Prepend(ErrTimeout, "wait until the engine has stopped")
	}
}
