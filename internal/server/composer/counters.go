package composer

import (
	"net/http"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsHandler serves the metrics at every path.
func (i *Instance) metricsHandler() http.Handler {
	return promhttp.HandlerFor(i.meter.Registry(), promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// registerCounters adds the counters that components other than the meter keep.
func (i *Instance) registerCounters() {
	add := func(options prometheus.CounterOpts, value func() uint64) {
		i.meter.Register(prometheus.NewCounterFunc(options, func() float64 { return float64(value()) }))
	}
	add(prometheus.CounterOpts{
		Name: "oriolemill_log_lines_total", Help: "Log lines written.",
	}, func() uint64 { lines, _, _ := i.recorder.Counts(); return lines })
	add(prometheus.CounterOpts{
		Name: "oriolemill_log_bytes_total", Help: "Bytes of log lines written.",
	}, func() uint64 { _, bytes, _ := i.recorder.Counts(); return bytes })
	add(prometheus.CounterOpts{
		Name: "oriolemill_log_dropped_total", Help: "Log lines dropped since the volume is bounded.",
	}, func() uint64 { _, _, dropped := i.recorder.Counts(); return dropped })
	i.registerPathCounters(add)
	i.registerStoreCounters(add)
	i.registerReplicaMetrics(add)
	add(prometheus.CounterOpts{
		Name: "oriolemill_resumed_known_total", Help: "Streams resumed by clients whose version was found.",
	}, func() uint64 { found, _ := i.pinner.Counts(); return found })
	add(prometheus.CounterOpts{
		Name: "oriolemill_resumed_unknown_total", Help: "Streams to resume whose version no instance knew.",
	}, func() uint64 { _, unknown := i.pinner.Counts(); return unknown })
	add(prometheus.CounterOpts{
		Name: "oriolemill_stream_archive_writes_total", Help: "Times origins of streams were written to the store.",
	}, i.pinner.ArchiveWrites)
	add(prometheus.CounterOpts{
		Name: "oriolemill_connections_opened_total", Help: "Connections opened to replicas.",
	}, func() uint64 { opened, _ := i.dialer.Counts(); return opened })
	add(prometheus.CounterOpts{
		Name: "oriolemill_connections_reused_total", Help: "Requests sent over a kept connection.",
	}, func() uint64 { _, reused := i.dialer.Counts(); return reused })
	add(prometheus.CounterOpts{
		Name: "oriolemill_batch_calls_total", Help: "Stage calls made as an owner.",
	}, func() uint64 { return i.owner.Counts().Calls })
	add(prometheus.CounterOpts{
		Name: "oriolemill_batch_pieces_total", Help: "Pieces in stage calls made as an owner.",
	}, func() uint64 { return i.owner.Counts().Pieces })
	add(prometheus.CounterOpts{
		Name: "oriolemill_batch_repeated_total", Help: "Pieces that were asked for again.",
	}, func() uint64 { return i.owner.Counts().RetriedPieces })
	add(prometheus.CounterOpts{
		Name: "oriolemill_batch_room_total", Help: "Pieces that found no room at their replica.",
	}, func() uint64 { return i.owner.Counts().PiecesWithoutMemory })
	add(prometheus.CounterOpts{
		Name: "oriolemill_batch_full_total", Help: "Stage calls that found their replica full.",
	}, func() uint64 { return i.owner.Counts().OverloadedCalls })
	add(prometheus.CounterOpts{
		Name: "oriolemill_batch_late_total", Help: "Jobs given up since they could not end in time.",
	}, func() uint64 { return i.owner.Counts().ShedJobs })
}

// registerStoreCounters adds the metrics of the registrar with add.
func (i *Instance) registerStoreCounters(add func(options prometheus.CounterOpts, value func() uint64)) {
	add(prometheus.CounterOpts{
		Name: "oriolemill_store_failures_total", Help: "Calls to the store that failed.",
	}, i.registrar.FailureCount)
	add(prometheus.CounterOpts{
		Name: "oriolemill_store_outages_total", Help: "Outages of the store that this instance has noticed or that others have announced.",
	}, i.registrar.OutageCount)
	add(prometheus.CounterOpts{
		Name: "oriolemill_replicas_left_by_response_total", Help: "Replicas taken out of service since a response of theirs stated that they are leaving.",
	}, i.registrar.LeavingCount)
	add(prometheus.CounterOpts{
		Name: "oriolemill_store_stale_responses_total", Help: "Responses of the store with a version lower than the known one.",
	}, i.registrar.StaleResponseCount)
	i.meter.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oriolemill_datacentres_evacuated", Help: "Data centres whose replicas get no new requests since an operator has asked for it.",
	}, func() float64 { return float64(i.registrar.View().EvacuatedCount()) }))
	i.meter.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oriolemill_replicas_kept", Help: "Replicas kept for now though their registration is missing.",
	}, func() float64 { return float64(i.registrar.PendingRemovals()) }))
}

// registerReplicaMetrics adds the metrics of what replicas state and how they behave, counters with add.
func (i *Instance) registerReplicaMetrics(add func(options prometheus.CounterOpts, value func() uint64)) {
	add(prometheus.CounterOpts{
		Name: "oriolemill_selections_changed_total", Help: "Selections of a replica that learned speeds have changed.",
	}, i.chooser.ChangedSelections)
	for _, collector := range slices.Concat(i.blocker.Collectors(), i.throttler.Collectors(), i.accountant.Collectors(), i.pauser.Collectors(), i.owner.Collectors(), i.rater.Collectors()) {
		i.meter.Register(collector)
	}
}

// registerPathCounters adds the metrics of paths to replicas, and of the timer service, with add.
func (i *Instance) registerPathCounters(add func(options prometheus.CounterOpts, value func() uint64)) {
	i.registerClientCounters(add)
	add(prometheus.CounterOpts{
		Name: "oriolemill_timer_blocked_total", Help: "Calls of the timer service that did not return for a second.",
	}, i.timer.BlockedCalls)
	add(prometheus.CounterOpts{
		Name: "oriolemill_relayed_connections_opened_total", Help: "Connections to replicas opened through other instances.",
	}, func() uint64 { opened, _ := i.tunnel.Counts(); return opened })
	add(prometheus.CounterOpts{
		Name: "oriolemill_relayed_connections_failed_total", Help: "Connections to replicas that no other instance opened.",
	}, func() uint64 { _, failed := i.tunnel.Counts(); return failed })
	add(prometheus.CounterOpts{
		Name: "oriolemill_relayed_connections_served_total", Help: "Connections to replicas opened for other instances.",
	}, func() uint64 { served, _ := i.helper.Counts(); return served })
	add(prometheus.CounterOpts{
		Name: "oriolemill_relayed_connections_refused_total", Help: "Connections to replicas not opened for other instances.",
	}, func() uint64 { _, refused := i.helper.Counts(); return refused })
	i.meter.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oriolemill_lost_paths", Help: "Services whose replicas this instance reaches only through others.",
	}, func() float64 { return float64(i.dialer.LostPaths()) }))
}
