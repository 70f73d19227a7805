package composer

import (
	"context"
	"encoding/json"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/registrar"
)

const (
	// unreachableInstanceTimeout is how long an instance must be unreachable until another
	// one deletes its row.
	unreachableInstanceTimeout = 20 * time.Second
	// registerRetryDelay is the delay before another attempt to write the instance's row.
	registerRetryDelay = 500 * time.Millisecond
	// unregisterTimeout bounds the deletion of the instance's row by its own stop.
	unregisterTimeout = 2 * time.Second
)

// applyView passes a new view of the store to the components that depend on it.
// Calls may come in another order than the views were published, so the newest one counts: an older one may have replicas
// that must get no new work any more.
func (i *Instance) applyView(*registrar.View) {
	i.viewMu.Lock()
	defer i.viewMu.Unlock()
	view := i.registrar.View()
	i.linker.UpdateMembers(view.Instances())
	if view.IsReady() {
		plan := view.Router().Plan()
		i.fronter.SetLimits(plan.Limits)
		i.owner.UpdateServices(plan.Backends, view.Replicas)
		i.owner.UpdatePatientServices(view.Router().PatientServices())
		i.linkOwners(plan)
		if !i.wasReady.Swap(true) {
			i.chronicler.Save()
			i.log.Info("ready", "plan", plan.Version, "after_ms", i.timer.Now().UnixMilli()-i.self.StartMillis)
		}
	}
	i.gossiper.NotifyChanged()
	i.registerIfMissing(view)
}

// linkOwners has the linker open links to the owners of stage services before a request needs
// them: hundreds of instances that dial an owner with the first request overload it.
func (i *Instance) linkOwners(plan *server.Plan) {
	for name := range plan.Backends {
		if backend := plan.Backends[name]; backend.Batch != nil {
			i.linker.OwnerID(name)
		}
	}
}

// registerIfMissing registers the instance again if the table of instances was read
// and lacks the row of this incarnation.
func (i *Instance) registerIfMissing(view *registrar.View) {
	if i.isStopping.Load() || view.Version(registrar.TableInstances) == 0 {
		return
	}
	// The view keeps instances for a while whose rows a restored store has lost.
	if i.registrar.HasRow(registrar.TableInstances, i.self.ID) {
		for _, instance := range view.Instances() {
			if instance.ID == i.self.ID && instance.StartMillis == i.self.StartMillis {
				return
			}
		}
	}
	i.background.Go(i.register)
}

// register writes the instance's row and retries until that succeeds or the
// instance stops. At most one call at a time runs; others return at once.
func (i *Instance) register() {
	if i.isRegistering.Swap(true) {
		return
	}
	defer i.isRegistering.Store(false)
	value, err := json.Marshal(i.self)
	if err != nil {
		i.log.Error(err, "could not encode the row of this instance")
		return
	}
	for !i.isStopping.Load() {
		err := i.store.Put(i.ctx, registrar.TableInstances, i.self.ID, value)
		if err == nil {
			i.log.Info("registered this instance in the store", "address", i.self.Address, "born", i.self.StartMillis)
			return
		}
		i.log.Info("could not register this instance; retrying", "cause", err.Error())
		if server.Sleep(i.ctx, i.timer, registerRetryDelay) != nil {
			return
		}
	}
}

// removeUnreachableInstance deletes the row of an instance that has been unreachable since
// the given time, once that is unreachableInstanceTimeout ago. Only one instance does so, on
// behalf of all: the first leader, which is linked to all, or without leaders the owner of the
// name "prune".
func (i *Instance) removeUnreachableInstance(id string, since time.Time) {
	pruner := i.linker.OwnerID("prune")
	if leaders := i.linker.LeaderIDs(); len(leaders) > 0 {
		pruner = leaders[0]
	}
	if unreachable := i.timer.Now().Sub(since); unreachable < unreachableInstanceTimeout || pruner != i.self.ID {
		return
	}
	if err := i.store.Delete(i.ctx, registrar.TableInstances, id); err != nil {
		i.log.Info("could not delete the row of an unreachable instance", "lost", id, "cause", err.Error())
		return
	}
	i.log.Info("deleted the row of an unreachable instance", "lost", id, "away_ms", i.timer.Now().Sub(since).Milliseconds())
}

// handleFrame handles a frame from another instance and returns the response, or nil
// for a frame that has none.
func (i *Instance) handleFrame(ctx context.Context, from string, frame *encoder.Frame) *encoder.Frame {
	switch body := frame.GetBody().(type) {
	case *encoder.Frame_PiecesRequest:
		return i.submitter.HandlePiecesRequest(ctx, body.PiecesRequest)
	case *encoder.Frame_CancelJobs:
		i.owner.CancelJobs(body.CancelJobs.GetService(), body.CancelJobs.GetRequest())
	case *encoder.Frame_ReleaseResults:
		i.owner.Release(body.ReleaseResults.GetService(), body.ReleaseResults.GetHandles())
	case *encoder.Frame_ServiceState:
		i.owner.HandleServiceState(body.ServiceState)
	case *encoder.Frame_ExpectedPieces:
		i.submitter.HandleExpectedPieces(body.ExpectedPieces)
	case *encoder.Frame_RowsRequest:
		return i.gossiper.HandleRowsRequest(body.RowsRequest)
	case *encoder.Frame_VersionAnnouncement:
		i.gossiper.HandleAnnouncement(from, body.VersionAnnouncement)
	case *encoder.Frame_StreamOrigin:
		i.pinner.HandleOrigin(body.StreamOrigin)
	case *encoder.Frame_OriginRequest:
		return i.pinner.HandleRequest(body.OriginRequest)
	case *encoder.Frame_PromptParts:
		i.blocker.HandleMessage(from, body.PromptParts)
	case *encoder.Frame_PermitRequest:
		return i.throttler.HandleRequest(body.PermitRequest)
	case *encoder.Frame_ReplicaLimits:
		i.throttler.HandleLimits(body.ReplicaLimits)
	case *encoder.Frame_ReplicaSpeeds:
		i.rater.HandleSpeeds(from, body.ReplicaSpeeds)
	case *encoder.Frame_Leaving:
		i.linker.HandleLeaving(from)
	}
	return nil
}
