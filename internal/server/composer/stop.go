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
	// lingerTime is how long new connections are still served after the stop has begun:
	// the load balancer checks readiness once a second and stops sending requests
	// after two failed checks.
	lingerTime = 2600 * time.Millisecond
	// exitMargin is the part of the grace period that is left for the process to exit.
	exitMargin = 500 * time.Millisecond
	// answerMargin is the part of the rest in which the last requests get their responses; it is at most
	// 1/answerShare of the rest.
	answerMargin = 200 * time.Millisecond
	answerShare  = 5
	// idlePollInterval is the interval of checks whether all stage work is done.
	idlePollInterval = 50 * time.Millisecond
)

// Stop drains and ends the instance: within the grace period it responds to every
// request that it has read and completes the stage work that other instances sent.
// It returns an error if that did not succeed in time.
func (i *Instance) Stop() error {
	start := i.timer.Now()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(i.settings.Bounds.GracePeriod-exitMargin))
	defer cancel()
	drain, err := drainer.New(i.timer, lingerTime,
		drainer.WithDrainHandlers(i.beginDrain),
		drainer.WithSteps(
			drainer.Step{Name: "waiting for requests in progress", Run: i.fronter.Shutdown},
			drainer.Step{Name: "waiting for stage work", Run: i.waitForStageWork},
			drainer.Step{Name: "waiting for connections of other instances", Run: i.waitForRelayedConnections},
			drainer.Step{Name: "stopping the components", Run: i.stopComponents},
		))
	if err != nil {
		return err
	}
	err = drain.Drain(ctx)
	i.log.Info("stopped", "took_ms", i.timer.Now().Sub(start).Milliseconds(), "requests_left", i.relayer.ActiveRequests(), "cause", errorText(err))
	i.recorder.Flush()
	i.timer.Close()
	return err
}

// errorText returns the text of err, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// beginDrain announces the stop to the load balancer, the clients, the other
// instances and the store.
func (i *Instance) beginDrain() {
	i.isStopping.Store(true)
	i.relayer.BeginDrain(lingerTime, i.timer.Now().Add(workTime(i.settings.Bounds.GracePeriod)))
	i.log.Info("stopping", "requests", i.relayer.ActiveRequests())
	i.linker.AnnounceLeaving()
	i.owner.BeginDrain()
	i.helper.BeginStop()
	i.background.Go(func() {
		ctx, cancel := context.WithTimeout(i.ctx, unregisterTimeout)
		defer cancel()
		if err := i.store.Delete(ctx, registrar.TableInstances, i.self.ID); err != nil {
			i.log.Info("could not delete the row of this instance; another instance will delete it", "cause", err.Error())
		}
	})
}

// workTime returns how long after the begin of the stop requests may still be processed.
func workTime(gracePeriod time.Duration) time.Duration {
	rest := max(gracePeriod-exitMargin, 0)
	return rest - min(answerMargin, rest/answerShare)
}

// waitForStageWork returns when the stage work that this instance owns is done.
func (i *Instance) waitForStageWork(ctx context.Context) error {
	for !i.owner.IsIdle() {
		if err := server.Sleep(ctx, i.timer, idlePollInterval); err != nil {
			return err
		}
	}
	return nil
}

// waitForRelayedConnections returns when this instance passes on no connection any more.
func (i *Instance) waitForRelayedConnections(ctx context.Context) error {
	for i.helper.ActiveConnections() > 0 {
		if err := server.Sleep(ctx, i.timer, idlePollInterval); err != nil {
			return err
		}
	}
	return nil
}

// stopComponents stops all components and waits for the background work.
func (i *Instance) stopComponents(context.Context) error {
	i.cancel()
	var errs []error
	for _, auxiliary := range i.auxiliaryServers {
		errs = append(errs, auxiliary.Close())
	}
	i.owner.Stop()
	i.gossiper.Stop()
	i.pinner.Close()
	i.chronicler.Close()
	i.blocker.Close()
	i.throttler.Close()
	i.speedSender.Close()
	i.linker.Stop()
	i.dialer.Close()
	i.background.Wait()
	return errors.Join(errs...)
}
