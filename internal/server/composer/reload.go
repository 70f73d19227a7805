package composer

import (
	"os"
	"time"
)

// reloadInterval is the interval of reloads that no signal triggers.
const reloadInterval = 5 * time.Second

// WatchSettings reloads the settings on each signal and every reloadInterval until Stop. It
// passes a new address of the store to setStoreAddress; all other changes need a
// restart.
func (i *Instance) WatchSettings(signals <-chan os.Signal, load func() (Settings, error), setStoreAddress func(address string)) {
	periodic := make(chan struct{}, 1)
	stop := i.timer.Every(reloadInterval, func(time.Time) {
		select {
		case periodic <- struct{}{}:
		default:
		}
	})
	i.background.Go(func() {
		defer stop()
		current := i.settings
		for {
			signaled := false
			select {
			case <-signals:
				signaled = true
			case <-periodic:
			case <-i.ctx.Done():
				return
			}
			current = i.reload(current, signaled, load, setStoreAddress)
		}
	})
}

// reload loads the settings, applies a new address of the store and returns current
// with that address. It logs reloads that a signal triggered, also failed ones, and
// those with a new address, each with whether the addresses for clients and readiness,
// the ID or the bounds changed as well and need a restart.
func (i *Instance) reload(current Settings, signaled bool, load func() (Settings, error), setStoreAddress func(address string)) Settings {
	next, err := load()
	if err != nil {
		if signaled {
			i.log.Error(err, "could not reload the settings; keeping the current ones")
		}
		return current
	}
	storeMoved := next.StoreAddress != current.StoreAddress
	needsRestart := next.ClientAddress != current.ClientAddress || next.ReadinessAddress != current.ReadinessAddress || next.ID != current.ID || next.Bounds != current.Bounds
	if signaled || storeMoved {
		i.log.Info("settings reloaded", "signal", signaled, "store", next.StoreAddress, "store_moved", storeMoved, "needs_restart", needsRestart)
	}
	if storeMoved {
		setStoreAddress(next.StoreAddress)
	}
	current.StoreAddress = next.StoreAddress
	return current
}
