package batcher

import (
	"context"
	"sync"
	"time"

	"oriolemill.example/oriolemill/internal/server"
)

// Release frees results.
func (o *Owner) Release(service string, handles []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.pool(service)
	o.free(s, handles)
}

// free gathers results for a call that frees them; mu is held.
func (o *Owner) free(s *pool, handles []string) {
	for _, handle := range handles {
		address := o.caller.Keeper(handle)
		known := false
		for _, b := range s.queue.workers {
			_, held := b.results[handle]
			known = known || held
		}
		if !known && len(s.unknown) < maxUnknown {
			s.unknown[handle] = o.timer.Now()
		}
		s.frees[address] = append(s.frees[address], handle)
	}
	if len(s.frees) > 0 && !s.armed {
		s.armed = true
		o.timer.After(freeWait, func(time.Time) { o.work.Go(func() { o.flush(s) }) })
	}
}

// flush sends what was gathered.
func (o *Owner) flush(s *pool) {
	o.mu.Lock()
	frees := s.frees
	s.frees, s.armed = make(map[string][]string), false
	keepers := make(map[string]*server.Replica, len(frees))
	for _, b := range s.queue.workers {
		if frees[b.Address] != nil {
			replica := b.Replica
			keepers[b.Address] = &replica
		}
	}
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(o.ctx, freeTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for address, handles := range frees {
		// A replica that is gone has kept nothing.
		if keeper := keepers[address]; keeper != nil {
			calls.Go(func() { o.freed(s, keeper, handles, o.caller.Free(ctx, keeper, handles)) })
		}
	}
	calls.Wait()
}

// freed gives the room of results back, once their replica has freed them.
func (o *Owner) freed(s *pool, keeper *server.Replica, handles []string, err error) {
	if err != nil {
		o.log.Info("results not freed; they expire", "service", s.name, "replica", keeper.ID, "results", len(handles), "cause", err.Error())
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if b := s.queue.workers[keeper.ID]; b != nil {
		for _, handle := range handles {
			b.release(handle)
		}
	}
	o.dispatch(s)
}
