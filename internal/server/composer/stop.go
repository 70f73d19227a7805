package composer

import (
	"context"
	"errors"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/drainer"
	"oriolemill.example/oriolemill/internal/server/registrar"
)

const (
	// linger is how long new connections are still served after a stop began:
	// the balancer asks once a second and needs two misses.
	linger = 2600 * time.Millisecond
	// endMargin is left of the grace for the process to end by itself.
	endMargin = 500 * time.Millisecond
	// idlePeriod is how often it is looked whether all work is done.
	idlePeriod = 50 * time.Millisecond
)

// Stop ends the instance: every request that was read is answered, and stage
// work that other instances gave it is done, within the grace.
func (i *Instance) Stop() error {
	began := i.timer.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(i.settings.Bounds.Grace-endMargin))
	defer cancel()
	d, err := drainer.New(i.timer, linger,
		drainer.WithLeave(i.leave),
		drainer.WithSteps(
			drainer.Step{Name: "clients", Run: i.fronter.Shutdown},
			drainer.Step{Name: "stage work", Run: i.finish},
			drainer.Step{Name: "parts", Run: i.close},
		))
	if err != nil {
		return err
	}
	err = d.Drain(ctx)
	i.log.Info("stopped", "took_ms", i.timer.Now().Sub(began).Milliseconds(), "requests_left", i.relayer.Active(), "cause", text(err))
	i.recorder.Flush()
	i.timer.Close()
	return err
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// leave tells the balancer, the clients, the other instances and the store.
func (i *Instance) leave() {
	i.stopping.Store(true)
	i.relayer.Leave()
	i.log.Info("stopping", "requests", i.relayer.Active())
	i.linker.Leave()
	i.owner.Retire()
	i.work.Go(func() {
		ctx, cancel := context.WithTimeout(i.ctx, leaveTimeout)
		defer cancel()
		if err := i.feed.Drop(ctx, registrar.TableInstances, i.self.ID); err != nil {
			i.log.Info("own row not removed; others remove it", "cause", err.Error())
		}
	})
}

// finish waits until the stage work that this instance owns is done.
func (i *Instance) finish(ctx context.Context) error {
	for !i.owner.Idle() {
		if err := server.Sleep(ctx, i.timer, idlePeriod); err != nil {
			return err
		}
	}
	return nil
}

func (i *Instance) close(context.Context) error {
	i.cancel()
	var all []error
	for _, s := range i.asides {
		all = append(all, s.Close())
	}
	i.owner.Stop()
	i.gossiper.Stop()
	i.linker.Stop()
	i.dialer.Close()
	i.work.Wait()
	return errors.Join(all...)
}
