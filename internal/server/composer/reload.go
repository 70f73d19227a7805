package composer

import (
	"os"
	"time"
)

// reloadPeriod is how often the settings are read again without a signal.
const reloadPeriod = 5 * time.Second

// Watch reads the settings again on each signal and from time to time. A new
// address of the store is taken up by move; all else needs a restart.
func (i *Instance) Watch(signals <-chan os.Signal, load func() (Settings, error), move func(address string)) {
	silent := make(chan struct{}, 1)
	stop := i.timer.Every(reloadPeriod, func(time.Time) {
		select {
		case silent <- struct{}{}:
		default:
		}
	})
	i.work.Go(func() {
		defer stop()
		last := i.settings
		for {
			told := false
			select {
			case <-signals:
				told = true
			case <-silent:
			case <-i.ctx.Done():
				return
			}
			last = i.reload(last, told, load, move)
		}
	})
}

// reload takes up what has changed and returns the settings in force.
func (i *Instance) reload(last Settings, told bool, load func() (Settings, error), move func(address string)) Settings {
	next, err := load()
	if err != nil {
		if told {
			i.log.Error(err, "settings cannot be read; the old ones stay")
		}
		return last
	}
	moved := next.Store != last.Store
	restart := next.Clients != last.Clients || next.Readiness != last.Readiness || next.ID != last.ID || next.Bounds != last.Bounds
	if told || moved {
		i.log.Info("settings read", "signal", told, "store", next.Store, "store_moved", moved, "needs_restart", restart)
	}
	if moved {
		move(next.Store)
	}
	last.Store = next.Store
	return last
}
