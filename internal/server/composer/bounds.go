package composer

import (
	"cmp"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oriolemill.example/oriolemill/internal/server/accountant"
	"oriolemill.example/oriolemill/internal/server/fronter"
	"oriolemill.example/oriolemill/internal/server/relayer"
	"oriolemill.example/oriolemill/internal/server/tracker"
	"oriolemill.example/oriolemill/internal/server/tunneler"
)

const (
	// connShare is the part of the granted memory that client connections may hold, at connBytes each: two goroutine
	// stacks, the buffers of the HTTP server and a head of 16 KB that is kept while the request is in progress.
	connShare = 8
	connBytes = 32 << 10
	// fileDescriptors is the part of the granted descriptors that is for files, auxiliaryDescriptors that for
	// readiness, metrics and the store. Client connections get half of the rest: a request in progress holds a
	// connection to a replica too, and one that waits leaves its share to other instances and kept connections.
	fileDescriptors      = 200
	auxiliaryDescriptors = 64
	// relayedShare is the part of the rest by which connections that are passed on for other instances are bounded. Each
	// needs two descriptors, so they get up to a quarter of the rest.
	relayedShare = 8
	// MinDescriptors is the least number of descriptors that may be granted: enough for 28 clients.
	MinDescriptors = fileDescriptors + auxiliaryDescriptors + 56
	// socketReadBytes and socketWriteBytes are the buffers of client connections in the kernel, which would otherwise
	// grow to several megabytes each. 64 KB received in 10 ms is 50 Mbit/s.
	socketReadBytes  = 64 << 10
	socketWriteBytes = 128 << 10

	// maxAuxiliaryConns bounds the connections to each auxiliary server. The load balancer and the collectors of
	// metrics hold one each.
	maxAuxiliaryConns = 24
	// The limits of requests to auxiliary servers, which have no body and a short head.
	auxiliaryHeaderTimeout  = 2 * time.Second
	auxiliaryReadTimeout    = 3 * time.Second
	auxiliaryWriteTimeout   = 5 * time.Second
	auxiliaryIdleTimeout    = time.Minute
	auxiliaryMaxHeaderBytes = 8 << 10
	// maxScrapes bounds the concurrent responses with metrics, each of which needs about a megabyte to compress.
	maxScrapes = 4
)

// maxClientConns returns the bound of client connections: the one that is set, or else that of grantedClientConns.
func (s *Settings) maxClientConns() int {
	return cmp.Or(s.ClientLimits.Connections, s.grantedClientConns())
}

// grantedClientConns returns the bound of client connections by the granted memory and descriptors.
func (s *Settings) grantedClientConns() int {
	limit := int(s.MemoryBytes / connShare / connBytes)
	if s.MaxDescriptors > 0 {
		limit = min(limit, (s.MaxDescriptors-fileDescriptors-auxiliaryDescriptors)/2)
	}
	return max(limit, 1)
}

// maxRelayedConns returns the bound of the connections that are passed on for other instances.
func (s *Settings) maxRelayedConns() int {
	if s.MaxDescriptors == 0 {
		return tunneler.MaxConnections
	}
	return min(tunneler.MaxConnections, max((s.MaxDescriptors-fileDescriptors-auxiliaryDescriptors)/relayedShare, 1))
}

// newFronter builds the server of client connections, whose slow requests are terminated if connections are scarce.
func (i *Instance) newFronter(socket net.Listener, handler *relayer.Relayer) *fronter.Fronter {
	i.clientConns = tracker.New(i.log, i.timer, i.settings.maxClientConns(), tracker.WithTerminator(i.accountant.TerminateSlowest))
	return fronter.New(i.log, socket, handler, fronter.WithTracker(i.clientConns))
}

// newAccountant builds the budget of bytes for clients.
func (i *Instance) newAccountant() *accountant.Accountant {
	limits := i.settings.ClientLimits.withDefaults()
	return accountant.New(i.log, i.timer, int64(limits.MemoryShare*float64(i.settings.MemoryBytes)),
		accountant.WithMinProgress(limits.MinRate), accountant.WithMaxWait(limits.MemoryWait))
}

// logClientLimits logs the limits in force, once.
func (i *Instance) logClientLimits() {
	limits := i.settings.ClientLimits.withDefaults()
	i.log.Info("limits for clients", "memory_share", limits.MemoryShare, "connections", i.settings.maxClientConns(), "min_rate", limits.MinRate,
		"memory_wait_ms", limits.MemoryWait.Milliseconds(), "write_timeout_ms", limits.WriteTimeout.Milliseconds())
}

// boundSocket sets the sizes of the buffers of connections that a socket accepts.
func boundSocket(_, _ string, conn syscall.RawConn) error {
	var errs [2]error
	if err := conn.Control(func(descriptor uintptr) {
		errs[0] = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketReadBytes)
		errs[1] = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketWriteBytes)
	}); err != nil {
		return err
	}
	return errors.Join(errs[:]...)
}

// newAuxiliaryServer returns an HTTP server whose requests and connections are bounded, and its listener.
func (i *Instance) newAuxiliaryServer(listener net.Listener, handler http.Handler) (*http.Server, net.Listener) {
	conns := tracker.New(i.log, i.timer, maxAuxiliaryConns)
	return &http.Server{
		Handler: handler, ConnState: conns.SetState, MaxHeaderBytes: auxiliaryMaxHeaderBytes,
		ReadHeaderTimeout: auxiliaryHeaderTimeout, ReadTimeout: auxiliaryReadTimeout, WriteTimeout: auxiliaryWriteTimeout, IdleTimeout: auxiliaryIdleTimeout,
		// The server would log each connection that a client breaks off.
		ErrorLog: log.New(io.Discard, "", 0),
	}, conns.Listen(listener)
}

// registerClientCounters adds the metrics of client connections and of the bytes held for them with add.
func (i *Instance) registerClientCounters(add func(options prometheus.CounterOpts, value func() uint64)) {
	i.meter.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oriolemill_client_connections", Help: "Open connections of clients.",
	}, func() float64 { return float64(i.clientConns.Open()) }))
	i.meter.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oriolemill_client_connections_max", Help: "Connections of clients that may be open.",
	}, func() float64 { return float64(i.settings.maxClientConns()) }))
	add(prometheus.CounterOpts{
		Name: "oriolemill_client_connections_closed_total", Help: "Connections without a request that were closed for new ones.",
	}, i.clientConns.Closed)
	add(prometheus.CounterOpts{
		Name: "oriolemill_client_connections_refused_total", Help: "Connections of clients that were refused.",
	}, i.clientConns.Refused)
	add(prometheus.CounterOpts{
		Name: "oriolemill_client_responses_unread_total", Help: "Responses given up since a write to the client was blocked for too long.",
	}, i.relayer.UnreadResponses)
	limits := i.settings.ClientLimits.withDefaults()
	i.meter.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oriolemill_client_min_rate_bytes", Help: "Progress in bytes per second below which a request may be terminated.",
	}, func() float64 { return float64(limits.MinRate) }))
	i.meter.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oriolemill_client_bytes_wait_max_seconds", Help: "Longest wait for bytes of the budget.",
	}, func() float64 { return limits.MemoryWait.Seconds() }))
	i.meter.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oriolemill_client_write_timeout_seconds", Help: "Time for which a write to a client may be blocked.",
	}, func() float64 { return limits.WriteTimeout.Seconds() }))
}
