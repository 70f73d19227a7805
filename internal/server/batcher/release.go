package batcher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Release releases results of a service that are no longer needed. It does not wait
// for the replicas that hold them.
func (o *Owner) Release(service string, handles []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.getOrCreateService(service)
	o.queueReleases(s, handles)
}

// queueReleases adds results to the next release calls, which are sent after
// replicaReleaseDelay. The caller holds mu.
func (o *Owner) queueReleases(s *ownedService, handles []string) {
	for _, handle := range handles {
		address := o.caller.ResultAddress(handle)
		isTracked := false
		for _, b := range s.queue.replicas {
			_, isStored := b.results[handle]
			isTracked = isTracked || isStored
		}
		if !isTracked && len(s.untrackedReleases) < maxUntrackedReleases {
			s.untrackedReleases[handle] = o.timer.Now()
		}
		s.pendingReleases[address] = append(s.pendingReleases[address], handle)
	}
	if len(s.pendingReleases) > 0 && !s.releaseScheduled {
		s.releaseScheduled = true
		o.timer.After(replicaReleaseDelay, func(time.Time) { o.spawn(func() { o.flushReleases(s) }) })
	}
}

// flushReleases sends the queued releases, one call to each holding replica.
func (o *Owner) flushReleases(s *ownedService) {
	o.mu.Lock()
	releases := s.pendingReleases
	s.pendingReleases, s.releaseScheduled = make(map[string][]string), false
	holders := make(map[string]*server.Replica, len(releases))
	for _, b := range s.queue.replicas {
		if releases[b.Address] != nil {
			replica := b.Replica
			holders[b.Address] = &replica
		}
	}
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(o.ctx, releaseTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for address, handles := range releases {
		// The results of a replica that is no longer tracked are lost already.
		if holder := holders[address]; holder != nil {
			calls.Go(func() { o.recordRelease(s, holder, handles, o.caller.ReleaseResults(ctx, holder, handles)) })
		}
	}
	calls.Wait()
}

// postponeRelease queues the release of results again after a wait, except those that their replica
// has dropped by then.
func (o *Owner) postponeRelease(s *ownedService, holder *server.Replica, handles []string, wait time.Duration) {
	o.timer.After(wait, func(now time.Time) {
		o.spawn(func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			b := s.queue.replicas[holder.ID]
			if b == nil {
				return
			}
			b.expireResults(now)
			o.queueReleases(s, slices.DeleteFunc(handles, func(handle string) bool {
				_, isStored := b.results[handle]
				return !isStored
			}))
		})
	})
}

// recordRelease subtracts released results from the used memory of their replica. err is
// the error of the release call; after a failed one the results stay until they expire.
func (o *Owner) recordRelease(s *ownedService, holder *server.Replica, handles []string, err error) {
	if errors.Is(err, server.ErrWithheld) || errors.Is(err, server.ErrOverload) && retryAfter(err) > 0 {
		o.postponeRelease(s, holder, handles, max(overloadBackoff, retryAfter(err)))
		return
	}
	if err != nil {
		o.log.Info("releasing results failed; they stay until they expire", "service", s.name, "replica", holder.ID, "results", len(handles), "cause", err.Error())
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if b := s.queue.replicas[holder.ID]; b != nil {
		for _, handle := range handles {
			b.removeResult(handle)
		}
	}
	o.dispatchSoon(s)
}
