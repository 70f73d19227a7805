package commander

import (
	"github.com/ansel1/merry/v2"
	"github.com/spf13/pflag"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/accountant"
	"oriolemill.example/oriolemill/internal/server/composer"
	"oriolemill.example/oriolemill/internal/server/relayer"
)

// declareClientLimits declares the limits for clients as flags.
func declareClientLimits(flags *pflag.FlagSet, limits *composer.ClientLimits) {
	flags.Float64Var(&limits.MemoryShare, "client-memory-share", composer.DefaultClientMemoryShare, "part of Limits.MemoryMb that bodies and buffered responses may hold together")
	flags.IntVar(&limits.Connections, "client-connections", 0, "open connections of clients; 0 means as many as Limits.MemoryMb and Limits.MaxFds allow")
	flags.Int64Var(&limits.MinRate, "client-min-rate", accountant.DefaultMinProgress, "bytes per second below which a client's request may be terminated while memory or connections are scarce")
	flags.DurationVar(&limits.MemoryWait, "client-memory-wait", accountant.DefaultMaxWait, "longest wait of a request for memory")
	flags.DurationVar(&limits.WriteTimeout, "client-write-timeout", relayer.DefaultWriteTimeout, "time for which a write to a client that does not read may be blocked")
}

// checkClientLimits returns an error that names each flag with a limit which is out of range. Zero is a value for
// connections only; in composer.ClientLimits it stands for the default.
func checkClientLimits(flags *pflag.FlagSet, settings *composer.Settings) error {
	limits := settings.ClientLimits
	for name, isZero := range map[string]bool{
		"client-memory-share": limits.MemoryShare == 0, "client-min-rate": limits.MinRate == 0,
		"client-memory-wait": limits.MemoryWait == 0, "client-write-timeout": limits.WriteTimeout == 0,
	} {
		if isZero {
			return merry.Prependf(server.ErrInvalid, "%s: %s; the default is %s", name, flags.Lookup(name).Value, flags.Lookup(name).DefValue)
		}
	}
	return settings.CheckClientLimits()
}
