package composer

import (
	"cmp"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/accountant"
	"oriolemill.example/oriolemill/internal/server/relayer"
)

const (
	// DefaultClientMemoryShare is the part of the granted memory that bodies and buffered responses may hold, and the
	// largest one allowed: the runtime needs up to as much again for what is not collected yet, and memoryLimitShare has to
	// suffice for both and the rest.
	DefaultClientMemoryShare = 0.25
	minClientMemoryShare     = 0.02
	// minClientConnections is the least bound of connections that may be set.
	minClientConnections = 8
	// The allowed values of the other limits. A client on the least line of 10 Mbit/s must be able to exceed the progress
	// below which it may be terminated, and replicas abort responses that are not read for some seconds.
	minClientRate, maxClientRate                 = 1 << 10, 1 << 20
	minClientMemoryWait, maxClientMemoryWait     = 100 * time.Millisecond, 10 * time.Second
	minClientWriteTimeout, maxClientWriteTimeout = 500 * time.Millisecond, 30 * time.Second
)

// ClientLimits bound what the process holds for clients. A field that is zero means its default.
type ClientLimits struct {
	// MemoryShare is the part of Settings.MemoryBytes that bodies and buffered responses may hold together.
	MemoryShare float64
	// Connections bounds the open connections; by default, memory and descriptors do.
	Connections int
	// MinRate is the progress in bytes per second below which a request may be terminated while memory or connections are
	// scarce.
	MinRate int64
	// MemoryWait bounds the wait of a request for memory.
	MemoryWait time.Duration
	// WriteTimeout bounds a write to a client that does not read.
	WriteTimeout time.Duration
}

// withDefaults returns the limits with the defaults of those that are not set.
func (l ClientLimits) withDefaults() ClientLimits {
	return ClientLimits{
		MemoryShare: cmp.Or(l.MemoryShare, DefaultClientMemoryShare), Connections: l.Connections, MinRate: cmp.Or(l.MinRate, accountant.DefaultMinProgress),
		MemoryWait: cmp.Or(l.MemoryWait, accountant.DefaultMaxWait), WriteTimeout: cmp.Or(l.WriteTimeout, relayer.DefaultWriteTimeout),
	}
}

// CheckClientLimits returns an error that names each limit for clients which is out of range.
func (s *Settings) CheckClientLimits() error {
	limits := s.ClientLimits.withDefaults()
	errs := []error{
		checkRange("client-memory-share", limits.MemoryShare, minClientMemoryShare, DefaultClientMemoryShare),
		checkRange("client-min-rate", limits.MinRate, minClientRate, maxClientRate),
		checkRange("client-memory-wait", limits.MemoryWait, minClientMemoryWait, maxClientMemoryWait),
		checkRange("client-write-timeout", limits.WriteTimeout, minClientWriteTimeout, maxClientWriteTimeout),
	}
	if limits.Connections != 0 {
		errs = append(errs, checkRange("client-connections", limits.Connections, minClientConnections, s.grantedClientConns()))
	}
	return errors.Join(errs...)
}

// checkRange returns an error if a value is less than the least or more than the greatest one allowed, or not a number.
func checkRange[T cmp.Ordered](name string, value, least, greatest T) error {
	if value >= least && value <= greatest {
		return nil
	}
	return merry.Prependf(server.ErrInvalid, "%s: %v; allowed: %v to %v", name, value, least, greatest)
}
