package watcher

import (
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer"
)

// staleAfter is the age from which an instance polls a report itself that
// another should have polled.
const staleAfter = 3 * time.Second

// Spreader splits the polling of load reports among the instances. Its methods
// are called from events.
type Spreader interface {
	// TakeList takes a reading of the platform's list.
	TakeList(listings []server.Listing)
	// Polls reports whether this instance polls an upstream's load.
	Polls(upstream, datacentre string) bool
	// Others returns the attempts at an upstream that other instances told of.
	Others(upstream string) int
	// Spread takes the reports polled here and the own attempts in progress.
	Spread(reports []peerer.Report, uses []peerer.Use)
}

// alone polls everything.
type alone struct{}

func (alone) TakeList([]server.Listing) {}

func (alone) Polls(string, string) bool { return true }

func (alone) Others(string) int { return 0 }

func (alone) Spread([]peerer.Report, []peerer.Use) {}

// Spread sets who splits the polling; it is called before Start.
func (w *Watcher) Spread(spreader Spreader) { w.spreader = spreader }

// polls reports whether an upstream is polled now: it is this instance's to
// poll, or it is near and the one that should has not told of it for a while.
func (w *Watcher) polls(e *entry, now time.Time) bool {
	if w.spreader.Polls(e.listing.ID, e.listing.Datacentre) {
		return true
	}
	return e.listing.Datacentre == w.control.Snapshot().Datacentre() && now.Sub(e.load.At) > staleAfter
}

// tell hands on what was polled and the own attempts in progress.
func (w *Watcher) tell(polled []report) {
	reports := make([]peerer.Report, 0, len(polled))
	for _, r := range polled {
		reports = append(reports, peerer.Report{Upstream: peerer.Hash(r.id), Load: r.load, Leaving: r.leaving})
	}
	uses := make([]peerer.Use, 0, len(w.entries))
	for id, e := range w.entries {
		uses = append(uses, peerer.Use{Upstream: id, Datacentre: e.listing.Datacentre, Inflight: int(e.gauge.Inflight())})
	}
	w.spreader.Spread(reports, uses)
}

// TakeLoads takes reports that another instance polled; older ones than the
// known are left out. It is called from events.
func (w *Watcher) TakeLoads(reports []peerer.Report) {
	byHash := make(map[uint32]peerer.Report, len(reports))
	for _, r := range reports {
		byHash[r.Upstream] = r
	}
	now := w.control.Timer().Now()
	changed := false
	for id, e := range w.entries {
		r, ok := byHash[peerer.Hash(id)]
		if !ok || !r.Load.At.After(e.load.At) {
			continue
		}
		e.load = r.Load
		e.leaving = r.Leaving
		e.past.add(now, e.gauge.Inflight())
		e.reported = e.past.at(r.Load.At)
		e.others = max(0, r.Inflight-int(e.reported))
		changed = true
	}
	if changed {
		w.changed()
	}
}
