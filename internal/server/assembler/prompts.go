package assembler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/blocker"
	"oriolemill.example/oriolemill/internal/server/peerer"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// engineRestartTime is the least time between two crashes of an engine that count as two.
const engineRestartTime = 500 * time.Millisecond

// promptLinks implements blocker.Links over the links between peers; without a peerer there are
// no other instances.
type promptLinks struct {
	peerer *peerer.Peerer
	id     string
}

// HolderIDs implements blocker.Links.
func (l promptLinks) HolderIDs(name string, count int) []string {
	if l.peerer == nil {
		return nil
	}
	ids := slices.DeleteFunc(slices.Clone(l.peerer.LiveIDs()), func(id string) bool { return id == l.id })
	rank := func(id string) uint64 { return xxhash.Sum64String(name + "\x00" + id) }
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b)) })
	return ids[:min(count, len(ids))]
}

// Send implements blocker.Links.
func (l promptLinks) Send(_ context.Context, id string, frame *encoder.Frame) error {
	if !l.peerer.Send(id, frame) {
		return server.NewFault("send", id, server.ErrUnavailable)
	}
	return nil
}

// buildBlocker creates the component that knows the parts of prompts that crash engines.
func (i *Instance) buildBlocker(log logr.Logger) error {
	i.blocker = blocker.New(log, i.timer, promptLinks{peerer: i.peerer, id: i.id}, blocker.WithRestartTime(engineRestartTime))
	if i.peerer != nil {
		i.peerer.SetPromptHandler(i.blocker)
	}
	for _, collector := range append(i.blocker.Collectors(), i.pauser.Collectors()...) {
		if err := i.meter.Registry().Register(collector); err != nil {
			return merry.Prepend(err, "register metrics")
		}
	}
	return nil
}
